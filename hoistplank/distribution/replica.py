"""A control replica: follows the change log, hands its events on to dispatchers, and knows what is in force.

It has no state beside memory: at a start it reads the change log anew, and its peers and dispatchers tell it
what is in force. It works alone where the peers are gone.
"""

from __future__ import annotations

import asyncio
import resource
import socket
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any

import structlog
from msgspec.structs import replace

from hoistplank.distribution.acknowledgements import AcknowledgementTable, ChangeKind, Life
from hoistplank.distribution.assignment import Replica as ReplicaAddress
from hoistplank.distribution.assignment import may_accept
from hoistplank.distribution.catch_up import CatchUpQueue
from hoistplank.distribution.dispatcher_session import DispatcherSession, Phase
from hoistplank.distribution.log_follower import LogFollower
from hoistplank.distribution.messages import (
    Follow,
    InForce,
    ReplicatedEvent,
    StatusRequest,
    VersionFields,
)
from hoistplank.distribution.peer_link import PeerLink, PeerSession
from hoistplank.distribution.request_connection import RequestConnection
from hoistplank.distribution.state import ReplicatedState
from hoistplank.distribution.status import Load, PeerRow, StatusAnswer, UnheardRow, change_row
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
# Danger: while the change log is silent nobody knows that nothing is newer, and a heartbeat would say so.
LOG_SILENT_US = int(SILENCE_TIMEOUT_S * 1e6)
UNHEARD_US = 7_000_000  # a dispatcher that is connected says something each second
RETENTION_US = 86_400_000_000  # for so long a dispatcher that has gone is missed by name
MOST_DESCRIPTORS = 8_192
MOST_UNREADABLE = 64  # configurations of which it is kept why they can't be read


@dataclass(frozen=True)
class ReplicaSettings:
    """What a replica is started with; `purge_horizon_us`: for how long a purge is handed on."""

    name: str
    listen: tuple[str, int]
    changelog: tuple[str, int]
    purge_horizon_us: int
    region: str = ""
    peers: tuple[ReplicaAddress, ...] = ()
    retention_us: int = RETENTION_US
    seed: int = 0
    queue: Callable[[], CatchUpQueue[DispatcherSession]] = field(default=CatchUpQueue)


