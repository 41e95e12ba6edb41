"""Clocks with a resolution of one microsecond that tolerate steps of the wall clock."""

from __future__ import annotations

import time

# A smaller difference is no step: the two clocks are read some microseconds apart, and slewing of the wall
# clock moves the monotonic clock as well.
MIN_STEP_US = 100_000


class Clock:
    """Unix time at the start of the process, advanced by the monotonic clock.

    Deadlines, windows, waits and grace periods are durations of real time. If this clock followed a step of
    the wall clock by an hour, all of them would end at once, or last for an hour longer.
    """

    def __init__(self) -> None:
        self.offset_ns = time.time_ns() - time.monotonic_ns()  # from the monotonic clock to this one

    def now(self) -> int:
        """Returns Unix time in microseconds, never less than an earlier call did."""
        return (time.monotonic_ns() + self.offset_ns) // 1000

    def step_us(self) -> int:
        """Returns by how many microseconds the wall clock was set forward since the start (back:
        negative)."""
        step_us = (time.time_ns() - time.monotonic_ns() - self.offset_ns) // 1000
        return step_us if abs(step_us) >= MIN_STEP_US else 0

    def to_local_start(self, stamp_us: int) -> int:
        """Returns the start time by this clock of a process that reports its start as `stamp_us` of wall
        time.

        After a step of the wall clock it is unknown whether the timestamp is from before the step. The later
        interpretation is used, but never one after now: a warm host that is taken for a cold one only gets
        less load, while a cold host that is taken for a warm one would be overloaded.
        """
        step_us = self.step_us()
        if not step_us or not stamp_us:
            return stamp_us
        now = self.now()
        return min(now, max(stamp_us, stamp_us - step_us))


class WallClock(Clock):
    """A clock that follows forward steps of the wall clock and ignores backward steps.

    It is for timestamps of others, such as the expiry of a token: an expired token must not become valid
    again when the wall clock is set back.
    """

    def now(self) -> int:
        """Returns Unix time in microseconds, never less than an earlier call did."""
        monotonic_ns = time.monotonic_ns()
        self.offset_ns = max(self.offset_ns, time.time_ns() - monotonic_ns)
        return (monotonic_ns + self.offset_ns) // 1000
