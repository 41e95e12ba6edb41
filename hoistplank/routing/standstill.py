"""Notices that this process stood still: stopped, or kept off its core."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

CHECK_INTERVAL_S = 0.04
# Longer than the interval between checks, and less than what may pass between a client's end and an attempt
# for it (0.1 s), or between a drain and what is sent to its host.
STANDSTILL_S = 0.09
# For so long after a standstill, what came meanwhile may still be unread: timers run before sockets are read,
# and clients that connected meanwhile are still to be accepted.
RECOVERY_S = 0.25


def _nothing_pending() -> None:
    """Nobody has anything to read first."""


class StandstillDetector:
    """Calls `read_pending` in each check during a standstill's recovery, before anything is decided.

    `run` checks while nothing else does; `check` is called before anything is sent by what is known.
    """

    def __init__(self) -> None:
        self.read_pending: Callable[[], None] = _nothing_pending
        self.count = 0
        self.last_began_at = 0.0  # monotonic, as the event loop's time
        self._checked_at = time.monotonic()
        self._recovering_until = 0.0

    async def run(self) -> None:
        """Checks again and again, until it is cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check()

    def detect(self) -> int:
        """How often the process has stood still, until now."""
        now = time.monotonic()
        if now - self._checked_at > STANDSTILL_S:
            self.count += 1
            self.last_began_at = self._checked_at
            self._recovering_until = now + RECOVERY_S
        self._checked_at = now
        return self.count

    def is_recovering(self) -> bool:
        """Whether the process has stood still until a moment ago."""
        self.detect()
        return self._checked_at < self._recovering_until

    def check(self) -> None:
        """During a recovery, has what came during the standstill read."""
        if self.is_recovering():
            self.read_pending()
