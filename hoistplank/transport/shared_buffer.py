"""A connection that keeps only what is unread: it reads into a buffer that all such connections share."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

from hoistplank.transport.connection import Connection
from hoistplank.transport.errors import MessageTooLongError

# Buffers that are not in use: one, unless a connection reads while another one consumes its input.
_free_buffers: list[bytearray] = []


class SharedBufferConnection(Connection):
    """A connection of a peer that isn't trusted: between two reads it holds the bytes of the message that is
    incomplete and no more, however large the message is going to be."""

    def _read_from_socket(self) -> None:
        """Reads once from the socket, behind what is unread."""
        unread = self.end - self.start
        if unread >= self.max_buffer_bytes:
            raise MessageTooLongError(self.max_buffer_bytes)
        with _borrowed_buffer(self.max_buffer_bytes) as buffer:
            buffer[:unread] = self.buffer[self.start : self.end]
            end = min(self.max_buffer_bytes, unread + max(self.max_read_bytes, unread))
            with memoryview(buffer) as view, view[unread:end] as free:
                received = self.sock.recv_into(free)
                self._may_have_more = received == len(free)
            self.buffer, self.start, self.end = buffer, 0, unread
            try:
                self._consume_received(received)
            finally:
                self._keep_unread(buffer)

    def _keep_unread(self, buffer: bytearray) -> None:
        """Copies what was not consumed, unless the connection has dropped it meanwhile."""
        if self.buffer is buffer:
            self.buffer = buffer[self.start : self.end]
            self.start, self.end = 0, len(self.buffer)


@contextlib.contextmanager
def _borrowed_buffer(size: int) -> Iterator[bytearray]:
    buffer = _free_buffers.pop() if _free_buffers else bytearray()
    if len(buffer) < size:
        buffer = bytearray(size)
    try:
        yield buffer
    finally:
        if not _free_buffers:
            _free_buffers.append(buffer)
