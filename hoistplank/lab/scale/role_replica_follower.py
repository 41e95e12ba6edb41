"""What following a control replica costs a dispatcher: the replica's lines through the real
`ReplicaFollower`, `RouterTask` and `Router`, each acknowledged on a real connection.

The lines are made by the replica's own state tables in this process. The acknowledgements go out through a
socket pair with their loop's turn; the system call that reads a line is not in these figures.
"""

from __future__ import annotations

import asyncio
import socket
import time
from dataclasses import dataclass
from random import Random

import numpy as np

from hoistplank.distribution.assignment import ReplicaAddress
from hoistplank.distribution.follower import FollowerSettings, ReplicaFollower
from hoistplank.distribution.messages import Configuration, ReplicatedEvent, encode
from hoistplank.distribution.state import ReplicatedState
from hoistplank.distribution.versions import Version
from hoistplank.lab.scale.measurements import Measurement
from hoistplank.lab.scale.metering import Effort, Quantity, Step, awaited
from hoistplank.lab.scale.role_control_replica import EPOCH, HORIZON_US, HOSTS_AT_TARGET, host_event
from hoistplank.lab.scale.role_dispatcher import ControlPath
from hoistplank.lab.scale.role_operator import tenants_file
from hoistplank.protocol.changelog import Purge, Snapshot
from hoistplank.transport.connection import Connection

ROLE = "dispatcher"
SEED = 7
LISTED = Version(EPOCH, 1)
EVENTS = (250, 500, 1_000, 2_000)
HEARTBEATS = (60, 120, 240, 480)
MISSED = (1_000, 3_500, 7_000, 14_040)
# An hour holds 14,040 purges and 60 configurations.
PURGES_PER_CONFIGURATION = 234
TENANTS = 200
# As the scenes of the scale run have it by default.
ZIPF, OBJECTS = 1.2, 1_000_000
READ_BYTES = 65_536
LARGEST_READ = 1_048_576
ADDRESS = ReplicaAddress("c1", "north", ("127.0.0.1", 1))


