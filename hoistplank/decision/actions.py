"""What the router asks of the program around it: one type an action, to be carried out in order."""

from __future__ import annotations

from enum import StrEnum

import msgspec

# The middle of the ranks by which a cache host evicts copies: no fill is known to be worth more than others.
FILL_RETENTION = 2


class SendAttempt(msgspec.Struct, frozen=True, gc=False):
    """Send a request to a cache host, which is given `timeout_us` for it.

    `source`: the host to fill from where there is no copy; the host itself if it is to fill nothing, "" where
    none is named. `max_age_us`: no older copy will do, 0 for the class's own fresh time. `join_fill`: the
    cache may wait for a fill of the same object. `start_by_us`: it must not begin later; 0 for no such bound.
    """

    request_id: str
    attempt: int
    host: str
    source: str
    timeout_us: int
    retention: int
    max_age_us: int
    join_fill: bool
    start_by_us: int = 0


class EndReason(StrEnum):
    """Why a request was given up; the values stand in the log."""

    LIST_UNCONFIRMED = "list unconfirmed"  # its time ran out while attempts were held
    TOO_LATE = "too late"  # no attempt can be in time any more, or the core was full
    NO_ATTEMPT_LEFT = "no attempt left"  # it may not be attempted again
    NO_HOST = "no host"  # nobody is listed that could serve it


class Reject(msgspec.Struct, frozen=True, gc=False):
    """Answer that nothing was done and the client may come again after `retry_after_us`."""

    request_id: str
    retry_after_us: int
    reason: EndReason = EndReason.NO_ATTEMPT_LEFT


class Fail(msgspec.Struct, frozen=True, gc=False):
    """Answer that the request failed and may have had its effect."""

    request_id: str
    reason: EndReason = EndReason.NO_ATTEMPT_LEFT


class CancelAttempt(msgspec.Struct, frozen=True, gc=False):
    """Take an attempt back; its end is still to be reported."""

    request_id: str
    attempt: int


class SetTimer(msgspec.Struct, frozen=True, gc=False):
    """Report `TimerFired` after `delay_us`."""

    timer_id: int
    delay_us: int


class WatchEndpoints(msgspec.Struct, frozen=True, gc=False):
    """Begin to watch the endpoint list."""


Action = SendAttempt | Reject | Fail | CancelAttempt | SetTimer | WatchEndpoints
