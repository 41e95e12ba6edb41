"""Builds a replica's response to an operator from its tables. No I/O."""

from __future__ import annotations

from typing import Protocol

from msgspec.structs import replace

from hoistplank.distribution.acknowledgements import AcknowledgementTable
from hoistplank.distribution.catch_up import CatchUpQueue
from hoistplank.distribution.change_status import (
    ChangeKind,
    ChangeStatus,
    MissingDispatcher,
    SilentDispatcher,
)
from hoistplank.distribution.dispatcher_session import DispatcherSession
from hoistplank.distribution.log_follower import LogFollower
from hoistplank.distribution.messages import StatusRequest, VersionFields
from hoistplank.distribution.peer_link import PeerLink
from hoistplank.distribution.state import ReplicatedState
from hoistplank.distribution.status import (
    ChangeRow,
    MissingRow,
    PeerRow,
    ReplicaLoad,
    SilentRow,
    StatusResponse,
)
from hoistplank.distribution.unreadable_changes import UnreadableChanges
from hoistplank.distribution.versions import Version

DISPATCHER_SILENCE_US = 7_000_000  # a connected dispatcher sends something each second


class ReportingReplica(Protocol):
    """The interface of a replica that a status report uses."""

    name: str
    state: ReplicatedState
    table: AcknowledgementTable
    queue: CatchUpQueue[DispatcherSession]
    sessions: dict[str, DispatcherSession]
    links: list[PeerLink]
    log_follower: LogFollower
    unreadable_changes: UnreadableChanges
    slow_readers: int

    @property
    def region(self) -> str:
        """The region of this replica."""

    def now(self) -> int:
        """Returns the time in microseconds."""


def replica_status(replica: ReportingReplica, request: StatusRequest) -> StatusResponse:
    """Returns a replica's version and what is in force at dispatchers, also for one requested change."""
    now, state = replica.now(), replica.state
    fleet = replica.table.fleet_status(now, state.version, state.configuration_version, DISPATCHER_SILENCE_US)
    version = request.version.to_version() if request.version is not None else None
    return StatusResponse(
        replica=replica.name,
        region=replica.region,
        version=VersionFields(*state.version),
        configuration=VersionFields(*state.configuration_version),
        log_heard_ago_us=replica.log_follower.silence_us(),
        connected=fleet.connected,
        load=_load(replica),
        events=_change_row(now, fleet.events),
        configurations=_change_row(now, fleet.configuration),
        silent=[_silent_row(now, silent) for silent in fleet.silent],
        peers=[_peer_row(now, link) for link in replica.links],
        change=_requested_change(replica, now, version) if version is not None else None,
    )


def _load(replica: ReportingReplica) -> ReplicaLoad:
    size = replica.state.size()
    return ReplicaLoad(
        dispatchers=len(replica.sessions),
        catching_up=replica.queue.active_count,
        waiting=replica.queue.waiting_count,
        hosts=size.hosts,
        purges=size.purges,
        bytes=size.bytes,
        slow_readers=replica.slow_readers,
    )


def _requested_change(replica: ReportingReplica, now_us: int, version: Version) -> ChangeRow:
    is_configuration = replica.state.is_configuration(version)
    kind = ChangeKind.CONFIGURATION if is_configuration else ChangeKind.EVENT
    row = _change_row(now_us, replica.table.change_status(version, kind))
    reason = replica.unreadable_changes.reason(version)
    if reason is None:
        return row
    # All dispatchers are past its number, but none was ever sent it: it must not count as in force.
    return replace(row, in_force=0, unreadable=reason)


def _change_row(now_us: int, status: ChangeStatus) -> ChangeRow:
    missing = [_missing_row(now_us, dispatcher) for dispatcher in status.missing]
    return ChangeRow(VersionFields(*status.version), status.in_force, status.total, missing)


def _missing_row(now_us: int, missing: MissingDispatcher) -> MissingRow:
    return MissingRow(
        dispatcher=missing.dispatcher,
        version=VersionFields(*missing.version),
        heard_ago_us=max(0, now_us - missing.last_heard_us),
        connected=missing.is_connected,
        refused=missing.refused,
    )


def _silent_row(now_us: int, silent: SilentDispatcher) -> SilentRow:
    return SilentRow(silent.dispatcher, max(0, now_us - silent.last_heard_us))


def _peer_row(now_us: int, link: PeerLink) -> PeerRow:
    return PeerRow(link.peer.name, now_us - link.last_heard_us if link.is_alive else None)
