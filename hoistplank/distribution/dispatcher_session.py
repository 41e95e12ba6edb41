"""A replica's side of one dispatcher's connection: its catch-up in turns, then each event as it comes."""

from __future__ import annotations

import enum
from collections import deque
from typing import Protocol

import structlog
from msgspec.structs import replace

from hoistplank.distribution.catch_up import CatchUpQueue
from hoistplank.distribution.messages import CatchUp, Follow, Refusal, encode
from hoistplank.distribution.state import ReplicatedState
from hoistplank.distribution.versions import Version
from hoistplank.transport.connection import Connection

log = structlog.get_logger()
SMALL_CATCH_UP = 32_768  # bytes that are sent without waiting for a turn
CHUNK = 65_536  # bytes of a catch-up that are handed to the connection at once
# Danger: what waits for a dispatcher that reads nothing takes this replica's memory from all others.
MOST_WAITING = 1_048_576


class Phase(enum.Enum):
    """What a dispatcher is sent."""

    WAITING = "waiting"  # for its turn to catch up
    CATCHING_UP = "catching up"
    LIVE = "live"


class Serving(Protocol):
    """What a session uses of its replica."""

    state: ReplicatedState
    queue: CatchUpQueue[DispatcherSession]
    cut_off: int

    def now(self) -> int: ...


class DispatcherSession:
    """Sends one dispatcher what it lacks, in order."""

    def __init__(self, replica: Serving, connection: Connection, follow: Follow) -> None:
        self.replica, self.connection, self.follow = replica, connection, follow
        self.at: Version = follow.at.version()  # all up to it has been sent
        self.phase = Phase.LIVE
        self._until = self.at
        self._pending = deque[bytes]()
        self.refused: Refusal | None = None  # the last refusal that was logged

    @property
    def name(self) -> str:
        return self.follow.dispatcher

    def start(self) -> None:
        """Sends what is missing, at once where that is little, else in its turn."""
        state = self.replica.state
        lines = state.lines_since(self.at)
        size = sum(map(len, lines))
        if size > SMALL_CATCH_UP:
            self._ask(size)
            return
        self.phase = Phase.LIVE
        if lines:
            self._send(b"".join(lines))
        if state.is_listed:
            self.at = max(self.at, state.version)

    def _ask(self, size: int) -> None:
        self.phase = Phase.WAITING
        if not self.replica.queue.asked(self.replica.now(), self, size):
            self.connection.close()
            return
        self.heartbeat()

    def begin_turn(self) -> None:
        """Its turn has come: the catch-up is sent a chunk at a time, the next when the last was taken."""
        state = self.replica.state
        self.phase, self._until = Phase.CATCHING_UP, state.version
        self._pending = deque(_chunks(self._catch_up_lines()))
        self.connection.on_all_written = self._next_chunk
        self._next_chunk()

    def _catch_up_lines(self) -> list[bytes]:
        """What is lacking, as a catch-up also where it is one event.

        Danger: while it waited it was told that a catch-up begins; an event outside of it is a gap then.
        """
        state = self.replica.state
        lines = state.lines_since(self.at)
        if len(lines) != 1:
            return lines
        (event,) = state.events_since(self.at)
        begin = state.heartbeat_for(self.at)
        part = replace(event, after=0, catch_up=CatchUp.PART)
        end = replace(begin, catch_up=CatchUp.END)
        return [encode(line) for line in (begin, part, end) if line is not part or not event.is_heartbeat]

    def _next_chunk(self) -> None:
        if self._pending:
            self.connection.send(self._pending.popleft())
            return
        self.connection.on_all_written = None
        self.replica.queue.done(self.replica.now(), self)
        self.at = self._until
        self.start()  # what came meanwhile
        if self.phase is Phase.LIVE:
            self.heartbeat()

    def event_came(self, previous: Version, data: bytes) -> None:
        """`data` holds what the replica's newest event brings to who holds `previous`."""
        version = self.replica.state.version
        if self.phase is not Phase.LIVE or version <= self.at:
            return
        if self.at == previous:
            self._send(data)
            self.at = version
        else:
            self.start()

    def heartbeat(self) -> None:
        """Nothing is newer than what was sent; or, while a catch-up is awaited, that it will come."""
        if self.phase is not Phase.CATCHING_UP:
            self._send(encode(self.replica.state.heartbeat_for(self.at)))

    def _send(self, data: bytes) -> None:
        self.connection.send(data)
        if self.connection.unsent_bytes > MOST_WAITING + len(data):
            self.replica.cut_off += 1
            waiting = self.connection.unsent_bytes
            log.warning("dispatcher reads too slowly, connection ended", peer=self.name, waiting=waiting)
            self.connection.close()


def _chunks(lines: list[bytes]) -> list[bytes]:
    """Lines joined to pieces of some size: one write each costs more than the bytes."""
    found, some, size = list[bytes](), list[bytes](), 0
    for line in lines:
        some.append(line)
        size += len(line)
        if size >= CHUNK:
            found.append(b"".join(some))
            some, size = [], 0
    if some:
        found.append(b"".join(some))
    return found
