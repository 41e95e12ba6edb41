"""What a control replica costs (`hoistplank.distribution`): a real one in a process of its own, told events
by the stand-in change log and followed by sockets that acknowledge each; and its state tables, in this
process."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from hoistplank.distribution.acknowledgements import AcknowledgementTable
from hoistplank.distribution.follower_state import FollowerState
from hoistplank.distribution.lines import LineReader
from hoistplank.distribution.messages import (
    MAX_LINE_BYTES,
    Acknowledgement,
    CatchUp,
    FollowRequest,
    ReplicatedEvent,
    RequestLine,
    VersionFields,
    encode,
    read_replica_line,
)
from hoistplank.distribution.state import ReplicatedState
from hoistplank.distribution.versions import NOTHING, Version
from hoistplank.lab.scale.children import Child, running
from hoistplank.lab.scale.measurements import Measurement
from hoistplank.lab.scale.metering import Effort, Quantity, Step, awaited, kept_bytes, processor_us, series
from hoistplank.lab.scale.role_change_log import GAP_PER_FOLLOWER_S, GAP_S, LOG_PROCESS
from hoistplank.protocol.changelog import Fleet, Purge, Target

ROLE = "control replica"
REPLICA_PROCESS = "hoistplank.lab.scale.replica_process"
FOLLOWERS = (34, 68, 136, 272)
DISPATCHERS = (85, 170, 340, 680)
PURGES = (234, 3_500, 7_000, 14_040)
HOSTS_AT_TARGET = 180
EPOCH = 1
HORIZON_US = 3_600_000_000
RETENTION_US = 86_400_000_000
LOOK_S = 0.02
LOG_HEARTBEAT_S = 1.5  # one a second, and some
REACHED_S = 60.0


class AcknowledgingFollower(asyncio.Protocol):
    """Reads a replica's lines and acknowledges each event, and each catch-up at its end."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.reader = LineReader(MAX_LINE_BYTES)
        self.buffer = bytearray()
        self.held = 0
        self.received = 0
        self.transport: asyncio.WriteTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.WriteTransport)
        self.transport = transport
        transport.write(encode(RequestLine(follow=FollowRequest(self.name, 1))))

    def data_received(self, data: bytes) -> None:
        self.received += len(data)
        self.buffer += data
        start, lines = self.reader.read(self.buffer, 0, len(self.buffer))
        del self.buffer[:start]
        for line in lines:
            told = read_replica_line(line)
            if isinstance(told, ReplicatedEvent):
                self._take(told)

    def _take(self, event: ReplicatedEvent) -> None:
        if event.catch_up in (CatchUp.BEGIN, CatchUp.PART) or event.seq <= self.held:
            return
        self.held = event.seq
        assert self.transport is not None
        acknowledgement = Acknowledgement(VersionFields(event.epoch, event.seq))
        self.transport.write(encode(RequestLine(acknowledgement=acknowledgement)))


class Crowd:
    """The followers of one replica."""

    def __init__(self) -> None:
        self.rows: list[AcknowledgingFollower] = []

    async def grow(self, port: int, count: int) -> None:
        """Connects until there are so many."""
        loop = asyncio.get_running_loop()
        while len(self.rows) < count:
            name = f"d{len(self.rows)}"
            _, follower = await loop.create_connection(
                lambda name=name: AcknowledgingFollower(name),  # type: ignore[misc]
                "127.0.0.1",
                port,
            )
            self.rows.append(follower)

    async def reached(self, seq: int) -> None:
        """Waits until every follower holds an event. Raises TimeoutError."""
        async with asyncio.timeout(REACHED_S):
            while any(follower.held < seq for follower in self.rows):
                await asyncio.sleep(LOOK_S)

    def received(self) -> int:
        """Bytes, all followers together."""
        return sum(follower.received for follower in self.rows)

    def close(self) -> None:
        for follower in self.rows:
            if follower.transport is not None:
                follower.transport.abort()


