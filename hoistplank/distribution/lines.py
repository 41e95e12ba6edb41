"""Lines of one connection, cut from its bytes. No sockets."""

from __future__ import annotations

from hoistplank.protocol.errors import ProtocolError


class LineReader:
    """Cuts what one connection brings into lines, without their ends; empty lines are left out."""

    def __init__(self, longest: int) -> None:
        self.longest = longest
        self._searched = 0  # bytes of an unfinished line that hold no end

    def read(self, buffer: bytearray, start: int, end: int) -> tuple[int, list[bytes]]:
        """The whole lines between `start` and `end`, and where the rest begins; raises ProtocolError."""
        lines = list[bytes]()
        while (stop := buffer.find(b"\n", start + self._searched, end)) >= 0:
            line = bytes(buffer[start:stop]).strip()
            start, self._searched = stop + 1, 0
            if line:
                lines.append(line)
        self._searched = end - start
        if self._searched > self.longest:
            raise ProtocolError(f"a line is longer than {self.longest} bytes")
        return start, lines
