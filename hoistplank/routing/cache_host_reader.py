"""The reader of a connection to a cache host: answers to the attempts that wait for them."""

from __future__ import annotations

from hoistplank.protocol import cachewire
from hoistplank.routing.attempts import Attempt
from hoistplank.transport.connection import Consume
from hoistplank.transport.pooled_connection import PooledConnection


def make_answer_reader(pooled: PooledConnection) -> Consume:
    """What takes the bytes of one connection; it raises ProtocolError where they can't be read, or where an
    answer does not fit what was asked."""
    reader = cachewire.AnswerReader()

    def consume(buffer: bytearray, start: int, end: int) -> int:
        while True:
            start, answers = reader.read(buffer, start, end)
            if not answers:
                return start
            for answer in answers:
                # A second copy, an answer that crossed with its DROP, or one that nobody asked for says
                # nothing of the others: it is dropped, and the connection goes on.
                attempt = pooled.in_flight.get(answer.request_id)
                if isinstance(attempt, Attempt):
                    request = attempt.request
                    cachewire.check_answer(
                        answer, client_digest=request.known_version, is_copy=request.is_cacheable
                    )
                    pooled.finish(answer.request_id)
                    attempt.answered(answer)

    return consume
