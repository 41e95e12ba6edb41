"""A replica's side of one dispatcher's connection: its catch-up in turns, then each event as it arrives."""

from __future__ import annotations

import enum
from collections import deque
from typing import Protocol

import structlog
from msgspec.structs import replace

from hoistplank.distribution.catch_up import CatchUpQueue
from hoistplank.distribution.messages import CatchUp, FollowRequest, Refusal, encode
from hoistplank.distribution.state import ReplicatedState
from hoistplank.distribution.versions import Version
from hoistplank.transport.connection import Connection

log = structlog.get_logger()
SMALL_CATCH_UP_BYTES = 32_768  # sent without waiting for a turn
CHUNK_BYTES = 65_536  # of a catch-up that are passed to the connection at once
# Bounds the memory of this replica that a dispatcher which reads nothing can take from all others.
MAX_PENDING_BYTES = 1_048_576


class SessionPhase(enum.Enum):
    """The phases of sending to a dispatcher."""

    WAITING = "waiting"  # for its turn to catch up
    CATCHING_UP = "catching up"
    LIVE = "live"


class SessionReplica(Protocol):
    """The interface of a replica that a session uses."""

    state: ReplicatedState
    queue: CatchUpQueue[DispatcherSession]

    def now(self) -> int:
        """Returns the time in microseconds."""

    def count_slow_reader(self) -> None:
        """Counts a connection that was closed because the dispatcher reads too slowly."""


class DispatcherSession:
    """Sends one dispatcher what it lacks, in order."""

    def __init__(self, replica: SessionReplica, connection: Connection, request: FollowRequest) -> None:
        self.replica = replica
        self.connection = connection
        self.request = request
        self.sent: Version = request.resume_at.to_version()  # everything up to it has been sent
        self.phase = SessionPhase.LIVE
        self.last_refusal: Refusal | None = None  # the last refusal that was logged
        self._catch_up_version = self.sent
        self._chunks = deque[bytes]()

    @property
    def name(self) -> str:
        """The dispatcher's name."""
        return self.request.dispatcher

    def start(self) -> None:
        """Sends what is missing: at once if that is little, otherwise in its turn."""
        state = self.replica.state
        lines = state.lines_since(self.sent)
        size = sum(map(len, lines))
        if size > SMALL_CATCH_UP_BYTES:
            self._wait_for_turn(size)
            return
        self.phase = SessionPhase.LIVE
        if lines:
            self._send(b"".join(lines))
        if state.is_listed:
            self.sent = max(self.sent, state.version)

    def _wait_for_turn(self, size: int) -> None:
        self.phase = SessionPhase.WAITING
        if not self.replica.queue.enqueue(self, size):
            self.connection.close()
            return
        self.send_heartbeat()

    def begin_turn(self) -> None:
        """Sends the catch-up chunk by chunk, each when the previous one has been written."""
        self.phase = SessionPhase.CATCHING_UP
        self._catch_up_version = self.replica.state.version
        self._chunks = deque(_join_to_chunks(self._catch_up_lines()))
        self.connection.on_all_written = self._send_next_chunk
        self._send_next_chunk()

    def _catch_up_lines(self) -> list[bytes]:
        """Returns what is missing as a catch-up, even if it is a single event.

        While waiting, the dispatcher was sent the begin of a catch-up; it would treat an event outside of one
        as a gap.
        """
        state = self.replica.state
        lines = state.lines_since(self.sent)
        if len(lines) != 1:
            return lines
        (event,) = state.events_since(self.sent)
        begin = state.heartbeat_for(self.sent)
        end = replace(begin, catch_up=CatchUp.END)
        if event.is_heartbeat:
            return [encode(begin), encode(end)]
        part = replace(event, after=0, catch_up=CatchUp.PART)
        return [encode(begin), encode(part), encode(end)]

    def _send_next_chunk(self) -> None:
        if self._chunks:
            self.connection.send(self._chunks.popleft())
            return
        self.connection.on_all_written = None
        self.replica.queue.finish(self)
        self.sent = self._catch_up_version
        self.start()  # what has arrived in the meantime
        if self.phase is SessionPhase.LIVE:
            self.send_heartbeat()

    def send_event(self, previous: Version, data: bytes) -> None:
        """Sends the replica's newest event; `data` is what a dispatcher at `previous` lacks."""
        version = self.replica.state.version
        if self.phase is not SessionPhase.LIVE or version <= self.sent:
            return
        if self.sent == previous:
            self._send(data)
            self.sent = version
        else:
            self.start()

    def send_heartbeat(self) -> None:
        """Sends a heartbeat: nothing is newer than what was sent, or a pending catch-up will follow."""
        if self.phase is not SessionPhase.CATCHING_UP:
            self._send(encode(self.replica.state.heartbeat_for(self.sent)))

    def _send(self, data: bytes) -> None:
        self.connection.send(data)
        pending = self.connection.unsent_bytes
        if pending > MAX_PENDING_BYTES + len(data):
            self.replica.count_slow_reader()
            log.warning("dispatcher reads too slowly, connection closed", peer=self.name, waiting=pending)
            self.connection.close()


def _join_to_chunks(lines: list[bytes]) -> list[bytes]:
    """Joins lines to chunks of CHUNK_BYTES or more: a write for each line would cost more than its bytes."""
    chunks, current, size = list[bytes](), list[bytes](), 0
    for line in lines:
        current.append(line)
        size += len(line)
        if size >= CHUNK_BYTES:
            chunks.append(b"".join(current))
            current, size = [], 0
    if current:
        chunks.append(b"".join(current))
    return chunks
