"""Rate-limited logging of events caused from outside, so that a fast sender can't flood the log."""

from __future__ import annotations

import asyncio
from typing import Any

import structlog

log = structlog.get_logger()
INTERVAL_S = 1.0


class RateLimitedLog:
    """Logs each kind of event at most once a second, with the number of its events so far.

    It must be created in a running event loop. `counts` maps a kind of event to its number of events,
    including those that were not logged.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.counts: dict[str, int] = {}
        self._logged_at: dict[str, float] = {}

    def info(self, event: str, **fields: Any) -> None:
        """Does the same as `warning` at level info, for ordinary events."""
        if self._is_due(event):
            log.info(event, so_far=self.counts[event], **fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Counts an event, and logs it unless one of its kind was logged within the last second."""
        if self._is_due(event):
            log.warning(event, so_far=self.counts[event], **fields)

    def _is_due(self, event: str) -> bool:
        self.counts[event] = self.counts.get(event, 0) + 1
        now = self.loop.time()
        if now - self._logged_at.get(event, -INTERVAL_S) < INTERVAL_S:
            return False
        self._logged_at[event] = now
        return True
