"""Rate-limited warnings on bad input, so that a client that sends it at full speed can't fill the log."""

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

    def warning(self, event: str, **fields: Any) -> None:
        """Counts an event, and logs it with its fields unless one of its kind was logged within a second."""
        self.counts[event] = self.counts.get(event, 0) + 1
        now = self.loop.time()
        if now - self._logged_at.get(event, -INTERVAL_S) >= INTERVAL_S:
            self._logged_at[event] = now
            log.warning(event, so_far=self.counts[event], **fields)
