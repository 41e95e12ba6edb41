"""Admission of requests by traffic class, according to the capacity of the core."""

from __future__ import annotations

from hoistplank.decision.settings import RouterSettings
from hoistplank.degradation.admission import AdmissionController, AdmissionSettings

MAX_LAG_TARGET_US = 25_000
MIN_LAG_TARGET_US = 2_000
LAG_TARGET_DIVISOR = 10  # the target is this fraction of the shortest latency objective
MIN_OPEN_REQUESTS = 8


class ClassAdmission:
    """Adaptive limit on open requests, which follows the capacity of the core, with a share for each class.

    `max_open` is the configured cap, which the limit never exceeds. `shares` maps a class name to the class's
    share of the limit; the class with the largest priority weight may use all of it.
    """

    def __init__(self, settings: RouterSettings, max_open: int, now: int) -> None:
        self.max_open = max_open
        bounds = AdmissionSettings(
            target_lag_us=_lag_target_us(settings),
            min_open=min(MIN_OPEN_REQUESTS, max_open),
            max_open=max_open,
        )
        self.controller = AdmissionController(bounds, now)
        largest = max(row.priority_weight for row in settings.traffic_classes)
        self.shares = {
            row.name: self.controller.share(row.priority_weight, largest) for row in settings.traffic_classes
        }

    def max_open_requests(self, class_name: str) -> int:
        """Returns how many requests may be open in total for another one of a class to be admitted, where an
        authorizer divides the capacity: the configured cap, or the class's share of the adaptive limit while
        that limit is binding."""
        if not self.controller.is_binding():
            return self.max_open
        return int(self.controller.limit * self.shares.get(class_name, 1.0))

    def admits(self, class_name: str, open_count: int, *, is_authorized: bool) -> bool:
        """Returns whether another request may be opened in addition to `open_count` open ones.

        `is_authorized` says that an authorizer has admitted it, within `max_open_requests`. An unknown class
        is treated like the class with the largest priority weight.
        """
        may_use_whole_limit = is_authorized and not self.controller.is_binding()
        share = 1.0 if may_use_whole_limit else self.shares.get(class_name, 1.0)
        return self.controller.admits(open_count, share)


def _lag_target_us(settings: RouterSettings) -> int:
    """Returns the target for the event loop's lag, in microseconds.

    It is a tenth of the shortest latency objective, but between 2 ms and 25 ms.
    """
    shortest_us = min(row.latency_objective_us for row in settings.traffic_classes)
    return max(MIN_LAG_TARGET_US, min(MAX_LAG_TARGET_US, shortest_us // LAG_TARGET_DIVISOR))
