"""Endings of an attempt, and the outcome that each is reported as to the decision logic."""

from __future__ import annotations

from enum import StrEnum

from hoistplank.decision.events import Outcome
from hoistplank.protocol.cachewire import AnswerStatus
from hoistplank.transport.pooled_request import RequestFailure


class AttemptEnding(StrEnum):
    """The ending of an attempt: a failure without an answer, or the status of the cache host's answer.

    A new connection that is reset before anything was written is hardly evidence against its host: it counts
    like an attempt that was cancelled before its first byte.
    """

    CONNECTION_REFUSED = "refused"  # the cache host's machine refused the connection
    CONNECT_TIMED_OUT = "not up"  # no connection within the connect timeout of the settings
    NOT_WRITTEN = "unwritten"  # the connection ended before the request was fully written
    NOT_STARTED = "withheld"  # cancelled before its first byte
    CONNECTION_LOST = "broken"  # the connection ended after the request was written
    ANSWER_SPOILED = "spoilt"  # likewise, but the host was reachable: no evidence against it
    TIMED_OUT = "late"
    CANCELLED = "withdrawn"
    SERVED = "served"
    NOT_MODIFIED = "still_good"
    MISS = "not_here"
    OVERLOADED = "overload"
    ERROR = "crashed"
    NOT_ATTEMPTED = "nobody"


# The outcome of each ending. A connection that was never established, NOT_WRITTEN and NOT_STARTED prove that
# the attempt never ran; a lost connection or a timeout after the request was fully written proves nothing.
OUTCOMES = {
    AttemptEnding.CONNECTION_REFUSED: Outcome.CONNECT_FAILED,
    AttemptEnding.CONNECT_TIMED_OUT: Outcome.CONNECT_FAILED,
    AttemptEnding.NOT_WRITTEN: Outcome.NOT_SENT,
    AttemptEnding.NOT_STARTED: Outcome.NOT_SENT,
    AttemptEnding.CONNECTION_LOST: Outcome.CONNECTION_LOST,
    AttemptEnding.ANSWER_SPOILED: Outcome.CONNECTION_SPOILED,
    AttemptEnding.TIMED_OUT: Outcome.TIMED_OUT,
    AttemptEnding.CANCELLED: Outcome.CANCELLED,
    AttemptEnding.SERVED: Outcome.SUCCEEDED,
    AttemptEnding.NOT_MODIFIED: Outcome.SUCCEEDED,
    AttemptEnding.MISS: Outcome.MISS,
    AttemptEnding.OVERLOADED: Outcome.OVERLOADED,
    AttemptEnding.ERROR: Outcome.ERROR,
    AttemptEnding.NOT_ATTEMPTED: Outcome.NOT_SENT,
}

ENDING_OF_FAILURE = {
    RequestFailure.REFUSED: AttemptEnding.CONNECTION_REFUSED,
    RequestFailure.CONNECT_TIMED_OUT: AttemptEnding.CONNECT_TIMED_OUT,
    RequestFailure.NOT_WRITTEN: AttemptEnding.NOT_WRITTEN,
    RequestFailure.NOT_STARTED: AttemptEnding.NOT_STARTED,
    RequestFailure.CONNECTION_LOST: AttemptEnding.CONNECTION_LOST,
    RequestFailure.ANSWER_SPOILED: AttemptEnding.ANSWER_SPOILED,
}

# The other two statuses answer health checks and are rejected for attempts (`cachewire.check_answer`).
ENDING_OF_STATUS = {
    AnswerStatus.SERVED: AttemptEnding.SERVED,
    AnswerStatus.NOT_MODIFIED: AttemptEnding.NOT_MODIFIED,
    AnswerStatus.MISS: AttemptEnding.MISS,
    AnswerStatus.OVERLOADED: AttemptEnding.OVERLOADED,
    AnswerStatus.ERROR: AttemptEnding.ERROR,
    AnswerStatus.NOT_ATTEMPTED: AttemptEnding.NOT_ATTEMPTED,
}