class Replica:
    """One control replica; `run` serves until it is cancelled."""

    def __init__(self, settings: ReplicaSettings, clock: Clock | None = None) -> None:
        self.settings, self.name, self.clock = settings, settings.name, clock or Clock()
        self.state = ReplicatedState(settings.purge_horizon_us)
        self.table = AcknowledgementTable(settings.retention_us)
        self.queue = settings.queue()
        self.cut_off = 0
        self.unreadable_changes = OrderedDict[Version, str]()
        self.rate_limited_log = RateLimitedLog()
        self.chance = Random(f"{settings.seed} {settings.name}")
        self.log_follower = LogFollower(self, settings.changelog, self.chance, self.clock)
        self.links: list[PeerLink] = []
        self.follow_peers(settings.peers)
        self.connections: dict[RequestConnection, None] = {}
        self.sessions: dict[str, DispatcherSession] = {}
        self.peer_sessions: dict[PeerSession, None] = {}
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self.descriptors = DescriptorBudget(min(soft, MOST_DESCRIPTORS))
        self.listener = Listener(settings.listen, self.descriptors, self._greet)

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        host, port = self.listener.sock.getsockname()[:2]
        return str(host), int(port)

    def now(self) -> int:
        return self.clock.now()

    def follow_peers(self, peers: Iterable[ReplicaAddress]) -> None:
        """The other replicas; to be told before it runs."""
        self.links = [PeerLink(self, peer, self.chance) for peer in peers]

    async def run(self) -> None:
        """Serves until it is cancelled or a part breaks, whose exception is raised then."""
        parts = [
            asyncio.create_task(part, name=name)
            for name, part in (
                ("listener", self.listener.run()),
                ("change log", self.log_follower.run()),
                ("ticks", self._ticks()),
                *((f"peer {link.peer.name}", link.run()) for link in self.links),
            )
        ]
        try:
            done, _ = await asyncio.wait(parts, return_when=asyncio.FIRST_COMPLETED)
            for part in done:
                part.result()
        finally:
            for part in parts:
                part.cancel()
            await asyncio.gather(*parts, return_exceptions=True)
            await self._close()

    async def _close(self) -> None:
        tasks = [connection.task for connection in self.connections]
        for connection in list(self.connections):
            connection.connection.close()
        await asyncio.gather(*tasks, return_exceptions=True)

    # The change log.

    def take(self, event: ReplicatedEvent) -> None:
        """An event of the change log: kept, and handed on to all that are up to date."""
        previous = self.state.version
        if not self.state.apply(self.now(), event):
            return
        log.info("change", version=str(event.version), **_words(event))
        if not self.state.is_listed:
            return
        data = b"".join(self.state.lines_since(previous))
        for session in list(self.sessions.values()):
            session.event_came(previous, data)

    def unreadable(self, version: Version, reason: str) -> None:
        """A configuration of the change log can't be read: kept for who asks for its status."""
        log.error("configuration of the change log can't be read", version=str(version), wrong=reason)
        self.unreadable_changes[version] = reason
        while len(self.unreadable_changes) > MOST_UNREADABLE:
            self.unreadable_changes.popitem(last=False)

    def is_log_heard(self) -> bool:
        """Whether this replica knows that nothing is newer than what it holds.

        Danger: a log that counts anew without an epoch is heard, but what it tells counts as old.
        """
        silent_us = self.log_follower.silent_us()
        is_silent = silent_us is None or silent_us > LOG_SILENT_US
        return not is_silent and self.log_follower.version >= self.state.version

    # Connections.

    def _greet(self, sock: socket.socket, peer: str) -> None:
        self.connections[RequestConnection(self, sock)] = None

    def gone(self, connection: RequestConnection) -> None:
        """A connection has ended."""
        self.connections.pop(connection, None)
        self.descriptors.release(ConnectionKind.CLIENT)
        if connection.peer is not None:
            self.peer_sessions.pop(connection.peer, None)
        session = connection.dispatcher
        if session is None:
            return
        self.queue.left(session)
        self.table.left(self.now(), session.name, session.follow.incarnation)
        if self.sessions.get(session.name) is session:
            del self.sessions[session.name]

    def refuses(self, follow: Follow) -> str:
        """Why this replica does not take a dispatcher now; empty: it does."""
        if not (self.state.is_listed and self.log_follower.is_read()):
            return "the change log has not been read yet"
        known = self.table.incarnation(follow.dispatcher)
        if known is not None and known > follow.incarnation:
            return f"incarnation {known} of {follow.dispatcher} is known, this is {follow.incarnation}"
        if follow.dispatcher in self.sessions:
            return ""  # it comes back: its place is its own
        living = 1 + sum(link.is_heard for link in self.links)
        if not may_accept(len(self.sessions), self.table.connected() + 1, living):
            return f"{len(self.sessions)} dispatchers follow here, and {living} replicas are there"
        return ""

    def accept(self, session: DispatcherSession) -> None:
        """A dispatcher follows from now on."""
        life = self.table.followed(self.now(), self.name, session.follow)
        if life is not Life.ACCEPTED:
            raise ProtocolError(f"{session.name} can't follow: {life.value}")
        earlier = self.sessions.get(session.name)
        self.sessions[session.name] = session
        if earlier is not None:
            earlier.connection.close()
        session.start()
        if session.phase is Phase.LIVE and self.is_log_heard():
            session.heartbeat()

    def acknowledged(self, session: DispatcherSession, in_force: InForce) -> None:
        """A dispatcher says what it has in force."""
        accepted = self.table.acknowledged(self.now(), session.name, session.follow.incarnation, in_force)
        refused = in_force.refused
        if accepted and refused is not None and refused != session.refused:
            version = str(refused.version.version())
            log.warning("configuration refused", version=version, by=session.name, reason=refused.reason)
            session.refused = refused

    # What time brings.

    async def _ticks(self) -> None:
        loop = asyncio.get_running_loop()
        heartbeat_at = peers_at = loop.time()
        while True:
            await asyncio.sleep(TICK_S)
            self.log_follower.awake()
            self._give_turns()
            if loop.time() >= peers_at:
                peers_at = loop.time() + PEER_CHANGES_S
                for peer in list(self.peer_sessions):
                    peer.send_changes()
            if loop.time() >= heartbeat_at:
                heartbeat_at = loop.time() + HEARTBEAT_S
                self._heartbeat()

    def _give_turns(self) -> None:
        now = self.now()
        for session in self.queue.overdue(now):
            self.cut_off += 1
            log.warning("dispatcher takes its catch-up too slowly, connection ended", peer=session.name)
            session.connection.close()
        for session in self.queue.ready(now):
            session.begin_turn()

    def _heartbeat(self) -> None:
        now = self.now()
        self.state.forget(now)
        for name in self.table.forgotten(now):
            log.info("dispatcher forgotten: not heard for the time of retention", peer=name)
        for connection in list(self.connections):
            if connection.is_lost():
                connection.connection.close()
        for peer in list(self.peer_sessions):
            peer.send_alive()
        heard = self.is_log_heard()
        for session in list(self.sessions.values()):
            if heard or session.phase is Phase.WAITING:
                session.heartbeat()

    # What an operator asks.

    def status(self, request: StatusRequest) -> StatusAnswer:
        """How far this replica is, and what is in force where; of one change where a version is asked for."""
        now, state = self.now(), self.state
        fleet = self.table.fleet(now, state.version, state.configuration_version, UNHEARD_US)
        size = state.size()
        change = None
        if request.version is not None:
            version = request.version.version()
            change = change_row(now, self.table.in_force(now, version, self._kind(version)))
            if version in self.unreadable_changes:
                # Danger: its number is passed by all, but nobody was ever handed it.
                change = replace(change, in_force=0, unreadable=self.unreadable_changes[version])
        return StatusAnswer(
            replica=self.name,
            region=self.settings.region,
            version=VersionFields(*state.version),
            configuration=VersionFields(*state.configuration_version),
            log_heard_ago_us=self.log_follower.silent_us(),
            connected=fleet.connected,
            load=Load(
                dispatchers=len(self.sessions),
                catching_up=self.queue.active,
                waiting=self.queue.waiting,
                hosts=size.hosts,
                purges=size.purges,
                bytes=size.bytes,
                cut_off=self.cut_off,
            ),
            events=change_row(now, fleet.events),
            configurations=change_row(now, fleet.configuration),
            unheard=[UnheardRow(row.dispatcher, max(0, now - row.heard_us)) for row in fleet.unheard],
            peers=[
                PeerRow(link.peer.name, now - link.heard_us if link.is_heard else None) for link in self.links
            ],
            change=change,
        )

    def _kind(self, version: Version) -> ChangeKind:
        return ChangeKind.CONFIGURATION if self.state.is_configuration(version) else ChangeKind.EVENT


def _words(event: ReplicatedEvent) -> dict[str, Any]:
    """What the log line of a change says of it."""
    words: dict[str, Any] = {}
    if event.fleet is not None:
        words |= {"hosts": len(event.fleet.targets), "whole": event.fleet.all}
    if event.invalidate is not None:
        purge = event.invalidate
        words["purge"] = purge.object or f"bucket {purge.bucket}"
    if event.configuration is not None:
        words["configuration_bytes"] = len(event.configuration.text)
    return words
