"""A connection with TLS (RFC 8446) over the same socket, buffer and writer: records through two memory
BIOs."""

from __future__ import annotations

import contextlib
import enum
import socket
import ssl
from collections.abc import Callable
from typing import Any

from hoistplank.transport.connection import Connection, Consume, State

# What is read from a socket before it is opened; one for all, as it is used up within the call. A record
# holds
# 16 KB (RFC 8446 section 5.1).
_sealed_in = bytearray(32_768)


class BadTls(Exception):
    """A handshake or record that can't be used; its text is the library's reason."""


class Phase(enum.Enum):
    SHAKING = "shaking"
    OPEN = "open"


class TlsConnection(Connection):
    """The server's side. `shaken` is told once, with the client's certificate (DER) or None; what it raises
    ends this."""

    def __init__(
        self,
        sock: socket.socket,
        consume: Consume,
        most_in: int,
        most_out: int,
        context: ssl.SSLContext,
        shaken: Callable[[bytes | None], None],
    ) -> None:
        super().__init__(sock, consume, most_in, most_out)
        self.phase, self.shaken = Phase.SHAKING, shaken
        self._incoming, self._outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
        self._tls = context.wrap_bio(self._incoming, self._outgoing, server_side=True)

    async def run(self) -> BaseException | None:
        try:
            return await super().run()
        finally:
            self.shaken = lambda certificate: None  # it refers back to whoever holds this connection

    def _take_in(self) -> None:
        got = self.sock.recv_into(_sealed_in)
        if got == 0:
            return self._end(None)
        with memoryview(_sealed_in) as view:
            self._incoming.write(view[:got])
        try:
            if self.phase is Phase.SHAKING and not self._shake():
                return
            self._open_records()
        except ssl.SSLError as wrong:
            # The alert that says why goes out if it can: the other side would see a bare end else.
            with contextlib.suppress(OSError):
                self.sock.send(self._outgoing.read())
            raise BadTls(wrong.reason or type(wrong).__name__) from None
        finally:
            if self._outgoing.pending:
                self.send(b"")  # an empty message carries what the library itself has to say

    def _shake(self) -> bool:
        try:
            self._tls.do_handshake()
        except ssl.SSLWantReadError:
            return False
        self.phase = Phase.OPEN
        self.shaken(self._tls.getpeercert(True))
        return not self.closing

    def _open_records(self) -> None:
        while self.state is State.OPEN:
            if self.end == len(self.buffer):
                self._make_room()
            with memoryview(self.buffer) as view, view[self.end :] as free:
                try:
                    got: Any = self._tls.read(len(free), free)  # type: ignore[arg-type]  # a memoryview will do
                except ssl.SSLWantReadError:
                    return
                except ssl.SSLZeroReturnError:
                    return self._end(None)
            self._came(got)
            if self.start == self.end:
                self.start = self.end = 0
            if not self._incoming.pending and not self._tls.pending():
                return  # what a further read would say with an exception

    def _sealed(self, data: bytes) -> bytes:
        with memoryview(data) as view:
            done = 0
            while done < len(data):
                done += self._tls.write(view[done:])
        return self._outgoing.read()

    def _shut(self) -> None:
        # close_notify: without it the other side can't tell an end from a cut (RFC 8446 section 6.1).
        if self.phase is Phase.OPEN and not self.closing:
            with contextlib.suppress(ssl.SSLError, OSError):
                try:
                    self._tls.unwrap()
                except ssl.SSLWantReadError:
                    self.sock.send(self._outgoing.read())
        super()._shut()
