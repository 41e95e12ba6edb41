"""One connection: a buffer for what comes in, a writer for what goes out, and the one place where it ends."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys
from collections.abc import Callable

from hoistplank.transport.errors import MessageTooLongError
from hoistplank.transport.message_writer import ConnectionState, MessageWriter

# Of `struct tcp_info`: eight single bytes, and eleven numbers before `tcpi_last_data_recv` (ms).
LAST_DATA_RECEIVED_AT = 8 + 11 * 4
TCP_INFO_BYTES = LAST_DATA_RECEIVED_AT + 4
INITIAL_BUFFER_BYTES = 8_192  # most requests and answer lines fit
# How long a connection whose write side is shut waits for the other side's end: what crosses the close is on
# its way for 50 ms at most, and the other side's own close comes a way there and back later.
LINGER_S = 0.3
MAX_DISCARDED_BYTES = 262_144  # that are read out meanwhile: one that floods costs no more
DISCARD_BUFFER = bytearray(16_384)  # where they go; one for all, as nobody looks at them

# Called with the buffer, and where unread bytes begin and end in it; returns where they begin now.
Consume = Callable[[bytearray, int, int], int]


def _consume_all(buffer: bytearray, start: int, end: int) -> int:  # noqa: ARG001  the form of a Consume
    return end


class Connection(MessageWriter):
    """Reads into one buffer, which grows as it needs and is compacted in place; writes as MessageWriter does.

    `consume` gets the buffer after each read and returns how far it has been used; what it raises ends this
    connection and no other. `max_buffer_bytes` bounds the buffer; while more than `max_unsent_bytes` wait to
    be written, nothing is read.

    It ends in one place: `close_gracefully` writes what waits, shuts the write side, reads out what was still
    coming and closes (a lingering close); `close` is for what is beyond that, and what a broken or ended peer
    leaves.

    sock_recv_into and sock_sendall cost 29 us a pair on loopback, a standing reader with recv_into and send
    16 us.
    """

    def __init__(
        self, sock: socket.socket, consume: Consume, max_buffer_bytes: int, max_unsent_bytes: int
    ) -> None:
        super().__init__(sock)
        self.consume = consume
        self.max_buffer_bytes, self.max_unsent_bytes = max_buffer_bytes, max_unsent_bytes
        self.buffer, self.start, self.end = bytearray(), 0, 0
        self.last_read_at = self.loop.time()
        self.max_reads_at_once = 1  # more, where what comes must be known before anything else is done
        self.read_count = 0
        self.drained_at = 0.0  # when the system last said that nothing more had come; 0: never
        self.is_closing = False  # `close_gracefully` has been called
        self.discarded_bytes = 0
        self.ended_inside_message = False  # once it has ended: whether that was inside a message
        self.on_all_written: Callable[[], None] | None = (
            None  # called each time nothing is left to be written
        )
        self._ended: asyncio.Future[BaseException | None] = self.loop.create_future()
        self._close_timer: asyncio.TimerHandle | None = None
        self._reading_paused, self._reading_stopped = False, False

    @property
    def is_closed(self) -> bool:
        """Whether it has ended; `run` returns within the loop's next turn."""
        return self.state is ConnectionState.CLOSED

    @property
    def has_partial_message(self) -> bool:
        """Whether a message of the other side has begun to come and is not whole."""
        return self.start < self.end

    async def run(self) -> BaseException | None:
        """Serves until either side ends; returns what ended it, or None for an orderly end."""
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            self._update_reading()
            return await self._ended
        finally:
            self._end(None)
            self.sock.close()
            self._forget_unsent()
            self.ended_inside_message = self.has_partial_message
            # Danger: cycles of objects wait for the collector, and on a long day of new connections memory
            # grows until it comes: what refers back is cut here.
            self.consume, self.on_all_written = _consume_all, None
            self._clear_buffer()

    # Reading.

    def release_buffer(self) -> None:
        """Gives back the memory that the buffer grew to, once nothing is left in it."""
        if self.start == self.end and self.buffer:
            self._clear_buffer()

    def read_now(self) -> None:
        """Reads what has come, as far as one read goes, also while reading is paused or has not begun.

        Danger: a connection that is closed while it is paused may have a request unread, which would be
        lost."""
        if (
            self.state is ConnectionState.OPEN
            and not self._reading_stopped
            and self.unsent_bytes <= self.max_unsent_bytes
        ):
            self._on_readable()

    def read_pending(self, max_reads: int) -> None:
        """Reads until nothing more has come, by `max_reads` reads at most."""
        for _ in range(max_reads):
            read_count = self.read_count
            self.read_now()
            if self.read_count == read_count:
                return

    def last_arrival_age_us(self) -> int:
        """How long ago the system received the last bytes of the other side, read or not; 0 where it does not
        tell (`struct tcp_info` of tcp(7))."""
        try:
            info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        except OSError:
            return 0
        if len(info) < TCP_INFO_BYTES:
            return 0
        return int.from_bytes(info[LAST_DATA_RECEIVED_AT:TCP_INFO_BYTES], sys.byteorder) * 1_000

    def pause_reading(self, seconds: float) -> None:
        """Reads nothing for a while: what comes meanwhile is read in one go, and answered in one write."""
        if not self._reading_paused and not self.is_closed:
            self._reading_paused = True
            self._update_reading()
            self.loop.call_later(seconds, self._end_pause)

    def _end_pause(self) -> None:
        self._reading_paused = False
        self._update_reading()

    def stop_reading(self) -> None:
        """Reads no more: what still comes is neither stored nor parsed."""
        self._reading_stopped = True
        self._update_reading()

    def _update_reading(self) -> None:
        if self.state is ConnectionState.OPEN:
            # A slow reader is asked for nothing more until it has taken half of what waits for it.
            most = self.max_unsent_bytes if self._is_reading else self.max_unsent_bytes // 2
            wanted = not (self._reading_stopped or self._reading_paused) and self.unsent_bytes <= most
        else:
            wanted = self.state is ConnectionState.WRITE_SHUT and self.discarded_bytes <= MAX_DISCARDED_BYTES
        if wanted and not self._is_reading:
            self.loop.add_reader(self.sock, self._on_readable)
        elif self._is_reading and not wanted:
            self.loop.remove_reader(self.sock)
        self._is_reading = wanted

    def _on_readable(self) -> None:
        if self.state is ConnectionState.WRITE_SHUT:
            self._discard_input()
            return
        try:
            for _ in range(self.max_reads_at_once):
                self._read_from_socket()
                if self.state is not ConnectionState.OPEN or self._reading_stopped:
                    break
        except (BlockingIOError, InterruptedError):
            self.drained_at = self.loop.time()  # what had come is read
        except Exception as error:  # bad bytes, a reset, or a bug in a reader: this connection ends, no other
            self._end(error)
            return
        if self.start == self.end:
            self.start = self.end = 0
        if self.unsent_bytes > self.max_unsent_bytes:
            self._update_reading()

    def _read_from_socket(self) -> None:
        """One read from the socket into the buffer."""
        if self.end == len(self.buffer):
            self._make_room()
        with memoryview(self.buffer) as view, view[self.end :] as free:
            received = self.sock.recv_into(free)
        self._consume_received(received)

    def _consume_received(self, received: int) -> None:
        """`received` bytes more stand in the buffer; 0: the other side has ended."""
        if received == 0:
            self._end(None)
            return
        self.end += received
        self.read_count += 1
        self.last_read_at = self.loop.time()
        self.start = self.consume(self.buffer, self.start, self.end)
        if self._reading_stopped or self.state is not ConnectionState.OPEN:
            self.start = self.end = 0

    def _make_room(self) -> None:
        """Moves what is left to the front; grows only when that frees less than half."""
        left = self.end - self.start
        if not self.buffer:
            self.buffer = bytearray(INITIAL_BUFFER_BYTES)
        if left > len(self.buffer) // 2:
            if len(self.buffer) >= self.max_buffer_bytes:
                raise MessageTooLongError(self.max_buffer_bytes)
            self.buffer.extend(bytes(min(len(self.buffer), self.max_buffer_bytes - len(self.buffer))))
        self.buffer[:left] = self.buffer[self.start : self.end]
        self.start, self.end = 0, left

    def _clear_buffer(self) -> None:
        self.buffer, self.start, self.end = bytearray(), 0, 0

    # How it ends.

    def close_gracefully(self, write_timeout_s: float = LINGER_S) -> None:
        """Ends the connection in order: what waits is written, `write_timeout_s` being given to it, the write
        side is shut, what was still coming is read out and discarded until the other side ends too or a short
        time is over; then it is closed.

        Danger: a close over unread bytes resets the connection, and the last answer is lost with it; what is
        read once the write side is shut can't be answered any more, so it must not be taken either.
        """
        if not self.is_closing and self.state is ConnectionState.OPEN:
            self.is_closing = True
            self._close_timer = self.loop.call_later(write_timeout_s, self.close)
            self._after_write()

    def close(self) -> None:
        """Ends the connection now, whatever waits or is coming."""
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
        except OSError:  # the other side has reset it: nothing is left to wait for
            self.close()
            return
        if self._close_timer is not None:
            self._close_timer.cancel()
        self._close_timer = self.loop.call_later(LINGER_S, self.close)
        self._update_reading()

    def _discard_input(self) -> None:
        """Reads out what was still coming, as far as that costs little."""
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
        if self._close_timer is not None:
            self._close_timer.cancel()
            self._close_timer = None
        if not self._ended.done():
            # Without its traceback, whose frames would hold all this in a cycle.
            self._ended.set_result(error.with_traceback(None) if error is not None else None)
