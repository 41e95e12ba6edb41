"""Rate-limited lines on what comes from outside: a client that sends it at full speed can't fill the log."""

from __future__ import annotations

import asyncio
from typing import Any

import structlog

log = structlog.get_logger()
INTERVAL_S = 1.0


class RateLimitedLog:
    """One line a second for each kind of event at most, with how many came so far.

    To be made in a running event loop. `counts` has the number of events by kind, also of those not logged.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.counts: dict[str, int] = {}
        self._logged_at: dict[str, float] = {}

    def info(self, event: str, **fields: Any) -> None:
        """As `warning`, for what is nothing out of the ordinary."""
        if self._is_due(event):
            log.info(event, so_far=self.counts[event], **fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Counts an event, and logs it with its fields unless one of its kind was logged within a second."""
        if self._is_due(event):
            log.warning(event, so_far=self.counts[event], **fields)

    def _is_due(self, event: str) -> bool:
        self.counts[event] = self.counts.get(event, 0) + 1
        now = self.loop.time()
        if now - self._logged_at.get(event, -INTERVAL_S) < INTERVAL_S:
            return False
        self._logged_at[event] = now
        return True
