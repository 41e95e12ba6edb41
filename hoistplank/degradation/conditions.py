"""Conditions on readings, and the time since which each has been met. No I/O, no clock.

An unknown reading meets no condition, so that a signal without new observations neither raises nor lowers the
level.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from hoistplank.degradation.readings import UNKNOWN, Reading


@dataclass(frozen=True, slots=True)
class Condition:
    """Met while `signal` is above (or below) `value`, once it has been for `hold_us`."""

    signal: str
    above: bool
    value: float
    hold_us: int = 0

    def is_met(self, reading: Reading) -> bool:
        """True if the reading is beyond the value, regardless of the hold time."""
        if reading.value is None:
            return False
        return reading.value > self.value if self.above else reading.value < self.value

    def __str__(self) -> str:
        """Returns the condition in the syntax of the operator file, without the hold time."""
        return f"{self.signal} {'above' if self.above else 'below'} {self.value:g}"


@dataclass(frozen=True, slots=True)
class TransitionReason:
    """A condition that was met, with the value of its reading."""

    condition: Condition
    value: float

    def __str__(self) -> str:
        """Returns the reason for logs and reports, such as `lag 300 > 200`."""
        sign = ">" if self.condition.above else "<"
        return f"{self.condition.signal} {self.value:.3g} {sign} {self.condition.value:g}"


class ConditionTracker:
    """Tracks the time since which each condition has been met without interruption."""

    def __init__(self, conditions: Iterable[Condition]) -> None:
        self._conditions = tuple(dict.fromkeys(conditions))
        self._met_since_us: dict[Condition, int] = {}

    def update(self, now: int, readings: dict[str, Reading]) -> dict[Condition, float]:
        """Returns the conditions that have been met for their whole hold time, with the values read."""
        met: dict[Condition, float] = {}
        for condition in self._conditions:
            reading = readings.get(condition.signal, UNKNOWN)
            if reading.value is None or not condition.is_met(reading):
                self._met_since_us.pop(condition, None)
                continue
            since_us = self._met_since_us.setdefault(condition, now)
            if now - since_us >= condition.hold_us:
                met[condition] = reading.value
        return met
