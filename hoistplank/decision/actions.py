"""The actions that the router asks its host program to carry out, in order; one type for each action."""

from __future__ import annotations

from enum import StrEnum

import msgspec

# The middle of the ranks by which a cache host evicts copies: no fill is known to be more valuable than
# others.
FILL_RETENTION = 2


class SendAttempt(msgspec.Struct, frozen=True, gc=False):
    """Send a request to a cache host, with a timeout of `timeout_us`.

    `source`: the host to fill from on a miss; the cache host itself if it must not fill, "" if no source is
    named. `max_age_us`: the maximum age of the copy, 0 for the fresh time of the traffic class. `join_fill`:
    the cache host may wait for a fill of the same object that is already running. `start_by_us`: the latest
    time at which the attempt may begin, 0 for no bound. `write_within_us`: the longest time from its first
    byte to its last, 0 for no bound.
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
    write_within_us: int = 0


class EndReason(StrEnum):
    """The reason why a request was given up; the values are written to the log."""

    LIST_UNCONFIRMED = "list unconfirmed"  # too late, while attempts were held for an unconfirmed list
    TOO_LATE = "too late"  # no attempt can be in time any more, or the request was shed
    NO_ATTEMPT_LEFT = "no attempt left"  # the request may not be attempted again
    NO_HOST = "no host"  # no listed host could serve the request


class RejectionBasis(StrEnum):
    """Why a rejection, which says that trying again is harmless, is true; the values are written to the
    log."""

    NOT_ATTEMPTED = "not attempted"
    NEVER_RAN = "never ran"  # each attempt has ended with a proof of it
    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "deduplicated"  # it may have run, and every host drops a repeat


class Reject(msgspec.Struct, frozen=True, gc=False):
    """Answer that trying again is harmless, by `basis`, and that the client may retry after
    `retry_after_us`."""

    request_id: str
    retry_after_us: int
    basis: RejectionBasis
    reason: EndReason = EndReason.NO_ATTEMPT_LEFT


class Fail(msgspec.Struct, frozen=True, gc=False):
    """Answer that the request failed and may have had its effect."""

    request_id: str
    reason: EndReason = EndReason.NO_ATTEMPT_LEFT


class CancelAttempt(msgspec.Struct, frozen=True, gc=False):
    """Cancel an attempt; its end must still be reported."""

    request_id: str
    attempt: int


class SetTimer(msgspec.Struct, frozen=True, gc=False):
    """Report `TimerFired` after `delay_us`."""

    timer_id: int
    delay_us: int


class WatchEndpoints(msgspec.Struct, frozen=True, gc=False):
    """Start to watch the endpoint list."""


Action = SendAttempt | Reject | Fail | CancelAttempt | SetTimer | WatchEndpoints
