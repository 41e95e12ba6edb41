"""Time in whole microseconds: a clock for spans, and how far the wall clock was stepped beside it."""

from __future__ import annotations

import time

# Two readings of two clocks are some microseconds apart; a wall clock that is slewed moves both alike.
MIN_STEP_US = 100_000


class Clock:
    """Unix time as it was at the start, going on at the monotonic pace.

    Danger: deadlines, windows, waits and graces are spans of real time. A clock that followed a step of the
    wall clock would end them all in one turn, or make them last for an hour.
    """

    def __init__(self) -> None:
        self.offset_ns = time.time_ns() - time.monotonic_ns()  # from the monotonic clock to ours

    def now(self) -> int:
        """Unix time in microseconds; never below an earlier answer."""
        return (time.monotonic_ns() + self.offset_ns) // 1000

    def step_us(self) -> int:
        """By how much the wall clock has been set forward (back, where below 0) since the start."""
        step_us = (time.time_ns() - time.monotonic_ns() - self.offset_ns) // 1000
        return step_us if abs(step_us) >= MIN_STEP_US else 0

    def to_local_start(self, stamp_us: int) -> int:
        """When, by this clock, a process started that dates its start `stamp_us` by the wall clock.

        Danger: after a step nobody can tell whether the stamp is from before it. The younger reading counts,
        but no later one than now: a warm host that is taken for a cold one gets less, a cold host that is
        taken for a warm one is pushed over.
        """
        step_us = self.step_us()
        if not step_us or not stamp_us:
            return stamp_us
        now = self.now()
        return min(now, max(stamp_us, stamp_us - step_us))


class WallClock(Clock):
    """Follows the wall clock when that is set forward, and goes on at the monotonic pace when it is set back:
    for what others have dated, as the expiry of a token, which must not come back into force."""

    def now(self) -> int:
        """Unix time in microseconds; never below an earlier answer."""
        monotonic_ns = time.monotonic_ns()
        self.offset_ns = max(self.offset_ns, time.time_ns() - monotonic_ns)
        return (monotonic_ns + self.offset_ns) // 1000
