"""Rate-limited log lines on bad input, so that a client that sends it at full speed can't fill the log."""

from __future__ import annotations

import asyncio
from typing import Any

import structlog

log = structlog.get_logger()
EVERY_S = 1.0


class Complaints:
    """One line a second for each kind of event at most, with how many came so far."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.counts: dict[str, int] = {}
        self._told_at: dict[str, float] = {}

    def tell(self, event: str, **words: Any) -> None:
        self.counts[event] = self.counts.get(event, 0) + 1
        now = self.loop.time()
        if now - self._told_at.get(event, -EVERY_S) >= EVERY_S:
            self._told_at[event] = now
            log.warning(event, so_far=self.counts[event], **words)
