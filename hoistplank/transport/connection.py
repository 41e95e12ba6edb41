"""A connection over a stream socket: a read buffer, a message writer, and an orderly or immediate close."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from hoistplank.transport import tcp_status
from hoistplank.transport.errors import MessageTooLongError
from hoistplank.transport.message_writer import ConnectionState, MessageWriter

DEPARTURE_CHECK_S = 0.05  # between two checks whether the peer has left, while nothing is read
INITIAL_BUFFER_BYTES = 8_192  # fits most requests and answer lines
# How long a connection whose write side is shut waits for the peer to close. Data that crosses the close is
# in transit for 50 ms at most, and the peer's own close arrives a round trip later.
LINGER_S = 0.3
# Read and discarded while lingering; bounds the cost of a peer that keeps sending.
MAX_DISCARDED_BYTES = 262_144
DISCARD_BUFFER = bytearray(16_384)  # shared by all connections: its content is never used

# Called with the buffer and the start and end of its unread bytes; returns the new start.
Consume = Callable[[bytearray, int, int], int]


def _consume_all(buffer: bytearray, start: int, end: int) -> int:  # noqa: ARG001  has the signature of Consume
    return end


class Connection(MessageWriter):
    """Reads into one buffer, which grows on demand and is compacted in place; writes as MessageWriter does.

    `consume` is called with the buffer after each read and returns how far it has consumed it; an exception
    that it raises ends this connection and no other. `max_buffer_bytes` bounds the buffer; while more than
    `max_unsent_bytes` wait to be written, nothing is read.

    `close_gracefully` is a lingering close: it writes the pending messages, shuts the write side, reads and
    discards what still arrives, and closes the socket. `close` ends the connection at once, for cases where
    that is no longer possible and for peers that broke or ended the connection.

    Uses a persistent reader callback with recv_into and send, which takes 16 us a pair on loopback; the event
    loop's sock_recv_into and sock_sendall take 29 us.
    """

    def __init__(
        self, sock: socket.socket, consume: Consume, max_buffer_bytes: int, max_unsent_bytes: int
    ) -> None:
        super().__init__(sock)
        self.consume = consume
        self.max_buffer_bytes, self.max_unsent_bytes = max_buffer_bytes, max_unsent_bytes
        self.buffer, self.start, self.end = bytearray(), 0, 0
        self.last_read_at = self.loop.time()
        # Per readable event; more than 1 where input must be processed before all other work.
        self.max_reads_at_once = 1
        # In one read; only connections that read into a shared buffer follow it.
        self.max_read_bytes = INITIAL_BUFFER_BYTES
        self.read_count = 0
        self.drained_at = 0.0  # loop time at which the socket was last found empty; 0: never
        self.is_closing = False  # True once `close_gracefully` has been called
        self.discarded_bytes = 0
        self.ended_inside_message = False  # set at the end: True if the buffer held a partial message
        # Called each time that all messages have been written.
        self.on_all_written: Callable[[], None] | None = None
        self._ended: asyncio.Future[BaseException | None] = self.loop.create_future()
        self._close_timer: asyncio.TimerHandle | None = None
        self._reading_paused, self._reading_stopped = False, False
        # Whether what is unread when the peer has closed is dropped: nobody awaits an answer to it. Otherwise
        # it is read to its end, as an answer may be behind it.
        self.drops_input_of_departed = False
        self._may_have_more = False  # the last read took all that it asked for
        self._departure_timer: asyncio.TimerHandle | None = None

    @property
    def is_closed(self) -> bool:
        """True if the connection has ended; `run` returns in the next iteration of the event loop."""
        return self.state is ConnectionState.CLOSED

    @property
    def has_partial_message(self) -> bool:
        """True if the buffer holds the beginning of a message that is not complete."""
        return self.start < self.end

    async def run(self) -> BaseException | None:
        """Serves until either side ends the connection; returns the error that ended it, or None."""
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            self._update_reading()
            return await self._ended
        finally:
            self._end(None)
            self.sock.close()
            self._discard_unsent()
            self.ended_inside_message = self.has_partial_message
            # Breaks reference cycles: otherwise ended connections would be freed only by the cyclic garbage
            # collector, and with many new connections memory would grow until it runs.
            self.consume, self.on_all_written = _consume_all, None
            self._clear_buffer()

    # Reading.

    def held_input_bytes(self) -> int:
        """Returns the size of the buffer."""
        return len(self.buffer)

    def release_buffer(self) -> None:
        """Frees the buffer if it is empty."""
        if self.start == self.end and self.buffer:
            self._clear_buffer()

    def read_now(self) -> None:
        """Handles one readable event now, even while reading is paused or has not begun.

        Without it, a request that is still unread when a paused connection is closed would be lost."""
        if (
            self.state is ConnectionState.OPEN
            and not self._reading_stopped
            and self.unsent_bytes <= self.max_unsent_bytes
        ):
            self._on_readable()

    def read_pending(self, max_reads: int) -> None:
        """Reads until the socket is empty, with at most `max_reads` calls of `read_now`."""
        for _ in range(max_reads):
            read_count = self.read_count
            self.read_now()
            if self.read_count == read_count:
                return

    def last_arrival_age_us(self) -> int:
        """Returns the time since the kernel received the peer's last bytes, read or not; 0 if unknown."""
        return tcp_status.last_arrival_age_us(self.sock)

    def has_unread_input(self) -> bool:
        """Returns whether the kernel holds input that is not read yet; False if it does not report that."""
        return tcp_status.has_unread_input(self.sock)

    def _watch_for_departure(self) -> None:
        """Checks from time to time whether the peer has left, while nothing is read that would show it."""
        if self._departure_timer is None:
            self._departure_timer = self.loop.call_later(DEPARTURE_CHECK_S, self._check_departure)

    def _check_departure(self) -> None:
        self._departure_timer = None
        if self._is_reading or self._reading_stopped or self.state is not ConnectionState.OPEN:
            return
        if tcp_status.has_peer_left(self.sock):
            self._end(None)
        else:
            self._watch_for_departure()

    def pause_reading(self, seconds: float) -> None:
        """Pauses reading, so that what arrives meanwhile is read at once and answered in one write."""
        if not self._reading_paused and not self.is_closed:
            self._reading_paused = True
            self._update_reading()
            self.loop.call_later(seconds, self._end_pause)

    def _end_pause(self) -> None:
        self._reading_paused = False
        self._may_have_more = True
        self._update_reading()

    def stop_reading(self) -> None:
        """Stops reading for good: further input is neither stored nor parsed."""
        self._reading_stopped = True
        self._update_reading()

    def _update_reading(self) -> None:
        if self.state is ConnectionState.OPEN:
            # Once paused, reading resumes when the peer has taken half of the bytes that may wait to be
            # written.
            max_unsent = self.max_unsent_bytes if self._is_reading else self.max_unsent_bytes // 2
            wanted = not (self._reading_stopped or self._reading_paused) and self.unsent_bytes <= max_unsent
        else:
            wanted = self.state is ConnectionState.WRITE_SHUT and self.discarded_bytes <= MAX_DISCARDED_BYTES
        if wanted and not self._is_reading:
            self.loop.add_reader(self.sock, self._on_readable)
        elif self._is_reading and not wanted:
            self.loop.remove_reader(self.sock)
        self._is_reading = wanted
        if self.drops_input_of_departed and not wanted:
            self._watch_for_departure()

    def _on_readable(self) -> None:
        if self.state is ConnectionState.WRITE_SHUT:
            self._discard_input()
            return
        if self._may_have_more and self.drops_input_of_departed and tcp_status.has_peer_left(self.sock):
            self._end(None)
            return
        try:
            for _ in range(self.max_reads_at_once):
                self._read_from_socket()
                if self.state is not ConnectionState.OPEN or self._reading_stopped:
                    break
        except (BlockingIOError, InterruptedError):
            self.drained_at = self.loop.time()  # the socket is empty
        except Exception as error:  # malformed input, a reset or a bug in `consume` ends only this connection
            self._end(error)
            return
        if self.start == self.end:
            self.start = self.end = 0
        if self.unsent_bytes > self.max_unsent_bytes:
            self._update_reading()

    def _read_from_socket(self) -> None:
        """Reads once from the socket into the buffer."""
        if self.end == len(self.buffer):
            self._ensure_free_space()
        with memoryview(self.buffer) as view, view[self.end :] as free:
            received = self.sock.recv_into(free)
            self._may_have_more = received == len(free)
        self._consume_received(received)

    def _consume_received(self, received: int) -> None:
        """Handles `received` new bytes at the end of the buffer; 0 means that the peer has ended its
        stream."""
        if received == 0:
            self._end(None)
            return
        self.end += received
        self.read_count += 1
        self.last_read_at = self.loop.time()
        self.start = self.consume(self.buffer, self.start, self.end)
        if self._reading_stopped or self.state is not ConnectionState.OPEN:
            self.start = self.end = 0

    def _ensure_free_space(self) -> None:
        """Moves the unread bytes to the front of the buffer, and enlarges it if they fill more than half of
        it."""
        unread = self.end - self.start
        if not self.buffer:
            self.buffer = bytearray(INITIAL_BUFFER_BYTES)
        if unread > len(self.buffer) // 2:
            if len(self.buffer) >= self.max_buffer_bytes:
                raise MessageTooLongError(self.max_buffer_bytes)
            self.buffer.extend(bytes(min(len(self.buffer), self.max_buffer_bytes - len(self.buffer))))
        self.buffer[:unread] = self.buffer[self.start : self.end]
        self.start, self.end = 0, unread

    def _clear_buffer(self) -> None:
        self.buffer, self.start, self.end = bytearray(), 0, 0

    # Closing.

    def close_gracefully(self, write_timeout_s: float = LINGER_S) -> None:
        """Closes with lingering: writes the pending messages, within `write_timeout_s`, and shuts the write
        side; then discards input until the peer closes too or LINGER_S is over, and closes the socket.

        Closing a socket that has unread input resets the connection, and the last answer would be lost.
        Input that arrives after the write side is shut can't be answered, so it is not passed to `consume`.
        """
        if not self.is_closing and self.state is ConnectionState.OPEN:
            self.is_closing = True
            self._close_timer = self.loop.call_later(write_timeout_s, self.close)
            self._after_write()

    def close(self) -> None:
        """Ends the connection at once; pending messages and unread input are dropped."""
        self._end(None)

    def _after_write(self) -> None:
        if self.unsent_bytes or self.state is not ConnectionState.OPEN:
            return
        if self.is_closing:
            self._shut_write_side()
        elif self.on_all_written is not None:
            self.on_all_written()

    def _shut_write_side(self) -> None:
        self.state = ConnectionState.WRITE_SHUT
        self._clear_buffer()
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:  # the peer has reset the connection: there is nothing to wait for
            self.close()
            return
        if self._close_timer is not None:
            self._close_timer.cancel()
        self._close_timer = self.loop.call_later(LINGER_S, self.close)
        self._update_reading()

    def _discard_input(self) -> None:
        """Reads and discards input, up to MAX_DISCARDED_BYTES."""
        try:
            received = self.sock.recv_into(DISCARD_BUFFER)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self.close()
            return
        self.discarded_bytes += received
        if received == 0:
            self.close()
        elif self.discarded_bytes > MAX_DISCARDED_BYTES:
            self._update_reading()

    def _end(self, error: BaseException | None) -> None:
        if self.state is ConnectionState.CLOSED:
            return
        self.state = ConnectionState.CLOSED
        if self._is_reading:
            self.loop.remove_reader(self.sock)
            self._is_reading = False
        self._stop_writing()
        for timer in (self._close_timer, self._departure_timer):
            if timer is not None:
                timer.cancel()
        self._close_timer = self._departure_timer = None
        if not self._ended.done():
            # Without the traceback, whose frames would keep this connection in a reference cycle.
            self._ended.set_result(error.with_traceback(None) if error is not None else None)
