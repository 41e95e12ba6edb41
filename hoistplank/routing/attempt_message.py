"""Encodes an attempt as a message to a cache host."""

from __future__ import annotations

from hoistplank.decision.actions import SendAttempt
from hoistplank.protocol import cachewire
from hoistplank.routing.attempts import Request


def attempt_message(request: Request, action: SendAttempt, waited_us: int) -> bytes:
    """Returns the message of an attempt whose sending begins `waited_us` after the decision to make it.

    An attempt whose fill source is the cache host itself names no source: the host fills nothing.
    """
    fields = {
        "queue": request.class_name,
        "path": request.object_key,
        "blk": str(request.part),
        # With a larger budget than the client's remaining time, the host would work on an unused answer.
        "budget": str(max(1, (action.timeout_us - waited_us) // 1000)),
    }
    if request.idempotency_key:
        fields["uniq"] = request.idempotency_key
    if action.source:
        _add_fill_fields(fields, action)
    if request.known_version:
        fields["got"] = request.known_version
    return cachewire.encode_get(request.id, fields, request.body)


def _add_fill_fields(fields: dict[str, str], action: SendAttempt) -> None:
    if action.source != action.host:
        fields["parent"] = action.source
    if action.retention:
        fields["shelf"] = str(action.retention)
    if action.max_age_us > 0:
        # Rounded down, so that no copy older than decided is accepted; at least 1, as 0 means the default
        # age.
        fields["accept"] = str(max(1, action.max_age_us // 1000))
    if action.join_fill:
        fields["hints"] = "wait-for"
