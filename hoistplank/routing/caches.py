"""The reader of a connection to a cache host: answers to the shots that wait for them."""

from __future__ import annotations

from collections.abc import Callable

from hoistplank.protocol import cachewire
from hoistplank.protocol.errors import BadBytes
from hoistplank.routing.owner import Probe
from hoistplank.routing.shots import Shot
from hoistplank.transport.pool import Line


def answers_of(line: Line) -> Callable[[bytearray, int, int], int]:
    reader = cachewire.Reader()

    def consume(buffer: bytearray, start: int, end: int) -> int:
        while True:
            start, found = reader.read(buffer, start, end)
            if not found:
                return start
            for answer in found:
                errand = line.end(answer.id)
                if isinstance(errand, Shot | Probe):
                    errand.answered(answer)
                elif answer.id in line.dropped:
                    del line.dropped[answer.id]  # crossed with its DROP
                else:
                    raise BadBytes(f"an answer has the unknown id '{answer.id[:20]}'")

    return consume
