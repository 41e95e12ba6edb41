"""Whether the core has capacity for one more request of a traffic class."""

from __future__ import annotations

from hoistplank.decision.settings import RouterSettings
from hoistplank.degradation.admission import AdmissionController, AdmissionSettings

MAX_LAG_TARGET_US = 25_000
MIN_LAG_TARGET_US = 2_000
LAG_TARGET_DIVISOR = 10  # of the shortest latency objective
MIN_OPEN_REQUESTS = 8


class ClassAdmission:
    """The bound on open requests that follows what the core carries, shared by traffic class.

    `max_open` is the settings' own cap, its ceiling. `shares`: of the bound, by class name; the class with
    the largest priority weight gets all of it.
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
        """How many requests may be open in all for one more of a class to be admitted, where an authorizer
        shares them out: the settings' cap, or the class's share of the bound while that is below it."""
        if not self.controller.is_binding():
            return self.max_open
        return int(self.controller.limit * self.shares.get(class_name, 1.0))

    def admits(self, class_name: str, open_count: int, *, is_authorized: bool) -> bool:
        """Whether one more request may be opened beside `open_count`; `is_authorized`: an authorizer has
        admitted it, by `max_open_requests`. A class that is not known counts as the one with the largest
        weight."""
        has_whole_bound = is_authorized and not self.controller.is_binding()
        share = 1.0 if has_whole_bound else self.shares.get(class_name, 1.0)
        return self.controller.admits(open_count, share)


def _lag_target_us(settings: RouterSettings) -> int:
    """The loop's lag that the admission aims below: 25 ms, or a tenth of the shortest latency objective."""
    shortest_us = min(row.latency_objective_us for row in settings.traffic_classes)
    return max(MIN_LAG_TARGET_US, min(MAX_LAG_TARGET_US, shortest_us // LAG_TARGET_DIVISOR))
