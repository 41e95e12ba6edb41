"""Current values of the signals, each a decaying mean of its observations. No I/O, no clock.

An observation has a weight of 1, which halves with every half-life. A reading with too little weight, or
without an observation for eight half-lives, is unknown and neither raises nor lowers the level. `now` is
whole microseconds.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from hoistplank.degradation.signals import default_half_life_us, family_of

MIN_WEIGHT = 3.0  # undecayed observations from which on a mean is known
STALE_HALF_LIVES = 8  # since the last observation, after which a reading is unknown
MAX_SIGNALS = 512  # bounds the members of families, which change with parents and traffic classes


@dataclass(frozen=True, slots=True)
class Reading:
    """The smoothed value of a signal, None if unknown; `age_us` is the time since the last observation, -1 if
    there was none."""

    value: float | None
    age_us: int
    weight: float


UNKNOWN = Reading(None, -1, 0.0)


class DecayingMean:
    """A mean whose observations halve in weight with every half-life."""

    __slots__ = ("_total", "_updated_us", "_weight", "half_life_us")

    def __init__(self, half_life_us: int, now: int) -> None:
        self.half_life_us = half_life_us
        self._updated_us = now
        self._total = 0.0
        self._weight = 0.0

    def add(self, now: int, value: float, weight: float = 1.0) -> None:
        """Adds an observation."""
        self._decay(now)
        self._total += value * weight
        self._weight += weight

    def _decay(self, now: int) -> None:
        if now > self._updated_us:
            factor = 0.5 ** ((now - self._updated_us) / self.half_life_us)
            self._total *= factor
            self._weight *= factor
            self._updated_us = now

    def reading(self, now: int) -> Reading:
        """Returns the mean at `now`, unknown if it has too little weight or is stale."""
        age_us = max(0, now - self._updated_us)
        weight = self._weight * 0.5 ** (age_us / self.half_life_us)
        is_known = self._weight >= MIN_WEIGHT and weight >= MIN_WEIGHT * 0.5**STALE_HALF_LIVES
        is_stale = age_us >= STALE_HALF_LIVES * self.half_life_us
        value = self._total / self._weight if is_known and not is_stale else None
        return Reading(value, age_us, weight)


class SignalReadings:
    """The readings of all signals; `half_lives_us` overrides the defaults by name of a signal or family."""

    def __init__(self, half_lives_us: dict[str, int] | None = None) -> None:
        self.half_lives_us = dict(half_lives_us or {})
        self._means: OrderedDict[str, DecayingMean] = OrderedDict()

    def _half_life_us(self, name: str) -> int:
        by_family = self.half_lives_us.get(family_of(name), default_half_life_us(name))
        return self.half_lives_us.get(name, by_family)

    def set_half_lives(self, half_lives_us: dict[str, int]) -> None:
        """Replaces the half-lives from now on; existing observations are kept."""
        self.half_lives_us = dict(half_lives_us)
        for name, mean in self._means.items():
            mean.half_life_us = self._half_life_us(name)

    def record(self, now: int, name: str, value: float, weight: float = 1.0) -> None:
        """Adds an observation of a signal; raises KeyError for an unknown signal."""
        mean = self._means.get(name)
        if mean is None:
            mean = self._means[name] = DecayingMean(self._half_life_us(name), now)
            if len(self._means) > MAX_SIGNALS:
                # Without a bound, memory would grow with every parent or traffic class ever observed.
                self._means.popitem(last=False)
        self._means.move_to_end(name)
        mean.add(now, value, weight)

    def reading(self, now: int, name: str) -> Reading:
        """Returns the reading of one signal, unknown if it was never observed."""
        mean = self._means.get(name)
        return mean.reading(now) if mean is not None else UNKNOWN

    def all(self, now: int) -> dict[str, Reading]:
        """Returns the readings of all signals observed so far, by name."""
        return {name: mean.reading(now) for name, mean in self._means.items()}
