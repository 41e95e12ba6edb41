"""Finds SCRIPT_NAME in encoded parameters, for load shedding before a request is decoded."""

from __future__ import annotations

_NAME = b"SCRIPT_NAME"
_NAME_BYTES = len(_NAME)
_MAX_SHORT_LENGTH = 0x7F


def find_script_name(buffer: bytearray, start: int, end: int) -> bytes:
    """Returns the value of SCRIPT_NAME in the parameters between `start` and `end`, without decoding the
    others, or b"" if it is not found. Another parameter's value that contains an encoded SCRIPT_NAME can
    mislead only load shedding, and only for the request of its sender."""
    position = buffer.find(_NAME, start, end)
    # The name is preceded by its length and the length of its value.
    if position < start + 2 or buffer[position - 2] != _NAME_BYTES:
        return b""
    value_bytes = buffer[position - 1]
    if value_bytes > _MAX_SHORT_LENGTH:
        return b""
    value_start = position + _NAME_BYTES
    value_end = value_start + value_bytes
    return bytes(buffer[value_start:value_end]) if value_end <= end else b""
