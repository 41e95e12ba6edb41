"""The errors of all parsers: one base, and one type a protocol."""


class ProtocolError(Exception):
    """Bytes that can't be read; its text names what is wrong with them."""


class FastCgiError(ProtocolError):
    """Records or parameters of a client that are no FastCGI."""


class CacheWireError(ProtocolError):
    """An answer of a cache host that can't be read, or that doesn't fit what was asked."""


class ChangeLogError(ProtocolError):
    """A line of the change log that can't be read or used."""
