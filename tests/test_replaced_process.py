"""A process that takes the address of one that has gone is not taken for it."""

from __future__ import annotations

from dataclasses import replace

import pytest

from hoistplank.decision.actions import Action, SendAttempt, SetTimer
from hoistplank.decision.events import (
    AttemptEnded,
    Endpoint,
    EndpointListForm,
    EndpointsUpdated,
    Outcome,
    RequestArrived,
)
from hoistplank.decision.list_confirmation import CHANGES_RECEIVED_US
from hoistplank.decision.router import Router
from tests.helpers import SITE

MS, S = 1_000, 1_000_000
CACHES = ("a", "b", "c")


def router_with_caches() -> Router:
    """Returns a router that may not go to the origin directly, so that bookings go through caches."""
    router = Router(replace(SITE, rules=replace(SITE.rules, may_bypass_caches=False)), 1)
    rows = [Endpoint(name, "z1", "box", 0, 5.0, 0, "up") for name in CACHES]
    origin = Endpoint("o", "z1", "origin", 0, 5.0, 0, "up")
    router.handle(0, EndpointsUpdated(EndpointListForm.SNAPSHOT, [*rows, origin]))
    return router


def actions(router: Router, now_us: int) -> list[Action]:
    found = list[Action]()
    while (action := router.next_action(now_us)) is not None:
        if not isinstance(action, SetTimer):
            found.append(action)
    return found


def first_attempt(router: Router, now_us: int, class_name: str) -> SendAttempt:
    router.handle(now_us, RequestArrived("r1", class_name, "x", 0, 0, 1.0, now_us + 2 * S, False))
    (attempt,) = actions(router, now_us)
    assert isinstance(attempt, SendAttempt)
    return attempt


def connection_lost(router: Router, now_us: int) -> None:
    router.handle(now_us, AttemptEnded("r1", 0, Outcome.CONNECTION_LOST, False, 10 * MS, 0, []))


@pytest.mark.parametrize(
    ("class_name", "other_connection_stands", "returns"),
    [("zoned", False, False), ("zoned", True, True), ("mark", False, True), ("flat", False, True)],
)
def test_repeat_known_in_a_zone_goes_to_a_replaced_host_only_if_it_is_the_same_process(
    class_name: str, other_connection_stands: bool, returns: bool
) -> None:
    """Guards against an effect that happens twice: a keyed request was repeated over a new connection to the
    address of a process that had just ended, where a host of another zone may answer. `mark` is known
    everywhere and `flat` is idempotent: both may go there."""
    router = router_with_caches()
    identity = router.parts.process_identity
    attempt = first_attempt(router, 1 * S, class_name)
    carrier = identity.connection_established(500 * MS, attempt.host)
    if other_connection_stands:
        identity.connection_established(600 * MS, attempt.host)
    identity.connection_ended(1_010 * MS, carrier, by_host=True)
    connection_lost(router, 1_010 * MS)
    (repeat,) = actions(router, 1_011 * MS)
    assert isinstance(repeat, SendAttempt)
    assert (repeat.host == attempt.host) is returns


def test_host_whose_connections_broke_long_ago_may_get_repeats_again() -> None:
    router = router_with_caches()
    identity = router.parts.process_identity
    identity.connection_broken(0, "a")
    assert identity.may_be_another_process(CHANGES_RECEIVED_US - 1, "a")
    assert not identity.may_be_another_process(CHANGES_RECEIVED_US, "a")
    assert not identity.may_be_another_process(1, "b")
    identity.forget("a")  # the list names another process there
    assert not identity.may_be_another_process(1, "a")
