"""The requirements of the fleet ahead on distribution through control replicas: at a replica, and at a
dispatcher that follows one."""

from __future__ import annotations

from math import ceil

from hoistplank.lab.scale.requirement_names import (
    CONTROL_REPLICA,
    DISPATCHER,
    KILOBYTES_A_SECOND,
    MILLISECONDS,
    PERCENT,
)
from hoistplank.lab.scale.requirements import Basis, Count, Mechanism, Requirement
from hoistplank.lab.scale.target import TARGET, Budget

REPLICATION = Mechanism("log replication with acknowledgements", "distribution/replica.py")
ADMISSION = Mechanism("log compaction, admission control of catch-ups", "distribution/catch_up.py")
PEER_EXCHANGE = Mechanism("acknowledgements exchanged between replicas", "distribution/peer_link.py")
FOLLOWING = Mechanism("log replication with acknowledgements", "distribution/follower.py")
CATCHING_UP = Mechanism("log compaction, catch-up taken whole", "distribution/follower_state.py")

# Sizes.
_own = ceil(TARGET.dispatchers / TARGET.control_machines)
_own_one_lost = ceil(TARGET.dispatchers / (TARGET.control_machines - 1))
_hour = TARGET.purges_per_hour
_peers = TARGET.control_machines - 1
OWN = Count(_own, f"{_own} followers")
OWN_ONE_LOST = Count(_own_one_lost, f"{_own_one_lost} followers (one replica lost)")
HOUR_MISSED = Count(_hour, f"{_hour:,.0f} purges missed (an hour)")
ONE_SECOND = Count(1, "a second")

# Rates, and shares of the time that a catch-up may take.
PURGE_RATE = Count(TARGET.purges_per_s, f"{TARGET.purges_per_s:g} purges/s")
DAY_RATE = Count(TARGET.changes_per_s, f"{TARGET.changes_per_s:.4f} changes/s (day)")
BURST_RATE = Count(TARGET.burst_changes_per_s, f"{TARGET.burst_changes_per_s:g} change/s (burst)")
# A row changes with each acknowledgement: each purge brings one, each second brings one more.
ROW_RATE = Count(
    (TARGET.purges_per_s + 1) * _peers, f"{TARGET.purges_per_s + 1:g} acknowledgements/s × {_peers} peers"
)
WITHIN = Count(1 / TARGET.change_within_s, f"within {TARGET.change_within_s:g} s")
OWN_WITHIN = Count(_own / TARGET.change_within_s, f"{_own} followers within {TARGET.change_within_s:g} s")

_AT_REPLICA = (
    Requirement(
        CONTROL_REPLICA,
        "purges handed on and acknowledged, one replica lost",
        "processor time of an event",
        OWN_ONE_LOST,
        PERCENT,
        REPLICATION,
        times=PURGE_RATE,
        budget=Budget.CONTROL_CPU,
    ),
    Requirement(
        CONTROL_REPLICA,
        "heartbeats, both ways",
        "processor time of a second of heartbeats",
        OWN,
        PERCENT,
        REPLICATION,
        budget=Budget.CONTROL_CPU,
        counted=True,
    ),
    Requirement(
        CONTROL_REPLICA,
        "a day's configurations",
        "processor time of a configuration",
        OWN,
        PERCENT,
        REPLICATION,
        times=DAY_RATE,
        budget=Budget.CONTROL_CPU,
        counted=True,
    ),
    Requirement(
        CONTROL_REPLICA,
        "a burst of configurations, one replica lost",
        "processor time of a configuration",
        OWN_ONE_LOST,
        PERCENT,
        REPLICATION,
        times=BURST_RATE,
        budget=Budget.CONTROL_CPU,
    ),
    Requirement(
        CONTROL_REPLICA,
        "rows told to peers, one a change",
        "processor time of rows told to a peer",
        OWN,
        PERCENT,
        PEER_EXCHANGE,
        times=ROW_RATE,
        budget=Budget.CONTROL_CPU,
        counted=True,
    ),
    Requirement(
        CONTROL_REPLICA,
        "rows taken from peers, one a change",
        "processor time of rows taken from a peer",
        OWN,
        PERCENT,
        PEER_EXCHANGE,
        times=ROW_RATE,
        budget=Budget.CONTROL_CPU,
        counted=True,
    ),
    Requirement(
        CONTROL_REPLICA,
        "bytes of rows told to peers",
        "bytes of rows to a peer",
        OWN,
        KILOBYTES_A_SECOND,
        PEER_EXCHANGE,
        times=ROW_RATE,
    ),
    Requirement(
        CONTROL_REPLICA,
        "bytes of a burst of configurations to its followers",
        "bytes of a configuration",
        OWN,
        KILOBYTES_A_SECOND,
        REPLICATION,
        times=BURST_RATE,
    ),
    Requirement(
        CONTROL_REPLICA,
        "catch-up of all its followers after an hour",
        "processor time of catch-ups after an hour",
        OWN,
        PERCENT,
        ADMISSION,
        times=WITHIN,
        budget=Budget.CONTROL_CPU,
    ),
    Requirement(
        CONTROL_REPLICA,
        "catch-up of one follower after an hour",
        "processor time of one follower's catch-up",
        HOUR_MISSED,
        MILLISECONDS,
        ADMISSION,
    ),
    Requirement(
        CONTROL_REPLICA,
        "bytes of that catch-up, all its followers",
        "bytes of one follower's catch-up",
        HOUR_MISSED,
        KILOBYTES_A_SECOND,
        ADMISSION,
        times=OWN_WITHIN,
    ),
)

