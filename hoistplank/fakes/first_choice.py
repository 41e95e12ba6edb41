"""What the decision module chooses for a first request, for those that are held against it."""

from __future__ import annotations

from hoistplank.decision.actions import SendAttempt
from hoistplank.decision.events import AttemptEnded, CacheStatus, ClientDisconnected, Outcome, RequestArrived
from hoistplank.decision.router import Router

OUTER_US = 2_000_000


def first_choice(router: Router, now: int, number: int, class_name: str, object_key: str, part: int) -> str:
    """The cache host to which a first request for an object's part goes at `now` (us); "" for none.

    The request is taken back at once: attempts that never end would fill a host's room, and the module would
    turn to the next.
    """
    id, found, attempt = f"first-{number}", "", -1
    router.handle(now, RequestArrived(id, class_name, object_key, part, 0, 0.0, now + OUTER_US, False))
    while (action := router.next_action(now)) is not None:
        if isinstance(action, SendAttempt) and action.request_id == id:
            found, attempt = action.host, action.attempt
    router.handle(now, ClientDisconnected(id))
    if attempt >= 0:
        router.handle(now, AttemptEnded(id, attempt, Outcome.NOT_SENT, False, 0, CacheStatus.UNKNOWN, []))
    while router.next_action(now) is not None:
        pass
    return found
