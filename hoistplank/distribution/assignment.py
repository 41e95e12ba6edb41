"""Assignment of dispatchers to control replicas. Decision logic: pure functions; randomness is passed in.

Rendezvous hashing over the replicas of the dispatcher's own region, then over the others: each dispatcher
computes its order without communication, and the dispatchers of a lost replica spread evenly over the rest.
A bound on a replica's load evens out regions of different size and the spread of the hash.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import NamedTuple

from hoistplank.decision.hashing import hash_key, rendezvous_score

# A replica accepts its even share and a tenth more.
MAX_LOAD_PERCENT = 110
# Up to this many dispatchers are always accepted: after a start few are known, and an even share of few
# would reject most of the fleet.
UNBOUNDED_LOAD = 16
RETURN_PERIOD_US = 60_000_000  # over which dispatchers return to a preferred replica that is back


class ReplicaAddress(NamedTuple):
    """Name, region and address of a control replica, as configured in dispatchers and peers."""

    name: str
    region: str
    address: tuple[str, int] = ("", 0)


def preference(
    dispatcher: str, region: str, replicas: Iterable[ReplicaAddress]
) -> tuple[ReplicaAddress, ...]:
    """Returns all replicas in the order in which `dispatcher` tries them, those of its region first."""
    key = hash_key(dispatcher)

    def rank(replica: ReplicaAddress) -> tuple[bool, float, str]:
        return replica.region != region, rendezvous_score(key, hash_key(replica.name), 1.0), replica.name

    return tuple(sorted(replicas, key=rank))


def load_bound(total: int, living: int) -> int:
    """Returns how many of `total` dispatchers may follow one of `living` replicas."""
    return max(UNBOUNDED_LOAD, -(-MAX_LOAD_PERCENT * total // (100 * max(1, living))))


def may_accept(own: int, total: int, living: int) -> bool:
    """Returns True if a replica that has `own` dispatchers accepts one more.

    `total`: the known dispatchers of the fleet, including the new one; `living`: the reachable replicas,
    including this one.
    """
    return own < load_bound(total, living)


def return_delay_us(random: Random) -> int:
    """Returns the wait before a dispatcher checks for a preferred replica, uniform over the period."""
    return int(random.random() * RETURN_PERIOD_US)