@dataclass(frozen=True, slots=True)
class Told:
    """An event handed on and acknowledged at so many followers, and the replica's resident memory and
    descriptors."""

    followers: int
    processor_us: float
    bytes: float
    resident_bytes: int
    descriptors: int


async def _tell(log: Child, replica: Child, crowd: Crowd, events: int) -> Told:
    count = len(crowd.rows)
    before, received = await replica.ask(), crowd.received()
    told = await log.ask(f"tell {events} {GAP_S + GAP_PER_FOLLOWER_S * count}")
    await crowd.reached(told.seq)
    after = await replica.ask()
    spent = (after.processor_us - before.processor_us) / events
    sent = (crowd.received() - received) / events
    return Told(count, spent, sent, after.resident_bytes, after.descriptors)


async def _holds(replica: Child, seq: int) -> None:
    """Waits until the replica holds an event and has heard a heartbeat of the log: before that it sends
    dispatchers away."""
    while (await replica.ask()).seq < seq:
        await asyncio.sleep(LOOK_S)
    await asyncio.sleep(LOG_HEARTBEAT_S)


async def _fan_outs(events: int) -> list[Told]:
    crowd = Crowd()
    found = []
    async with (
        running(LOG_PROCESS) as (log, log_started),
        running(REPLICA_PROCESS, str(log_started.port)) as (replica, started),
    ):
        try:
            listed = await log.ask(f"list {HOSTS_AT_TARGET}")
            await _holds(replica, listed.seq)
            for count in FOLLOWERS:
                await crowd.grow(started.port, count)
                await crowd.reached(listed.seq)
                await _tell(log, replica, crowd, 1)
                found.append(await _tell(log, replica, crowd, events))
        finally:
            crowd.close()
    return found


def _fan_out(effort: Effort) -> list[Measurement]:
    notes = "each event acknowledged"
    cost = Quantity(ROLE, "processor time of an event", "us", "followers", notes)
    size = Quantity(ROLE, "bytes of an event", "B", "followers")
    memory = Quantity(ROLE, "resident memory", "B", "followers", f"{HOSTS_AT_TARGET} hosts, few purges")
    descriptors = Quantity(ROLE, "descriptors", "descriptors", "followers")
    found = []
    for _ in range(effort.slow_repeats):
        for row in awaited(lambda: _fan_outs(effort.events)):
            found += [
                cost.measured(row.followers, row.processor_us),
                size.measured(row.followers, row.bytes),
                memory.measured(row.followers, row.resident_bytes),
                descriptors.measured(row.followers, row.descriptors),
            ]
    return found


# State tables.


def host_event(hosts: int) -> ReplicatedEvent:
    """A whole list."""
    rows = [Target(f"box-{number}", f"127.0.0.1:{10_000 + number}", "z1", "box") for number in range(hosts)]
    return ReplicatedEvent(1, EPOCH, 0, Fleet(1, True, rows))


def purge_events(count: int) -> list[ReplicatedEvent]:
    """Purges of so many objects, after the list."""
    return [
        ReplicatedEvent(number, EPOCH, number - 1, invalidate=Purge(number, f"{number:016x}"))
        for number in range(2, 2 + count)
    ]


def state_with(purges: int, hosts: int = HOSTS_AT_TARGET) -> ReplicatedState:
    """A replica's state after a list and so many purges."""
    state = ReplicatedState(HORIZON_US)
    state.apply(0, host_event(hosts))
    for event in purge_events(purges):
        state.apply(0, event)
    return state


def _state_cost(effort: Effort) -> list[Measurement]:
    applying = Quantity(ROLE, "processor time of applying purges", "us", "purges")
    first = Quantity(ROLE, "processor time of a first catch-up's lines", "us", "purges", "encodes them")
    later = Quantity(ROLE, "processor time of a later catch-up's lines", "us", "purges")
    found = []
    for count in effort.sizes(PURGES) * effort.repeats:
        state = state_with(0)
        events = purge_events(count)

        def apply(state: ReplicatedState = state, events: list[ReplicatedEvent] = events) -> None:
            for event in events:
                state.apply(0, event)

        def catch_up(state: ReplicatedState = state) -> None:
            state.lines_since(NOTHING)

        found += [
            applying.measured(count, processor_us(apply)),
            first.measured(count, processor_us(catch_up)),
            later.measured(count, processor_us(catch_up)),
        ]
    return found


