"""The errors of the parsers: a base class, and a class for each protocol."""


class ProtocolError(Exception):
    """Bytes that can't be decoded; the text names the fault."""


class FastCgiError(ProtocolError):
    """Records or parameters of a client that violate FastCGI."""


class CacheWireError(ProtocolError):
    """An answer of a cache host that can't be decoded, or that doesn't match its request."""


class ChangeLogError(ProtocolError):
    """A line of the change log that can't be decoded, or that has invalid values."""
