"""Readings of how the service fares, each smoothed over a stated age. No I/O, no clock: `now` is told,
in whole microseconds.

A reading is a decaying mean: each observation weighs 1 and halves in weight with every half-life, so that a
figure's age is what its half-life says. A reading with too little weight, or none for eight half-lives, is
unknown, and a ladder neither enters nor leaves by it.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

S = 1_000_000
# What each signal means, its unit, and the half-life of its smoothing (us). Names with a ':' are families:
# `goal:booking` is the share of bookings within the latency target, `fills:parent-0` that of fills through
# that parent.
SIGNALS: dict[str, tuple[str, int]] = {
    "lag": ("how late the loop runs, in ms", S // 2),
    "open": ("requests open, as a share of what the admission lets in", S // 2),
    "refused": ("share of requests shed because the core is full", 2 * S),
    "memory": ("resident memory, as a share of the limit", 5 * S),
    "descriptors": ("descriptors in use, as a share of the limit", 2 * S),
    "link": ("the location's link as its cache hosts report it, 1 is full", 2 * S),
    "goal": ("share of utility of answered requests that came within the latency target", 5 * S),
    "goal:": ("share of the traffic class's requests answered within the latency target", 5 * S),
    "fills": ("share of fills that came within the latency target", 5 * S),
    "fills:": ("share of fills through the parent that came within the latency target", 5 * S),
    "archive": ("how slow fills not caused by a purge are, against their own usual", 3 * S),
    "purge-fills": ("share of fills that a purge of the last 30 s caused", 3 * S),
}
FAMILIES = tuple(name for name in SIGNALS if name.endswith(":"))
LEAST_WEIGHT = 3.0  # observations, after decay, before a share or mean is known
UNHEARD = 8  # half-lives after the last observation at which a reading is unknown
MOST_NAMES = 512  # readings of a family's members: parents and traffic classes come and go
USUAL_HALF_LIFE = 1_800 * S  # the archive's usual speed, against which its present speed is read
SLOW_WEIGHT = 0.2  # of a fill far slower than the usual: a lasting change is the usual in about an hour
WAVE_US = 30 * S  # a fill of what was purged so lately is the purge's
MOST_PURGES = 65_536


def half_life(name: str) -> int:
    """Of a signal by its name; raises KeyError for a name that is no signal."""
    if name in SIGNALS:
        return SIGNALS[name][1]
    family = name.split(":", 1)[0] + ":"
    if family in SIGNALS and name != family:
        return SIGNALS[family][1]
    raise KeyError(name)


@dataclass(frozen=True, slots=True)
class Reading:
    """A signal's smoothed value, or None where it is unknown; its age since the last observation (us)."""

    value: float | None
    age_us: int
    weight: float


class Mean:
    """A decaying mean of observations."""

    __slots__ = ("at", "half", "total", "weight")

    def __init__(self, half_us: int, now: int) -> None:
        self.half, self.at, self.total, self.weight = half_us, now, 0.0, 0.0

    def _fade(self, now: int) -> None:
        if now > self.at:
            keep = 0.5 ** ((now - self.at) / self.half)
            self.total, self.weight, self.at = self.total * keep, self.weight * keep, now

    def add(self, now: int, value: float, weight: float = 1.0) -> None:
        self._fade(now)
        self.total += value * weight
        self.weight += weight

    def reading(self, now: int) -> Reading:
        age = max(0, now - self.at)
        weight = self.weight * 0.5 ** (age / self.half)
        known = weight >= LEAST_WEIGHT * 0.5**UNHEARD and self.weight >= LEAST_WEIGHT
        value = self.total / self.weight if known and self.weight > 0 else None
        return Reading(value if age < UNHEARD * self.half else None, age, weight)


