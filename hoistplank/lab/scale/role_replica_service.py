"""What a control replica's work costs beside the fan-out of purges: heartbeats, configurations, catch-ups
after an hour, and the rows that replicas exchange.

The replica is a real one in a process of its own (`replica_process`), on loopback, as in
`role_control_replica`; the rows go through the real tables in this process, without sockets.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import msgspec

from hoistplank.distribution.acknowledgements import AcknowledgementTable
from hoistplank.distribution.messages import (
    Acknowledgement,
    AcknowledgementRow,
    FollowRequest,
    RequestLine,
    VersionFields,
    encode,
)
from hoistplank.lab.scale.children import Child, running
from hoistplank.lab.scale.measurements import Measurement
from hoistplank.lab.scale.metering import Effort, Quantity, Step, awaited, processor_us
from hoistplank.lab.scale.role_change_log import LOG_PROCESS
from hoistplank.lab.scale.role_control_replica import (
    HOSTS_AT_TARGET,
    LOOK_S,
    REACHED_S,
    REPLICA_PROCESS,
    ROLE,
    AcknowledgingFollower,
)
from hoistplank.lab.scale.role_operator import tenants_file

FOLLOWERS = (34, 68, 136, 170)
CATCHING_UP = (1, 2, 3, 4)
MISSED = (1_000, 3_500, 7_000, 14_040)
MISSED_FOLLOWERS = 2
DISPATCHERS = (34, 68, 136, 170)
TENANTS = 200
HEARTBEAT_S = 1
CONFIGURATIONS = 4
CONFIGURATIONS_AN_HOUR = 60
CONFIGURATION_GAP_S = 0.1
RETENTION_US = 86_400_000_000
LISTED = 1  # the number of the event that lists the hosts


class ReturningFollower(AcknowledgingFollower):
    """A follower that comes back with all up to an event in force."""

    def __init__(self, name: str, at: int) -> None:
        super().__init__(name)
        self.held = at
        self.is_heard = False  # the replica has sent it something
        self.is_lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.WriteTransport)
        self.transport = transport
        at = VersionFields(0, self.held)
        transport.write(encode(RequestLine(follow=FollowRequest(self.name, 1, resume_at=at))))

    def data_received(self, data: bytes) -> None:
        self.is_heard = True
        super().data_received(data)

    def connection_lost(self, wrong: Exception | None) -> None:
        self.is_lost = True

    def acknowledge(self) -> None:
        """A dispatcher's heartbeat."""
        if self.transport is not None and not self.is_lost:
            self.transport.write(
                encode(RequestLine(acknowledgement=Acknowledgement(VersionFields(0, self.held))))
            )


async def _connected(port: int, name: str, at: int) -> ReturningFollower:
    loop = asyncio.get_running_loop()
    _, follower = await loop.create_connection(lambda: ReturningFollower(name, at), "127.0.0.1", port)
    return follower


def _close(followers: list[ReturningFollower]) -> None:
    for follower in followers:
        if follower.transport is not None:
            follower.transport.abort()


async def _serves(port: int, at: int) -> None:
    """Waits until the replica takes dispatchers: one that has not read the log sends them on. Raises
    TimeoutError."""
    async with asyncio.timeout(REACHED_S):
        while True:
            follower = await _connected(port, "probe", at)
            while not (follower.is_heard or follower.is_lost):
                await asyncio.sleep(LOOK_S)
            await asyncio.sleep(LOOK_S)  # a redirect is followed by the connection's end
            was_taken = not follower.is_lost
            _close([follower])
            if was_taken:
                return


async def _reached(followers: list[ReturningFollower], seq: int) -> None:
    """Waits until every follower holds an event. Raises TimeoutError."""
    async with asyncio.timeout(REACHED_S):
        while any(follower.held < seq for follower in followers):
            await asyncio.sleep(LOOK_S)


@dataclass(frozen=True, slots=True)
class Serving:
    """A change log and a replica that follows it, the replica's port and the log's last event."""

    log: Child
    replica: Child
    port: int
    seq: int


