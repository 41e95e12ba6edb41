"""The decision module's choice for a first request, as a reference for other implementations."""

from __future__ import annotations

from hoistplank.decision.actions import SendAttempt
from hoistplank.decision.events import AttemptEnded, CacheStatus, ClientDisconnected, Outcome, RequestArrived
from hoistplank.decision.router import Router

DEADLINE_US = 2_000_000


def first_choice(router: Router, now: int, number: int, class_name: str, object_key: str, part: int) -> str:
    """Return the cache host that gets a first request for an object's part at `now` (us); "" for none.

    The request is cancelled at once: attempts that never end would use up a host's capacity, and the router
    would choose the next host.
    """
    request_id, found, attempt = f"first-{number}", "", -1
    deadline = now + DEADLINE_US
    arrival = RequestArrived(request_id, class_name, object_key, part, 0, 0.0, deadline, False)
    router.handle(now, arrival)
    while (action := router.next_action(now)) is not None:
        if isinstance(action, SendAttempt) and action.request_id == request_id:
            found, attempt = action.host, action.attempt
    router.handle(now, ClientDisconnected(request_id))
    if attempt >= 0:
        outcome = AttemptEnded(request_id, attempt, Outcome.NOT_SENT, False, 0, CacheStatus.UNKNOWN, [])
        router.handle(now, outcome)
    while router.next_action(now) is not None:
        pass
    return found