def _state_size(effort: Effort) -> list[Measurement]:
    memory = Quantity(ROLE, "memory of purges within the horizon", "B", "purges", "their lines encoded")
    size = Quantity(ROLE, "bytes of a catch-up from nothing", "B", "purges", f"{HOSTS_AT_TARGET} hosts")
    sizes = effort.sizes(PURGES)

    def held(count: int) -> float:
        def make() -> ReplicatedState:
            state = state_with(count)
            state.bytes_since(NOTHING)
            return state

        return kept_bytes(make)[1]

    def told(count: int) -> float:
        return state_with(count).bytes_since(NOTHING)

    return series(memory, sizes, effort.slow_repeats, held) + series(size, sizes, 1, told)


def _table_with(dispatchers: int) -> AcknowledgementTable:
    table = AcknowledgementTable(RETENTION_US)
    for number in range(dispatchers):
        table.register(0, "c1", FollowRequest(f"d{number}", 1, "north"))
    return table


def _acknowledgements(effort: Effort) -> list[Measurement]:
    cost = Quantity(ROLE, "processor time of acknowledgements of one event", "us", "dispatchers")
    status = Quantity(ROLE, "processor time of a status of the fleet", "us", "dispatchers")
    memory = Quantity(ROLE, "memory of acknowledgements", "B", "dispatchers")
    found = []
    for count in DISPATCHERS * effort.repeats:
        table = _table_with(count)

        def acknowledge(table: AcknowledgementTable = table, count: int = count) -> None:
            for number in range(count):
                table.acknowledge(1, f"d{number}", 1, Acknowledgement(VersionFields(EPOCH, 1)))

        def ask(table: AcknowledgementTable = table) -> None:
            table.fleet_status(1, Version(EPOCH, 2), NOTHING, 7_000_000)

        found += [cost.measured(count, processor_us(acknowledge)), status.measured(count, processor_us(ask))]
    return found + series(
        memory, DISPATCHERS, effort.slow_repeats, lambda count: kept_bytes(lambda: _table_with(count))[1]
    )


def _follower(effort: Effort) -> list[Measurement]:
    """A dispatcher's own side: lines read, judged and acknowledged, without the owner's turn."""
    quantity = Quantity("dispatcher", "processor time of a replica's purges judged", "us", "purges")

    def value(count: int) -> float:
        follower = FollowerState()
        lines = [encode(event) for event in (host_event(1), *purge_events(count))]
        begin = ReplicatedEvent(1, EPOCH, catch_up=CatchUp.BEGIN)
        end = ReplicatedEvent(1, EPOCH, catch_up=CatchUp.END)
        for event in (begin, end):
            follower.receive(0, event)
        follower.mark_applied(follower.received)

        def judge() -> None:
            for line in lines[1:]:
                event = read_replica_line(line)
                assert isinstance(event, ReplicatedEvent)
                follower.receive(event.seq, event)
                follower.mark_applied(follower.received)
                encode(RequestLine(acknowledgement=follower.acknowledgement()))

        spent = processor_us(judge)
        assert follower.received.number == count + 1  # else what was timed was refusing them
        return spent

    return series(quantity, effort.sizes(PURGES), effort.repeats, value)


STEPS = (
    Step(ROLE, "fan-out and acknowledgements", _fan_out),
    Step(ROLE, "state: processor time", _state_cost),
    Step(ROLE, "state: memory and bytes", _state_size),
    Step(ROLE, "acknowledgement table", _acknowledgements),
    Step(ROLE, "a dispatcher's side", _follower),
)
