"""The host that the decision logic chooses for a first request, for tests that compare others with it."""

from __future__ import annotations

from hoistplank.choice import Router
from hoistplank.interface import Result

DEADLINE_US = 2_000_000  # of the request that is asked about


def first_choice(router: Router, now: int, number: int, class_name: str, object_key: str, part: int) -> str:
    """The cache host to which a first request for an object's part goes at `now` (us); "" for none.

    The request is taken back at once: attempts that never end would fill a host's room, and the module would
    turn to the next.
    """
    request_id, found, attempt = f"first-{number}", "", -1
    router.request_arrived(now, request_id, class_name, object_key, part, 0, 0.0, now + DEADLINE_US, False)
    while (decision := router.next_decision(now)) is not None:
        if decision.act == "attempt" and decision.request == request_id:
            found, attempt = decision.host, decision.attempt
    router.client_left(now, request_id)
    if attempt >= 0:
        router.attempt_ended(now, request_id, attempt, Result.NEVER_SENT, False, 0, 0, 0, [])
    while router.next_decision(now) is not None:
        pass
    return found
