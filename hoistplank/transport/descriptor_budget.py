"""The one count of file descriptors, over connections of clients and to cache hosts."""

from __future__ import annotations

import asyncio
import contextlib
import enum
from collections.abc import Callable

# Standard streams, the event loop's own, the listener, the change log, a file that is being read.
RESERVED_DESCRIPTORS = 24
# Between looks at a budget that is used up: a connection too young to be closed may be old enough by then.
RECHECK_S = 0.02
_MIN_TOTAL, _MIN_OF_A_KIND = 8, 4


class ConnectionKind(enum.StrEnum):
    """What a descriptor is held for; the values stand in the log."""

    CLIENT = "client"
    CACHE_HOST = "cache host"


class DescriptorBudget:
    """How many descriptors each kind of connection may hold, and does.

    Where a kind has used up its limit, its reclaimer is called: it closes the connections of that kind that
    are least missed.
    """

    def __init__(self, limit: int) -> None:
        self.total_limit = max(_MIN_TOTAL, limit - RESERVED_DESCRIPTORS)
        self.held = dict.fromkeys(ConnectionKind, 0)
        # Clients may hold two fifths of the limit; the rest stays for cache hosts, whatever clients do.
        client_limit = max(_MIN_OF_A_KIND, limit * 2 // 5)
        self.limits = {
            ConnectionKind.CLIENT: client_limit,
            ConnectionKind.CACHE_HOST: max(_MIN_OF_A_KIND, self.total_limit - client_limit),
        }
        self.reclaimers: dict[ConnectionKind, Callable[[], None]] = {}
        self.peak = 0
        self._released: asyncio.Event | None = None

    def acquire(self, kind: ConnectionKind) -> bool:
        """Counts one more where there is one left; else idle connections are closed, and theirs come back
        shortly."""
        if self.held[kind] >= self.limits[kind] or sum(self.held.values()) >= self.total_limit:
            if kind in self.reclaimers:
                self.reclaimers[kind]()
            return False
        self.held[kind] += 1
        self.peak = max(self.peak, sum(self.held.values()))
        return True

    def release(self, kind: ConnectionKind) -> None:
        """A descriptor has been closed."""
        self.held[kind] -= 1
        if self._released is not None:
            self._released.set()

    async def wait_released(self) -> None:
        """Waits until a descriptor has been released, or it is time to look again which to reclaim."""
        self._released = asyncio.Event()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RECHECK_S):
                await self._released.wait()
