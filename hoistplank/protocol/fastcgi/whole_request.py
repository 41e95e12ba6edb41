"""The layout of a request whose records all stand in the buffer, in the order that web servers send them."""

from __future__ import annotations

import struct

from hoistplank.protocol.fastcgi.records import BEGIN_REQUEST, HEADER, PARAMS, RESPONDER, STDIN, VERSION

MAX_PARAMS_BYTES = 32_768  # all parameters of a request; those in use take some 400 bytes
MAX_BODY_BYTES = 48_000

# Records that stand together are unpacked in one step, as each request takes this path.
_BEGIN_AND_HEADER = struct.Struct(">BBHHBxHB5xBBHHBx")  # BEGIN_REQUEST with its role and flags, a header
_TWO_HEADERS = struct.Struct(">BBHHBxBBHHBx")
_HEADER_BYTES, _BEGIN_AND_HEADER_BYTES, _TWO_HEADERS_BYTES = (
    HEADER.size,
    _BEGIN_AND_HEADER.size,
    _TWO_HEADERS.size,
)
_MIN_BYTES = _BEGIN_AND_HEADER_BYTES + _TWO_HEADERS_BYTES
# Version, type, length, padding, role; then version and type of the next record.
_RESPONDER_BEGINS = (VERSION, BEGIN_REQUEST, 8, 0, RESPONDER, VERSION, PARAMS)
# Version, type, length, padding; then version and type of the next record.
_PARAMS_END = (VERSION, PARAMS, 0, 0, VERSION, STDIN)


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
        (
            version,
            kind,
            number,
            size,
            padding,
            role,
            flags,
            params_version,
            params_kind,
            params_number,
            params_size,
            params_padding,
        ) = _BEGIN_AND_HEADER.unpack_from(buffer, start)
        begins = (version, kind, size, padding, role, params_version, params_kind)
        if begins != _RESPONDER_BEGINS or not number or params_number != number:
            return False
        if not 0 < params_size <= MAX_PARAMS_BYTES:
            return False
        self.number, self.flags = number, flags
        self.params_start = start + _BEGIN_AND_HEADER_BYTES
        self.params_end = self.params_start + params_size
        return self._find_body(buffer, self.params_end + params_padding, end)

    def _find_body(self, buffer: bytearray, start: int, end: int) -> bool:
        """Whether the end of the parameters and a whole body stand from `start` on."""
        if end < start + _TWO_HEADERS_BYTES:
            return False
        (
            version,
            kind,
            end_number,
            size,
            padding,
            body_version,
            body_kind,
            body_number,
            body_size,
            body_padding,
        ) = _TWO_HEADERS.unpack_from(buffer, start)
        if (version, kind, size, padding, body_version, body_kind) != _PARAMS_END:
            return False
        if not end_number == body_number == self.number or body_size > MAX_BODY_BYTES:
            return False
        self.body_start = start + _TWO_HEADERS_BYTES
        self.body_end = self.body_start + body_size
        self.end = self.body_end + body_padding
        return self._find_body_end(buffer, end) if body_size else not body_padding

    def _find_body_end(self, buffer: bytearray, end: int) -> bool:
        """Whether an empty STDIN record stands behind the body."""
        if end < self.end + _HEADER_BYTES:
            return False
        if HEADER.unpack_from(buffer, self.end) != (VERSION, STDIN, self.number, 0, 0):
            return False
        self.end += _HEADER_BYTES
        return True
