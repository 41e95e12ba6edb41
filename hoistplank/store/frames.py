"""The framing of stored files: magic, format, kind, length and CRC-32C. Works on bytes, not on files.

A frame is 4 bytes of magic, 2 of format, 2 of kind, 4 of content length, 4 of CRC-32C (RFC 3720 appendix
B.4) over those twelve and the content, then the content. Integers are big-endian.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

import google_crc32c

from hoistplank.store.errors import FrameError, FrameFault

MAGIC = b"hpk\x01"
HEAD = struct.Struct(">4sHHI")
CHECKSUM = struct.Struct(">I")
HEADER_BYTES = HEAD.size + CHECKSUM.size
MAX_CONTENT_BYTES = 1 << 26  # a list of 100,000 hosts takes some 20 MB


@dataclass(frozen=True, slots=True)
class Frame:
    """One whole frame, its checksum verified."""

    format: int
    kind: int
    content: bytes


@dataclass(frozen=True, slots=True)
class FrameSequence:
    """The valid frames at the start of a byte sequence.

    `valid_bytes` is their total length; `fault` is the reason why the sequence ended, None at a clean end.
    """

    frames: tuple[Frame, ...]
    valid_bytes: int
    fault: FrameFault | None


def encode_frame(format_version: int, kind: int, content: bytes) -> bytes:
    """Encodes one frame; raises FrameError if the content exceeds `MAX_CONTENT_BYTES`."""
    if len(content) > MAX_CONTENT_BYTES:
        raise FrameError(FrameFault.TOO_LONG)
    head = HEAD.pack(MAGIC, format_version, kind, len(content))
    return head + CHECKSUM.pack(google_crc32c.value(head + content)) + content


def decode_frames(data: bytes) -> FrameSequence:
    """Decodes all valid frames from the start up to a torn or damaged one; later bytes are not trusted."""
    frames = list[Frame]()
    position = 0
    while position < len(data):
        frame = _decode_frame(data, position)
        if isinstance(frame, FrameFault):
            return FrameSequence(tuple(frames), position, frame)
        frames.append(frame)
        position += HEADER_BYTES + len(frame.content)
    return FrameSequence(tuple(frames), position, None)


def _decode_frame(data: bytes, start: int) -> Frame | FrameFault:
    """Decodes the frame that begins at `start`, or returns the reason why there is none."""
    if len(data) - start < HEADER_BYTES:
        return FrameFault.CUT_SHORT
    magic, format_version, kind, length = HEAD.unpack_from(data, start)
    if magic != MAGIC:
        return FrameFault.NO_FRAME
    if length > MAX_CONTENT_BYTES:
        return FrameFault.LENGTH
    end = start + HEADER_BYTES + length
    if end > len(data):
        return FrameFault.CUT_SHORT
    (checksum,) = CHECKSUM.unpack_from(data, start + HEAD.size)
    content = data[start + HEADER_BYTES : end]
    if google_crc32c.value(data[start : start + HEAD.size] + content) != checksum:
        return FrameFault.CHECKSUM
    return Frame(format_version, kind, content)