_AT_DISPATCHER = (
    Requirement(
        DISPATCHER,
        "replica: processor time of purges, each acknowledged",
        "processor time of a replica's purges, each acknowledged",
        PURGE_RATE,
        PERCENT,
        FOLLOWING,
        basis=Basis.PER_EVENT,
        budget=Budget.DISPATCHER_CPU,
        counted=True,
    ),
    Requirement(
        DISPATCHER,
        "replica: processor time of heartbeats and acknowledgements",
        "processor time of heartbeats and acknowledgements",
        ONE_SECOND,
        PERCENT,
        FOLLOWING,
        basis=Basis.PER_EVENT,
        budget=Budget.DISPATCHER_CPU,
        counted=True,
    ),
    Requirement(
        DISPATCHER,
        "replica: bytes of purges",
        "bytes of a replica's purges",
        PURGE_RATE,
        KILOBYTES_A_SECOND,
        FOLLOWING,
        basis=Basis.PER_EVENT,
        budget=Budget.DISPATCHER_BYTES,
        counted=True,
    ),
    Requirement(
        DISPATCHER,
        "replica: bytes of acknowledgements of purges",
        "bytes of acknowledgements of purges",
        PURGE_RATE,
        KILOBYTES_A_SECOND,
        FOLLOWING,
        basis=Basis.PER_EVENT,
        budget=Budget.DISPATCHER_BYTES,
        counted=True,
    ),
    Requirement(
        DISPATCHER,
        "replica: bytes of heartbeats and acknowledgements, idle",
        "bytes of heartbeats and acknowledgements",
        ONE_SECOND,
        KILOBYTES_A_SECOND,
        FOLLOWING,
        basis=Basis.PER_EVENT,
        budget=Budget.DISPATCHER_BYTES,
        counted=True,
    ),
    Requirement(
        DISPATCHER,
        "replica: processor time of an hour's catch-up",
        "processor time of a catch-up from a replica",
        HOUR_MISSED,
        PERCENT,
        CATCHING_UP,
        times=WITHIN,
        budget=Budget.DISPATCHER_CPU,
    ),
    Requirement(
        DISPATCHER,
        "replica: bytes of an hour's catch-up, each purge of another object",
        "bytes of a catch-up from a replica",
        HOUR_MISSED,
        KILOBYTES_A_SECOND,
        CATCHING_UP,
        times=WITHIN,
        budget=Budget.DISPATCHER_BYTES,
    ),
    Requirement(
        DISPATCHER,
        "replica: bytes of an hour's catch-up, popular objects purged again",
        "bytes of a catch-up from a replica, popular objects purged again",
        HOUR_MISSED,
        KILOBYTES_A_SECOND,
        CATCHING_UP,
        times=WITHIN,
        budget=Budget.DISPATCHER_BYTES,
    ),
)

REPLICA_REQUIREMENTS: tuple[Requirement, ...] = (*_AT_REPLICA, *_AT_DISPATCHER)
