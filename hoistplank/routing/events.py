"""What is submitted to the router task: one type an event.

Four are the decision logic's own, handed on as they are: TimerFired, DegradationChanged,
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
    """Nobody waits for the answer of a request any more."""

    request: Request


class AttemptTimedOut(NamedTuple):
    """An attempt has had the time that it was given."""

    attempt: Attempt


class EndpointsUpdated(NamedTuple):
    """A list of cache hosts has come, as the change log writes them."""

    form: EndpointListForm
    targets: list[Target]


class PurgeReceived(NamedTuple):
    """Copies made before `made_us` (Unix time) are void: of an object, or where it is empty of a group."""

    object_key: str
    purge_group: int
    made_us: int


class DrainStarted(NamedTuple):
    """The program is to end: deadlines of requests that arrive from now on are cut to `deadline_us`."""

    deadline_us: int


class DrainDeadlineReached(NamedTuple):
    """What is still open is failed."""


class Checkpoint(NamedTuple):
    """All events submitted before it have been taken in by the decision logic: `callback` is called then."""

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
