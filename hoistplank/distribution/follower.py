"""A dispatcher's connection to a control replica, which replaces its connection to the change log.

Received events are forwarded to the receiver as if from the change log itself. The follower follows the first
replica of its order that accepts it, acknowledges what is in force, and marks the list as stale while no
up-to-date replica sends heartbeats.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial
from random import Random

import structlog

from hoistplank.distribution.acknowledgement_sender import AcknowledgementSender
from hoistplank.distribution.assignment import ReplicaAddress, preference, return_delay_us
from hoistplank.distribution.configuration_applier import (
    ConfigurationApplier,
    PrepareConfiguration,
    accept_any_configuration,
)
from hoistplank.distribution.errors import RedirectedError
from hoistplank.distribution.follower_state import FollowerState, Verdict
from hoistplank.distribution.host_record import HostRecord
from hoistplank.distribution.lines import LineReader
from hoistplank.distribution.messages import (
    MAX_LINE_BYTES,
    FollowRequest,
    Redirect,
    ReplicatedEvent,
    RequestLine,
    VersionFields,
    encode,
    read_replica_line,
)
from hoistplank.distribution.replica_selection import ReplicaSelection
from hoistplank.distribution.silence import SILENCE_US
from hoistplank.distribution.unproven_rows import UnprovenRows
from hoistplank.distribution.versions import Version
from hoistplank.protocol.changelog import Event, Snapshot
from hoistplank.protocol.errors import ProtocolError
from hoistplank.routing.endpoint_watcher import (
    CONNECT_TIMEOUT_S,
    MIN_BACKOFF_S,
    EndpointWatcher,
    EventReceiver,
)
from hoistplank.routing.events import Checkpoint, EndpointsUpdated, EndpointWatchFailed, EndpointWatchStage
from hoistplank.routing.line_stall import LineStallTimeout
from hoistplank.transport.connecting import connect
from hoistplank.transport.connection import Connection, Consume

log = structlog.get_logger()
CHECK_INTERVAL_S = 0.25
STALLED_LINE_S = 1.0  # a line of a megabyte from another region may stall for a retransmission


@dataclass(frozen=True)
class FollowerSettings:
    """Identity of a dispatcher, and the known replicas; `incarnation` increases with each of its starts."""

    name: str
    region: str
    incarnation: int
    replicas: Sequence[ReplicaAddress]
    silence_us: int = SILENCE_US


class ReplicaFollower(EndpointWatcher):
    """Follows control replicas for a dispatcher; `run` and `configurations.run` run until cancelled."""

    def __init__(
        self,
        receiver: EventReceiver,
        settings: FollowerSettings,
        known: Snapshot,
        random: Random,
        grace_s: float = 0.25,
        prepare: PrepareConfiguration = accept_any_configuration,
    ) -> None:
        self.settings = settings
        order = preference(settings.name, settings.region, settings.replicas)
        self.selection = ReplicaSelection(order)
        self.state = FollowerState(settings.silence_us)
        self.hosts = HostRecord(receiver)
        super().__init__(self.hosts, order[0].address, known, random, grace_s)
        # Only now, as `known` itself is applied: what replicas send is compared with it.
        self.hosts.unproven = UnprovenRows(known)
        self.random = random
        self.check_interval_s, self.line_stall = CHECK_INTERVAL_S, LineStallTimeout(STALLED_LINE_S)
        self.configurations = ConfigurationApplier(prepare, self)
        self.acknowledgements = AcknowledgementSender(self.state, lambda: self.connection)
        self.loop = asyncio.get_running_loop()
        self.epoch = 0
        self.behind_lines = 0  # number of heartbeats and events older than what was received
        self._started_us = receiver.clock.now()
        self._is_silence_logged = False

    @property
    def replica(self) -> ReplicaAddress:
        """The replica that is followed or being tried."""
        return self.selection.current

    def detail(self) -> str:
        """Returns the detail for the health answer, empty while a replica sends heartbeats.

        It is called between turns of the router task, too.
        """
        if not (self.hosts.is_stale or self.state.is_silent(self.receiver.clock.now())):
            return ""
        return f"no control replica heard; in force: {self.state.resume_at}"

    def check_silence(self, now_us: int) -> EndpointsUpdated | None:
        """Returns the list marked as stale once no replica was heard for too long; None otherwise.

        It is called before each turn: after the whole process was suspended, requests are read before any
        timer runs.
        """
        if self.hosts.is_stale or not self.state.is_silent(now_us):
            return None
        return self.hosts.mark_stale()

    # Lines from the replica.

    def _should_reconnect_for_position(self, connection: Connection) -> bool:  # noqa: ARG002  unused here
        """Returns False always: each new connection costs a replica a turn of catch-up."""
        return False

    def _first_line(self) -> bytes:
        self.state.connection_opened(self.receiver.clock.now())
        settings = self.settings
        resume_at = VersionFields(*self.state.resume_at)
        request = FollowRequest(settings.name, settings.incarnation, settings.region, resume_at)
        return encode(RequestLine(follow=request))

    def make_consumer(self) -> Consume:
        """Returns the function that handles the lines of one connection to a replica."""
        reader = LineReader(MAX_LINE_BYTES)

        def consume(buffer: bytearray, start: int, end: int) -> int:
            start, lines = reader.read(buffer, start, end)
            try:
                for line in lines:
                    self._handle(read_replica_line(line))
            finally:
                if lines:
                    self._batch_received()
            return start

        return consume

    def _handle(self, message: ReplicatedEvent | Redirect) -> None:
        if isinstance(message, Redirect):
            raise RedirectedError(message.reason)
        verdict = self.state.receive(self.receiver.clock.now(), message)
        if verdict is Verdict.GAP:
            held = self.state.received
            raise ProtocolError(f"event {message.version} after {message.after} does not follow {held}")
        if verdict is Verdict.BEHIND:
            self.behind_lines += 1
            return
        self.is_current = True
        self.progress_count += 1
        if verdict is Verdict.APPLY:
            self._forward(message)
        elif message.catch_up is None:
            if message.version == self.state.received:
                self.hosts.release_unproven()
                self._confirm()
            if self.observer is not None:
                self.observer.confirmed_current()

    def _forward(self, event: ReplicatedEvent) -> None:
        if event.epoch != self.epoch:
            # The list of a restarted log may predate drains that were already received.
            self.numbering_restarted = self.numbering_restarted or self.epoch > 0
            self.epoch = event.epoch
        if event.configuration is not None and self.state.is_new_configuration(event):
            self.configurations.submit(event.version, event.configuration.text)
        if event.fleet is not None or event.invalidate is not None:
            self._apply(Event(event.seq, event.fleet, event.invalidate, epoch=event.epoch))

    def _batch_received(self) -> None:
        """Called after all lines that were read together have been forwarded to the receiver."""
        self.receiver.submit(Checkpoint(partial(self._turn_ended, self.state.received)))
        if self.hosts.is_stale and not self.state.is_silent(self.receiver.clock.now()):
            self.hosts.mark_current()
            self._log_silence_over()

    def _log_silence_over(self) -> None:
        if self._is_silence_logged:
            self._is_silence_logged = False
            log.info(
                "control replica reachable again, list no longer stale",
                replica=self.replica.name,
                told=str(self.state.received),
            )

    # Versions in force.

    def _turn_ended(self, received: Version) -> None:
        """Called at the end of the router task's turn in which everything up to `received` was applied."""
        before = self.state.acknowledgement()
        self.state.mark_applied(received)
        if self.state.acknowledgement() != before:
            self.acknowledgements.schedule()

    def configuration_applied(self, version: Version) -> None:
        """Records that a configuration was applied: it is in force after the router task's next turn."""
        self.receiver.submit(Checkpoint(partial(self._configuration_in_force, version)))

    def _configuration_in_force(self, version: Version) -> None:
        self.state.mark_configuration_applied(version)
        self.acknowledgements.schedule()

    def configuration_refused(self, version: Version, reason: str) -> None:
        """Records that a configuration can't be used: the replica is sent the reason."""
        self.state.mark_configuration_refused(version, reason)
        self.acknowledgements.schedule()

    # Timers.

    async def _run_timers(self) -> None:
        """Sends heartbeats to the replica and checks for how long none was received."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.acknowledgements.send_heartbeat(tolerance_s=CHECK_INTERVAL_S / 2)
            now = self.receiver.clock.now()
            stale = self.check_silence(now)
            if stale is not None:
                self.hosts.receiver.submit(stale)
            if self.hosts.is_stale and not self._is_silence_logged:
                self._log_silence(now)

    def _log_silence(self, now_us: int) -> None:
        if now_us - self._started_us > self.settings.silence_us:
            self._is_silence_logged = True
            log.warning(
                "no control replica heard, list is stale: old copies are not requested",
                silence_s=self.settings.silence_us / 1e6,
                in_force=str(self.state.resume_at),
            )

    # Connections to replicas.

    def set_address(self, address: tuple[str, int]) -> None:
        """Ignores the change log's address, which may change at a reload."""

    async def run(self) -> None:
        """Follows replicas until it is cancelled."""
        timers = asyncio.create_task(self._run_timers(), name="replica heartbeats")
        try:
            await self._follow_each()
        finally:
            timers.cancel()
            self.acknowledgements.cancel()
            await asyncio.gather(timers, return_exceptions=True)

    async def _follow_each(self) -> None:
        """Follows one replica after another, advancing when one is lost or rejects this dispatcher."""
        backoff_s = MIN_BACKOFF_S
        while True:
            self.is_current = False
            self._enter_stage(EndpointWatchStage.CONNECTING)
            if await self._follow_current():
                self.selection.restart()
                continue
            self.receiver.submit(EndpointWatchFailed())
            if self.is_current:
                backoff_s = MIN_BACKOFF_S
            self.selection.advance()
            if self.selection.is_preferred or self.is_current:
                # Without a pause, a replica that accepts and then ends each connection would be retried in a
                # busy loop.
                await asyncio.sleep(backoff_s * (0.5 + self.chance() / 2))
                backoff_s = min(self.max_backoff_s, backoff_s * 2)

    async def _follow_current(self) -> bool:
        """Follows the current replica until it is lost; returns True if a preferred one is reachable."""
        following = asyncio.create_task(self._follow(self.replica.address), name="control replica")
        try:
            while not following.done():
                delay_s = None if self.selection.is_preferred else return_delay_us(self.random) / 1e6
                await asyncio.wait((following,), timeout=delay_s)
                if not following.done() and await self._is_preferred_back():
                    return True
        finally:
            following.cancel()
            await asyncio.gather(following, return_exceptions=True)
        reason = following.exception() or following.result()
        if isinstance(reason, RedirectedError):
            self.selection.mark_redirected(self.loop.time())
        self.rate_limited_log.warning(
            "control replica lost",
            replica=self.replica.name,
            wrong=str(reason),
            told=str(self.state.received),
        )
        return False

    async def _is_preferred_back(self) -> bool:
        for replica in self.selection.preferred_to_current():
            if not self.selection.may_try(replica, self.loop.time()):
                continue
            if await _accepts_connections(replica.address):
                log.info(
                    "returning to a preferred control replica", replica=replica.name, before=self.replica.name
                )
                return True
        return False


async def _accepts_connections(address: tuple[str, int]) -> bool:
    try:
        sock = await connect(address, CONNECT_TIMEOUT_S)
    except (OSError, ValueError):
        return False
    sock.close()
    return True
