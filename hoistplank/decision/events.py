"""What is reported to the router: one type an event, times in whole microseconds."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from hoistplank.decision.settings import Degradation


class Outcome:
    """How an attempt ended; integers rather than an enum, since they are compared on every answer."""

    SUCCEEDED = 0
    ERROR = 1
    OVERLOADED = 2  # refused by the cache host, or by its source: nothing ran
    TIMED_OUT = 3
    CONNECT_FAILED = 4
    CONNECTION_LOST = 5  # after the attempt was written: it may have run
    CANCELLED = 6
    NOT_SENT = 7
    MISS = 8  # the cache host holds no copy and was to fill none
    CONNECTION_SPOILED = 9  # it may have run, and says nothing of the host


class CacheStatus:
    """What an answer says of its copy (as the fields of RFC 9211); `UNKNOWN` says nothing."""

    UNKNOWN = 0
    HIT = 1
    FILLED = 2
    FROM_ORIGIN = 3
    JOINED = 4
    STALE = 5
    SOURCE_REFUSED = 6
    SOURCE_UNREACHABLE = 7
    SOURCE_LACKS = 8
    NOT_STORED = 9
    ORIGIN_UNREACHABLE = 10


# The answers for which a copy was fetched from a source.
FETCHED = (CacheStatus.FILLED, CacheStatus.FROM_ORIGIN)


class EndpointState:
    """Whether a host may get new attempts; strings rather than an enum, as the endpoint list spells them."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointListForm(StrEnum):
    """What a list of endpoints says of those that it does not name, and how it was learnt."""

    CHANGES = "changes"  # the others stay as they are
    SNAPSHOT = "whole"  # the others are removed
    PERSISTED = "kept"  # a snapshot from before a restart, of the same log
    UNCONFIRMED = "own"  # a snapshot of another time, while no log tells what was purged since


class Endpoint(msgspec.Struct, frozen=True, gc=False):
    """One row of the endpoint list; `host` is the name, `started_us` 0 where the start is not known."""

    host: str
    zone: str
    kind: str
    cell: int
    units: float
    started_us: int
    state: str


class EndpointsUpdated(msgspec.Struct, frozen=True, gc=False):
    """A list of endpoints has come."""

    form: EndpointListForm
    endpoints: list[Endpoint]


class EndpointWatchFailed(msgspec.Struct, frozen=True, gc=False):
    """The watch on the endpoint list has ended."""


class EndpointWatchStage(StrEnum):
    """Where a watch on the endpoint list stands, as far as it can be relied on; the values stand in the
    log."""

    CONNECTING = "connecting"
    REFUSED = "refused"  # nobody listens at the source's address
    AWAITING_ANSWER = "awaiting answer"  # the source was asked, and has not said that all is known
    CONFIRMED = "confirmed"  # the source said its number, and everything up to it is known


class EndpointWatchStageChanged(msgspec.Struct, frozen=True, gc=False):
    """The watch on the endpoint list has come to another stage. Where none is ever reported, the list counts
    as confirmed."""

    stage: EndpointWatchStage


class EventLoopMeasured(msgspec.Struct, frozen=True, gc=False):
    """How the host program fares: the events that wait for a turn, and by how much its loop runs late."""

    events_waiting: int
    lag_us: int


class DegradationChanged(msgspec.Struct, frozen=True, gc=False):
    """Another level of degradation is in force; it counts for requests that arrive from now on."""

    degradation: Degradation


class RequestArrived(msgspec.Struct, frozen=True, gc=False):
    """A client's request; its client leaves at `deadline_us`. A size of 0 is unknown.

    `is_repeat`: the client has asked for the same before, and its latency objective runs from then.
    """

    request_id: str
    class_name: str
    object_key: str
    part: int
    purge_group: int
    size_kb: float
    deadline_us: int
    is_repeat: bool


class AttemptEnded(msgspec.Struct, frozen=True, gc=False):
    """An attempt is over after `took_us`; `request_closed`: its request was answered with it, or is over."""

    request_id: str
    attempt: int
    outcome: int
    request_closed: bool
    took_us: int
    cache_status: int
    load_report: list[float]


class ResponseStarted(msgspec.Struct, frozen=True, gc=False):
    """The first bytes of an attempt's answer went to the client: it can't be cancelled any more."""

    request_id: str
    attempt: int


class ClientDisconnected(msgspec.Struct, frozen=True, gc=False):
    """Nobody waits for the answer of a request any more."""

    request_id: str


class PurgeReceived(msgspec.Struct, frozen=True, gc=False):
    """Copies from before `age_us` ago are void: of an object, or where it is empty of a purge group."""

    object_key: str
    purge_group: int
    age_us: int


class TimerFired(msgspec.Struct, frozen=True, gc=False):
    """The time of a `SetTimer` is over."""

    timer_id: int


Event = (
    EndpointsUpdated
    | EndpointWatchFailed
    | EndpointWatchStageChanged
    | EventLoopMeasured
    | DegradationChanged
    | RequestArrived
    | AttemptEnded
    | ResponseStarted
    | ClientDisconnected
    | PurgeReceived
    | TimerFired
)
