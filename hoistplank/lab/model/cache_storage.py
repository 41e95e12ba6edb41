"""Storage of a simulated cache; evicts the lowest rank first, and within a rank the least recently used."""

from __future__ import annotations

from collections import OrderedDict

CacheKey = tuple[str, int]  # object and part
RANK_COUNT = 3


class CachedCopy:
    """A stored copy: when the origin sent it (us), its size in kB and its eviction rank (from 1)."""

    __slots__ = ("created", "kb", "rank")

    def __init__(self, created: int, kb: float, rank: int) -> None:
        self.created, self.kb, self.rank = created, kb, rank


class CacheStorage:
    """Stores copies of at most `capacity_kb` in all.

    A new copy evicts only copies of its own rank or lower; it is not stored if that frees too little.
    """

    __slots__ = ("_copies", "_ranks", "_used_by_rank", "capacity_kb", "used_kb")

    def __init__(self, capacity_kb: float) -> None:
        self.capacity_kb, self.used_kb = capacity_kb, 0.0
        self._used_by_rank = [0.0] * RANK_COUNT  # kB by rank
        self._ranks: list[OrderedDict[CacheKey, CachedCopy]] = [OrderedDict() for _ in range(RANK_COUNT)]
        self._copies: dict[CacheKey, CachedCopy] = {}

    def __len__(self) -> int:
        return len(self._copies)

    def set_capacity(self, capacity_kb: float) -> None:
        """Change the capacity; copies beyond a smaller one are evicted as new copies are stored."""
        self.capacity_kb = capacity_kb

    def peek(self, cache_key: CacheKey) -> CachedCopy | None:
        """Return the copy without marking it as used; None if it is not stored."""
        return self._copies.get(cache_key)

    def touch(self, cache_key: CacheKey, rank: int) -> None:
        """Mark a copy as the most recently used, in its own rank or in `rank` where that is not 0."""
        copy = self._copies[cache_key]
        if rank and rank != copy.rank:
            del self._ranks[copy.rank - 1][cache_key]
            self._used_by_rank[copy.rank - 1] -= copy.kb
            self._used_by_rank[rank - 1] += copy.kb
            copy.rank = rank
            self._ranks[rank - 1][cache_key] = copy
        else:
            self._ranks[copy.rank - 1].move_to_end(cache_key)

    def put(self, cache_key: CacheKey, created: int, kb: float, rank: int) -> bool:
        """Store a copy, unless a newer one is stored; return True if the object part is stored afterwards."""
        stored = self._copies.get(cache_key)
        if stored is not None:
            if stored.created >= created:
                return True
            self.remove(cache_key)
        if not rank or kb > self.capacity_kb:
            return False
        if kb > self.capacity_kb - self.used_kb + sum(self._used_by_rank[:rank]):
            return False
        for copies in self._ranks[:rank]:
            while copies and self.used_kb + kb > self.capacity_kb:
                self.remove(next(iter(copies)))
        self._copies[cache_key] = self._ranks[rank - 1][cache_key] = CachedCopy(created, kb, rank)
        self.used_kb += kb
        self._used_by_rank[rank - 1] += kb
        return True

    def remove(self, cache_key: CacheKey) -> None:
        """Remove a copy, if there is one."""
        copy = self._copies.pop(cache_key, None)
        if copy is not None:
            del self._ranks[copy.rank - 1][cache_key]
            self.used_kb -= copy.kb
            self._used_by_rank[copy.rank - 1] -= copy.kb

    def clear(self) -> None:
        """Remove all copies."""
        for copies in self._ranks:
            copies.clear()
        self._copies.clear()
        self.used_kb, self._used_by_rank = 0.0, [0.0] * RANK_COUNT
