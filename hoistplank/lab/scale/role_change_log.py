"""What the stand-in change log costs: an event told to followers, the log's length, catch-up, descriptors.

The log runs in a process of its own and tells its processor time; followers are plain sockets that are read
and thrown away. A deployment's own change log is another program: its figures are not these.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from hoistplank.lab.scale.children import Child, running
from hoistplank.lab.scale.log_process import Served
from hoistplank.lab.scale.measurements import Measurement
from hoistplank.lab.scale.metering import Effort, Quantity, Step, awaited, kept_bytes, series
from hoistplank.protocol import changelog

ROLE = "change log"
LOG_PROCESS = "hoistplank.lab.scale.log_process"
FOLLOWERS = (85, 170, 340, 680)
HELD = (1_000, 3_500, 7_000, 14_040)
HELD_FOLLOWERS = 40
MISSED = (1_000, 3_500, 7_000, 14_040)
MISSED_FOLLOWERS = 8
CATCHING_UP = (4, 8, 16, 32)
CAUGHT_UP_EVENTS = 1_750
# Between events, so that each finds every follower waiting: a little, and some for each follower.
GAP_S = 0.02
GAP_PER_FOLLOWER_S = 0.0001
LOOK_S = 0.05
REACHED_S = 60.0


class _Follower(asyncio.Protocol):
    """Reads and counts."""

    def __init__(self) -> None:
        self.received = 0
        self.last = b""

    def data_received(self, data: bytes) -> None:
        self.received += len(data)
        self.last = (self.last + data)[-200:]

    def last_seq(self) -> int:
        """The number of the last whole line, 0 before one has come."""
        lines = self.last.split(b"\n")
        buffer = bytearray(lines[-2] + b"\n") if len(lines) > 2 else bytearray()
        _, found = changelog.ChangeLogReader().read(buffer, 0, len(buffer))
        return found[-1].seq if found else 0


class Followers:
    """So many connections to the log, all from one event number."""

    def __init__(self) -> None:
        self.rows: list[tuple[asyncio.Transport, _Follower]] = []

    async def join(self, port: int, count: int, since: int) -> None:
        """Connects and asks."""
        loop = asyncio.get_running_loop()
        for _ in range(count):
            transport, follower = await loop.create_connection(_Follower, "127.0.0.1", port)
            transport.write(changelog.encode_since(since))
            self.rows.append((transport, follower))

    def received(self) -> int:
        """Bytes, all followers together."""
        return sum(follower.received for _, follower in self.rows)

    async def reached(self, seq: int) -> None:
        """Waits until every follower has an event. Raises TimeoutError."""
        async with asyncio.timeout(REACHED_S):
            while any(follower.last_seq() < seq for _, follower in self.rows):
                await asyncio.sleep(LOOK_S)

    def close(self) -> None:
        for transport, _ in self.rows:
            transport.abort()


async def _told(child: Child, events: int, followers: Followers) -> tuple[float, float]:
    """Processor time (us) and bytes of an event to all followers."""
    count = len(followers.rows)
    gap = GAP_S + GAP_PER_FOLLOWER_S * count
    before, received = await child.ask(), followers.received()
    after = await child.ask(f"tell {events} {gap}")
    await followers.reached(after.seq)
    bytes_each = (followers.received() - received) / events
    return (after.processor_us - before.processor_us) / events, bytes_each


@dataclass(frozen=True, slots=True)
class FanOut:
    """An event told to so many followers: processor time (us), bytes to all, and the log's descriptors."""

    followers: int
    processor_us: float
    bytes: float
    descriptors: int


async def _fan_outs(events: int) -> list[FanOut]:
    """An event's cost at each number of followers, which join one log one after another."""
    found = []
    followers = Followers()
    async with running(LOG_PROCESS) as (child, first):
        try:
            for count in FOLLOWERS:
                seq = (await child.ask()).seq
                await followers.join(first.port, count - len(followers.rows), seq)
                await _told(child, 1, followers)
                spent, received = await _told(child, events, followers)
                found.append(FanOut(count, spent, received, (await child.ask()).descriptors))
        finally:
            followers.close()
    return found


def _fan_out(effort: Effort) -> list[Measurement]:
    cost = Quantity(ROLE, "processor time of an event", "us", "followers", "a short log")
    size = Quantity(ROLE, "bytes of an event", "B", "followers")
    descriptors = Quantity(ROLE, "descriptors", "descriptors", "followers")
    found = []
    for _ in range(effort.slow_repeats):
        for row in awaited(lambda: _fan_outs(effort.events)):
            found += [
                cost.measured(row.followers, row.processor_us),
                size.measured(row.followers, row.bytes),
                descriptors.measured(row.followers, row.descriptors),
            ]
    return found


