"""What a cache keeps: copies by rank, the lowest rank evicted first, within a rank what was used
longest ago.
"""

from __future__ import annotations

from collections import OrderedDict

Place = tuple[str, int]  # object and part
RANKS = 3


class Copy:
    """`born` is when the origin gave it out; `kb` its size."""

    __slots__ = ("born", "kb", "rank")

    def __init__(self, born: int, kb: float, rank: int) -> None:
        self.born, self.kb, self.rank = born, kb, rank


class Keep:
    """At most `most_kb` in all. A copy pushes out only its own rank or lower; where that is not enough it
    isn't kept.
    """

    __slots__ = ("_held", "_ranks", "_where", "kb", "most_kb")

    def __init__(self, most_kb: float) -> None:
        self.most_kb, self.kb = most_kb, 0.0
        self._held = [0.0] * RANKS  # kB by rank
        self._ranks: list[OrderedDict[Place, Copy]] = [OrderedDict() for _ in range(RANKS)]
        self._where: dict[Place, Copy] = {}

    def __len__(self) -> int:
        return len(self._where)

    def look(self, place: Place) -> Copy | None:
        """The copy, untouched."""
        return self._where.get(place)

    def use(self, place: Place, rank: int) -> None:
        """A hit: it is the latest of its rank, or of a new one."""
        copy = self._where[place]
        if rank and rank != copy.rank:
            del self._ranks[copy.rank - 1][place]
            self._held[copy.rank - 1] -= copy.kb
            self._held[rank - 1] += copy.kb
            copy.rank = rank
            self._ranks[rank - 1][place] = copy
        else:
            self._ranks[copy.rank - 1].move_to_end(place)

    def put(self, place: Place, born: int, kb: float, rank: int) -> bool:
        """Whether it is kept now. A copy older than the one that is held changes nothing."""
        held = self._where.get(place)
        if held is not None:
            if held.born >= born:
                return True
            self.drop(place)
        if not rank or kb > self.most_kb:
            return False
        if kb > self.most_kb - self.kb + sum(self._held[:rank]):
            return False
        for row in self._ranks[:rank]:
            while row and self.kb + kb > self.most_kb:
                self.drop(next(iter(row)))
        self._where[place] = self._ranks[rank - 1][place] = Copy(born, kb, rank)
        self.kb += kb
        self._held[rank - 1] += kb
        return True

    def drop(self, place: Place) -> None:
        copy = self._where.pop(place, None)
        if copy is not None:
            del self._ranks[copy.rank - 1][place]
            self.kb -= copy.kb
            self._held[copy.rank - 1] -= copy.kb

    def clear(self) -> None:
        for row in self._ranks:
            row.clear()
        self._where.clear()
        self.kb, self._held = 0.0, [0.0] * RANKS
