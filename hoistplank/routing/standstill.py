"""Notices that this process stood still: stopped, or kept off its core."""

from __future__ import annotations

import time
from collections.abc import Callable

# Well within a drain's grace, and longer than the interval between the checks of an idle program (0.1 s).
STANDSTILL_S = 0.18


def _nothing_pending() -> None:
    """Nobody has anything to read first."""


class StandstillDetector:
    """Calls `read_pending` in the first check after a standstill, before anything is decided.

    `check` is to be called several times a second, and before anything is sent by what is known.
    """

    def __init__(self) -> None:
        self.read_pending: Callable[[], None] = _nothing_pending
        self.count = 0
        self._checked_at = time.monotonic()

    def check(self) -> bool:
        """Whether the process stood still since the last check; what came meanwhile has been read then."""
        now = time.monotonic()
        elapsed_s, self._checked_at = now - self._checked_at, now
        if elapsed_s <= STANDSTILL_S:
            return False
        self.count += 1
        self.read_pending()
        return True
