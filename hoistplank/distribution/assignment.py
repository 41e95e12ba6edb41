"""Which control replica a dispatcher follows. Decision logic: pure functions, chance is handed in.

Rendezvous hashing over the replicas of the dispatcher's own region, then over the others: each dispatcher
knows its order without asking anyone, and one that is lost leaves its dispatchers evenly to the rest. A
bound on a replica's load evens out what regions of different size and chance leave.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import NamedTuple

from hoistplank.decision.hashing import hash_key, rendezvous_score

# A replica takes no more than its even share and a tenth of that.
LOAD_PERCENT = 110
# Below that many dispatchers a replica takes all: at a start few are known, and a share of few refuses most.
FREE_LOAD = 16
RETURN_US = 60_000_000  # over which dispatchers go back to a replica that returned


class Replica(NamedTuple):
    """A control replica, as dispatchers are told of it."""

    name: str
    region: str
    address: tuple[str, int] = ("", 0)


def preference(dispatcher: str, region: str, replicas: Iterable[Replica]) -> tuple[Replica, ...]:
    """All replicas in the order in which `dispatcher` tries them: those of its region first."""
    key = hash_key(dispatcher)

    def place(replica: Replica) -> tuple[bool, float, str]:
        return replica.region != region, rendezvous_score(key, hash_key(replica.name), 1.0), replica.name

    return tuple(sorted(replicas, key=place))


def load_bound(total: int, living: int) -> int:
    """How many of `total` dispatchers a replica follows at most, of `living` replicas."""
    return max(FREE_LOAD, -(-LOAD_PERCENT * total // (100 * max(1, living))))


def may_accept(own: int, total: int, living: int) -> bool:
    """Whether a replica that has `own` dispatchers takes one more.

    `total`: the dispatchers known in the fleet, with the one that asks; `living`: replicas heard, with this
    one.
    """
    return own < load_bound(total, living)


def return_delay_us(chance: Random) -> int:
    """How long a dispatcher waits before it goes back to a replica that returned."""
    return int(chance.random() * RETURN_US)
