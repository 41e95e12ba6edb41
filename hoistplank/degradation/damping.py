"""Flap damping after RFC 2439, section 4.2: a decaying penalty that grows with each change. No I/O, no
clock."""

from __future__ import annotations

from math import log2

CHANGE_PENALTY = 1.0
SUPPRESS_THRESHOLD = 2.5  # penalty at which steps down are suppressed
REUSE_THRESHOLD = 0.5  # penalty below which they are allowed again


class FlapDamping:
    """Suppresses steps down while the level flaps. A level that is entered once is left after its dwell; one
    that is soon entered again is kept for two half-lives or more."""

    def __init__(self, half_life_us: int) -> None:
        self._half_life_us = half_life_us
        self._penalty = 0.0
        self._updated_us = 0
        self._is_suppressing = False

    def penalty(self, now: int) -> float:
        """Returns the penalty, decayed until `now`."""
        return self._penalty * float(0.5 ** ((now - self._updated_us) / self._half_life_us))

    def record_change(self, now: int) -> None:
        """Adds the penalty of one change."""
        self._penalty = self.penalty(now) + CHANGE_PENALTY
        self._updated_us = now
        threshold = REUSE_THRESHOLD if self._is_suppressing else SUPPRESS_THRESHOLD
        self._is_suppressing = self._penalty >= threshold

    def suppressed_for_us(self, now: int) -> int:
        """Returns the remaining time of suppression in microseconds; 0 if steps down are not suppressed."""
        penalty = self.penalty(now)
        if not self._is_suppressing or penalty < REUSE_THRESHOLD:
            return 0
        return int(self._half_life_us * log2(penalty / REUSE_THRESHOLD)) + 1

    def resume_from(self, previous: FlapDamping) -> None:
        """Copies the penalty of a previous instance, but keeps its own half-life."""
        self._penalty = previous._penalty  # noqa: SLF001 - of the same class
        self._updated_us = previous._updated_us  # noqa: SLF001 - of the same class
        self._is_suppressing = previous._is_suppressing  # noqa: SLF001 - of the same class
