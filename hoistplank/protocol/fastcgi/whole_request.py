"""The layout of a request whose records all stand in the buffer, in the order that web servers send them."""

from __future__ import annotations

import struct

from hoistplank.protocol.fastcgi.records import BEGIN_REQUEST, HEADER, PARAMS, RESPONDER, STDIN, VERSION

MAX_PARAMS_BYTES = 32_768  # all parameters of a request; those in use take some 400 bytes
MAX_BODY_BYTES = 48_000

_BEGIN = struct.Struct(">BBHHBxHB5x")  # BEGIN_REQUEST with its role and flags
_HEADER_BYTES, _BEGIN_BYTES = HEADER.size, _BEGIN.size
_MIN_BYTES = _BEGIN_BYTES + 3 * _HEADER_BYTES
_RESPONDER_BEGINS = (VERSION, BEGIN_REQUEST, 8, 0, RESPONDER)  # version, type, length, padding, role


class WholeRequestLayout:
    """Where the parts of one request stand in the buffer; one a reader, filled anew for each request."""

    __slots__ = ("body_end", "body_start", "end", "flags", "number", "params_end", "params_start")

    number: int
    flags: int
    params_start: int
    params_end: int
    body_start: int
    body_end: int
    end: int  # of its last record

    def find(self, buffer: bytearray, start: int, end: int) -> bool:
        """Whether a request of this form begins at `start` and stands whole before `end`: BEGIN_REQUEST as a
        responder, one PARAMS record and its end, at most one STDIN record and its end."""
        if end - start < _MIN_BYTES:
            return False
        version, kind, number, size, padding, role, self.flags = _BEGIN.unpack_from(buffer, start)
        if (version, kind, size, padding, role) != _RESPONDER_BEGINS or not number:
            return False
        self.number = number

        version, kind, owner, size, padding = HEADER.unpack_from(buffer, start + _BEGIN_BYTES)
        if version != VERSION or kind != PARAMS or owner != number or not 0 < size <= MAX_PARAMS_BYTES:
            return False
        self.params_start = start + _BEGIN_BYTES + _HEADER_BYTES
        self.params_end = self.params_start + size
        position = self.params_end + padding
        if end < position + 2 * _HEADER_BYTES:
            return False
        if HEADER.unpack_from(buffer, position) != (VERSION, PARAMS, number, 0, 0):
            return False
        position += _HEADER_BYTES

        version, kind, owner, size, padding = HEADER.unpack_from(buffer, position)
        if version != VERSION or kind != STDIN or owner != number or size > MAX_BODY_BYTES:
            return False
        self.body_start = position + _HEADER_BYTES
        self.body_end = self.body_start + size
        self.end = self.body_end + padding
        if size:
            if end < self.end + _HEADER_BYTES:
                return False
            if HEADER.unpack_from(buffer, self.end) != (VERSION, STDIN, number, 0, 0):
                return False
            self.end += _HEADER_BYTES
            return True
        return not padding
