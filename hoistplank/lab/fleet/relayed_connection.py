"""One connection through a relay: two endpoints, and a direction of bytes each way between them."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections import deque
from collections.abc import Coroutine
from random import Random
from typing import Any, Protocol, cast

from hoistplank.lab.fleet.path_conditions import PathConditions, StreamDirection
from hoistplank.lab.fleet.relay_counters import RelayCounters, now_us

MAX_BUFFERED = 512 * 1024  # bytes of one direction that wait; beyond it the sender is read no more, as by TCP
RESUME_BELOW = MAX_BUFFERED // 2
END_OF_STREAM = b""  # a chunk that stands for the orderly end of a direction
RESET = None  # a chunk that stands for a connection that broke off
Chunk = bytes | None


class ConnectionOwner(Protocol):
    """The path that a connection belongs to."""

    target: int
    counters: RelayCounters
    connections: dict[RelayedConnection, None]
    forward_conditions: PathConditions
    backward_conditions: PathConditions
    forward_random: Random
    backward_random: Random

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a task that the process owns."""


class StreamEndpoint(asyncio.Protocol):
    """One of the two sockets of a relayed connection."""

    def __init__(self, connection: RelayedConnection, is_near: bool) -> None:
        self.connection = connection
        self.is_near = is_near
        self.transport: asyncio.Transport | None = None
        self.lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, and start the connection's next step."""
        self.transport = cast(asyncio.Transport, transport)
        self.connection.endpoint_connected(self)

    def data_received(self, data: bytes) -> None:
        """Take bytes in."""
        self.connection.chunk_received(self, data)

    def eof_received(self) -> bool:
        """Take the orderly end in; the transport stays open for the other direction."""
        self.connection.chunk_received(self, END_OF_STREAM)
        return True

    def pause_writing(self) -> None:
        """This party reads too slowly, or stands still: the other one is read no more, as by TCP."""
        self.connection.set_receiver_full(self, is_full=True)

    def resume_writing(self) -> None:
        """This party takes bytes again."""
        self.connection.set_receiver_full(self, is_full=False)

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass the end on, orderly or not."""
        self.lost = True
        self.connection.chunk_received(self, RESET if exc is not None else END_OF_STREAM)
        self.connection.endpoint_lost()

    def reset(self) -> None:
        """Break the connection off: the peer sees a reset, no orderly end."""
        if self.transport is None or self.lost:
            return
        sock = self.transport.get_extra_info("socket")
        with contextlib.suppress(OSError, AttributeError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()


class RelayDirection:
    """One direction of a connection: the chunks that came in, in order, each held until its time.

    Danger: with a timer a chunk, two of one millisecond may go off in the wrong order and garble a stream.
    """

    def __init__(
        self,
        connection: RelayedConnection,
        source: StreamEndpoint,
        destination: StreamEndpoint,
        conditions: PathConditions,
        random: Random,
    ) -> None:
        self.connection = connection
        self.source = source
        self.destination = destination
        self.stream = StreamDirection[Chunk](conditions, random)
        self.queue: deque[tuple[int, Chunk]] = deque()  # when it may go on (us), and the chunk
        self.timer: asyncio.TimerHandle | None = None
        self.buffered = 0  # bytes that were taken in and not yet handed on
        self.receiver_full = False
        self.reading_paused = False

    def push(self, chunk: Chunk) -> None:
        """Take a chunk in, and hand on what may go."""
        now, size = now_us(), len(chunk or b"")
        if chunk:
            self.connection.path.counters.record_chunk(size)
            transport = self.destination.transport
            if (
                transport is not None
                and not self.destination.lost
                and not self.queue
                and self.stream.idle(now)
            ):
                # Nothing is set on this direction, and nothing waits there: most of what passes.
                transport.write(chunk)
                return
            self.buffered += size
        self.queue.extend(self.stream.push(now, size, chunk))
        self.pump()

    def set_conditions(self, conditions: PathConditions) -> None:
        """Use other conditions from now on; what they no longer hold back goes on."""
        self.queue.extend(self.stream.set_conditions(now_us(), conditions))
        self.pump()

    def pump(self) -> None:
        """Hand on what is due; a party that is not connected yet gets all of it then."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        while self.queue and self.destination.transport is not None and self.connection.carries:
            at, chunk = self.queue[0]
            late = now_us() - at
            if late < 0:
                self.timer = asyncio.get_running_loop().call_later(-late / 1e6, self.pump)
                break
            self.queue.popleft()
            self.connection.path.counters.record_lateness(late)
            self.buffered -= len(chunk or b"")
            self.connection.deliver(self.destination, chunk)
        self.update_reading()

    def update_reading(self) -> None:
        """Stop reading the sender while too much waits or the receiver is full, as TCP's window would."""
        limit = RESUME_BELOW if self.reading_paused else MAX_BUFFERED
        should_pause = self.receiver_full or self.buffered > limit
        transport = self.source.transport
        if should_pause == self.reading_paused or transport is None or transport.is_closing():
            return
        self.reading_paused = should_pause
        if should_pause:
            transport.pause_reading()
        else:
            transport.resume_reading()


