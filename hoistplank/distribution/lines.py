"""Splits the bytes of a connection into lines. No sockets."""

from __future__ import annotations

from hoistplank.protocol.errors import ProtocolError


class LineReader:
    """Reads the lines of one connection, without their newlines; blank lines are skipped."""

    def __init__(self, max_line_bytes: int) -> None:
        self.max_line_bytes = max_line_bytes
        self._searched = 0  # bytes of an incomplete line known to hold no newline

    def read(self, buffer: bytearray, start: int, end: int) -> tuple[int, list[bytes]]:
        """Returns the start of the remainder and the complete lines in the range; raises ProtocolError."""
        lines = list[bytes]()
        while (stop := buffer.find(b"\n", start + self._searched, end)) >= 0:
            line = bytes(buffer[start:stop]).strip()
            start = stop + 1
            self._searched = 0
            if line:
                lines.append(line)
        self._searched = end - start
        if self._searched > self.max_line_bytes:
            raise ProtocolError(f"a line is longer than {self.max_line_bytes} bytes")
        return start, lines
