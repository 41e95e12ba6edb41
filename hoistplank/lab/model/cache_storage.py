"""The storage of a cache: copies by rank; the lowest rank is evicted first, in it the least recently used."""

from __future__ import annotations

from collections import OrderedDict

CacheKey = tuple[str, int]  # object and part
RANK_COUNT = 3


class CachedCopy:
    """`born` is when the origin gave it out; `kb` its size."""

    __slots__ = ("created", "kb", "rank")

    def __init__(self, created: int, kb: float, rank: int) -> None:
        self.created, self.kb, self.rank = created, kb, rank


class CacheStorage:
    """At most `most_kb` in all. A copy pushes out only its own rank or lower; where that is not enough it
    isn't kept.
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
        """Change the capacity; what is stored above it is evicted by the next copies that are put in."""
        self.capacity_kb = capacity_kb

    def peek(self, cache_key: CacheKey) -> CachedCopy | None:
        """The copy, untouched."""
        return self._copies.get(cache_key)

    def touch(self, cache_key: CacheKey, rank: int) -> None:
        """A hit: it is the latest of its rank, or of a new one."""
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
        """Whether it is kept now. A copy older than the one that is held changes nothing."""
        held = self._copies.get(cache_key)
        if held is not None:
            if held.created >= created:
                return True
            self.remove(cache_key)
        if not rank or kb > self.capacity_kb:
            return False
        if kb > self.capacity_kb - self.used_kb + sum(self._used_by_rank[:rank]):
            return False
        for row in self._ranks[:rank]:
            while row and self.used_kb + kb > self.capacity_kb:
                self.remove(next(iter(row)))
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
        for row in self._ranks:
            row.clear()
        self._copies.clear()
        self.used_kb, self._used_by_rank = 0.0, [0.0] * RANK_COUNT