class RelayedConnection:
    """A connection through a stream path.

    `is_dead`: it stays up on both sides, and nothing comes through any more. `is_closed`: it was reset.
    """

    def __init__(self, path: ConnectionOwner) -> None:
        self.path = path
        self.is_dead = False
        self.is_closed = False
        self.ended_directions = 0  # directions that have come to their orderly end
        self.near = StreamEndpoint(self, is_near=True)
        self.far = StreamEndpoint(self, is_near=False)
        self.forward = RelayDirection(self, self.near, self.far, path.forward_conditions, path.forward_random)
        self.backward = RelayDirection(
            self, self.far, self.near, path.backward_conditions, path.backward_random
        )

    @property
    def carries(self) -> bool:
        """Whether bytes still go through."""
        return not (self.is_closed or self.is_dead)

    def endpoint_connected(self, endpoint: StreamEndpoint) -> None:
        """Connect to the far party once the near one is there; then hand on what waits for the far one."""
        if endpoint.is_near:
            self.path.connections[self] = None
            self.path.spawn(self._connect_far())
        else:
            self.forward.pump()

    async def _connect_far(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: self.far, "127.0.0.1", self.path.target)
        except OSError:
            # Danger: the near side has written already; to it this is a connection that broke, which proves
            # nothing of what ran. The rig shuts the path of a party that is gone, so that it is refused.
            self.is_closed = True
            self.near.reset()

    def chunk_received(self, source: StreamEndpoint, chunk: Chunk) -> None:
        """Take in what an endpoint has read."""
        if self.carries:
            (self.forward if source.is_near else self.backward).push(chunk)

    def conditions_changed(self) -> None:
        """Use the path's conditions as they are now."""
        self.forward.set_conditions(self.path.forward_conditions)
        self.backward.set_conditions(self.path.backward_conditions)

    def deliver(self, destination: StreamEndpoint, chunk: Chunk) -> None:
        """Hand a chunk to an endpoint that is connected."""
        transport = destination.transport
        assert transport is not None
        if destination.lost or chunk is RESET:
            # Danger: what it holds for a party that has died can't arrive; the sender sees a reset.
            self.close()
        elif chunk == END_OF_STREAM:
            with contextlib.suppress(OSError, RuntimeError):
                transport.write_eof()
            self.ended_directions += 1
            if self.ended_directions >= 2:
                self._close_transports()
        else:
            transport.write(chunk)

    def _close_transports(self) -> None:
        """Danger: a transport whose both directions have ended stays open until it is closed."""
        for endpoint in (self.near, self.far):
            if endpoint.transport is not None:
                endpoint.transport.close()

    def set_receiver_full(self, receiver: StreamEndpoint, *, is_full: bool) -> None:
        """Note whether an endpoint takes no more for now."""
        direction = self.backward if receiver.is_near else self.forward
        direction.receiver_full = is_full
        direction.update_reading()

    def endpoint_lost(self) -> None:
        """One endpoint has ended: with both ended, or one that nothing can be sent to, all is over."""
        if self._both_gone():
            self.close()

    def close(self) -> None:
        """Reset what is still up; both endpoints may close at once, so that this is called twice."""
        if not self.is_closed:
            self.is_closed = True
            self.near.reset()
            self.far.reset()
        if self._both_gone():
            self.path.connections.pop(self, None)

    def _both_gone(self) -> bool:
        return self.near.lost and (self.far.lost or self.far.transport is None)
