"""Converts events of a dispatcher into observations of the signals. No I/O, no clock.

Used both by a dispatcher on sockets and by one of the laboratory in virtual time. `now` is whole
microseconds.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from hoistplank.degradation import signals
from hoistplank.degradation.readings import DecayingMean, SignalReadings
from hoistplank.degradation.signals import SECOND_US, member

# The baseline is the usual slowdown of fills; the current slowdown is recorded as a ratio to it.
BASELINE_HALF_LIFE_US = 1_800 * SECOND_US
SLOW_FILL_RATIO = 1.5  # to the baseline; fills from here on count as slow
SLOW_FILL_WEIGHT = 0.2  # in the baseline, so that it adopts a lasting change in about an hour
PURGE_WINDOW_US = 30 * SECOND_US  # a fill this soon after a purge of its object is caused by the purge
MAX_PURGES = 65_536


def _share(condition: bool) -> float:
    """Returns the observation of a share: 1.0 if the condition holds, else 0.0."""
    return 1.0 if condition else 0.0


@dataclass(frozen=True, slots=True)
class CompletedFill:
    """A completed fill. `parent` is empty for a fill from the origin itself.

    `slowdown` is the ratio of its duration to the one expected for its size and path (1 at full speed), not
    counting the lag of the dispatcher's own loop.
    """

    parent: str
    object_key: str
    group: int
    in_target: bool
    slowdown: float


class SignalObserver:
    """Records observations in `readings`; `utility` is the utility of each traffic class by name."""

    def __init__(self, readings: SignalReadings, utility: dict[str, float]) -> None:
        self.readings = readings
        self._utility = utility
        self._usual_slowdown = DecayingMean(BASELINE_HALF_LIFE_US, 0)
        self._purged_us: OrderedDict[str | int, int] = OrderedDict()  # by object key or purge group

    def record_loop(self, now: int, lag_us: int, open_share: float) -> None:
        """Records the lag of a turn of the loop, and the open requests as a share of the admission limit."""
        self.readings.record(now, signals.LOOP_LAG, lag_us / 1_000)
        self.readings.record(now, signals.OPEN_REQUESTS, open_share)

    def record_shedding(self, now: int, *, shed: bool) -> None:
        """Records a new request, and whether load shedding rejected it."""
        self.readings.record(now, signals.SHED_REQUESTS, _share(shed))

    def record_resources(self, now: int, memory_share: float, descriptor_share: float) -> None:
        """Records resident memory and descriptors in use, as shares of their limits."""
        self.readings.record(now, signals.MEMORY, memory_share)
        self.readings.record(now, signals.DESCRIPTORS, descriptor_share)

    def record_link(self, now: int, utilization: float) -> None:
        """Records the utilization of the location's link that a cache host reports."""
        self.readings.record(now, signals.LINK, utilization)

    def record_response(self, now: int, class_name: str, *, in_target: bool) -> None:
        """Records an answered request, served or rejected; `in_target`: served within its latency target."""
        share = _share(in_target)
        self.readings.record(now, member(signals.LATENCY_OBJECTIVE, class_name), share)
        self.readings.record(now, signals.LATENCY_OBJECTIVE, share, self._utility.get(class_name, 1.0))

    def record_purge(self, now: int, object_key: str, group: int) -> None:
        """Records a purge of an object key, or of a group if the key is empty."""
        key = object_key or group
        self._purged_us[key] = now
        self._purged_us.move_to_end(key)
        while len(self._purged_us) > MAX_PURGES or self._oldest_purge_us() < now - PURGE_WINDOW_US:
            self._purged_us.popitem(last=False)

    def _oldest_purge_us(self) -> int:
        return next(iter(self._purged_us.values()))

    def record_fill(self, now: int, fill: CompletedFill) -> None:
        """Records a completed fill, through a parent or from the origin."""
        in_target = _share(fill.in_target)
        is_from_purge = self._is_from_purge(now, fill)
        self.readings.record(now, signals.PURGE_FILLS, _share(is_from_purge))
        self.readings.record(now, signals.FILLS, in_target)
        if fill.parent:
            self.readings.record(now, member(signals.FILLS, fill.parent), in_target)
        # Fills caused by a purge arrive in a wave that loads the origin. They would make a healthy origin
        # look slow.
        if not is_from_purge:
            self._record_slowdown(now, fill.slowdown)

    def _is_from_purge(self, now: int, fill: CompletedFill) -> bool:
        purged = (self._purged_us.get(fill.object_key), self._purged_us.get(fill.group))
        return any(at is not None and at >= now - PURGE_WINDOW_US for at in purged)

    def _record_slowdown(self, now: int, slowdown: float) -> None:
        usual = self._usual_slowdown.reading(now).value
        # Slow fills have less weight in the baseline, or it would soon adopt a slow origin as usual.
        is_slow = usual is not None and slowdown >= SLOW_FILL_RATIO * usual
        self._usual_slowdown.add(now, slowdown, SLOW_FILL_WEIGHT if is_slow else 1.0)
        if usual is not None and usual > 0:
            self.readings.record(now, signals.ORIGIN_SLOWDOWN, slowdown / usual)
