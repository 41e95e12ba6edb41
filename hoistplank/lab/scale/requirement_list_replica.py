"""The requirements of the fleet ahead on distribution through control replicas, beside the fan-out of purges
and the replica's tables: at a replica, and at a dispatcher that follows one."""

from __future__ import annotations

from hoistplank.lab.scale.mechanisms import (
    REPLICA_ADMISSION,
    REPLICA_CATCH_UP,
    REPLICA_FAN_OUT,
    REPLICA_FOLLOWER,
    REPLICA_PEERS,
)
from hoistplank.lab.scale.requirements import Basis, Count, Requirement
from hoistplank.lab.scale.roles import CONTROL_REPLICA, DISPATCHER
from hoistplank.lab.scale.sizes import (
    BURST_RATE,
    DAY_RATE,
    HOUR,
    KILOBYTES_A_SECOND,
    MILLISECONDS,
    PERCENT,
    PURGE_RATE,
    SHARE,
    SHARE_WITHIN,
    WITHIN,
)
from hoistplank.lab.scale.target import TARGET, Budget

_quarter = TARGET.dispatchers / (TARGET.control_machines - 1)
_peers = TARGET.control_machines - 1
SHARE_ONE_LOST = Count(_quarter, f"{_quarter:.0f} dispatchers (one replica lost)")
ONE_SECOND = Count(1, "a second")
# A row changes with each acknowledgement: each purge brings one, each second brings one more.
_acknowledgements = TARGET.purges_per_s + 1
ROW_RATE = Count(_acknowledgements * _peers, f"{_acknowledgements:g} acknowledgements/s × {_peers} peers")

_AT_REPLICA = (
    Requirement(
        CONTROL_REPLICA,
        "purges handed on and acknowledged, one replica lost",
        "processor time of an event",
        SHARE_ONE_LOST,
        PERCENT,
        REPLICA_FAN_OUT,
        times=PURGE_RATE,
        budget=Budget.CONTROL_CPU,
    ),
    Requirement(
        CONTROL_REPLICA,
        "heartbeats, both ways",
        "processor time of a second of heartbeats",
        SHARE,
        PERCENT,
        REPLICA_FAN_OUT,
        budget=Budget.CONTROL_CPU,
        counted=True,
    ),
    Requirement(
        CONTROL_REPLICA,
        "a day's configurations",
        "processor time of a configuration",
        SHARE,
        PERCENT,
        REPLICA_FAN_OUT,
        times=DAY_RATE,
        budget=Budget.CONTROL_CPU,
        counted=True,
    ),
    Requirement(
        CONTROL_REPLICA,
        "a burst of configurations, one replica lost",
        "processor time of a configuration",
        SHARE_ONE_LOST,
        PERCENT,
        REPLICA_FAN_OUT,
        times=BURST_RATE,
        budget=Budget.CONTROL_CPU,
    ),
    Requirement(
        CONTROL_REPLICA,
        "rows told to peers, one a change",
        "processor time of rows told to a peer",
        SHARE,
        PERCENT,
        REPLICA_PEERS,
        times=ROW_RATE,
        budget=Budget.CONTROL_CPU,
        counted=True,
    ),
    Requirement(
        CONTROL_REPLICA,
        "rows taken from peers, one a change",
        "processor time of rows taken from a peer",
        SHARE,
        PERCENT,
        REPLICA_PEERS,
        times=ROW_RATE,
        budget=Budget.CONTROL_CPU,
        counted=True,
    ),
    Requirement(
        CONTROL_REPLICA,
        "bytes of rows told to peers",
        "bytes of rows to a peer",
        SHARE,
        KILOBYTES_A_SECOND,
        REPLICA_PEERS,
        times=ROW_RATE,
    ),
    Requirement(
        CONTROL_REPLICA,
        "bytes of a burst of configurations to its followers",
        "bytes of a configuration",
        SHARE,
        KILOBYTES_A_SECOND,
        REPLICA_FAN_OUT,
        times=BURST_RATE,
    ),
    Requirement(
        CONTROL_REPLICA,
        "catch-up of all its followers after an hour",
        "processor time of catch-ups after an hour",
        SHARE,
        PERCENT,
        REPLICA_ADMISSION,
        times=WITHIN,
        budget=Budget.CONTROL_CPU,
    ),
    Requirement(
        CONTROL_REPLICA,
        "catch-up of one follower after an hour",
        "processor time of one follower's catch-up",
        HOUR,
        MILLISECONDS,
        REPLICA_ADMISSION,
    ),
    Requirement(
        CONTROL_REPLICA,
        "bytes of that catch-up, all its followers",
        "bytes of one follower's catch-up",
        HOUR,
        KILOBYTES_A_SECOND,
        REPLICA_ADMISSION,
        times=SHARE_WITHIN,
    ),
)

_AT_DISPATCHER = (
    Requirement(
        DISPATCHER,
        "replica: processor time of purges, each acknowledged",
        "processor time of a replica's purges, each acknowledged",
        PURGE_RATE,
        PERCENT,
        REPLICA_FOLLOWER,
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
        REPLICA_FOLLOWER,
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
        REPLICA_FOLLOWER,
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
        REPLICA_FOLLOWER,
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
        REPLICA_FOLLOWER,
        basis=Basis.PER_EVENT,
        budget=Budget.DISPATCHER_BYTES,
        counted=True,
    ),
    Requirement(
        DISPATCHER,
        "replica: processor time of an hour's catch-up",
        "processor time of a catch-up from a replica",
        HOUR,
        PERCENT,
        REPLICA_CATCH_UP,
        times=WITHIN,
        budget=Budget.DISPATCHER_CPU,
    ),
    Requirement(
        DISPATCHER,
        "replica: bytes of an hour's catch-up, each purge of another object",
        "bytes of a catch-up from a replica",
        HOUR,
        KILOBYTES_A_SECOND,
        REPLICA_CATCH_UP,
        times=WITHIN,
        budget=Budget.DISPATCHER_BYTES,
    ),
    Requirement(
        DISPATCHER,
        "replica: bytes of an hour's catch-up, popular objects purged again",
        "bytes of a catch-up from a replica, popular objects purged again",
        HOUR,
        KILOBYTES_A_SECOND,
        REPLICA_CATCH_UP,
        times=WITHIN,
        budget=Budget.DISPATCHER_BYTES,
    ),
)

REPLICA_REQUIREMENTS: tuple[Requirement, ...] = (*_AT_REPLICA, *_AT_DISPATCHER)
