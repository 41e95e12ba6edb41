"""Ranks cache hosts for followers as the decision module does, from data that xDS carries.

No I/O, no clock. The formula is in `decision.hashing`; this module keeps an index of the first host of each
followed object and part, so that a host that is added or removed affects only the names that it is first for.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from hoistplank.decision.hashing import hash_key, rendezvous_score


def ranking_key(object_key: str, part: int) -> int:
    """Returns the key of an object's part, by which the decision module ranks caches."""
    return hash_key(f"{object_key}/{part}")


def ranked_hosts(key: int, weights: dict[str, float]) -> list[str]:
    """Returns all hosts in the order for a key; `weights`: uid -> weight above 0."""
    return sorted(weights, key=lambda uid: rendezvous_score(key, hash_key(uid), weights[uid]))


class RankedHost(NamedTuple):
    """A host with its rank for some key; the lowest rank is first."""

    rank: float
    uid: str


NO_HOST = RankedHost(0.0, "")


class RankingCache:
    """The first host of each followed name, maintained as hosts are added and removed.

    A name's first host changes only if that host is removed or one that ranks before it is added: `add_host`
    computes one rank for each name, `remove_host` ranks all hosts again for the names that lost their first.
    """

    def __init__(self) -> None:
        self.weights: dict[str, float] = {}  # by uid
        self.first_hosts: dict[str, RankedHost] = {}  # by name
        self.names_by_host: dict[str, set[str]] = {}  # by uid: the names whose first host it is
        self._host_hashes: dict[str, int] = {}  # by uid
        self._keys: dict[str, int] = {}  # by name

    def _find_first(self, name: str) -> None:
        key, hashes = self._keys[name], self._host_hashes
        ranked = (
            RankedHost(rendezvous_score(key, hashes[uid], weight), uid)
            for uid, weight in self.weights.items()
        )
        self._set_first(name, min(ranked, default=NO_HOST))

    def _set_first(self, name: str, first: RankedHost) -> None:
        previous = self.first_hosts.get(name)
        if previous is not None:
            self.names_by_host.get(previous.uid, set()).discard(name)
        self.first_hosts[name] = first
        self.names_by_host.setdefault(first.uid, set()).add(name)

    def follow(self, name: str, key: int) -> str:
        """Starts maintaining the name's first host; returns its uid, "" if there is no host."""
        if name not in self._keys:
            self._keys[name] = key
            self._find_first(name)
        return self.first_hosts[name].uid

    def unfollow(self, names: Iterable[str]) -> None:
        """Stops maintaining the first hosts of these names."""
        for name in names:
            if self._keys.pop(name, None) is not None:
                self.names_by_host.get(self.first_hosts.pop(name).uid, set()).discard(name)

    def add_host(self, uid: str, weight: float) -> set[str]:
        """Adds a usable host or changes its weight; returns the names whose first host changed."""
        if self.weights.get(uid) == weight:
            return set()
        changed = self.remove_host(uid) if uid in self.weights else set()
        self.weights[uid] = weight
        self._host_hashes[uid] = hash_key(uid)
        for name, key in self._keys.items():
            ranked = RankedHost(rendezvous_score(key, self._host_hashes[uid], weight), uid)
            if self.first_hosts[name].uid == "" or ranked < self.first_hosts[name]:
                self._set_first(name, ranked)
                changed.add(name)
        return changed

    def remove_host(self, uid: str) -> set[str]:
        """Removes a host that is no longer usable; returns the names whose first host it was."""
        if self.weights.pop(uid, None) is None:
            return set()
        self._host_hashes.pop(uid, None)
        changed = self.names_by_host.pop(uid, set())
        for name in changed:
            del self.first_hosts[name]
            self._find_first(name)
        return set(changed)
