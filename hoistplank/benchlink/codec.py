"""Decodes messages of the simulator into events, and encodes actions as its messages."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from hoistplank.decision.actions import (
    Action,
    CancelAttempt,
    Fail,
    Reject,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
)
from hoistplank.decision.events import (
    AttemptEnded,
    ClientDisconnected,
    Endpoint,
    EndpointListForm,
    EndpointState,
    Outcome,
    PurgeReceived,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from hoistplank.wire_fields import FieldError, Fields, parse_numbers

OUTCOMES = {
    "GOOD": Outcome.SUCCEEDED,
    "BAD": Outcome.ERROR,
    "FULL": Outcome.OVERLOADED,
    "LATE": Outcome.TIMED_OUT,
    "NOCONN": Outcome.CONNECT_FAILED,
    "RST": Outcome.CONNECTION_LOST,
    "CXL": Outcome.CANCELLED,
    "NOP": Outcome.NOT_SENT,
    "MISS": Outcome.MISS,
}
ENDPOINT_STATES = {"U": EndpointState.UP, "L": EndpointState.DRAINING, "D": EndpointState.REMOVED}
LIST_FORMS = {
    "incr": EndpointListForm.CHANGES,
    "total": EndpointListForm.SNAPSHOT,
    "warm_copy": EndpointListForm.PERSISTED,
}
WATCH_FAILED = "lost"
JOIN_FILL_BIT = 1

US_PER_S = 1_000_000


def format_seconds(us: int) -> str:
    """Formats whole microseconds as decimal seconds, exactly and without trailing zeros."""
    sign = "-" if us < 0 else ""
    whole, rest = divmod(abs(us), US_PER_S)
    return f"{sign}{whole}.{rest:06d}".rstrip("0") if rest else f"{sign}{whole}"


def read_endpoint(fields: Fields) -> Endpoint:
    """Reads one row of an endpoint list."""
    state = fields.text("health", "U")
    if state not in ENDPOINT_STATES:
        raise FieldError(f"field 'health' must be U, L or D, found '{state[:20]}'")
    return Endpoint(
        host=fields.text("host"),
        zone=fields.text("rack_zone", ""),
        kind=fields.text("type", ""),
        cell=fields.integer("stripe", 0),
        units=fields.number("units", 1.0),
        started_us=fields.microseconds("online_since", 0),
        state=ENDPOINT_STATES[state],
    )


def request_arrived(fields: Fields) -> RequestArrived:
    """Reads a client's request."""
    return RequestArrived(
        request_id=fields.text("request_id"),
        class_name=fields.text("lane"),
        object_key=fields.text("file", ""),
        part=fields.integer("piece", 0),
        purge_group=fields.integer("label_no", 0),
        size_kb=fields.number("volume_kb", 0.0),
        deadline_us=fields.microseconds("give_up_at"),
        is_repeat=fields.flag("is_retry"),
    )


def attempt_ended(fields: Fields) -> AttemptEnded:
    """Reads the end of an attempt."""
    status = fields.text("status")
    if status not in OUTCOMES:
        raise FieldError(f"field 'status' must be a known outcome, found '{status[:20]}'")
    return AttemptEnded(
        request_id=fields.text("request_id"),
        attempt=fields.integer("trial"),
        outcome=OUTCOMES[status],
        request_closed=fields.flag("ended"),
        took_us=fields.microseconds("time_taken", 0),
        cache_status=fields.integer("info", 0),
        load_report=parse_numbers(fields.text("feedback", ""), "feedback"),
    )


def response_started(fields: Fields) -> ResponseStarted:
    """Reads that the first bytes of an answer were sent to the client."""
    return ResponseStarted(fields.text("request_id"), fields.integer("trial"))


def client_disconnected(fields: Fields) -> ClientDisconnected:
    """Reads that a client disconnected."""
    return ClientDisconnected(fields.text("request_id"))


def timer_fired(fields: Fields) -> TimerFired:
    """Reads that a timer fired."""
    return TimerFired(fields.integer("tag"))


def purge_received(fields: Fields) -> PurgeReceived:
    """Reads a purge of an object or of a purge group."""
    return PurgeReceived(
        fields.text("file", ""), fields.integer("bucket", 0), fields.microseconds("oldness", 0)
    )


def encode_action(instance: str, action: Action) -> str:
    """Encodes an action as one line."""
    return ACTION_ENCODERS[type(action)](f"dispatcher_id={instance}", action)


def _send_attempt(instance: str, action: SendAttempt) -> str:
    target = (
        f"{instance} request_id={action.request_id} host={action.host}"
        f" within={format_seconds(action.timeout_us)}"
    )
    if not action.source:
        return f"SEND {target}"
    bits = JOIN_FILL_BIT if action.join_fill else 0
    return (
        f"SERVE_VIA {target} miss_from={action.source} retain={action.retention}"
        f" oldness={format_seconds(action.max_age_us)} bits={bits}"
    )


def _set_timer(instance: str, action: SetTimer) -> str:
    return f"ARM {instance} tag={action.timer_id} sleep_for={format_seconds(action.delay_us)}"


def _reject(instance: str, action: Reject) -> str:
    wait = format_seconds(action.retry_after_us)
    return f"DECLINE {instance} request_id={action.request_id} not_before_for={wait}"


def _fail(instance: str, action: Fail) -> str:
    return f"ERROR {instance} request_id={action.request_id}"


def _cancel_attempt(instance: str, action: CancelAttempt) -> str:
    return f"STOP_ATTEMPT {instance} request_id={action.request_id} trial={action.attempt}"


def _watch_endpoints(instance: str, _action: WatchEndpoints) -> str:
    return f"FOLLOW {instance} on=1"


ACTION_ENCODERS: dict[type, Callable[[str, Any], str]] = {
    SendAttempt: _send_attempt,
    SetTimer: _set_timer,
    Reject: _reject,
    Fail: _fail,
    CancelAttempt: _cancel_attempt,
    WatchEndpoints: _watch_endpoints,
}
