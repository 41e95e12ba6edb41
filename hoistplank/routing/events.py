"""Events that are submitted to the router task, one type for each kind.

Four of them are types of the decision logic and are passed to it unchanged: TimerFired, DegradationChanged,
EndpointWatchFailed and EndpointWatchStageChanged.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from hoistplank.decision.events import (
    DegradationChanged,
    EndpointListForm,
    EndpointWatchFailed,
    EndpointWatchStage,
    EndpointWatchStageChanged,
    TimerFired,
)
from hoistplank.protocol.changelog import Target
from hoistplank.routing.attempts import Attempt, AttemptEnded, Request

__all__ = [
    "AttemptEnded",
    "AttemptTimedOut",
    "Checkpoint",
    "ClientDisconnected",
    "DegradationChanged",
    "DrainDeadlineReached",
    "DrainStarted",
    "EndpointListForm",
    "EndpointWatchFailed",
    "EndpointWatchStage",
    "EndpointWatchStageChanged",
    "EndpointsUpdated",
    "Event",
    "PurgeReceived",
    "RequestArrived",
    "TimerFired",
]


class RequestArrived(NamedTuple):
    """A request was accepted."""

    request: Request


class ClientDisconnected(NamedTuple):
    """The client of a request left or aborted it, and no longer awaits the answer."""

    request: Request


class AttemptTimedOut(NamedTuple):
    """The timeout of an attempt has expired."""

    attempt: Attempt


class EndpointsUpdated(NamedTuple):
    """A list of cache hosts was received, with entries in the format of the change log."""

    form: EndpointListForm
    targets: list[Target]


class PurgeReceived(NamedTuple):
    """Copies made before `made_us` (Unix time in microseconds) are invalid.

    They are the copies of one object or, if `object_key` is empty, of all objects of a purge group.
    """

    object_key: str
    purge_group: int
    made_us: int


class DrainStarted(NamedTuple):
    """The program shuts down: deadlines of requests that arrive from now on are limited to `deadline_us`."""

    deadline_us: int


class DrainDeadlineReached(NamedTuple):
    """The shutdown's deadline was reached: requests that are still open fail."""


class Checkpoint(NamedTuple):
    """Calls `callback` once the decision logic has processed all events submitted before it."""

    callback: Callable[[], None]


Event = (
    RequestArrived
    | ClientDisconnected
    | AttemptTimedOut
    | AttemptEnded
    | TimerFired
    | EndpointsUpdated
    | EndpointWatchFailed
    | EndpointWatchStageChanged
    | PurgeReceived
    | DegradationChanged
    | DrainStarted
    | DrainDeadlineReached
    | Checkpoint
)
