"""Reads answers from a connection to a cache host and passes each to the attempt that awaits it."""

from __future__ import annotations

from hoistplank.protocol import cachewire
from hoistplank.routing.attempts import Attempt
from hoistplank.transport.connection import Consume
from hoistplank.transport.pooled_connection import PooledConnection


def make_answer_reader(pooled: PooledConnection) -> Consume:
    """Returns the consumer of one connection's bytes. It raises ProtocolError if they can't be parsed, or if
    an answer does not match its request."""
    reader = cachewire.AnswerReader()

    def consume(buffer: bytearray, start: int, end: int) -> int:
        while True:
            start, answers = reader.read(buffer, start, end)
            if not answers:
                return start
            for answer in answers:
                # A duplicate answer, one that crossed with its DROP, one to an unknown id, or one to a
                # request that the host can't have whole does not affect the attempts: it is ignored, and
                # the connection stays in use.
                if answer.status in cachewire.HEALTH_STATUSES and pooled.on_probe_answer is not None:
                    is_healthy = answer.status is cachewire.AnswerStatus.HEALTHY
                    pooled.on_probe_answer(answer.request_id, is_healthy)
                attempt = pooled.in_flight.get(answer.request_id)
                if isinstance(attempt, Attempt) and attempt.transmission.is_written:
                    request = attempt.request
                    cachewire.check_answer(
                        answer, client_digest=request.known_version, is_copy=request.is_cacheable
                    )
                    pooled.finish(attempt)
                    attempt.answered(answer)

    return consume
