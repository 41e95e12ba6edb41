"""The bound on what clients make this process hold: unread input, requests, and answers not read by them."""

from __future__ import annotations

import resource
from collections.abc import Iterable
from typing import Protocol

# Of the memory limit: all that clients may have held, and what is left to them where the program itself
# needs most of the limit.
MAX_SHARE, MIN_SHARE = 1 / 4, 1 / 32
# Of what the program itself leaves; the rest is for copies that are made on the way, and for cache hosts.
HEADROOM_SHARE = 1 / 2
HERD_SHARE = 1 / 2  # of the clients' bound, and in addition to it
CONNECTION_BYTES = 4_096  # of a client's connection that holds nothing
# Once the bound is exceeded, so much of it is freed at once: a search for each further byte would cost the
# core.
RELEASED_SHARE = 1 / 4
MIN_BLAME = 1 / 2  # of what a client holds in the mean: with less, it releases nothing
# Above this multiple of the bound, nobody is spared any more.
URGENT_FACTOR = 2


def client_memory_bytes(memory_limit_bytes: int, resident_bytes: int, max_connections: int) -> int:
    """Returns the bound for a program that takes `resident_bytes` before it serves."""
    headroom_bytes = memory_limit_bytes - resident_bytes - max_connections * CONNECTION_BYTES
    wanted = min(memory_limit_bytes * MAX_SHARE, headroom_bytes * HEADROOM_SHARE)
    return int(max(memory_limit_bytes * MIN_SHARE, wanted))


def herd_memory_bytes(client_bytes: int) -> int:
    """Returns the bound on what is remembered of objects, whose names clients choose."""
    return int(client_bytes * HERD_SHARE)


def resident_bytes() -> int:
    """Returns the resident memory of this process, 0 if the system doesn't report it."""
    try:
        with open("/proc/self/statm", encoding="ascii") as statm:
            return int(statm.read().split()[1]) * resource.getpagesize()
    except (OSError, ValueError, IndexError):
        return 0


class MemoryHolder(Protocol):
    """A client session, as far as memory is concerned."""

    def held_bytes(self) -> int:
        """Returns the bytes that this client makes the process hold now."""

    def release_priority(self, now: float) -> float:
        """Returns how much is gained by releasing this client's memory: higher is sooner."""

    def release_memory(self, now: float, *, is_urgent: bool) -> None:
        """Releases what this client holds; unless it is urgent, only if this client is to blame for it."""


class ClientMemory:
    """The bytes that all clients hold, counted as they change, and released above `limit_bytes`."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._counted: dict[MemoryHolder, int] = {}
        self._is_releasing = False

    def update(self, holder: MemoryHolder) -> bool:
        """Counts what a client holds now; returns True if the bound is exceeded by more than before."""
        held = holder.held_bytes()
        more = held - self._counted.get(holder, 0)
        self.held_bytes += more
        if held:
            self._counted[holder] = held
        else:
            self._counted.pop(holder, None)
        return more > 0 and self.held_bytes > self.limit_bytes

    def remove(self, holder: MemoryHolder) -> None:
        """Counts a client as gone."""
        self.held_bytes -= self._counted.pop(holder, 0)

    def release(self, now: float) -> None:
        """Releases memory of those clients by which most is gained, until a part of the bound is free."""
        if self._is_releasing:
            return  # called from a client that is being released
        self._is_releasing = True
        try:
            self._count_again(list(self._counted))
            if self.held_bytes <= self.limit_bytes:
                return
            self._release_until(self.limit_bytes * (1 - RELEASED_SHARE), now, is_urgent=False)
            self._release_until(self.limit_bytes * URGENT_FACTOR, now, is_urgent=True)
        finally:
            self._is_releasing = False

    def _release_until(self, target_bytes: float, now: float, *, is_urgent: bool) -> None:
        if self.held_bytes <= target_bytes:
            return
        # Those that hold little are not to blame, and little is gained by them.
        min_held = self.held_bytes / len(self._counted) * MIN_BLAME
        holders = [holder for holder, held in self._counted.items() if held >= min_held]
        for holder in sorted(holders, key=lambda holder: holder.release_priority(now), reverse=True):
            if self.held_bytes <= target_bytes:
                break
            holder.release_memory(now, is_urgent=is_urgent)
            self._count_again((holder,))

    def _count_again(self, holders: Iterable[MemoryHolder]) -> None:
        """Counts clients of which a part may have been written to the system since."""
        for holder in holders:
            self.update(holder)