class Gauges:
    """All readings by name. `ages` overrides half-lives by signal or family name (us)."""

    def __init__(self, ages: dict[str, int] | None = None) -> None:
        self.ages = dict(ages or {})
        self.means: OrderedDict[str, Mean] = OrderedDict()

    def _half(self, name: str) -> int:
        family = name.split(":", 1)[0] + ":" if ":" in name else name
        return self.ages.get(name, self.ages.get(family, half_life(name)))

    def age_anew(self, ages: dict[str, int]) -> None:
        """Other half-lives from now on; what was seen stays."""
        self.ages = dict(ages)
        for name, mean in self.means.items():
            mean.half = self._half(name)

    def note(self, now: int, name: str, value: float, weight: float = 1.0) -> None:
        mean = self.means.get(name)
        if mean is None:
            mean = self.means[name] = Mean(self._half(name), now)
            if len(self.means) > MOST_NAMES:
                self.means.popitem(last=False)  # Danger: names that come and go would grow without end
        self.means.move_to_end(name)
        mean.add(now, value, weight)

    def reading(self, now: int, name: str) -> Reading:
        mean = self.means.get(name)
        return mean.reading(now) if mean is not None else Reading(None, -1, 0.0)

    def readings(self, now: int) -> dict[str, Reading]:
        return {name: mean.reading(now) for name, mean in self.means.items()}


class Watch:
    """Turns what a dispatcher sees into observations of the gauges. The same calls serve a dispatcher on
    sockets and one of the laboratory's in virtual time."""

    def __init__(self, gauges: Gauges, utility: dict[str, float]) -> None:
        self.gauges, self.utility = gauges, utility
        self.usual = Mean(USUAL_HALF_LIFE, 0)
        self.purges: OrderedDict[str | int, int] = OrderedDict()

    def loop(self, now: int, lag_us: int, open_share: float) -> None:
        """Once a turn, or as often as the caller likes: lateness of the loop, requests open."""
        self.gauges.note(now, "lag", lag_us / 1_000)
        self.gauges.note(now, "open", open_share)

    def load_shed(self, now: int, shed: bool) -> None:
        """Whether load shedding rejected a request."""
        self.gauges.note(now, "refused", 1.0 if shed else 0.0)

    def resources(self, now: int, memory_share: float, descriptor_share: float) -> None:
        self.gauges.note(now, "memory", memory_share)
        self.gauges.note(now, "descriptors", descriptor_share)

    def link(self, now: int, fullness: float) -> None:
        self.gauges.note(now, "link", fullness)

    def answered(self, now: int, class_name: str, in_target: bool) -> None:
        """A request that got its answer, served or not; `in_target`: served within its latency target."""
        self.gauges.note(now, f"goal:{class_name}", 1.0 if in_target else 0.0)
        self.gauges.note(now, "goal", 1.0 if in_target else 0.0, self.utility.get(class_name, 1.0))

    def purged(self, now: int, object_key: str, group: int) -> None:
        key: str | int = object_key or group
        self.purges[key] = now
        self.purges.move_to_end(key)
        while self.purges and (
            len(self.purges) > MOST_PURGES or next(iter(self.purges.values())) < now - WAVE_US
        ):
            self.purges.popitem(last=False)

    def filled(
        self, now: int, parent: str, object_key: str, group: int, in_time: bool, slowed: float
    ) -> None:
        """A fill through `parent` that ended: in its latency target or not, and its time over what its size
        and way would take (`slowed`, 1 at full pace), with this loop's own lateness taken out by the
        caller."""
        fresh = now - WAVE_US
        purged = (self.purges.get(object_key), self.purges.get(group))
        caused = any(at is not None and at >= fresh for at in purged)
        self.gauges.note(now, "purge-fills", 1.0 if caused else 0.0)
        self.gauges.note(now, "fills", 1.0 if in_time else 0.0)
        if parent:
            self.gauges.note(now, f"fills:{parent}", 1.0 if in_time else 0.0)
        if caused:
            return  # Danger: a wave of fills after a purge crowds the archive; it is not the archive slowing
        usual = self.usual.reading(now).value
        # Danger: a slow spell would become the usual; what is far above it moves the usual only slowly.
        self.usual.add(now, slowed, 1.0 if usual is None or slowed < 1.5 * usual else SLOW_WEIGHT)
        if usual is not None and usual > 0:
            self.gauges.note(now, "archive", slowed / usual)
