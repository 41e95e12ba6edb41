"""The system's Unix clock in whole microseconds, never running back."""

from __future__ import annotations

import time


class Clock:
    """Runs with the Unix clock; when that is set back, goes on from where it was at the monotonic pace."""

    def __init__(self) -> None:
        # Nanoseconds from the monotonic clock to ours; it only grows.
        self.offset_ns = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """Unix time in microseconds; never below an earlier answer."""
        monotonic_ns = time.monotonic_ns()
        self.offset_ns = max(self.offset_ns, time.time_ns() - monotonic_ns)
        return (monotonic_ns + self.offset_ns) // 1000
