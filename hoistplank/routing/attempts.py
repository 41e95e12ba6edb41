"""Accepted requests and their attempts at cache hosts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from hoistplank.decision import events as decision_events
from hoistplank.decision.actions import SendAttempt
from hoistplank.protocol import cachewire
from hoistplank.protocol.cachewire import Answer
from hoistplank.routing.attempt_ending import AttemptEnd, AttemptEnding
from hoistplank.routing.clock import Clock
from hoistplank.routing.endpoint_registry import EndpointRegistry
from hoistplank.routing.standstill import StandstillDetector
from hoistplank.transport.pooled_connection import PooledConnection
from hoistplank.transport.pooled_request import RequestFailure
from hoistplank.transport.transmission import (
    Transmission,
    TransmissionState,
    Undelivered,
    UndeliveredReason,
)


class Response(Protocol):
    """The response to a client's request. The first call sends it; later calls have no effect."""

    def succeed(self, body: bytes, *, unchanged: bool) -> None:
        """Answers with the object or, if `unchanged`, confirms the copy that the client named."""

    def reject(self, retry_after_us: int) -> None:
        """Answers that nothing was done, and that the client may retry after that time."""

    def fail(self) -> None:
        """Answers that the request failed, and may have taken effect."""


@dataclass(slots=True, eq=False)
class Request:
    """An accepted request: the fields that the client sent, and its attempts in flight.

    Times are Unix times in microseconds. `known_version` is the version of the client's copy, "" for none.
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
    is_repeat: bool  # the client sent the same request before
    is_cacheable: bool  # its traffic class is cached, so that answers are of a copy
    caller: object = None  # identity of the caller while the request is open, if there is an authorizer
    received_us: int = 0  # time at which its last byte was read
    sending_us: float = 0.0  # time to send the answer at the configured rate, once there is one
    is_closed: bool = False  # answered, or its client left
    attempts: dict[int, Attempt] = field(default_factory=dict)  # attempts in flight, by number
    unsuccessful: list[AttemptRecord] = field(default_factory=list)  # attempts that ended without success

    def arrival(self, deadline_us: int) -> decision_events.RequestArrived:
        """Returns the event that tells the Router of the request, with its deadline or an earlier one."""
        return decision_events.RequestArrived(
            request_id=self.id,
            class_name=self.class_name,
            object_key=self.object_key,
            part=self.part,
            purge_group=self.purge_group,
            size_kb=0.0,
            deadline_us=deadline_us,
            is_repeat=self.is_repeat,
        )


class AttemptRecord(NamedTuple):
    """An attempt that has ended, for the log; `transmission` is how much of it had been written by then."""

    number: int
    host: str
    source: str
    ending: AttemptEnding
    transmission: TransmissionState
    age_us: int  # since the decision to make it

    def __str__(self) -> str:
        source = f" from {self.source}" if self.source else ""
        how = f"{self.ending}, {self.transmission}, {self.age_us // 1000} ms"
        return f"{self.number} at {self.host}{source}: {how}"


class AttemptEnded(NamedTuple):
    """An attempt ended."""

    attempt: Attempt
    end: AttemptEnd


class AttemptOwner(Protocol):
    """The interface of the router task that an attempt uses."""

    clock: Clock
    endpoints: EndpointRegistry
    standstills: StandstillDetector
    max_start_delay_us: int

    def submit(self, event: AttemptEnded) -> None:
        """Takes the event that the attempt ended."""

    def permits(self, now: int, attempt: Attempt, /) -> bool:
        """Returns whether the endpoint list still permits an attempt, with copies of the age that was
        decided."""


class Attempt:
    """A request sent to one cache host through the pool; it reports its end to its owner once.

    `started_us` and `ended_us` are taken when the socket is written and read, not in the router task's turns,
    so that the loop's lag and connection setup don't count as time that the cache host took. `encode_after`
    returns its message, given the time (us) between the decision and the start of sending.
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
        self._standstills = owner.standstills.count  # up to the decision
        self.start_by_us, self.max_age_us = action.start_by_us, action.max_age_us
        self.write_within_us = action.write_within_us
        self.decided_at = asyncio.get_running_loop().time()
        self.connection: PooledConnection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.is_finished = False
        self.transmission = Transmission()
        self.end: AttemptEnd | None = None  # once it is in the router task's queue
        self.started_us, self.ended_us = now, 0

    def may_begin(self) -> bool:
        """Returns whether the attempt may still be sent; called just before its first byte.

        While the attempt waits for a connection or for blocked writes, a drain's grace period, a warming
        host's budget, a purge's grace period or the window in which a host drops a repeat may have passed.
        """
        self.started_us = self.owner.clock.now()
        # After a standstill the decision is made again: the client may have left, or the change log may have
        # sent events meanwhile.
        if self.owner.standstills.detect() != self._standstills:
            return False
        if self.is_finished or self.request.is_closed or not self.owner.endpoints.is_up(self.host):
            return False
        if self.source and not self.owner.endpoints.is_up(self.source):
            return False
        if 0 < self.start_by_us < self.started_us:
            return False
        if self.started_us - self.decided_us > self.owner.max_start_delay_us:
            return False
        return self.owner.permits(self.started_us, self)

    def may_continue(self) -> bool:
        """Returns whether the rest of it may still be written, also if it has ended.

        After the window, hosts have forgotten the request, and would run it again.
        """
        now = self.owner.clock.now()
        if 0 < self.start_by_us < now:
            return False
        return not 0 < self.write_within_us < now - self.started_us

    def encode(self) -> bytes:
        """Returns its message, with the time that its client has left when sending starts."""
        return self._encode_after(self.started_us - self.decided_us)

    def undelivered(self, proof: Undelivered, /) -> None:
        """Reports that it was not delivered: it never ran."""
        self.report(AttemptEnd.of_undelivered(proof))

    def failed(self, failure: RequestFailure, /) -> None:
        """Reports that its connection ended without an answer: it may have run."""
        self.report(AttemptEnd.of_failure(failure))

    def answered(self, answer: Answer) -> None:
        """Reports the cache host's answer."""
        self.report(AttemptEnd.of_answer(answer))

    def withdraw(self, ending: AttemptEnding, undelivered: UndeliveredReason) -> AttemptEnd:
        """Tells the cache host to drop it, and returns its end: `undelivered` if no byte of it was written,
        else `ending`."""
        if self.connection is None:
            proof = self.transmission.withdraw(undelivered)
        else:
            drop = cachewire.encode_drop(self.id)
            proof = self.connection.cancel(self, drop, self.decided_at, undelivered)
        return AttemptEnd.of_undelivered(proof) if proof is not None else AttemptEnd(ending)

    def report(self, end: AttemptEnd) -> None:
        """Reports its end to the router task; the first end counts.

        Raises ValueError for a proof that is of another attempt.
        """
        if self.end is not None:
            return
        if end.proof is not None and end.proof.transmission is not self.transmission:
            raise ValueError(f"the proof that attempt {self.number} of {self.id} never ran is of another")
        self.end = end
        self.ended_us = self.owner.clock.now()
        self.owner.submit(AttemptEnded(self, end))

    def mark_finished(self) -> None:
        """Cancels the timer and removes the attempt from its request's attempts in flight."""
        self.is_finished = True
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None  # the timer refers back to the attempt: breaks the reference cycle
        self.request.attempts.pop(self.number, None)

    def describe(self, now: int) -> str:
        """Returns what the log says of the attempt, which is in flight."""
        age_ms = (now - self.decided_us) // 1_000
        return f"{self.number} at {self.host}: in flight, {self.transmission.state}, {age_ms} ms"

    def record(self, now: int, ending: AttemptEnding) -> AttemptRecord:
        """Returns what the log says of the attempt, which has ended with `ending`."""
        age_us = (self.ended_us or now) - self.decided_us
        return AttemptRecord(self.number, self.host, self.source, ending, self.transmission.state, age_us)
