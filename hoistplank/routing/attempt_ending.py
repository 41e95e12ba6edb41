"""Endings of an attempt, and the outcome that each is reported as to the decision logic."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from hoistplank.decision.events import Outcome
from hoistplank.decision.retries import NEVER_RAN
from hoistplank.protocol.cachewire import Answer, AnswerStatus
from hoistplank.transport.pooled_request import RequestFailure
from hoistplank.transport.transmission import Undelivered, UndeliveredReason


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

ENDING_OF_UNDELIVERED = {
    UndeliveredReason.REFUSED: AttemptEnding.CONNECTION_REFUSED,
    UndeliveredReason.CONNECT_TIMED_OUT: AttemptEnding.CONNECT_TIMED_OUT,
    UndeliveredReason.NOT_WRITTEN: AttemptEnding.NOT_WRITTEN,
    UndeliveredReason.NOT_STARTED: AttemptEnding.NOT_STARTED,
}

ENDING_OF_FAILURE = {
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


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """The end of an attempt with its evidence: the host's answer, or the proof that it was not delivered.

    Raises ValueError if the ending says that the attempt never ran and is not the ending of that evidence.
    """

    ending: AttemptEnding
    answer: Answer | None = None
    proof: Undelivered | None = None

    def __post_init__(self) -> None:
        if self.outcome in NEVER_RAN and self._ending_of_evidence() is not self.ending:
            raise ValueError(f"an attempt can't end as '{self.ending}' without a proof")

    def _ending_of_evidence(self) -> AttemptEnding | None:
        if self.proof is not None:
            return ENDING_OF_UNDELIVERED[self.proof.reason]
        return ENDING_OF_STATUS.get(self.answer.status) if self.answer is not None else None

    @property
    def outcome(self) -> int:
        """The outcome that the decision logic is told."""
        return OUTCOMES[self.ending]

    @classmethod
    def of_answer(cls, answer: Answer) -> AttemptEnd:
        """Returns the end by the host's answer."""
        return cls(ENDING_OF_STATUS[answer.status], answer=answer)

    @classmethod
    def of_undelivered(cls, proof: Undelivered) -> AttemptEnd:
        """Returns the end of an attempt that never ran."""
        return cls(ENDING_OF_UNDELIVERED[proof.reason], proof=proof)

    @classmethod
    def of_failure(cls, failure: RequestFailure) -> AttemptEnd:
        """Returns the end of an attempt that may have run, with its connection."""
        return cls(ENDING_OF_FAILURE[failure])
