"""A request in the router task's hands, and its attempts at cache hosts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from hoistplank.decision.actions import SendAttempt
from hoistplank.protocol.cachewire import Answer
from hoistplank.routing.attempt_ending import ENDING_OF_FAILURE, ENDING_OF_STATUS, AttemptEnding
from hoistplank.routing.clock import Clock
from hoistplank.routing.endpoint_registry import EndpointRegistry
from hoistplank.routing.standstill import StandstillDetector
from hoistplank.transport.pooled_connection import PooledConnection
from hoistplank.transport.pooled_request import RequestFailure


class Response(Protocol):
    """The client's side of a request. The first of these calls is its answer; it comes once."""

    def succeed(self, body: bytes, *, unchanged: bool) -> None:
        """The object; `unchanged`: the copy that the client named still holds."""

    def reject(self, retry_after_us: int) -> None:
        """Nothing was done; the client may come again after that time."""

    def fail(self) -> None:
        """The request failed, and may have had its effect."""


@dataclass(slots=True, eq=False)
class Request:
    """A request that was accepted: what the client sent, and its attempts in flight.

    Times are Unix times in microseconds. `known_version`: of the copy that the client has, "" for none.
    """

    response: Response
    id: str
    class_name: str
    object_key: str
    part: int
    purge_group: int
    idempotency_key: str
    known_version: str
    body: bytes
    deadline_us: int
    is_repeat: bool  # the client has asked for the same before
    is_cacheable: bool  # whether copies of its traffic class are cached: then its answers are of a copy
    caller: object = None  # who sent it, from its acceptance to its end, where callers are authorized
    received_us: int = 0  # when its last byte was read
    sending_us: float = 0.0  # how long its answer takes to send at the usual pace, once one has come
    is_closed: bool = False  # answered, or its client is gone
    attempts: dict[int, Attempt] = field(default_factory=dict)  # in flight, by number


class AttemptEnded(NamedTuple):
    """An attempt is over, with the cache host's answer where one came."""

    attempt: Attempt
    ending: AttemptEnding
    answer: Answer | None


class AttemptOwner(Protocol):
    """What an attempt uses of the router task, which stands above it."""

    clock: Clock
    endpoints: EndpointRegistry
    standstills: StandstillDetector
    max_start_delay_us: int

    def submit(self, event: AttemptEnded) -> None:
        """Takes the attempt's end."""

    def permits_attempts(self, now: int, /) -> bool:
        """Whether anything may be sent by the endpoint list that is held."""


class Attempt:
    """One request on its way to one cache host, in the pool's hands; it reports its end to its owner once.

    `started_us` and `ended_us` are times of the sockets, not of the router task's turns: the loop's lag and a
    connection's set-up are no part of what a cache host took. `encode_after` writes its message, given how
    long (us) after the decision it begins.
    """

    def __init__(
        self,
        owner: AttemptOwner,
        request: Request,
        action: SendAttempt,
        now: int,
        encode_after: Callable[[int], bytes],
    ) -> None:
        self._encode_after = encode_after
        self.owner, self.request, self.id, self.number = owner, request, request.id, action.attempt
        self.host, self.source = action.host, action.source
        self.decided_us = now
        self._standstills = owner.standstills.count  # until it was decided
        self.start_by_us = action.start_by_us
        self.decided_at = asyncio.get_running_loop().time()
        self.connection: PooledConnection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.is_over = False
        self.started_us, self.ended_us = now, 0

    def may_begin(self) -> bool:
        """Asked just before the first byte: waiting for a connection may have made the attempt out of date.

        Danger: a drain's grace, a warming host's budget, a purge's grace or the window in which a repeat is
        dropped passes while a connection is not yet up, or while its writes are held up.
        """
        self.started_us = self.owner.clock.now()
        # After a standstill it is decided anew: the change log or the client may have said more meanwhile.
        if self.owner.standstills.detect() != self._standstills:
            return False
        if not self.owner.permits_attempts(self.started_us):
            return False
        if self.is_over or self.request.is_closed or not self.owner.endpoints.is_up(self.host):
            return False
        if self.source and not self.owner.endpoints.is_up(self.source):
            return False
        if 0 < self.start_by_us < self.started_us:
            return False
        return self.started_us - self.decided_us <= self.owner.max_start_delay_us

    def encode(self) -> bytes:
        """Its message, with the time that its client has left as it begins."""
        return self._encode_after(self.started_us - self.decided_us)

    def failed(self, failure: RequestFailure, /) -> None:
        """The pool ended it without an answer."""
        self._end(ENDING_OF_FAILURE[failure], None)

    def answered(self, answer: Answer) -> None:
        """The cache host's answer has come."""
        self._end(ENDING_OF_STATUS[answer.status], answer)

    def settle(self) -> None:
        """It is over: its timer goes, and its request has it in flight no more."""
        self.is_over = True
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None  # it refers back to the attempt
        self.request.attempts.pop(self.number, None)

    def _end(self, ending: AttemptEnding, answer: Answer | None) -> None:
        self.ended_us = self.owner.clock.now()
        self.owner.submit(AttemptEnded(self, ending, answer))
