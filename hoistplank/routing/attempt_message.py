"""An attempt as the cache wire writes it."""

from __future__ import annotations

from hoistplank.decision.actions import SendAttempt
from hoistplank.protocol import cachewire
from hoistplank.routing.attempts import Request


def attempt_message(request: Request, action: SendAttempt, waited_us: int) -> bytes:
    """The bytes of an attempt that begins `waited_us` after it was decided.

    A cache host that is its own source is to fill nothing: no source is named.
    """
    fields = {
        "queue": request.class_name,
        "path": request.object_key,
        "blk": str(request.part),
        # Danger: a host that is given more than the client has left works for nobody.
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
        # Rounded down: never an older copy than was decided, and never 0, which would mean the usual age.
        fields["accept"] = str(max(1, action.max_age_us // 1000))
    if action.join_fill:
        fields["hints"] = "wait-for"
