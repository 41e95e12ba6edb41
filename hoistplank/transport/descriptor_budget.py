"""The one count of descriptors, over clients, cache hosts and the change log."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

# Standard streams, the event loop's own, the listener, the change log, a file that is being read.
OWN = 24
LOOK_S = 0.02  # between looks at a full ledger: a connection that was too young to go may go by then


class Ledger:
    """Who holds how many descriptors. When a kind has its share, those of it that are least missed go."""

    def __init__(self, limit: int) -> None:
        self.room = max(8, limit - OWN)
        self.held = {"client": 0, "cache host": 0}
        # Clients may hold a third of the limit; the rest stays for cache hosts, whatever clients do.
        clients = max(4, limit * 2 // 5)
        self.most = {"client": clients, "cache host": max(4, self.room - clients)}
        self.reclaimers: dict[str, Callable[[], None]] = {}
        self.peak = 0
        self._freed: asyncio.Event | None = None

    def take(self, kind: str) -> bool:
        """Counts one more, if there is room; else idle connections go, and their room comes back shortly."""
        if self.held[kind] >= self.most[kind] or sum(self.held.values()) >= self.room:
            if kind in self.reclaimers:
                self.reclaimers[kind]()
            return False
        self.held[kind] += 1
        self.peak = max(self.peak, sum(self.held.values()))
        return True

    def give(self, kind: str) -> None:
        self.held[kind] -= 1
        if self._freed is not None:
            self._freed.set()

    async def freed(self) -> None:
        """Waits until a descriptor has come back, or it is time to look again who could go."""
        self._freed = asyncio.Event()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LOOK_S):
                await self._freed.wait()
