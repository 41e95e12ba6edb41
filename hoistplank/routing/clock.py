"""The system's Unix clock in whole microseconds, never running back."""

from __future__ import annotations

import time


class Clock:
    """Runs with the Unix clock; when that is set back, goes on from where it was at the monotonic pace."""

    def __init__(self) -> None:
        self.ahead = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        steady = time.monotonic_ns()
        self.ahead = max(self.ahead, time.time_ns() - steady)
        return (steady + self.ahead) // 1000