@asynccontextmanager
async def _serving(purges: int, configurations: int) -> AsyncIterator[Serving]:
    """A replica that has read a log with a list, so many purges and so many configurations."""
    async with running(LOG_PROCESS) as (log, log_started):
        told = await log.ask(f"list {HOSTS_AT_TARGET}")
        if purges:
            told = await log.ask(f"fill {purges}")
        if configurations:
            told = await log.ask(f"configure {configurations} {_configuration_bytes()} 0")
        async with running(REPLICA_PROCESS, str(log_started.port)) as (replica, started):
            await _serves(started.port, told.seq)
            yield Serving(log, replica, started.port, told.seq)


def _configuration_bytes() -> int:
    return len(tenants_file(TENANTS))


@dataclass(frozen=True, slots=True)
class Configured:
    """A configuration handed on to all, and acknowledged: processor time (us) and bytes."""

    processor_us: float
    bytes: float


@dataclass(frozen=True, slots=True)
class Steady:
    """At so many followers: processor time (us) of a second of heartbeats, and of a configuration."""

    followers: int
    second_us: float
    configured: Configured


async def _heartbeats(serving: Serving, followers: list[ReturningFollower]) -> float:
    """Processor time of a second in which each side says that it is there."""
    before = await serving.replica.ask()
    loop = asyncio.get_running_loop()
    until = loop.time()
    for follower in followers:
        follower.acknowledge()
        until += HEARTBEAT_S / len(followers)
        await asyncio.sleep(max(0.0, until - loop.time()))
    after = await serving.replica.ask()
    return (after.processor_us - before.processor_us) / HEARTBEAT_S


async def _configured(serving: Serving, followers: list[ReturningFollower], events: int) -> Configured:
    before, received = await serving.replica.ask(), sum(follower.received for follower in followers)
    told = await serving.log.ask(f"configure {events} {_configuration_bytes()} {CONFIGURATION_GAP_S}")
    await _reached(followers, told.seq)
    after = await serving.replica.ask()
    sent = sum(follower.received for follower in followers) - received
    return Configured((after.processor_us - before.processor_us) / events, sent / events)


async def _steady_rows(events: int) -> list[Steady]:
    followers: list[ReturningFollower] = []
    found = []
    async with _serving(0, 0) as serving:
        try:
            seq = serving.seq
            for count in FOLLOWERS:
                while len(followers) < count:
                    followers.append(await _connected(serving.port, f"d{len(followers)}", seq))
                seq = (await serving.log.ask()).seq
                await _reached(followers, seq)
                second_us = await _heartbeats(serving, followers)
                configured = await _configured(serving, followers, events)
                seq = (await serving.log.ask()).seq
                found.append(Steady(count, second_us, configured))
        finally:
            _close(followers)
    return found


def _steady(effort: Effort) -> list[Measurement]:
    notes = "both ways, with the replica's own ticks"
    idle = Quantity(ROLE, "processor time of a second of heartbeats", "us", "followers", notes)
    cost = Quantity(ROLE, "processor time of a configuration", "us", "followers", f"{TENANTS} tenants")
    size = Quantity(ROLE, "bytes of a configuration", "B", "followers", f"{TENANTS} tenants, heartbeats")
    events = 1 if effort.is_quick else CONFIGURATIONS
    found = []
    for _ in range(effort.slow_repeats):
        for row in awaited(lambda: _steady_rows(events)):
            found += [
                idle.measured(row.followers, row.second_us),
                cost.measured(row.followers, row.configured.processor_us),
                size.measured(row.followers, row.configured.bytes),
            ]
    return found


# Catch-up after an hour.


@dataclass(frozen=True, slots=True)
class CaughtUp:
    """A catch-up of some followers together: processor time (us) at the replica, and bytes."""

    processor_us: float
    bytes: int


