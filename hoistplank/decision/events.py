"""The events that are reported to the router: one type for each event, times in whole microseconds."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from hoistplank.decision.settings import Degradation


class Outcome:
    """The outcome of an attempt; integers rather than an enum, since they are compared on every answer."""

    SUCCEEDED = 0
    ERROR = 1
    OVERLOADED = 2  # refused by the cache host or by its source: the request did not run
    TIMED_OUT = 3
    CONNECT_FAILED = 4
    CONNECTION_LOST = 5  # after the attempt was written: the request may have run
    CANCELLED = 6
    NOT_SENT = 7
    MISS = 8  # the cache host holds no copy and was asked not to fill one
    CONNECTION_SPOILED = 9  # the request may have run; no sign of a fault at the host


class CacheStatus:
    """The origin of the copy in an answer (as in RFC 9211); `UNKNOWN` if the answer does not say."""

    UNKNOWN = 0
    HIT = 1
    FILLED = 2
    FROM_ORIGIN = 3
    JOINED = 4
    STALE = 5
    SOURCE_REFUSED = 6
    SOURCE_UNREACHABLE = 7
    SOURCE_MISS = 8
    NOT_STORED = 9
    ORIGIN_UNREACHABLE = 10


# The statuses of answers for which a copy was fetched from a source.
FETCHED = (CacheStatus.FILLED, CacheStatus.FROM_ORIGIN)


class EndpointState:
    """The state of a host, which decides whether it gets new attempts.

    Strings rather than an enum, as the endpoint list spells them.
    """

    UP = "up"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointListForm(StrEnum):
    """The kind of an endpoint list: what it means for hosts that it does not name, and its source."""

    CHANGES = "changes"  # the other hosts stay as they are
    SNAPSHOT = "whole"  # the other hosts are removed
    PERSISTED = "kept"  # a snapshot of the same change log, saved before a restart
    UNCONFIRMED = "own"  # an older snapshot; no change log tells what was purged since
    PROBED = "probed"  # like UNCONFIRMED, of which only hosts are named that answered a probe


class Endpoint(msgspec.Struct, frozen=True, gc=False):
    """One row of the endpoint list; `host` is the name, `started_us` is 0 if the start time is unknown."""

    host: str
    zone: str
    kind: str
    cell: int
    units: float
    started_us: int
    state: str


class EndpointsUpdated(msgspec.Struct, frozen=True, gc=False):
    """An endpoint list was received."""

    form: EndpointListForm
    endpoints: list[Endpoint]


class EndpointWatchFailed(msgspec.Struct, frozen=True, gc=False):
    """The watch on the endpoint list has ended."""


class EndpointWatchStage(StrEnum):
    """The stage of a watch on the endpoint list, which decides whether the list can be relied on.

    The values are written to the log.
    """

    CONNECTING = "connecting"
    REFUSED = "refused"  # the connection to the source was refused
    AWAITING_ANSWER = "awaiting answer"  # the source was asked and has not yet confirmed the list
    CONFIRMED = "confirmed"  # the source sent its sequence number, and all changes up to it are known


class EndpointWatchStageChanged(msgspec.Struct, frozen=True, gc=False):
    """The watch on the endpoint list entered another stage.

    If no stage is ever reported, the list counts as confirmed. `confirmed_us`: the time at which the source
    last confirmed the list, 0 if it never did.
    """

    stage: EndpointWatchStage
    confirmed_us: int = 0


class EventLoopMeasured(msgspec.Struct, frozen=True, gc=False):
    """A measurement of the host program's event loop: the events that wait, and how late the loop runs."""

    events_waiting: int
    lag_us: int


class DegradationChanged(msgspec.Struct, frozen=True, gc=False):
    """Another degradation level is in force; it applies to requests that arrive from now on."""

    degradation: Degradation


class RequestArrived(msgspec.Struct, frozen=True, gc=False):
    """A request of a client that stops waiting at `deadline_us`. A size of 0 is unknown.

    `is_repeat`: the client has sent the same request before, and its latency objective runs from then.
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
    """An attempt ended after `took_us`; `request_closed`: it answered its request, or the request is over."""

    request_id: str
    attempt: int
    outcome: int
    request_closed: bool
    took_us: int
    cache_status: int
    load_report: list[float]


class ResponseStarted(msgspec.Struct, frozen=True, gc=False):
    """The first bytes of an attempt's answer were sent to the client: it can't be cancelled any more."""

    request_id: str
    attempt: int


class ClientDisconnected(msgspec.Struct, frozen=True, gc=False):
    """The client of a request has disconnected: its answer is no longer needed."""

    request_id: str


class PurgeReceived(msgspec.Struct, frozen=True, gc=False):
    """Copies older than `age_us` are invalid: those of an object, or of a purge group if the key is empty."""

    object_key: str
    purge_group: int
    age_us: int


class TimerFired(msgspec.Struct, frozen=True, gc=False):
    """The delay of a `SetTimer` action has passed."""

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
