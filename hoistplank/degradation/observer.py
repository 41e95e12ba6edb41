"""Turns what a dispatcher sees into observations of the signals. No I/O, no clock.

The same calls serve a dispatcher on sockets and one of the laboratory in virtual time. `now` is whole
microseconds.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from hoistplank.degradation import signals
from hoistplank.degradation.readings import DecayingMean, SignalReadings
from hoistplank.degradation.signals import SECOND_US, member

# The usual slowdown of fills, against which the present one is read.
BASELINE_HALF_LIFE_US = 1_800 * SECOND_US
SLOW_FILL_RATIO = 1.5  # to the baseline
SLOW_FILL_WEIGHT = 0.2  # of a slow fill in the baseline: a lasting change becomes usual in about an hour
PURGE_WINDOW_US = 30 * SECOND_US  # a fill of what was purged so lately is caused by the purge
MAX_PURGES = 65_536


def _share(condition: bool) -> float:
    """An observation of a share."""
    return 1.0 if condition else 0.0


@dataclass(frozen=True, slots=True)
class CompletedFill:
    """A fill that ended. `parent` is empty for one from the origin itself.

    `slowdown` is its duration over what its size and path should take (1 at full speed), with the lateness
    of the dispatcher's own loop taken out.
    """

    parent: str
    object_key: str
    group: int
    in_target: bool
    slowdown: float


class SignalObserver:
    """Records observations in `readings`; `utility` is that of each traffic class."""

    def __init__(self, readings: SignalReadings, utility: dict[str, float]) -> None:
        self.readings = readings
        self._utility = utility
        self._usual_slowdown = DecayingMean(BASELINE_HALF_LIFE_US, 0)
        self._purged_us: OrderedDict[str | int, int] = OrderedDict()  # by object key or purge group

    def record_loop(self, now: int, lag_us: int, open_share: float) -> None:
        """The lateness of a turn of the loop, and open requests over the admission limit."""
        self.readings.record(now, signals.LOOP_LAG, lag_us / 1_000)
        self.readings.record(now, signals.OPEN_REQUESTS, open_share)

    def record_shedding(self, now: int, *, shed: bool) -> None:
        """Whether load shedding rejected a request."""
        self.readings.record(now, signals.SHED_REQUESTS, _share(shed))

    def record_resources(self, now: int, memory_share: float, descriptor_share: float) -> None:
        """Resident memory and descriptors in use, over their limits."""
        self.readings.record(now, signals.MEMORY, memory_share)
        self.readings.record(now, signals.DESCRIPTORS, descriptor_share)

    def record_link(self, now: int, utilization: float) -> None:
        """The utilization of the location's link, as a cache host reports it."""
        self.readings.record(now, signals.LINK, utilization)

    def record_response(self, now: int, class_name: str, *, in_target: bool) -> None:
        """A request that was answered, served or not; `in_target`: served within its latency target."""
        share = _share(in_target)
        self.readings.record(now, member(signals.LATENCY_OBJECTIVE, class_name), share)
        self.readings.record(now, signals.LATENCY_OBJECTIVE, share, self._utility.get(class_name, 1.0))

    def record_purge(self, now: int, object_key: str, group: int) -> None:
        """A purge of an object key, or of a group where the key is empty."""
        key = object_key or group
        self._purged_us[key] = now
        self._purged_us.move_to_end(key)
        while len(self._purged_us) > MAX_PURGES or self._oldest_purge_us() < now - PURGE_WINDOW_US:
            self._purged_us.popitem(last=False)

    def _oldest_purge_us(self) -> int:
        return next(iter(self._purged_us.values()))

    def record_fill(self, now: int, fill: CompletedFill) -> None:
        """A fill that ended, through a parent or from the origin."""
        in_target = _share(fill.in_target)
        is_from_purge = self._is_from_purge(now, fill)
        self.readings.record(now, signals.PURGE_FILLS, _share(is_from_purge))
        self.readings.record(now, signals.FILLS, in_target)
        if fill.parent:
            self.readings.record(now, member(signals.FILLS, fill.parent), in_target)
        # Danger: a wave of fills after a purge crowds the origin; that is not the origin slowing down.
        if not is_from_purge:
            self._record_slowdown(now, fill.slowdown)

    def _is_from_purge(self, now: int, fill: CompletedFill) -> bool:
        purged = (self._purged_us.get(fill.object_key), self._purged_us.get(fill.group))
        return any(at is not None and at >= now - PURGE_WINDOW_US for at in purged)

    def _record_slowdown(self, now: int, slowdown: float) -> None:
        usual = self._usual_slowdown.reading(now).value
        # Danger: a slow spell would become the usual; what is far above it moves the usual only slowly.
        is_slow = usual is not None and slowdown >= SLOW_FILL_RATIO * usual
        self._usual_slowdown.add(now, slowdown, SLOW_FILL_WEIGHT if is_slow else 1.0)
        if usual is not None and usual > 0:
            self.readings.record(now, signals.ORIGIN_SLOWDOWN, slowdown / usual)
