"""What carries the figures of the page: mechanisms by their standard names, with their modules."""

from __future__ import annotations

from hoistplank.lab.scale.requirements import Mechanism

LOG_FOLLOWING = Mechanism("replicated log, resumed by sequence number", "routing/endpoint_watcher.py")
LOG_FAN_OUT = Mechanism("fan-out of the log, a cursor per follower", "fakes/change_log.py")
HOST_TABLE = Mechanism("full copy of the membership list", "decision/hosts.py")
TOMBSTONES = Mechanism("tombstones with a horizon", "decision/purges.py")
OBJECT_TABLE = Mechanism("recency cache, 10 s idle expiry", "decision/herds.py")
REQUEST_TABLE = Mechanism("table of open requests, load shedding above it", "routing/router_task.py")
CONNECTION_POOL = Mechanism("connection pool", "transport/pool.py")
CONFIGURATION = Mechanism(
    "versioned configuration, checked whole before it is taken", "distribution/configuration_applier.py"
)
XDS_RESOURCES = Mechanism("xDS: state of the world per resource", "xds/resources.py")
XDS_STREAMS = Mechanism("xDS: subscription and acknowledgement per stream", "xds/follower.py")
PROXYING = Mechanism("store and forward in one process", "routing/frontend.py")
LOG_REPLAY = Mechanism(
    "replay of every event, back-pressure per follower: **no compaction**", "fakes/change_log.py"
)
LOG_STORAGE = Mechanism("log without retention", "fakes/change_log.py")
REPLICA_FAN_OUT = Mechanism("log replication with acknowledgements", "distribution/replica.py")
REPLICA_STATE = Mechanism("log compaction, a catch-up by version", "distribution/state.py")
REPLICA_TABLE = Mechanism("acknowledgement table", "distribution/acknowledgements.py")
REPLICA_FOLLOWING = Mechanism("versions in force, never going back", "distribution/follower_state.py")
REPLICA_ADMISSION = Mechanism("admission control of catch-ups", "distribution/catch_up.py")
REPLICA_PEERS = Mechanism("acknowledgements exchanged between replicas", "distribution/peer_link.py")
REPLICA_FOLLOWER = Mechanism("log replication with acknowledgements", "distribution/follower.py")
REPLICA_CATCH_UP = Mechanism("log compaction, taken whole", "distribution/follower_state.py")
RANKING = Mechanism("weighted rendezvous hashing", "decision/ranking.py")
