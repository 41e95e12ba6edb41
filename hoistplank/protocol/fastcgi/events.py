"""Events of the FastCGI reader, and the request that collects the content of its records."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from hoistplank.protocol.errors import FastCgiError
from hoistplank.protocol.fastcgi.records import decode_pairs

_MAX_LENGTH_DIGITS = 9  # of CONTENT_LENGTH; far more than any accepted body needs


@dataclass(slots=True)
class FastCgiRequest:
    """A request on a connection; `error` is the reason why it is invalid, set as soon as that is known."""

    number: int
    keep_connection: bool
    params: bytearray = field(default_factory=bytearray)
    body: bytearray = field(default_factory=bytearray)
    params_complete: bool = False
    body_complete: bool = False
    error: str = ""
    held_bytes: int = 0  # content of its records that counts against the reader's `held_bytes`
    # The records read before it, which tell apart incomplete requests that use one number in turn.
    began_at_record: int = field(default=0, compare=False)

    def parameters(self) -> dict[str, str]:
        """Returns the parameters by name; raises FastCgiError if lengths and content don't match, or a name
        is given twice."""
        parameters: dict[str, str] = {}
        for name, value in decode_pairs(self.params):
            if name in parameters:
                raise FastCgiError(f"the parameter '{name[:40]}' is given twice")
            parameters[name] = value
        length = parameters.get("CONTENT_LENGTH", "")
        if length and not self._is_body_length(length):
            raise FastCgiError(f"CONTENT_LENGTH is '{length[:40]}', but the body has {len(self.body)} bytes")
        return parameters

    def _is_body_length(self, text: str) -> bool:
        if text.strip("0123456789") or len(text) > _MAX_LENGTH_DIGITS:
            return False
        return int(text) == len(self.body)


class RequestReceived(msgspec.Struct, frozen=True):
    """A request is complete, or has an `error` that makes the rest of it irrelevant."""

    request: FastCgiRequest


class RequestAborted(msgspec.Struct, frozen=True):
    """The client has aborted a request, complete or not."""

    number: int
    was_complete: bool


class ProtocolReply(msgspec.Struct, frozen=True):
    """A response of the protocol layer itself, to be sent to the client unchanged."""

    data: bytes


Event = RequestReceived | RequestAborted | ProtocolReply
