"""Records and name-value pairs of FastCGI 1.0 (specification sections 3.3 and 3.4), encoded and decoded."""

from __future__ import annotations

import struct

from hoistplank.protocol.errors import FastCgiError

# Record types (section 8). Plain integers, because they are compared several times for each request.
BEGIN_REQUEST, ABORT_REQUEST, END_REQUEST, PARAMS, STDIN, STDOUT = 1, 2, 3, 4, 5, 6
GET_VALUES, GET_VALUES_RESULT, UNKNOWN_TYPE = 9, 10, 11

VERSION = 1
MANAGEMENT_NUMBER = 0  # the request number of management records (section 4)
RESPONDER = 1  # the only supported role (section 6.2)
KEEP_CONN = 1  # the flag of BEGIN_REQUEST that keeps the connection open
REQUEST_COMPLETE, OVERLOADED, UNKNOWN_ROLE = 0, 2, 3  # protocol statuses of END_REQUEST (section 5.5)

# Version, type, request number, content length, padding length.
HEADER = struct.Struct(">BBHHBx")
MAX_CONTENT_BYTES = 65_535
# Web servers send some forty parameters and one for each header field. Decoding takes a time for each one.
MAX_PAIRS = 256
_END_REQUEST_BODY = struct.Struct(">IB3x")  # application status, protocol status
_SHORT_LENGTH = 0x80  # a shorter length takes one byte, others take four with the top bit set
_LONG_LENGTH_BIT = 0x80000000


def encode_record(record_type: int, number: int, content: bytes = b"") -> bytes:
    """Returns a record without padding; `content` has at most MAX_CONTENT_BYTES."""
    return HEADER.pack(VERSION, record_type, number, len(content), 0) + content


def encode_end_request(number: int, status: int = 0, protocol_status: int = REQUEST_COMPLETE) -> bytes:
    """Returns an END_REQUEST record; `status` is the application's exit status."""
    return encode_record(END_REQUEST, number, _END_REQUEST_BODY.pack(status, protocol_status))


def encode_pair(name: bytes, value: bytes) -> bytes:
    """Returns a name-value pair: both lengths, then both texts."""
    return _encode_length(len(name)) + _encode_length(len(value)) + name + value


def _encode_length(length: int) -> bytes:
    if length < _SHORT_LENGTH:
        return bytes((length,))
    return struct.pack(">I", length | _LONG_LENGTH_BIT)


def decode_pairs(data: bytes | bytearray) -> list[tuple[str, str]]:
    """Returns the name-value pairs of a stream as Latin-1 text; raises FastCgiError if a length does not
    fit, or if there are more than MAX_PAIRS."""
    pairs, position, size = list[tuple[str, str]](), 0, len(data)
    text = data.decode("latin-1")  # decoded once: each byte is one character
    while position < size:
        name_length, position = data[position], position + 1
        if name_length >= _SHORT_LENGTH:
            name_length, position = _decode_long_length(data, position)
        if position >= size:
            raise FastCgiError("a parameter is cut off inside its lengths")
        value_length, position = data[position], position + 1
        if value_length >= _SHORT_LENGTH:
            value_length, position = _decode_long_length(data, position)
        value_start = position + name_length
        value_end = value_start + value_length
        if value_end > size:
            raise FastCgiError("a parameter is longer than the rest of its stream")
        if len(pairs) == MAX_PAIRS:
            raise FastCgiError(f"a stream has more than {MAX_PAIRS} parameters")
        pairs.append((text[position:value_start], text[value_start:value_end]))
        position = value_end
    return pairs


def _decode_long_length(data: bytes | bytearray, position: int) -> tuple[int, int]:
    """Returns a four-byte length, whose first byte is before `position`, and the position behind it."""
    if position + 3 > len(data):
        raise FastCgiError("a parameter is cut off inside its lengths")
    return int.from_bytes(data[position - 1 : position + 3], "big") & 0x7FFFFFFF, position + 3
