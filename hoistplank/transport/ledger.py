"""The one count of descriptors, over clients, cache hosts and the change log."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

# Standard streams, the event loop's own, the listener, the change log, a file that is being read.
OWN = 24


class Ledger:
    """Who holds how many descriptors. When it is full, idle connections are asked to go first."""

    def __init__(self, limit: int) -> None:
        self.room = max(8, limit - OWN)
        self.held = {"client": 0, "cache host": 0}
        # Clients may hold a third of the limit; the rest stays for cache hosts, whatever clients do.
        self.most = {"client": max(4, limit * 2 // 5), "cache host": self.room}
        self.reclaimers: list[Callable[[], None]] = []
        self.peak = 0
        self._freed: asyncio.Event | None = None

    def take(self, kind: str) -> bool:
        """Counts one more, if there is room; else idle connections go, and their room comes back shortly."""
        if self.held[kind] >= self.most[kind] or sum(self.held.values()) >= self.room:
            for reclaim in self.reclaimers:
                reclaim()
            return False
        self.held[kind] += 1
        self.peak = max(self.peak, sum(self.held.values()))
        return True

    def give(self, kind: str) -> None:
        self.held[kind] -= 1
        if self._freed is not None:
            self._freed.set()

    async def freed(self) -> None:
        """Waits until a descriptor has come back."""
        self._freed = asyncio.Event()
        await self._freed.wait()