def purge_event(number: int, name: int | None = None) -> ReplicatedEvent:
    """The purge of an object: of one that no other event purges unless it is named."""
    purged = number if name is None else name
    return ReplicatedEvent(
        number, EPOCH, invalidate=Purge(float(time.time_ns() // 1_000_000), f"{purged:016x}")
    )


def configuration_event(number: int, text: str) -> ReplicatedEvent:
    return ReplicatedEvent(number, EPOCH, configuration=Configuration(text))


def listed_state() -> ReplicatedState:
    """A replica's state that holds the list alone."""
    state = ReplicatedState(HORIZON_US)
    state.apply(0, host_event(HOSTS_AT_TARGET))
    return state


def popular_objects(count: int, seed: int) -> list[int]:
    """So many objects, drawn as the scale run's scene draws them."""
    ranks = np.random.default_rng(seed).zipf(ZIPF, size=count)
    return [int(rank) % OBJECTS for rank in ranks]


def state_after(purges: int, objects: list[int] | None = None) -> ReplicatedState:
    """A replica's state after the list, so many purges, and an hour's share of configurations."""
    state = listed_state()
    text = tenants_file(TENANTS).decode()
    for number in range(2, 2 + purges):
        state.apply(0, purge_event(number, None if objects is None else objects[number - 2]))
    first = 2 + purges
    for number in range(first, first + max(1, purges // PURGES_PER_CONFIGURATION)):
        state.apply(0, configuration_event(number, text))
    return state


def live_lines(count: int) -> list[bytes]:
    """So many purges, as a replica hands each on to a follower that is up to date."""
    state = listed_state()
    lines = []
    for number in range(2, 2 + count):
        previous = state.version
        state.apply(0, purge_event(number))
        lines += state.lines_since(previous)
    return lines


@dataclass(frozen=True, slots=True)
class Followed:
    """What so many lines cost: processor time (us), and the bytes of them and of their acknowledgements."""

    processor_us: float
    received: int
    acknowledged: int


class ReplicaPath:
    """A dispatcher's way from a replica's lines to its acknowledgements. Made where an event loop runs."""

    def __init__(self) -> None:
        self.control = ControlPath()
        settings = FollowerSettings("d1", "north", 1, (ADDRESS,))
        self.follower = ReplicaFollower(self.control.owner, settings, Snapshot(), Random(SEED))
        self.consume = self.follower.make_consumer()
        self.near, self.far = socket.socketpair()
        self.near.setblocking(False)
        self.far.setblocking(False)
        self.follower.connection = Connection(self.near, self.consume, LARGEST_READ, LARGEST_READ)
        self.buffer = bytearray()
        self.follower.state.connection_opened(self.control.owner.clock.now())

    def read(self, data: bytes) -> None:
        """What one read of the socket brings, and the owner's turn with it."""
        self.buffer += data
        used = self.consume(self.buffer, 0, len(self.buffer))
        del self.buffer[:used]
        self.control.owner.turn()

    async def acknowledge(self) -> int:
        """Sends the acknowledgement, with the loop's turn that writes it; its bytes."""
        self.follower.acknowledgements.send()
        await asyncio.sleep(0)
        return len(self.far.recv(READ_BYTES))

    async def caught_up(self, state: ReplicatedState) -> None:
        """Brings it to a replica's state, outside of what is measured."""
        self.read(b"".join(state.lines_since(self.follower.state.resume_at)))
        await self.acknowledge()

    async def each(self, lines: list[bytes]) -> Followed:
        """Each line in a read, a turn and an acknowledgement of its own."""
        acknowledged = 0
        began = time.process_time_ns()
        for line in lines:
            self.read(line)
            acknowledged += await self.acknowledge()
        spent = (time.process_time_ns() - began) / 1_000
        return Followed(spent, sum(map(len, lines)), acknowledged)

    async def together(self, data: bytes) -> Followed:
        """A catch-up: reads of a socket's usual size, one acknowledgement at its end."""
        began = time.process_time_ns()
        for start in range(0, len(data), READ_BYTES):
            self.read(data[start : start + READ_BYTES])
        acknowledged = await self.acknowledge()
        spent = (time.process_time_ns() - began) / 1_000
        return Followed(spent, len(data), acknowledged)

    def close(self) -> None:
        self.near.close()
        self.far.close()


async def follow_events(count: int) -> Followed:
    """So many purges in the steady state."""
    path = ReplicaPath()
    try:
        await path.caught_up(listed_state())
        found = await path.each(live_lines(count))
        # Else what was timed was refusing them.
        assert path.follower.state.resume_at.number == count + 1
        return found
    finally:
        path.close()


async def follow_heartbeats(count: int) -> Followed:
    """So many seconds without an event: a heartbeat and an acknowledgement each."""
    path = ReplicaPath()
    state = listed_state()
    try:
        await path.caught_up(state)
        return await path.each([encode(state.heartbeat())] * count)
    finally:
        path.close()


async def catch_up(missed: int) -> Followed:
    """A catch-up after so many purges and their share of configurations."""
    path = ReplicaPath()
    state = state_after(missed)
    try:
        await path.caught_up(listed_state())
        found = await path.together(b"".join(state.lines_since(LISTED)))
        assert path.follower.state.received == state.version
        return found
    finally:
        path.close()


def _events(effort: Effort) -> list[Measurement]:
    cost = Quantity(ROLE, "processor time of a replica's purges, each acknowledged", "us", "purges")
    received = Quantity(ROLE, "bytes of a replica's purges", "B", "purges")
    sent = Quantity(ROLE, "bytes of acknowledgements of purges", "B", "purges")
    found = []
    for count in effort.sizes(EVENTS) * effort.repeats:
        row = awaited(lambda count=count: follow_events(count))  # type: ignore[misc]
        found += [
            cost.measured(count, row.processor_us),
            received.measured(count, row.received),
            sent.measured(count, row.acknowledged),
        ]
    return found


def _idle(effort: Effort) -> list[Measurement]:
    notes = "one heartbeat and one acknowledgement a second"
    cost = Quantity(ROLE, "processor time of heartbeats and acknowledgements", "us", "seconds", notes)
    size = Quantity(ROLE, "bytes of heartbeats and acknowledgements", "B", "seconds", notes)
    found = []
    for count in effort.sizes(HEARTBEATS) * effort.repeats:
        row = awaited(lambda count=count: follow_heartbeats(count))  # type: ignore[misc]
        found += [
            cost.measured(count, row.processor_us),
            size.measured(count, row.received + row.acknowledged),
        ]
    return found


def _catch_ups(effort: Effort) -> list[Measurement]:
    notes = (
        f"each of another object; one configuration of {TENANTS} tenants in {PURGES_PER_CONFIGURATION} purges"
    )
    cost = Quantity(ROLE, "processor time of a catch-up from a replica", "us", "purges missed", notes)
    size = Quantity(ROLE, "bytes of a catch-up from a replica", "B", "purges missed", notes)
    found = []
    for count in effort.sizes(MISSED) * effort.slow_repeats:
        row = awaited(lambda count=count: catch_up(count))  # type: ignore[misc]
        found += [
            cost.measured(count, row.processor_us),
            size.measured(count, row.received + row.acknowledged),
        ]
    return found


def _compacted(effort: Effort) -> list[Measurement]:
    """Each repeat draws other objects."""
    notes = f"objects by Zipf's law, exponent {ZIPF}"
    name = "bytes of a catch-up from a replica, popular objects purged again"
    size = Quantity(ROLE, name, "B", "purges missed", notes)
    return [
        size.measured(count, state_after(count, popular_objects(count, SEED + repeat)).bytes_since(LISTED))
        for repeat in range(effort.repeats)
        for count in effort.sizes(MISSED)
    ]


STEPS = (
    Step(ROLE, "following a replica: events", _events),
    Step(ROLE, "following a replica: idle", _idle),
    Step(ROLE, "following a replica: catch-up", _catch_ups),
    Step(ROLE, "following a replica: compaction", _compacted),
)
