"""The errors of this package: what ends a connection beside an OSError of its socket."""


class TransportError(Exception):
    """What the other side sent can't be taken by the transport, whatever its protocol."""


class MessageTooLongError(TransportError):
    """A message does not fit into the most that a connection buffers."""

    def __init__(self, max_bytes: int) -> None:
        super().__init__(f"a message is longer than {max_bytes} bytes")
        self.max_bytes = max_bytes


class TlsError(TransportError):
    """A handshake or record that can't be used; its text is the TLS library's reason."""
