"""A control replica: follows the change log, forwards its events to dispatchers, and tracks what is in force.

Its only state is in memory: at a start it reads the change log from the beginning, and its peers and
dispatchers report what is in force. It works alone if its peers are down.
"""

from __future__ import annotations

import asyncio
import resource
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

import structlog

from hoistplank.distribution.acknowledgements import AcknowledgementTable, Registration
from hoistplank.distribution.assignment import ReplicaAddress, may_accept
from hoistplank.distribution.catch_up import CatchUpQueue
from hoistplank.distribution.dispatcher_session import DispatcherSession, SessionPhase
from hoistplank.distribution.log_follower import LogFollower
from hoistplank.distribution.messages import (
    Acknowledgement,
    FollowRequest,
    ReplicatedEvent,
    StatusRequest,
)
from hoistplank.distribution.peer_link import PeerLink, PeerSession
from hoistplank.distribution.request_connection import RequestConnection
from hoistplank.distribution.state import ReplicatedState
from hoistplank.distribution.status import StatusResponse
from hoistplank.distribution.status_report import replica_status
from hoistplank.distribution.unreadable_changes import UnreadableChanges
from hoistplank.distribution.versions import Version
from hoistplank.protocol.errors import ProtocolError
from hoistplank.routing.clock import Clock
from hoistplank.routing.endpoint_watcher import SILENCE_TIMEOUT_S
from hoistplank.routing.rate_limited_log import RateLimitedLog
from hoistplank.transport.descriptor_budget import ConnectionKind, DescriptorBudget
from hoistplank.transport.listener import Listener

log = structlog.get_logger()
TICK_S = 0.05
HEARTBEAT_S = 1.0
PEER_CHANGES_S = 0.1
# While the change log is silent, newer events may exist: a heartbeat would wrongly claim that none do.
LOG_SILENCE_US = int(SILENCE_TIMEOUT_S * 1e6)
RETENTION_US = 86_400_000_000  # how long a disconnected dispatcher is still listed as missing
MAX_DESCRIPTORS = 8_192


@dataclass(frozen=True)
class ReplicaSettings:
    """Settings of a replica at its start; `purge_horizon_us`: for how long a purge is forwarded."""

    name: str
    listen: tuple[str, int]
    changelog: tuple[str, int]
    purge_horizon_us: int
    region: str = ""
    peers: tuple[ReplicaAddress, ...] = ()
    retention_us: int = RETENTION_US
    seed: int = 0
    queue: Callable[[], CatchUpQueue[DispatcherSession]] = field(default=CatchUpQueue)


