"""What a cache keeps: copies by rank, the lowest rank evicted first, within a rank what was used
longest ago.
"""

from __future__ import annotations

from collections import OrderedDict

CacheKey = tuple[str, int]  # object and part
RANK_COUNT = 3


class CachedCopy:
    """`born` is when the origin gave it out; `kb` its size."""

    __slots__ = ("created", "kb", "rank")

    def __init__(self, born: int, kb: float, rank: int) -> None:
        self.created, self.kb, self.rank = born, kb, rank


class CacheStorage:
    """At most `most_kb` in all. A copy pushes out only its own rank or lower; where that is not enough it
    isn't kept.
    """

    __slots__ = ("_used_by_rank", "_ranks", "_copies", "used_kb", "capacity_kb")

    def __init__(self, most_kb: float) -> None:
        self.capacity_kb, self.used_kb = most_kb, 0.0
        self._used_by_rank = [0.0] * RANK_COUNT  # kB by rank
        self._ranks: list[OrderedDict[CacheKey, CachedCopy]] = [OrderedDict() for _ in range(RANK_COUNT)]
        self._copies: dict[CacheKey, CachedCopy] = {}

    def __len__(self) -> int:
        return len(self._copies)

    def peek(self, place: CacheKey) -> CachedCopy | None:
        """The copy, untouched."""
        return self._copies.get(place)

    def touch(self, place: CacheKey, rank: int) -> None:
        """A hit: it is the latest of its rank, or of a new one."""
        copy = self._copies[place]
        if rank and rank != copy.rank:
            del self._ranks[copy.rank - 1][place]
            self._used_by_rank[copy.rank - 1] -= copy.kb
            self._used_by_rank[rank - 1] += copy.kb
            copy.rank = rank
            self._ranks[rank - 1][place] = copy
        else:
            self._ranks[copy.rank - 1].move_to_end(place)

    def put(self, place: CacheKey, born: int, kb: float, rank: int) -> bool:
        """Whether it is kept now. A copy older than the one that is held changes nothing."""
        held = self._copies.get(place)
        if held is not None:
            if held.created >= born:
                return True
            self.remove(place)
        if not rank or kb > self.capacity_kb:
            return False
        if kb > self.capacity_kb - self.used_kb + sum(self._used_by_rank[:rank]):
            return False
        for row in self._ranks[:rank]:
            while row and self.used_kb + kb > self.capacity_kb:
                self.remove(next(iter(row)))
        self._copies[place] = self._ranks[rank - 1][place] = CachedCopy(born, kb, rank)
        self.used_kb += kb
        self._used_by_rank[rank - 1] += kb
        return True

    def remove(self, place: CacheKey) -> None:
        copy = self._copies.pop(place, None)
        if copy is not None:
            del self._ranks[copy.rank - 1][place]
            self.used_kb -= copy.kb
            self._used_by_rank[copy.rank - 1] -= copy.kb

    def clear(self) -> None:
        for row in self._ranks:
            row.clear()
        self._copies.clear()
        self.used_kb, self._used_by_rank = 0.0, [0.0] * RANK_COUNT
