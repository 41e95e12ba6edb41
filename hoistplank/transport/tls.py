"""A connection with TLS (RFC 8446) over the same socket, buffer and writer: records through memory BIOs."""

from __future__ import annotations

import contextlib
import enum
import socket
import ssl
from collections.abc import Callable

from hoistplank.transport.connection import Connection, Consume
from hoistplank.transport.errors import TlsError
from hoistplank.transport.message_writer import ConnectionState

# What is read from a socket before it is decrypted; one for all, as it is used up within the call. A record
# holds 16 KB (RFC 8446 section 5.1).
_encrypted_input = bytearray(32_768)


class TlsPhase(enum.Enum):
    """Whether application data may be read and written."""

    HANDSHAKE = "handshake"
    ESTABLISHED = "established"


class TlsConnection(Connection):
    """The server's side. `on_handshake` is called once, with the client's certificate (DER) or None; what it
    raises ends this connection."""

    def __init__(
        self,
        sock: socket.socket,
        consume: Consume,
        max_buffer_bytes: int,
        max_unsent_bytes: int,
        *,
        context: ssl.SSLContext,
        on_handshake: Callable[[bytes | None], None],
    ) -> None:
        super().__init__(sock, consume, max_buffer_bytes, max_unsent_bytes)
        self.phase, self.on_handshake = TlsPhase.HANDSHAKE, on_handshake
        self._incoming, self._outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
        self._tls = context.wrap_bio(self._incoming, self._outgoing, server_side=True)

    async def run(self) -> BaseException | None:
        """Serves until either side ends; returns what ended it, or None for an orderly end."""
        try:
            return await super().run()
        finally:
            self.on_handshake = lambda _certificate: None  # it refers back to whoever holds this connection

    def _read_from_socket(self) -> None:
        received = self.sock.recv_into(_encrypted_input)
        if received == 0:
            self._end(None)
            return
        with memoryview(_encrypted_input) as view:
            self._incoming.write(view[:received])
        try:
            if self.phase is TlsPhase.HANDSHAKE and not self._continue_handshake():
                return
            self._decrypt_input()
        except ssl.SSLError as error:
            # The alert that says why goes out if it can: the other side would see a bare end else.
            with contextlib.suppress(OSError):
                self.sock.send(self._outgoing.read())
            raise TlsError(error.reason or type(error).__name__) from error
        finally:
            if self._outgoing.pending:
                self.send(b"")  # an empty message carries what the library itself has to say

    def _continue_handshake(self) -> bool:
        """Whether the handshake is done and the connection still open."""
        try:
            self._tls.do_handshake()
        except ssl.SSLWantReadError:
            return False
        self.phase = TlsPhase.ESTABLISHED
        self.on_handshake(self._tls.getpeercert(binary_form=True))
        return not self.is_closed

    def _decrypt_input(self) -> None:
        while self.state is ConnectionState.OPEN:
            if self.end == len(self.buffer):
                self._make_room()
            with memoryview(self.buffer) as view, view[self.end :] as free:
                try:
                    # The stub asks for a bytearray; any writable buffer will do.
                    received: int = self._tls.read(len(free), free)  # type: ignore[arg-type, assignment]
                except ssl.SSLWantReadError:
                    return
                except ssl.SSLZeroReturnError:
                    self._end(None)
                    return
            self._consume_received(received)
            if self.start == self.end:
                self.start = self.end = 0
            if not self._incoming.pending and not self._tls.pending():
                return  # what a further read would say with an exception

    def _encode(self, data: bytes) -> bytes:
        with memoryview(data) as view:
            written = 0
            while written < len(data):
                written += self._tls.write(view[written:])
        return self._outgoing.read()

    def _shut_write_side(self) -> None:
        # close_notify: without it the other side can't tell an end from a cut (RFC 8446 section 6.1).
        if self.phase is TlsPhase.ESTABLISHED and not self.is_closed:
            with contextlib.suppress(ssl.SSLError, OSError):
                try:
                    self._tls.unwrap()
                except ssl.SSLWantReadError:
                    self.sock.send(self._outgoing.read())
        super()._shut_write_side()