class ControlReplica:
    """One control replica; `run` serves until it is cancelled."""

    def __init__(self, settings: ReplicaSettings, clock: Clock | None = None) -> None:
        self.settings = settings
        self.name = settings.name
        self.clock = clock or Clock()
        self.state = ReplicatedState(settings.purge_horizon_us)
        self.table = AcknowledgementTable(settings.retention_us)
        self.queue = settings.queue()
        self.slow_readers = 0  # connections closed because the dispatcher read too slowly
        self.unreadable_changes = UnreadableChanges()
        self.rate_limited_log = RateLimitedLog()
        self.random = Random(f"{settings.seed} {settings.name}")
        self.log_follower = LogFollower(self, settings.changelog, self.random, self.clock)
        self.links: list[PeerLink] = []
        self.follow_peers(settings.peers)
        self.connections: dict[RequestConnection, None] = {}
        self.sessions: dict[str, DispatcherSession] = {}  # by dispatcher
        self.peer_sessions: dict[PeerSession, None] = {}
        soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self.descriptors = DescriptorBudget(min(soft_limit, MAX_DESCRIPTORS))
        self.listener = Listener(settings.listen, self.descriptors, self._connection_accepted)

    @property
    def address(self) -> tuple[str, int]:
        """The address that it listens on."""
        host, port = self.listener.sock.getsockname()[:2]
        return str(host), int(port)

    def now(self) -> int:
        """Returns the time in microseconds."""
        return self.clock.now()

    @property
    def region(self) -> str:
        """The region of this replica."""
        return self.settings.region

    def follow_peers(self, peers: Iterable[ReplicaAddress]) -> None:
        """Sets the other replicas; to be called before it runs."""
        self.links = [PeerLink(self, peer, self.random) for peer in peers]

    async def run(self) -> None:
        """Serves until it is cancelled or one of its tasks fails, whose exception is then raised."""
        tasks = [
            asyncio.create_task(self.listener.run(), name="listener"),
            asyncio.create_task(self.log_follower.run(), name="change log"),
            asyncio.create_task(self._run_timers(), name="ticks"),
            *(asyncio.create_task(link.run(), name=f"peer {link.peer.name}") for link in self.links),
        ]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await self._close_connections()

    async def _close_connections(self) -> None:
        tasks = [connection.task for connection in self.connections]
        for connection in list(self.connections):
            connection.close()
        await asyncio.gather(*tasks, return_exceptions=True)

    # The change log.

    def apply_event(self, event: ReplicatedEvent) -> None:
        """Applies an event of the change log and forwards it to all dispatchers that are up to date."""
        previous = self.state.version
        if not self.state.apply(self.now(), event):
            return
        log.info("change log event applied", version=str(event.version), **_log_fields(event))
        if not self.state.is_listed:
            return
        data = b"".join(self.state.lines_since(previous))
        for session in list(self.sessions.values()):
            session.send_event(previous, data)

    def report_unreadable(self, version: Version, reason: str) -> None:
        """Records that a configuration of the change log can't be read."""
        log.error("configuration of the change log can't be read", version=str(version), wrong=reason)
        self.unreadable_changes.add(version, reason)

    def is_log_current(self) -> bool:
        """Returns True if this replica knows that nothing is newer than what it holds.

        A log that restarted without a new epoch does send events, but they count as old.
        """
        silence_us = self.log_follower.silence_us()
        is_silent = silence_us is None or silence_us > LOG_SILENCE_US
        return not is_silent and self.log_follower.version >= self.state.version

    # Connections.

    def _connection_accepted(self, sock: socket.socket, peer: str) -> None:  # noqa: ARG002 Listener's callback
        self.connections[RequestConnection(self, sock)] = None

    def connection_closed(self, connection: RequestConnection) -> None:
        """Removes a connection that has ended."""
        self.connections.pop(connection, None)
        self.descriptors.release(ConnectionKind.CLIENT)
        if connection.peer is not None:
            self.peer_sessions.pop(connection.peer, None)
        session = connection.dispatcher
        if session is None:
            return
        self.queue.remove(session)
        self.table.disconnect(session.name, session.request.incarnation)
        if self.sessions.get(session.name) is session:
            del self.sessions[session.name]

    def rejection(self, request: FollowRequest) -> str:
        """Returns why this replica does not accept a dispatcher now; empty if it does."""
        if not (self.state.is_listed and self.log_follower.is_caught_up()):
            return "the change log has not been read yet"
        known = self.table.latest_incarnation(request.dispatcher)
        if known is not None and known > request.incarnation:
            return (
                f"incarnation {known} of {request.dispatcher} is known, the request has {request.incarnation}"
            )
        if request.dispatcher in self.sessions:
            return ""  # it reconnects: it is counted already
        living = 1 + sum(link.is_alive for link in self.links)
        if not may_accept(len(self.sessions), self.table.connected_count() + 1, living):
            return (
                f"{len(self.sessions)} dispatchers follow this replica, and {living} replicas are reachable"
            )
        return ""

    def accept(self, session: DispatcherSession) -> None:
        """Registers a dispatcher and starts sending to it; raises ProtocolError if it can't follow."""
        registration = self.table.register(self.now(), self.name, session.request)
        if registration is not Registration.ACCEPTED:
            raise ProtocolError(f"{session.name} can't follow: {registration.value}")
        earlier = self.sessions.get(session.name)
        self.sessions[session.name] = session
        if earlier is not None:
            earlier.connection.close()
        session.start()
        if session.phase is SessionPhase.LIVE and self.is_log_current():
            session.send_heartbeat()

    def acknowledge(self, session: DispatcherSession, acknowledgement: Acknowledgement) -> None:
        """Records what a dispatcher has in force, and logs a new refusal."""
        incarnation = session.request.incarnation
        is_accepted = self.table.acknowledge(self.now(), session.name, incarnation, acknowledgement)
        refusal = acknowledgement.refusal
        if is_accepted and refusal is not None and refusal != session.last_refusal:
            version = str(refusal.version.to_version())
            log.warning(
                "configuration refused by a dispatcher",
                version=version,
                by=session.name,
                reason=refusal.reason,
            )
            session.last_refusal = refusal

    def count_slow_reader(self) -> None:
        """Counts a connection that was closed because the dispatcher reads too slowly."""
        self.slow_readers += 1

    # Timers.

    async def _run_timers(self) -> None:
        loop = asyncio.get_running_loop()
        heartbeat_at = peers_at = loop.time()
        while True:
            await asyncio.sleep(TICK_S)
            self.log_follower.check_suspension()
            self._schedule_catch_ups()
            if loop.time() >= peers_at:
                peers_at = loop.time() + PEER_CHANGES_S
                for peer in list(self.peer_sessions):
                    peer.send_changes()
            if loop.time() >= heartbeat_at:
                heartbeat_at = loop.time() + HEARTBEAT_S
                self._run_every_second()

    def _schedule_catch_ups(self) -> None:
        now = self.now()
        for session in self.queue.remove_overdue(now):
            self.count_slow_reader()
            log.warning("dispatcher receives its catch-up too slowly, connection closed", peer=session.name)
            session.connection.close()
        for session in self.queue.start_ready(now):
            session.begin_turn()

    def _run_every_second(self) -> None:
        now = self.now()
        self.state.remove_expired(now)
        for name in self.table.remove_expired(now):
            log.info("dispatcher removed: silent for longer than the retention", peer=name)
        for connection in list(self.connections):
            if connection.is_lost():
                connection.close()
        for peer in list(self.peer_sessions):
            peer.send_keepalive()
        is_log_current = self.is_log_current()
        for session in list(self.sessions.values()):
            if is_log_current or session.phase is SessionPhase.WAITING:
                session.send_heartbeat()

    def status(self, request: StatusRequest) -> StatusResponse:
        """Returns this replica's version and what is in force at dispatchers; see `replica_status`."""
        return replica_status(self, request)


def _log_fields(event: ReplicatedEvent) -> dict[str, str | int | bool]:
    """Returns the fields of the log line of an event."""
    fields: dict[str, str | int | bool] = {}
    if event.fleet is not None:
        fields |= {"hosts": len(event.fleet.targets), "whole": event.fleet.all}
    if event.invalidate is not None:
        purge = event.invalidate
        fields["purge"] = purge.object or f"bucket {purge.bucket}"
    if event.configuration is not None:
        fields["configuration_bytes"] = len(event.configuration.text)
    return fields
