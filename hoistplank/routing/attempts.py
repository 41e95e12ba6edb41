"""Requests and attempts as the owner holds them, and what each way to end an attempt means to the Router."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from hoistplank.decision.actions import SendAttempt
from hoistplank.decision.events import Outcome
from hoistplank.protocol import cachewire
from hoistplank.protocol.cachewire import Answer
from hoistplank.routing.clock import Clock
from hoistplank.transport.pooled_connection import PooledConnection

# Each way for an attempt to end, and the result that it is told as. The first three and `withheld` prove that
# it never ran; a break or silence once it was written whole proves nothing. A new connection that is reset
# before anything was written says little of its host: it is told like an attempt that was taken back.
ENDINGS = {
    "refused": Outcome.CONNECT_FAILED,  # the cache host's machine turned the connection down
    "not up": Outcome.CONNECT_FAILED,  # no connection within the site's time-out
    "unwritten": Outcome.NOT_SENT,  # the connection ended before the request was written whole
    "withheld": Outcome.NOT_SENT,  # taken back before its first byte
    "broken": Outcome.CONNECTION_LOST,  # the connection ended after it was written
    "spoilt": Outcome.CONNECTION_SPOILT,  # as broken, but the host was there: it says nothing of it
    "late": Outcome.TIMED_OUT,
    "withdrawn": Outcome.CANCELLED,
    "served": Outcome.SUCCEEDED,
    "still_good": Outcome.SUCCEEDED,
    "not_here": Outcome.MISS,
    "overload": Outcome.OVERLOADED,
    "crashed": Outcome.ERROR,
    "nobody": Outcome.NOT_SENT,
}


class Exchange(Protocol):
    """The client's side of a request. The first of these calls is its answer; it comes once."""

    def succeed(self, body: bytes, unchanged: bool) -> None: ...
    def reject(self, wait_us: int) -> None: ...
    def fail(self) -> None: ...


@dataclass(slots=True, eq=False)
class Request:
    """A request that was taken: what the client sent, and its attempts that are out."""

    exchange: Exchange
    id: str
    class_name: str
    object_key: str
    part: int
    group: int
    key: str
    holds: str
    body: bytes
    until: int
    again: bool
    kept: bool  # whether copies of its traffic class are kept: then its answers are of a copy
    caller: object = None  # whose it is, from its taking to its end, where callers are known
    taken: int = 0  # when its last byte was read (us)
    send_us: float = 0.0  # how long its answer takes to send at the site's pace, once one has come
    over: bool = False
    attempts: dict[int, Attempt] = field(default_factory=dict)


class Holder(Protocol):
    """What an attempt uses of the owner, which stands above it."""

    clock: Clock
    stale_us: int

    def is_up(self, host: str) -> bool: ...

    def tell(self, event: Ended) -> None: ...


class Attempt:
    """An attempt on its way: an errand of the pool's. Tells its owner once how it ended."""

    def __init__(self, owner: Holder, request: Request, action: SendAttempt, now: int) -> None:
        self.owner, self.request, self.id, self.number = owner, request, request.id, action.attempt
        self.host, self.source, self.decided = action.host, action.source, now
        self.begin_by = action.start_by_us
        self.began = asyncio.get_running_loop().time()
        self.line: PooledConnection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.over = False
        # Times of the sockets, not of the owner's turns: the loop's lag and a connection's set-up are no part
        # of what a cache host took.
        self.begun_at, self.ended_at = now, 0

    def may_begin(self) -> bool:
        """Asked just before the first byte: waiting for a connection may have made the attempt out of date.

        Danger: a drain's grace, a cold budget, a purge's grace or the time in which a repeat is dropped
        passes while a connection is not yet up, or while its writes are held up.
        """
        if self.over or self.request.over or not self.owner.is_up(self.host):
            return False
        if self.source and not self.owner.is_up(self.source):
            return False
        self.begun_at = self.owner.clock.now()
        if 0 < self.begin_by < self.begun_at:
            return False
        return self.begun_at - self.decided <= self.owner.stale_us

    def failed(self, how: str) -> None:
        self.ended_at = self.owner.clock.now()
        self.owner.tell(Ended(self, how, None))

    def answered(self, answer: Answer) -> None:
        self.ended_at = self.owner.clock.now()
        self.owner.tell(Ended(self, answer.status, answer))


class Ended(NamedTuple):
    attempt: Attempt
    how: str
    answer: Answer | None


def request_message(request: Request, action: SendAttempt) -> bytes:
    """The bytes of an attempt. A cache host that is its own source is to fill nothing: no source is named."""
    fields = {
        "queue": request.class_name,
        "path": request.object_key,
        "blk": str(request.part),
        "budget": str(max(1, action.timeout_us // 1000)),
    }
    if request.key:
        fields["uniq"] = request.key
    if action.source:
        if action.source != action.host:
            fields["parent"] = action.source
        if action.retention:
            fields["shelf"] = str(action.retention)
        if action.max_age_us > 0:
            # Rounded down: never an older copy than was decided, and never 0, which would mean the usual age.
            fields["accept"] = str(max(1, action.max_age_us // 1000))
        if action.join_fill:
            fields["hints"] = "wait-for"
    if request.holds:
        fields["got"] = request.holds
    return cachewire.encode_get(request.id, fields, request.body)
