"""Detects standstills of this process: it was stopped, or got no processor time."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from hoistplank.transport.connection import Connection

CHECK_INTERVAL_S = 0.04
# Longer than the interval between checks, and shorter than the time allowed between a client's disconnect and
# an attempt for it (0.1 s), or between a drain and the last attempt sent to its host.
STANDSTILL_S = 0.09
# How long after a standstill data that arrived during it may still be unread: timers run before sockets are
# read, and clients that connected meanwhile have yet to be accepted.
RECOVERY_S = 0.25


def _read_nothing() -> None:
    """The default of `read_pending`, for a detector without connections."""


class StandstillDetector:
    """Detects standstills, and calls `read_pending` in each check during the recovery from one.

    `check` is called before decisions are made on the current state, so that data that arrived during the
    standstill is read first. `run` checks periodically, for times when nothing else does.
    """

    def __init__(self) -> None:
        self.read_pending: Callable[[], None] = _read_nothing
        self.count = 0
        self.last_began_at = 0.0  # start of the last one: monotonic seconds, as the event loop's time
        self._checked_at = time.monotonic()
        self._recovering_until = 0.0

    async def run(self) -> None:
        """Checks periodically until the task is cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check()

    def detect(self) -> int:
        """Returns the number of standstills so far, including one that has just ended."""
        now = time.monotonic()
        if now - self._checked_at > STANDSTILL_S:
            self.count += 1
            self.last_began_at = self._checked_at
            self._recovering_until = now + RECOVERY_S
        self._checked_at = now
        return self.count

    def is_recovering(self) -> bool:
        """Returns whether a standstill ended less than RECOVERY_S ago."""
        self.detect()
        return self._checked_at < self._recovering_until

    def check(self) -> None:
        """Reads the data that arrived during a standstill, while recovering from one."""
        if self.is_recovering():
            self.read_pending()


def unread_for_us(standstills: StandstillDetector, connection: Connection, *, is_last: bool) -> int:
    """Returns how long the data just read may have been unread, in microseconds; 0 without a standstill.
    `is_last`: no further data was read after it.

    The system reports the arrival time of the last bytes only. Earlier ones may have arrived at any time
    since the standstill began or since the connection's socket was last known to be empty.
    """
    if not standstills.is_recovering():
        return 0
    if is_last:
        last_arrival_age_us = connection.last_arrival_age_us()
        if not connection.has_unread_input():
            return last_arrival_age_us
    unread_since = max(standstills.last_began_at, connection.drained_at)
    return int((asyncio.get_running_loop().time() - unread_since) * 1e6)
