"""Flap damping after RFC 2439, section 4.2: a penalty that each change raises and that decays. No I/O, no
clock."""

from __future__ import annotations

from math import log2

CHANGE_PENALTY = 1.0
SUPPRESS_THRESHOLD = 2.5  # from this penalty on, steps down are suppressed
REUSE_THRESHOLD = 0.5  # until it has fallen below this


class FlapDamping:
    """Whether steps down are suppressed. A level entered once is left after its dwell; one that comes back
    soon is kept two half-lives and more."""

    def __init__(self, half_life_us: int) -> None:
        self._half_life_us = half_life_us
        self._penalty = 0.0
        self._updated_us = 0
        self._is_suppressing = False

    def penalty(self, now: int) -> float:
        """The penalty as decayed until `now`."""
        return self._penalty * float(0.5 ** ((now - self._updated_us) / self._half_life_us))

    def record_change(self, now: int) -> None:
        """Adds a change's penalty."""
        self._penalty = self.penalty(now) + CHANGE_PENALTY
        self._updated_us = now
        threshold = REUSE_THRESHOLD if self._is_suppressing else SUPPRESS_THRESHOLD
        self._is_suppressing = self._penalty >= threshold

    def suppressed_for_us(self, now: int) -> int:
        """How long steps down are suppressed yet; 0 where they are not."""
        penalty = self.penalty(now)
        if not self._is_suppressing or penalty < REUSE_THRESHOLD:
            return 0
        return int(self._half_life_us * log2(penalty / REUSE_THRESHOLD)) + 1

    def resume_from(self, previous: FlapDamping) -> None:
        """Takes over the penalty of an earlier one; the half-life stays its own."""
        self._penalty = previous._penalty  # noqa: SLF001 - of its own class
        self._updated_us = previous._updated_us  # noqa: SLF001 - of its own class
        self._is_suppressing = previous._is_suppressing  # noqa: SLF001 - of its own class
