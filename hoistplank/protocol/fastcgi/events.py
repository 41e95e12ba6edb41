"""What a reader of FastCGI reports: requests as their records come in, and one type an event."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from hoistplank.protocol.errors import FastCgiError
from hoistplank.protocol.fastcgi.records import decode_pairs

_MAX_LENGTH_DIGITS = 9  # of CONTENT_LENGTH: far beyond any body that is taken


@dataclass(slots=True)
class FastCgiRequest:
    """One request of a connection; `error` says why it can't be used, as soon as that is known."""

    number: int
    keep_connection: bool
    params: bytearray = field(default_factory=bytearray)
    body: bytearray = field(default_factory=bytearray)
    params_complete: bool = False
    body_complete: bool = False
    error: str = ""
    held_bytes: int = 0  # content of its records that counts against the reader's `held_bytes`

    def parameters(self) -> dict[str, str]:
        """The parameters by name; raises FastCgiError where lengths and bytes don't agree, or one is given
        twice."""
        parameters: dict[str, str] = {}
        for name, value in decode_pairs(self.params):
            if name in parameters:
                raise FastCgiError(f"the parameter '{name[:40]}' is given twice")
            parameters[name] = value
        length = parameters.get("CONTENT_LENGTH", "")
        if length and not self._is_body_length(length):
            raise FastCgiError(f"CONTENT_LENGTH '{length[:40]}' is not the body's {len(self.body)} bytes")
        return parameters

    def _is_body_length(self, text: str) -> bool:
        if text.strip("0123456789") or len(text) > _MAX_LENGTH_DIGITS:
            return False
        return int(text) == len(self.body)


class RequestReceived(msgspec.Struct, frozen=True):
    """A request is complete, or has an `error` that makes the rest of it useless."""

    request: FastCgiRequest


class RequestAborted(msgspec.Struct, frozen=True):
    """The client no longer waits for a request, which may not have been complete."""

    number: int
    was_complete: bool


class ProtocolReply(msgspec.Struct, frozen=True):
    """Bytes that the protocol itself owes the client; to be sent as they are."""

    data: bytes


Event = RequestReceived | RequestAborted | ProtocolReply
