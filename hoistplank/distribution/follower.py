"""A dispatcher's connection to a control replica, in place of the change log's watch.

What it hears goes to the owner as from the change log itself. It follows the first replica of its order that
takes it, says what it has in force, and has the list count as stale while nobody who knows is heard.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial
from random import Random

import structlog

from hoistplank.distribution.assignment import Replica, preference, return_delay_us
from hoistplank.distribution.configuration_taker import (
    ConfigurationTaker,
    Preparing,
    without_configuration,
)
from hoistplank.distribution.follower_state import SILENCE_US, FollowerState, Verdict
from hoistplank.distribution.host_record import HostRecord
from hoistplank.distribution.lines import LineReader
from hoistplank.distribution.messages import (
    MOST_LINE,
    Follow,
    Redirect,
    ReplicatedEvent,
    RequestLine,
    VersionFields,
    encode,
    read_replica_line,
)
from hoistplank.distribution.versions import Version
from hoistplank.protocol.changelog import Event, Snapshot
from hoistplank.protocol.errors import ProtocolError
from hoistplank.routing.endpoint_watcher import (
    CONNECT_TIMEOUT_S,
    MIN_BACKOFF_S,
    EndpointWatcher,
    EventReceiver,
)
from hoistplank.routing.events import Checkpoint, EndpointsUpdated, EndpointWatchFailed
from hoistplank.transport.connecting import connect
from hoistplank.transport.connection import Consume

log = structlog.get_logger()
ACKNOWLEDGE_S = 0.05  # acknowledgements are no closer together
HEARTBEAT_S = 1.0  # nor further apart
LOOK_S = 0.25
# Danger: who is refused for load by the replica that it prefers would leave another each minute for nothing.
REDIRECTED_S = 120.0
HALTED_S = 1.0  # a line of a megabyte from another region may stall for a retransmission


@dataclass(frozen=True)
class FollowerSettings:
    """Who a dispatcher is, and which replicas there are; `incarnation` rises with each start of it."""

    name: str
    region: str
    incarnation: int
    replicas: Sequence[Replica]
    silence_us: int = SILENCE_US


class Redirected(Exception):
    """A replica does not take this dispatcher now; the text is its reason."""


class ReplicaFollower(EndpointWatcher):
    """Follows control replicas for an owner; `run` and `configurations.run` go on until cancelled."""

    def __init__(
        self,
        owner: EventReceiver,
        settings: FollowerSettings,
        known: Snapshot,
        chance: Random,
        grace_s: float = 0.25,
        prepare: Preparing = without_configuration,
    ) -> None:
        self.settings = settings
        self.order = preference(settings.name, settings.region, settings.replicas)
        self.state = FollowerState(settings.silence_us)
        self.hosts = HostRecord(owner)
        super().__init__(self.hosts, self.order[0].address, known, chance, grace_s)
        self.chance_of_return = chance
        self.check_interval_s, self.stall_timeout_s = LOOK_S, HALTED_S
        self.configurations = ConfigurationTaker(prepare, self)
        self.loop = asyncio.get_running_loop()
        self.place = 0  # in the order, of the replica that is followed or tried
        self.epoch = 0
        self.behind_lines = 0  # heartbeats and events older than what is held
        self._redirected_at: dict[str, float] = {}  # by replica: when it last did not take this dispatcher
        self._began_us = owner.clock.now()
        self._is_warned = False  # that nobody is heard has been logged
        self._acknowledged_at = 0.0
        self._acknowledging: asyncio.TimerHandle | None = None

    # What it says of itself.

    @property
    def replica(self) -> Replica:
        """The replica that is followed or tried."""
        return self.order[self.place]

    def detail(self) -> str:
        """For the health answer: empty while all is heard. It is asked between turns, too."""
        if not (self.hosts.is_stale or self.state.unheard(self.owner.clock.now())):
            return ""
        return f"no control replica heard; in force: {self.state.resume_at}"

    def check_silence(self, now_us: int) -> EndpointsUpdated | None:
        """The list as a stale one, once nobody has been heard for too long; asked before each turn.

        Danger: after a standstill of the whole process, requests are read before any timer runs.
        """
        if self.hosts.is_stale or not self.state.unheard(now_us):
            return None
        return self.hosts.grown_stale()

    # Lines.

    def _first_line(self) -> bytes:
        self.state.connection_began(self.owner.clock.now())
        settings = self.settings
        at = VersionFields(*self.state.resume_at)
        follow = Follow(settings.name, settings.incarnation, settings.region, at)
        return encode(RequestLine(follow=follow))

    def make_consumer(self) -> Consume:
        reader = LineReader(MOST_LINE)

        def consume(buffer: bytearray, start: int, end: int) -> int:
            start, lines = reader.read(buffer, start, end)
            try:
                for line in lines:
                    self._heard(read_replica_line(line))
            finally:
                if lines:
                    self._lines_ended()
            return start

        return consume

    def _heard(self, told: ReplicatedEvent | Redirect) -> None:
        if isinstance(told, Redirect):
            raise Redirected(told.reason)
        verdict = self.state.judge(self.owner.clock.now(), told)
        if verdict is Verdict.GAP:
            raise ProtocolError(f"event {told.version} after {told.after} does not follow {self.state.told}")
        if verdict is Verdict.BEHIND:
            self.behind_lines += 1
            return
        self.is_current, self.progress_count = True, self.progress_count + 1
        if verdict is Verdict.APPLY:
            self._take_up(told)
        elif told.catch_up is None and self.observer is not None:
            self.observer.confirmed_current()

    def _take_up(self, event: ReplicatedEvent) -> None:
        if event.epoch != self.epoch:
            # A log that counts anew has a list from before the drains that we heard.
            self.numbering_restarted = self.numbering_restarted or self.epoch > 0
            self.epoch = event.epoch
        if event.configuration is not None and self.state.takes_configuration(event):
            self.configurations.tell(event.version, event.configuration.text)
        if event.fleet is not None or event.invalidate is not None:
            self._apply(Event(event.seq, event.fleet, event.invalidate, epoch=event.epoch))

    def _lines_ended(self) -> None:
        """All lines that were read together have been told to the owner."""
        self.owner.submit(Checkpoint(partial(self._applied, self.state.told)))
        if self.hosts.is_stale and not self.state.unheard(self.owner.clock.now()):
            self._heard_again()

    def _heard_again(self) -> None:
        self.hosts.grown_fresh()
        if self._is_warned:
            self._is_warned = False
            log.info("control replica heard again", replica=self.replica.name, told=str(self.state.told))

    # What is in force.

    def _applied(self, told: Version) -> None:
        """The owner's turn is over in which all up to `told` was taken in."""
        before = self.state.in_force()
        self.state.applied(told)
        if self.state.in_force() != before:
            self._acknowledge_soon()

    def configuration_taken(self, version: Version) -> None:
        """A configuration was taken up: in force after the owner's next turn."""
        self.owner.submit(Checkpoint(partial(self._configuration_in_force, version)))

    def _configuration_in_force(self, version: Version) -> None:
        self.state.configuration_applied(version)
        self._acknowledge_soon()

    def configuration_refused(self, version: Version, reason: str) -> None:
        """A configuration can't be used: the replicas are told why."""
        self.state.configuration_refused(version, reason)
        self._acknowledge_soon()

    def _acknowledge_soon(self) -> None:
        if self._acknowledging is None:
            wait_s = max(0.0, self._acknowledged_at + ACKNOWLEDGE_S - self.loop.time())
            self._acknowledging = self.loop.call_later(wait_s, self._acknowledge)

    def _acknowledge(self) -> None:
        if self._acknowledging is not None:
            self._acknowledging.cancel()
            self._acknowledging = None
        if self.connection is not None:
            self._acknowledged_at = self.loop.time()
            self.connection.send(encode(RequestLine(in_force=self.state.in_force())))

    # Time.

    async def _ticks(self) -> None:
        """Heartbeats to the replica, and looks at how long nobody was heard."""
        while True:
            await asyncio.sleep(LOOK_S)
            if self.loop.time() - self._acknowledged_at >= HEARTBEAT_S - LOOK_S / 2:
                self._acknowledge()
            now = self.owner.clock.now()
            stale = self.check_silence(now)
            if stale is not None:
                self.hosts.owner.submit(stale)
            if self.hosts.is_stale and not self._is_warned:
                self._warn(now)

    def _warn(self, now_us: int) -> None:
        if now_us - self._began_us > self.settings.silence_us:
            self._is_warned = True
            log.warning(
                "no control replica heard: old copies are not asked for",
                silence_s=self.settings.silence_us / 1e6,
                in_force=str(self.state.resume_at),
            )

    # Replicas.

    def set_address(self, address: tuple[str, int]) -> None:
        """The change log's address, which may change at a reload, says nothing to who follows replicas."""

    async def run(self) -> None:
        """Follows replicas until it is cancelled."""
        ticks = asyncio.create_task(self._ticks(), name="replica heartbeats")
        try:
            await self._follow_each()
        finally:
            ticks.cancel()
            if self._acknowledging is not None:
                self._acknowledging.cancel()
            await asyncio.gather(ticks, return_exceptions=True)

    async def _follow_each(self) -> None:
        """One replica after another: the next where one is lost or does not take this dispatcher."""
        pause = MIN_BACKOFF_S
        while True:
            self.is_current = False
            if await self._follow_one():
                self.place = 0
                continue
            self.owner.submit(EndpointWatchFailed())
            if self.is_current:
                pause = MIN_BACKOFF_S
            self.place = (self.place + 1) % len(self.order)
            if self.place == 0 or self.is_current:
                # Danger: a replica that takes all and ends each connection would be asked without a pause.
                await asyncio.sleep(pause * (0.5 + self.chance() / 2))
                pause = min(self.max_backoff_s, pause * 2)

    async def _follow_one(self) -> bool:
        """Follows the replica at `place` until it is lost; True: one that is preferred is there again."""
        following = asyncio.create_task(self._follow(self.replica.address), name="control replica")
        try:
            while not following.done():
                wait_s = return_delay_us(self.chance_of_return) / 1e6 if self.place else None
                await asyncio.wait((following,), timeout=wait_s)
                if not following.done() and await self._is_preferred_back():
                    return True
        finally:
            following.cancel()
            await asyncio.gather(following, return_exceptions=True)
        wrong = following.exception() or following.result()
        if isinstance(wrong, Redirected):
            self._redirected_at[self.replica.name] = self.loop.time()
        self.rate_limited_log.warning(
            "control replica lost", replica=self.replica.name, wrong=str(wrong), told=str(self.state.told)
        )
        return False

    async def _is_preferred_back(self) -> bool:
        for replica in self.order[: self.place]:
            redirected_at = self._redirected_at.get(replica.name, -REDIRECTED_S)
            if self.loop.time() - redirected_at < REDIRECTED_S:
                continue
            if await _is_there(replica.address):
                log.info("back to a control replica", replica=replica.name, before=self.replica.name)
                return True
        return False


async def _is_there(address: tuple[str, int]) -> bool:
    """Whether somebody takes connections there."""
    try:
        sock = await connect(address, CONNECT_TIMEOUT_S)
    except (OSError, ValueError):
        return False
    sock.close()
    return True
