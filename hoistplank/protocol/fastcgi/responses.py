"""CGI responses (RFC 3875 section 6) as FastCGI records: STDOUT, its end, END_REQUEST."""

from __future__ import annotations

import struct

from hoistplank.protocol.fastcgi.records import (
    END_REQUEST,
    HEADER,
    MAX_CONTENT_BYTES,
    REQUEST_COMPLETE,
    STDOUT,
    VERSION,
)

# An empty STDOUT record, and an END_REQUEST record with its body.
_END_OF_RESPONSE = struct.Struct(">BBHHBxBBHHBxIB3x")
_END_BODY_BYTES = 8


def _encode_end(number: int) -> bytes:
    """Returns the end of the STDOUT stream and the END_REQUEST record."""
    return _END_OF_RESPONSE.pack(
        VERSION, STDOUT, number, 0, 0, VERSION, END_REQUEST, number, _END_BODY_BYTES, 0, 0, REQUEST_COMPLETE
    )


def encode_head(status: int, fields: tuple[tuple[str, str], ...], length: int = 0) -> bytes:
    """Returns the CGI header of a response with a body of `length` bytes; that of a response without a body
    may be encoded in advance, for `encode_response_without_body`."""
    text = f"Status: {status}\r\nContent-Type: application/octet-stream\r\nContent-Length: {length}\r\n"
    for name, value in fields:
        text += f"{name}: {value}\r\n"
    return (text + "\r\n").encode("latin-1")


def encode_response_without_body(number: int, head: bytes) -> bytes:
    """Returns a complete response without a body; `head` comes from `encode_head`."""
    return HEADER.pack(VERSION, STDOUT, number, len(head), 0) + head + _encode_end(number)


def encode_response(number: int, status: int, fields: tuple[tuple[str, str], ...], body: bytes) -> bytes:
    """Returns a complete response: its STDOUT records, the end of the stream, END_REQUEST."""
    head = encode_head(status, fields, len(body))
    size = len(head) + len(body)
    if size <= MAX_CONTENT_BYTES:
        header = HEADER.pack(VERSION, STDOUT, number, size, 0)
        return b"".join((header, head, body, _encode_end(number)))
    first = MAX_CONTENT_BYTES - len(head)
    parts = [HEADER.pack(VERSION, STDOUT, number, MAX_CONTENT_BYTES, 0), head, memoryview(body)[:first]]
    for position in range(first, len(body), MAX_CONTENT_BYTES):
        piece = memoryview(body)[position : position + MAX_CONTENT_BYTES]
        parts += [HEADER.pack(VERSION, STDOUT, number, len(piece), 0), piece]
    return b"".join([*parts, _encode_end(number)])
