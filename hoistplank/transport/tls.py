"""A connection with TLS (RFC 8446): the socket, buffer and writer of a plain one, with memory BIOs
between."""

from __future__ import annotations

import contextlib
import enum
import socket
import ssl
from collections.abc import Callable

from hoistplank.transport.connection import Connection, Consume
from hoistplank.transport.errors import TlsError
from hoistplank.transport.message_writer import ConnectionState

# Encrypted input from the socket; shared by all connections, as it is consumed within the call that reads it.
# A record holds up to 16 KB (RFC 8446 section 5.1).
_encrypted_input = bytearray(32_768)


class TlsPhase(enum.Enum):
    """The phases of a TLS connection; application data is exchanged once it is established."""

    HANDSHAKE = "handshake"
    ESTABLISHED = "established"


class TlsConnection(Connection):
    """The server side of a TLS connection.

    `on_handshake` is called once, with the client's certificate (DER) or None; an exception that it raises
    ends this connection.
    """

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

    def held_input_bytes(self) -> int:
        """Returns the size of the buffer, and of the encrypted input of an incomplete record."""
        return super().held_input_bytes() + self._incoming.pending

    async def run(self) -> BaseException | None:
        """Serves until either side ends the connection; returns the error that ended it, or None."""
        try:
            return await super().run()
        finally:
            self.on_handshake = lambda _certificate: None  # breaks a reference cycle

    def _read_from_socket(self) -> None:
        received = self.sock.recv_into(_encrypted_input)
        self._may_have_more = received == len(_encrypted_input)
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
            # Sends the alert if possible: otherwise the peer would see the connection end without a reason.
            with contextlib.suppress(OSError):
                self.sock.send(self._outgoing.read())
            raise TlsError(error.reason or type(error).__name__) from error
        finally:
            if self._outgoing.pending:
                self.send(b"")  # an empty message carries the pending output of the TLS library

    def _continue_handshake(self) -> bool:
        """Returns True once the handshake is done, if the connection is still open."""
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
                self._ensure_free_space()
            with memoryview(self.buffer) as view, view[self.end :] as free:
                try:
                    # The type stub demands a bytearray; any writable buffer is accepted.
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
                return  # a further read would raise SSLWantReadError

    def _encode(self, data: bytes) -> bytes:
        with memoryview(data) as view:
            written = 0
            while written < len(data):
                written += self._tls.write(view[written:])
        return self._outgoing.read()

    def _shut_write_side(self) -> None:
        # Sends close_notify, without which the peer can't tell an orderly end from a truncation (RFC 8446
        # section 6.1).
        if self.phase is TlsPhase.ESTABLISHED and not self.is_closed:
            with contextlib.suppress(ssl.SSLError, OSError):
                try:
                    self._tls.unwrap()
                except ssl.SSLWantReadError:
                    self.sock.send(self._outgoing.read())
        super()._shut_write_side()
