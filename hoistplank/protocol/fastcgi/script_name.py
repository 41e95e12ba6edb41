"""Finds SCRIPT_NAME in encoded parameters, for load shedding that decides before it reads."""

from __future__ import annotations

_NAME = b"SCRIPT_NAME"
_NAME_BYTES = len(_NAME)
_MAX_SHORT_LENGTH = 0x7F


def find_script_name(buffer: bytearray, start: int, end: int) -> bytes:
    """The value of SCRIPT_NAME among the parameters between `start` and `end`, found without decoding the
    others; b"" where it is not found. A text in another value that looks like it misleads only load shedding,
    on its sender's own request."""
    position = buffer.find(_NAME, start, end)
    # Before the name stand its length and that of the value.
    if position < start + 2 or buffer[position - 2] != _NAME_BYTES:
        return b""
    value_bytes = buffer[position - 1]
    if value_bytes > _MAX_SHORT_LENGTH:
        return b""
    value_start = position + _NAME_BYTES
    value_end = value_start + value_bytes
    return bytes(buffer[value_start:value_end]) if value_end <= end else b""