async def _caught_up(serving: Serving, count: int, at: int) -> CaughtUp:
    before = await serving.replica.ask()
    followers: list[ReturningFollower] = []
    try:
        for number in range(count):
            followers.append(await _connected(serving.port, f"d{number}", at))
        await _reached(followers, serving.seq)
        after = await serving.replica.ask()
        received = sum(follower.received for follower in followers)
    finally:
        _close(followers)
    return CaughtUp(after.processor_us - before.processor_us, received)


@dataclass(frozen=True, slots=True)
class HourRows:
    """Catch-ups by the purges missed, and by how many followers come back."""

    by_missed: list[tuple[int, CaughtUp]]
    by_followers: list[tuple[int, CaughtUp]]


async def _hour_rows(missed_sizes: tuple[int, ...]) -> HourRows:
    hour = missed_sizes[-1]
    by_missed, by_followers = [], []
    async with _serving(hour, CONFIGURATIONS_AN_HOUR) as serving:
        await _caught_up(serving, 1, LISTED)  # the first encodes the lines
        for missed in missed_sizes:
            row = await _caught_up(serving, MISSED_FOLLOWERS, LISTED + hour - missed)
            by_missed.append((missed, row))
        for count in CATCHING_UP:
            by_followers.append((count, await _caught_up(serving, count, LISTED)))
    return HourRows(by_missed, by_followers)


def _catch_up(effort: Effort) -> list[Measurement]:
    notes = f"{CONFIGURATIONS_AN_HOUR} configurations, of which the last is told; encoded before"
    cost = Quantity(ROLE, "processor time of one follower's catch-up", "us", "purges missed", notes)
    size = Quantity(ROLE, "bytes of one follower's catch-up", "B", "purges missed", notes)
    crowd = Quantity(ROLE, "processor time of catch-ups after an hour", "us", "followers catching up", notes)
    found = []
    for _ in range(effort.slow_repeats):
        rows = awaited(lambda: _hour_rows(effort.sizes(MISSED)))
        for missed, row in rows.by_missed:
            found += [
                cost.measured(missed, row.processor_us / MISSED_FOLLOWERS),
                size.measured(missed, row.bytes / MISSED_FOLLOWERS),
            ]
        found += [crowd.measured(count, row.processor_us) for count, row in rows.by_followers]
    return found


# Rows exchanged with peers.

_rows = msgspec.json.Decoder(AcknowledgementRow)


def _table_of(count: int) -> AcknowledgementTable:
    table = AcknowledgementTable(RETENTION_US)
    for number in range(count):
        table.register(0, "c1", FollowRequest(f"d{number}", 1, "north"))
    return table


def _peer_rows(effort: Effort) -> list[Measurement]:
    notes = "tables and lines, without sockets"
    telling = Quantity(ROLE, "processor time of rows told to a peer", "us", "dispatchers", notes)
    taking = Quantity(ROLE, "processor time of rows taken from a peer", "us", "dispatchers", notes)
    size = Quantity(ROLE, "bytes of rows to a peer", "B", "dispatchers")
    found = []
    for count in DISPATCHERS * effort.repeats:
        table, peer = _table_of(count), AcknowledgementTable(RETENTION_US)
        lines: list[bytes] = []

        def tell(table: AcknowledgementTable = table, lines: list[bytes] = lines) -> None:
            lines.extend(encode(row) for row in table.rows_since(1, 0))

        def take(peer: AcknowledgementTable = peer, lines: list[bytes] = lines) -> None:
            for line in lines:
                peer.merge_peer_row(1, "c1", _rows.decode(line))

        take(lines=[encode(row) for row in table.rows_since(1, 0)])  # the rows are known already
        told_us = processor_us(tell)
        taken_us = processor_us(take)
        found += [
            telling.measured(count, told_us),
            taking.measured(count, taken_us),
            size.measured(count, sum(map(len, lines))),
        ]
    return found


STEPS = (
    Step(ROLE, "replica: heartbeats and configurations", _steady),
    Step(ROLE, "replica: catch-up after an hour", _catch_up),
    Step(ROLE, "replica: rows exchanged with peers", _peer_rows),
)
