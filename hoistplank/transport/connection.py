"""One connection: a buffer for what comes in, and a single writer for what goes out."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

SMALL = 8_192  # bytes of a fresh buffer: most requests and answer lines fit
# A peer that takes nothing of a message for this long is as good as gone: the longest outer limit and more.
STUCK_S = 15.0

Consume = Callable[[bytearray, int, int], int]


class Outgoing(NamedTuple):
    data: bytes
    begin: Callable[[], bool] | None  # asked just before the first byte; False: the message is left out
    written: Callable[[], None] | None  # told once the last byte is with the system


class Connection:
    """Reads into one buffer, which grows as it needs and is compacted in place; writes in order.

    `consume` gets the buffer after each read and returns how far it has been used; what it raises ends this
    connection and no other. A message is never cut by a later one: one task writes, and it is cancelled only
    when the connection ends.
    """

    def __init__(self, sock: socket.socket, consume: Consume, most_in: int, most_out: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.sock, self.consume, self.most_in, self.most_out = sock, consume, most_in, most_out
        self.buffer, self.start, self.end = bytearray(SMALL), 0, 0
        self.out, self.out_bytes = deque[Outgoing](), 0
        self.closing, self.finishing = False, False
        self.heard_at = self.loop.time()
        self.writing_since = 0.0  # when the write under way began; 0 without one
        self._wake: asyncio.Future[None] | None = None
        self._room: asyncio.Future[None] | None = None
        self._task: asyncio.Task[None] | None = None

    def send(self, data: bytes, begin: Callable[[], bool] | None = None,
             written: Callable[[], None] | None = None) -> None:
        if self.closing:
            return
        self.out.append(Outgoing(data, begin, written))
        self.out_bytes += len(data)
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)

    def is_stuck(self) -> bool:
        return self.writing_since > 0 and self.loop.time() - self.writing_since > STUCK_S

    def finish(self) -> None:
        """Ends the connection once all that waits has been written."""
        self.finishing = True
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)

    def close(self) -> None:
        """Ends the connection now."""
        self.closing = True
        if self._task is not None:
            self._task.cancel()

    async def run(self) -> BaseException | None:
        """Serves until either side ends; returns what ended it, or None for an orderly end."""
        self._task = asyncio.current_task()
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        halves = [self.loop.create_task(self._read()), self.loop.create_task(self._write())]
        ended: BaseException | None = None
        try:
            if not self.closing:
                await asyncio.wait(halves, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            if not self.closing:
                raise
        finally:
            self.closing = True
            for half in halves:
                half.cancel()
            for outcome in await asyncio.gather(*halves, return_exceptions=True):
                if isinstance(outcome, BaseException) and not isinstance(outcome, asyncio.CancelledError):
                    ended = ended or outcome
            self.sock.close()
            self.out.clear()
        return ended

    async def _read(self) -> None:
        while True:
            if self.out_bytes > self.most_out:
                # A slow reader is asked for nothing more until it has taken what waits for it.
                self._room = self.loop.create_future()
                await self._room
            if self.end == len(self.buffer):
                self._make_room()
            with memoryview(self.buffer) as view, view[self.end :] as free:
                got = await self.loop.sock_recv_into(self.sock, free)
            if got == 0:
                return
            self.end += got
            self.heard_at = self.loop.time()
            self.start = self.consume(self.buffer, self.start, self.end)
            if self.start == self.end:
                self.start = self.end = 0

    def _make_room(self) -> None:
        """Moves what is left to the front; grows only when that frees less than half."""
        left = self.end - self.start
        if left > len(self.buffer) // 2:
            if len(self.buffer) >= self.most_in:
                raise ValueError(f"a message is longer than {self.most_in} bytes")
            self.buffer.extend(bytes(min(len(self.buffer), self.most_in - len(self.buffer))))
        self.buffer[:left] = self.buffer[self.start : self.end]
        self.start, self.end = 0, left

    async def _write(self) -> None:
        while True:
            if not self.out:
                if self.finishing:
                    return
                self._wake = self.loop.create_future()
                await self._wake
                continue
            waiting, self.out = self.out, deque()
            size = sum(len(item.data) for item in waiting)
            batch = [item for item in waiting if item.begin is None or item.begin()]
            if batch:
                # All that waits goes out in one call: with a message a call, calls are a sixth of all time.
                self.writing_since = self.loop.time()
                data = batch[0].data if len(batch) == 1 else b"".join([item.data for item in batch])
                await self.loop.sock_sendall(self.sock, data)
                self.writing_since = 0.0
                for item in batch:
                    if item.written is not None:
                        item.written()
            self.out_bytes -= size
            if self._room is not None and not self._room.done() and self.out_bytes <= self.most_out // 2:
                self._room.set_result(None)