async def _held_at(held: int, events: int) -> float:
    """Processor time (us) of an event for one follower, with so many events in the log."""
    followers = Followers()
    async with running(LOG_PROCESS) as (child, first):
        try:
            await child.ask(f"fill {held}")
            await followers.join(first.port, HELD_FOLLOWERS, held)
            await _told(child, 1, followers)
            spent, _ = await _told(child, events, followers)
        finally:
            followers.close()
    return spent / HELD_FOLLOWERS


def _log_length(effort: Effort) -> list[Measurement]:
    notes = f"of {HELD_FOLLOWERS} followers"
    cost = Quantity(ROLE, "processor time of an event for one follower", "us", "events held", notes)
    memory = Quantity(ROLE, "memory of events held", "B", "events held")

    def value(held: int) -> float:
        return awaited(lambda: _held_at(held, max(4, effort.events // 4)))

    def kept(held: int) -> float:
        def fill() -> Served:
            served = Served()
            served.log.events.extend(served.purge() for _ in range(held))
            return served

        return kept_bytes(fill)[1]

    return series(cost, effort.sizes(HELD), effort.slow_repeats, value) + series(
        memory, effort.sizes(HELD), 1, kept
    )


@dataclass(frozen=True, slots=True)
class CatchUp:
    """One follower's share of a catch-up: processor time (us) and bytes."""

    processor_us: float
    bytes: float


async def _caught_up(child: Child, port: int, count: int, missed: int) -> CatchUp:
    """So many followers that catch up with all events of the log."""
    followers = Followers()
    try:
        before = await child.ask()
        await followers.join(port, count, 0)
        await followers.reached(missed)
        after = await child.ask()
        received = followers.received()
    finally:
        followers.close()
    return CatchUp((after.processor_us - before.processor_us) / count, received / count)


@dataclass(frozen=True, slots=True)
class CatchUps:
    """The first follower's catch-up with a log of so many events, for which they are encoded, and a later
    one's."""

    missed: int
    first: CatchUp
    later: CatchUp


async def _by_missed(missed: int) -> CatchUps:
    """Catch-ups with a fresh log of so many events."""
    async with running(LOG_PROCESS) as (child, started):
        await child.ask(f"fill {missed}")
        first = await _caught_up(child, started.port, 1, missed)
        later = await _caught_up(child, started.port, MISSED_FOLLOWERS, missed)
    return CatchUps(missed, first, later)


async def _by_followers() -> list[CatchUp]:
    """A catch-up with the same events by each number of followers; the events are encoded before."""
    async with running(LOG_PROCESS) as (child, started):
        await child.ask(f"fill {CAUGHT_UP_EVENTS}")
        await _caught_up(child, started.port, 1, CAUGHT_UP_EVENTS)
        return [await _caught_up(child, started.port, count, CAUGHT_UP_EVENTS) for count in CATCHING_UP]


def _catch_up(effort: Effort) -> list[Measurement]:
    first = Quantity(ROLE, "processor time of the first catch-up", "us", "events missed", "encodes them")
    cost = Quantity(
        ROLE, "processor time of one follower's catch-up", "us", "events missed", "encoded before"
    )
    size = Quantity(ROLE, "bytes of one follower's catch-up", "B", "events missed")
    notes = f"{CAUGHT_UP_EVENTS} events, encoded before"
    crowd = Quantity(ROLE, "processor time of a catch-up of all", "us", "followers catching up", notes)
    found = []
    for _ in range(effort.slow_repeats):
        for missed in effort.sizes(MISSED):
            row = awaited(lambda missed=missed: _by_missed(missed))  # type: ignore[misc]
            found += [
                first.measured(missed, row.first.processor_us),
                cost.measured(missed, row.later.processor_us),
                size.measured(missed, row.later.bytes),
            ]
        for count, caught_up in zip(CATCHING_UP, awaited(_by_followers), strict=True):
            found.append(crowd.measured(count, caught_up.processor_us * count))
    return found


STEPS = (
    Step(ROLE, "fan-out", _fan_out),
    Step(ROLE, "length of the log", _log_length),
    Step(ROLE, "catch-up", _catch_up),
)
