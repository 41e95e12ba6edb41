"""The layout of a request that is completely in the buffer, with its records in the order of web servers."""

from __future__ import annotations

import struct

from hoistplank.protocol.fastcgi.records import BEGIN_REQUEST, HEADER, PARAMS, RESPONDER, STDIN, VERSION

MAX_PARAMS_BYTES = 32_768  # all parameters of a request; typical ones take some 400 bytes
MAX_BODY_BYTES = 48_000

# Adjacent records are unpacked in one step for speed, as each request takes this path.
_BEGIN_AND_HEADER = struct.Struct(">BBHHBxHB5xBBHHBx")  # BEGIN_REQUEST with role and flags, then a header
_TWO_HEADERS = struct.Struct(">BBHHBxBBHHBx")
_HEADER_BYTES, _BEGIN_AND_HEADER_BYTES, _TWO_HEADERS_BYTES = (
    HEADER.size,
    _BEGIN_AND_HEADER.size,
    _TWO_HEADERS.size,
)
_MIN_BYTES = _BEGIN_AND_HEADER_BYTES + _TWO_HEADERS_BYTES
# Version, type, length, padding, role; then version and type of the next record.
_RESPONDER_START = (VERSION, BEGIN_REQUEST, 8, 0, RESPONDER, VERSION, PARAMS)
# Version, type, length, padding; then version and type of the next record.
_PARAMS_END = (VERSION, PARAMS, 0, 0, VERSION, STDIN)


class WholeRequestLayout:
    """The positions of a request's parts in the buffer; each reader reuses one object for all its
    requests."""

    __slots__ = ("body_end", "body_start", "end", "flags", "number", "params_end", "params_start")

    number: int
    flags: int
    params_start: int
    params_end: int
    body_start: int
    body_end: int
    end: int  # behind the last record

    def find(self, buffer: bytearray, start: int, end: int) -> bool:
        """Returns True if a complete request begins at `start` and ends by `end`, in this form:
        BEGIN_REQUEST with the role of a responder, one PARAMS record and the end of PARAMS, at most one STDIN
        record and the end of STDIN."""
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
        start_fields = (version, kind, size, padding, role, params_version, params_kind)
        if start_fields != _RESPONDER_START or not number or params_number != number:
            return False
        if not 0 < params_size <= MAX_PARAMS_BYTES:
            return False
        self.number, self.flags = number, flags
        self.params_start = start + _BEGIN_AND_HEADER_BYTES
        self.params_end = self.params_start + params_size
        return self._find_body(buffer, self.params_end + params_padding, end)

    def _find_body(self, buffer: bytearray, start: int, end: int) -> bool:
        """Returns True if the end of the parameters and a complete body follow at `start`."""
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
        """Returns True if an empty STDIN record follows the body."""
        if end < self.end + _HEADER_BYTES:
            return False
        if HEADER.unpack_from(buffer, self.end) != (VERSION, STDIN, self.number, 0, 0):
            return False
        self.end += _HEADER_BYTES
        return True
