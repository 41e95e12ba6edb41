"""One connection: a buffer for what comes in, and a single writer for what goes out."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

SMALL = 8_192  # bytes of a fresh buffer: most requests and answer lines fit
# A peer that takes nothing of a message for this long is as good as gone: the longest deadline and more.
STUCK_S = 15.0
# How long a connection whose write side is shut waits for the other side's end: what crosses the close is on
# its way for 50 ms at most, and the other side's own close comes a way there and back later.
LINGER_S = 0.3
MOST_DROPPED = 262_144  # bytes that are read out meanwhile: one that floods costs no more
DROPPED = bytearray(16_384)  # where they go; one for all, as nobody looks at them

Consume = Callable[[bytearray, int, int], int]


class Outgoing(NamedTuple):
    data: bytes
    begin: Callable[[], bool] | None  # asked just before the first byte; False: the message is left out
    written: Callable[[], None] | None  # told once the last byte is with the system
    untaken: Callable[[], None] | None  # told where the system took no byte of it: it is asked again


class State(enum.Enum):
    """How far a connection is on its way to its end."""

    OPEN = "open"
    SHUT = "shut"  # our write side is: what still comes is read out and dropped
    CLOSED = "closed"


def _nothing(buffer: bytearray, start: int, end: int) -> int:
    return end


class Connection:
    """Reads into one buffer, which grows as it needs and is compacted in place; writes in order.

    `consume` gets the buffer after each read and returns how far it has been used; what it raises ends this
    connection and no other. What is sent within one turn of the loop goes out in one call. A message is never
    cut by a later one: one that the system takes in part is finished as it takes more, and all else waits for
    it, and is asked whether it may begin when its turn has come.

    It ends in one place: `finish` writes what waits, shuts the write side, reads out what was still coming
    and closes (a lingering close); `close` is for what is beyond that, and what a broken or ended peer
    leaves.

    sock_recv_into and sock_sendall cost 29 us a pair on loopback, a standing reader with recv_into and send
    16 us. sock_sendall does not finish what a first send leaves either: where the other side resets the
    connection in the turn in which the last byte went out, it can't be told whether a message is whole at
    the system, and on that hangs whether it may be sent again.
    """

    def __init__(self, sock: socket.socket, consume: Consume, most_in: int, most_out: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.sock, self.consume, self.most_in, self.most_out = sock, consume, most_in, most_out
        self.buffer, self.start, self.end = bytearray(), 0, 0
        self.out, self.out_bytes = deque[Outgoing](), 0
        self.state, self.finishing, self.deaf, self.dropped = State.OPEN, False, False, 0
        self.heard_at = self.loop.time()
        self.halved = False  # once it has ended: whether that was inside a message of the other side
        self.writing_since = 0.0  # when the write that the system did not take at once began; 0 without one
        self._over: asyncio.Future[BaseException | None] = self.loop.create_future()
        self._rest: tuple[memoryview, list[Outgoing]] | None = None  # of what is cut, and whose it is
        self._linger: asyncio.TimerHandle | None = None
        self._flushing, self._reading, self._resting, self._blocked = False, False, False, False
        self.emptied: Callable[[], None] | None = None  # told each time all that waited has been written

    @property
    def closing(self) -> bool:
        return self.state is State.CLOSED

    def send(
        self,
        data: bytes,
        begin: Callable[[], bool] | None = None,
        written: Callable[[], None] | None = None,
        untaken: Callable[[], None] | None = None,
    ) -> None:
        if self.state is not State.OPEN:
            return
        self.out.append(Outgoing(data, begin, written, untaken))
        self.out_bytes += len(data)
        if not (self._flushing or self._blocked):
            self._flushing = True
            self.loop.call_soon(self._flush)

    def trim(self) -> None:
        """Gives back what the buffer grew to, once nothing is left in it."""
        if self.start == self.end and self.buffer:
            self.buffer, self.start, self.end = bytearray(), 0, 0

    def look(self) -> None:
        """Takes in what has come and was not read yet, as far as one read goes, also while it rests or is not
        served yet.

        Danger: a connection that is closed while it rests may have a request unread, which would be lost."""
        if self.state is State.OPEN and not self.deaf and self.out_bytes <= self.most_out:
            self._readable()

    def rest(self, seconds: float) -> None:
        """Reads nothing for a while: what comes meanwhile is read in one go, and answered in one write."""
        if not self._resting and not self.closing:
            self._resting = True
            self._listen()
            self.loop.call_later(seconds, self._rested)

    def _rested(self) -> None:
        self._resting = False
        self._listen()

    def deafen(self) -> None:
        """Reads no more: what still comes is neither stored nor parsed."""
        self.deaf = True
        self._listen()

    def is_stuck(self) -> bool:
        return self.writing_since > 0 and self.loop.time() - self.writing_since > STUCK_S

    def finish(self, last_s: float = LINGER_S) -> None:
        """Ends the connection in order: what waits is written, `last_s` being given to it, the write side is
        shut, what was still coming is read out and dropped until the other side ends too or a short time is
        over; then it is closed.

        Danger: a close over unread bytes resets the connection, and the last answer is lost with it; what is
        read once the write side is shut can't be answered any more, so it must not be taken either.
        """
        if not self.finishing and self.state is State.OPEN:
            self.finishing = True
            self._linger = self.loop.call_later(last_s, self.close)
            self._emptied()

    def _emptied(self) -> None:
        """Something has been written, or an end is asked for: whether nothing waits any more."""
        if self.out_bytes or self.state is not State.OPEN:
            return
        if self.finishing:
            self._shut()
        elif self.emptied is not None:
            self.emptied()

    def _shut(self) -> None:
        self.state = State.SHUT
        self.buffer, self.start, self.end = bytearray(), 0, 0
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:  # the other side has reset it: nothing is left to wait for
            return self.close()
        if self._linger is not None:
            self._linger.cancel()
        self._linger = self.loop.call_later(LINGER_S, self.close)
        self._listen()

    def _drop(self) -> None:
        """Reads out what was still coming, as far as that costs little."""
        try:
            got = self.sock.recv_into(DROPPED)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            return self.close()
        self.dropped += got
        if got == 0:
            self.close()
        elif self.dropped > MOST_DROPPED:
            self._listen()

    def close(self) -> None:
        """Ends the connection now."""
        self._end(None)

    def _end(self, wrong: BaseException | None) -> None:
        if not self.closing:
            self.state = State.CLOSED
            if self._reading:
                self.loop.remove_reader(self.sock)
                self._reading = False
            if self._blocked:
                self.loop.remove_writer(self.sock)
                self._blocked = False
            if self._linger is not None:
                self._linger.cancel()
                self._linger = None
            if not self._over.done():
                # Without its traceback, whose frames would hold all this in a ring.
                self._over.set_result(wrong.with_traceback(None) if wrong is not None else None)

    async def run(self) -> BaseException | None:
        """Serves until either side ends; returns what ended it, or None for an orderly end."""
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            self._listen()
            return await self._over
        finally:
            self._end(None)
            self.sock.close()
            self._rest = None
            self.out.clear()
            self.out_bytes = 0
            # Danger: rings of objects wait for the collector, and on a long day of new connections memory
            # grows until it comes: what refers back is cut here.
            self.consume, self.halved, self.emptied = _nothing, self.start < self.end, None
            self.buffer, self.start, self.end = bytearray(), 0, 0

    def _listen(self) -> None:
        # A slow reader is asked for nothing more until it has taken half of what waits for it.
        most = self.most_out if self._reading else self.most_out // 2
        wanted = not (self.deaf or self._resting) and self.out_bytes <= most
        if self.state is not State.OPEN:
            wanted = self.state is State.SHUT and self.dropped <= MOST_DROPPED
        if wanted and not self._reading:
            self.loop.add_reader(self.sock, self._readable)
        elif self._reading and not wanted:
            self.loop.remove_reader(self.sock)
        self._reading = wanted

    def _take_in(self) -> None:
        """One read from the socket into the buffer."""
        if self.end == len(self.buffer):
            self._make_room()
        with memoryview(self.buffer) as view, view[self.end :] as free:
            got = self.sock.recv_into(free)
        self._came(got)

    def _came(self, got: int) -> None:
        """So many bytes more stand in the buffer; none: the other side has ended."""
        if got == 0:
            return self._end(None)
        self.end += got
        self.heard_at = self.loop.time()
        self.start = self.consume(self.buffer, self.start, self.end)
        if self.deaf or self.state is not State.OPEN:
            self.start = self.end = 0

    def _sealed(self, data: bytes) -> bytes:
        """What goes out on the socket for what was sent."""
        return data

    def _readable(self) -> None:
        if self.state is State.SHUT:
            return self._drop()
        try:
            self._take_in()
        except (BlockingIOError, InterruptedError):
            return
        except Exception as wrong:  # bad bytes, a reset, or a bug in a reader: this connection ends, no other
            return self._end(wrong)
        if self.start == self.end:
            self.start = self.end = 0
        if self.out_bytes > self.most_out:
            self._listen()

    def _make_room(self) -> None:
        """Moves what is left to the front; grows only when that frees less than half."""
        left = self.end - self.start
        if not self.buffer:
            self.buffer = bytearray(SMALL)
        if left > len(self.buffer) // 2:
            if len(self.buffer) >= self.most_in:
                raise ValueError(f"a message is longer than {self.most_in} bytes")
            self.buffer.extend(bytes(min(len(self.buffer), self.most_in - len(self.buffer))))
        self.buffer[:left] = self.buffer[self.start : self.end]
        self.start, self.end = 0, left

    def _flush(self) -> None:
        """Writes all that waits in one call; with a message a call, calls are a sixth of all time."""
        self._flushing = False
        if self._blocked:
            return  # Danger: written now, it would cut the message that is half with the system
        if self.out and not self.closing:
            # What does not begin is left out here, and what begins is with the system at once or asked again:
            # no message is decided on now and handed over later.
            waiting, self.out = self.out, deque()
            batch = [item for item in waiting if item.begin is None or item.begin()]
            plain = batch[0].data if len(batch) == 1 else b"".join([item.data for item in batch])
            if len(batch) < len(waiting):
                self.out_bytes -= sum([len(item.data) for item in waiting]) - len(plain)
            data = self._sealed(plain)
            try:
                sent = self.sock.send(data) if data else 0
            except (BlockingIOError, InterruptedError):
                sent = 0
            except OSError as wrong:
                return self._end(wrong)
            if sent == len(data):
                self.writing_since = 0.0
                self._written(batch)
            else:
                self._held_up(batch, data, sent, data is plain)
        self._emptied()

    def _held_up(self, batch: list[Outgoing], data: bytes, sent: int, plain: bool) -> None:
        """The system took a part of a batch: what it has whole is written, what it has begun is finished
        first.

        Danger: a message of which it has no byte, kept to be handed over later, would begin then without
        being asked again, at a host that drains by now or for a client that has gone. Sealed bytes can't be
        taken apart: there the whole batch has begun.
        """
        began, edge = 0, 0
        while plain and began < len(batch) and edge + len(batch[began].data) <= sent:
            edge += len(batch[began].data)
            began += 1
        whole, rest = batch[:began], batch[began:]
        if whole or not self.writing_since:
            self.writing_since = self.loop.time()
        begun = rest[: int(edge < sent)] if plain else rest
        for item in rest[len(begun) :]:
            if item.untaken is not None:
                item.untaken()
        self.out.extendleft(reversed(rest[len(begun) :]))
        self._written(whole)
        if self.closing:
            return
        if begun:
            stop = edge + len(begun[0].data) if plain else len(data)
            self._rest = memoryview(data)[sent:stop], begun
        self._blocked = True
        self.loop.add_writer(self.sock, self._writable)

    def _writable(self) -> None:
        """The system takes more: the rest of what is cut goes before all else."""
        if self._rest is not None:
            rest, batch = self._rest
            try:
                sent = self.sock.send(rest)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as wrong:
                return self._end(wrong)
            if sent < len(rest):
                self._rest = rest[sent:], batch
                return
            self.writing_since, self._rest = 0.0, None
            self._written(batch)
        if not self.closing:
            self.loop.remove_writer(self.sock)
            self._blocked = False
            self._flush()

    def _written(self, batch: list[Outgoing]) -> None:
        self.out_bytes -= sum([len(item.data) for item in batch])
        for item in batch:
            if item.written is not None:
                item.written()
        if not self._reading:
            self._listen()
