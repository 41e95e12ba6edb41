"""The budget of file descriptors for connections from clients and to cache hosts."""

from __future__ import annotations

import asyncio
import contextlib
import enum
from collections.abc import Callable

# For standard streams, the event loop, the listener, the change log and a file that is being read.
RESERVED_DESCRIPTORS = 24
# Between checks of an exhausted budget: a connection that was too young to be closed may be old enough by
# then.
RECHECK_S = 0.02
_MIN_TOTAL, _MIN_PER_KIND = 8, 4


class ConnectionKind(enum.StrEnum):
    """The use of a descriptor; the values appear in the log."""

    CLIENT = "client"
    CACHE_HOST = "cache host"


class DescriptorBudget:
    """The limit and the number of held descriptors for each kind of connection.

    When a kind has reached its limit, its reclaimer is called, which closes the connections of that kind that
    are least needed.
    """

    def __init__(self, limit: int) -> None:
        self.total_limit = max(_MIN_TOTAL, limit - RESERVED_DESCRIPTORS)
        self.held = dict.fromkeys(ConnectionKind, 0)
        # Clients may hold two fifths of the limit; the rest is reserved for cache hosts.
        client_limit = max(_MIN_PER_KIND, limit * 2 // 5)
        self.limits = {
            ConnectionKind.CLIENT: client_limit,
            ConnectionKind.CACHE_HOST: max(_MIN_PER_KIND, self.total_limit - client_limit),
        }
        self.reclaimers: dict[ConnectionKind, Callable[[], None]] = {}
        self.peak = 0
        self._released: asyncio.Event | None = None

    def acquire(self, kind: ConnectionKind) -> bool:
        """Counts one more descriptor and returns True if the limits allow it; otherwise calls the reclaimer,
        which closes idle connections, and returns False: their descriptors are released shortly."""
        if self.held[kind] >= self.limits[kind] or sum(self.held.values()) >= self.total_limit:
            if kind in self.reclaimers:
                self.reclaimers[kind]()
            return False
        self.held[kind] += 1
        self.peak = max(self.peak, sum(self.held.values()))
        return True

    def release(self, kind: ConnectionKind) -> None:
        """Counts a descriptor as closed."""
        self.held[kind] -= 1
        if self._released is not None:
            self._released.set()

    async def wait_released(self) -> None:
        """Waits until a descriptor is released, for RECHECK_S at most."""
        self._released = asyncio.Event()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RECHECK_S):
                await self._released.wait()
