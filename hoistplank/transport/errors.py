"""Errors other than OSError that end a connection."""


class TransportError(Exception):
    """The peer sent data that the transport can't accept, independent of the protocol."""


class MessageTooLongError(TransportError):
    """A message does not fit into the buffer of its connection."""

    def __init__(self, max_bytes: int) -> None:
        super().__init__(f"a message is longer than {max_bytes} bytes")
        self.max_bytes = max_bytes


class TlsError(TransportError):
    """A TLS handshake or record is invalid; the text is the TLS library's reason."""
