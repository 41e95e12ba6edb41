"""The reader of a connection to a cache host: answers to the attempts that wait for them."""

from __future__ import annotations

from collections.abc import Callable

from hoistplank.protocol import cachewire
from hoistplank.routing.attempts import Attempt
from hoistplank.transport.pooled_connection import PooledConnection


def answers_of(line: PooledConnection) -> Callable[[bytearray, int, int], int]:
    reader = cachewire.AnswerReader()

    def consume(buffer: bytearray, start: int, end: int) -> int:
        while True:
            start, found = reader.read(buffer, start, end)
            if not found:
                return start
            for answer in found:
                # A second copy, an answer that crossed with its DROP, or one that nobody asked for says
                # nothing of the others: it is dropped, and the connection goes on.
                errand = line.in_flight.get(answer.request_id)
                if isinstance(errand, Attempt):
                    cachewire.check_answer(
                        answer, client_digest=errand.request.holds, is_copy=errand.request.kept
                    )
                    line.finish(answer.request_id)
                    errand.answered(answer)

    return consume
