"""The order in which a follower goes through cache hosts: the decision module's own, from what xDS carries.

No I/O, no clock. `decision.hashing` has the one formula; here is only the index that keeps, for each object
and part followed, its first host, so that a host that comes or goes touches what stands at it alone.
"""

from __future__ import annotations

from collections.abc import Iterable

from hoistplank.decision.hashing import hash_key, rendezvous_score


def key_of(object_key: str, part: int) -> int:
    """The key of an object's part, as the module ranks caches by it."""
    return hash_key(f"{object_key}/{part}")


def order(key: int, weights: dict[str, float]) -> list[str]:
    """All hosts in the order for a key; `weights`: uid -> weight above 0."""
    return sorted(weights, key=lambda uid: rendezvous_score(key, hash_key(uid), weights[uid]))


class Firsts:
    """The first host of each name that is followed, kept through hosts that come and go.

    A name's first changes only where its first went, or one came that stands before it: `came` costs a look
    at each name, `went` a new search for the names that stood there.
    """

    def __init__(self) -> None:
        self.weights: dict[str, float] = {}
        self.salts: dict[str, int] = {}
        self.keys: dict[str, int] = {}
        self.first: dict[str, tuple[float, str]] = {}
        self.at: dict[str, set[str]] = {}

    def _search(self, name: str) -> None:
        key, salts = self.keys[name], self.salts
        best = min(
            ((rendezvous_score(key, salts[uid], weight), uid) for uid, weight in self.weights.items()),
            default=(0.0, ""),
        )
        self._put(name, best)

    def _put(self, name: str, best: tuple[float, str]) -> None:
        before = self.first.get(name)
        if before is not None:
            self.at.get(before[1], set()).discard(name)
        self.first[name] = best
        self.at.setdefault(best[1], set()).add(name)

    def follow(self, name: str, key: int) -> str:
        """From now on the name's first host is kept; returns it, or "" where there is no host."""
        if name not in self.keys:
            self.keys[name] = key
            self._search(name)
        return self.first[name][1]

    def leave(self, names: Iterable[str]) -> None:
        for name in names:
            if self.keys.pop(name, None) is not None:
                self.at.get(self.first.pop(name)[1], set()).discard(name)

    def came(self, uid: str, weight: float) -> set[str]:
        """A host that may be used, or its new weight; returns the names whose first it changes."""
        if self.weights.get(uid) == weight:
            return set()
        moved = self.went(uid) if uid in self.weights else set()
        self.weights[uid], self.salts[uid] = weight, hash_key(uid)
        for name, key in self.keys.items():
            best = (rendezvous_score(key, self.salts[uid], weight), uid)
            if self.first[name][1] == "" or best < self.first[name]:
                self._put(name, best)
                moved.add(name)
        return moved

    def went(self, uid: str) -> set[str]:
        """A host that may not be used any more; returns the names whose first it was."""
        if self.weights.pop(uid, None) is None:
            return set()
        self.salts.pop(uid, None)
        moved = self.at.pop(uid, set())
        for name in moved:
            del self.first[name]
            self._search(name)
        return set(moved)
