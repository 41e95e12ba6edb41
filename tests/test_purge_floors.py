"""Purge watermarks: how long they are kept, in which order, and how many at most."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from hoistplank.decision.actions import SendAttempt
from hoistplank.decision.events import (
    AttemptEnded,
    CacheStatus,
    Endpoint,
    EndpointListForm,
    EndpointsUpdated,
    Outcome,
    PurgeReceived,
    RequestArrived,
)
from hoistplank.decision.purges import ALL_OBJECTS, MAX_WATERMARKS, NO_WATERMARK
from hoistplank.decision.router import Router
from tests.helpers import RULES, SITE

S = 1_000_000
HOUR_US = 3_600 * S
HOLD_US = SITE.purge_hold_us  # a watermark is kept this long after its last purge was received


def make_router() -> Router:
    router = Router(replace(SITE, rules=RULES), 1)
    rows = [Endpoint("a", "z1", "cache", 0, 1.0, 0, "up"), Endpoint("o", "hub", "origin", 0, 1.0, 0, "up")]
    router.handle(0, EndpointsUpdated(EndpointListForm.PERSISTED, rows))
    return router


def requested_max_age_us(router: Router, now: int, object_key: str) -> int:
    """Returns the max_age_us of an attempt for `object_key` now; 0 for that of the class."""
    name = f"v{now}"
    router.handle(now, RequestArrived(name, "video", object_key, 0, 3, 0.0, now + 5 * S, False))
    max_ages_us = []
    while (action := router.next_action(now)) is not None:
        max_ages_us += [action.max_age_us] if isinstance(action, SendAttempt) else []
    assert len(max_ages_us) == 1, "one attempt for one request"
    router.handle(now, AttemptEnded(name, 0, Outcome.SUCCEEDED, True, 1_000, CacheStatus.FILLED, []))
    return max_ages_us[0]


def test_repeated_purges_of_one_object_do_not_keep_other_watermarks() -> None:
    """As measured at a user: 3.9 purges a second for five hours, one object purged every 2 s."""
    router, max_count = make_router(), 0
    for number in range(20_000):
        now = number * 256_410
        router.handle(now, PurgeReceived("often" if number % 8 == 0 else f"object-{number}", 0, 0))
        max_count = max(max_count, len(router.parts.purges.by_key))
    assert max_count <= HOLD_US * 3.9 / S + 2
    assert requested_max_age_us(router, now + 1, "often") <= 2 * S + 1


def test_hold_of_a_late_purge_starts_when_it_is_received() -> None:
    router = make_router()
    router.handle(2 * HOUR_US, PurgeReceived("late", 0, HOUR_US))
    assert requested_max_age_us(router, 2 * HOUR_US + S, "late") == HOUR_US + S
    router.handle(2 * HOUR_US + HOLD_US - 2, PurgeReceived("other", 0, 0))
    assert requested_max_age_us(router, 2 * HOUR_US + HOLD_US - 1, "late") == HOUR_US + HOLD_US - 1


def test_watermarks_expire_without_any_request() -> None:
    router = make_router()
    for number in range(2_000):
        router.handle(number * 256_410, PurgeReceived(f"object-{number}", 0, 0))
    assert len(router.parts.purges.by_key) <= HOLD_US * 3.9 / S + 2


def test_older_purge_received_later_does_not_lower_the_watermark() -> None:
    router = make_router()
    router.handle(10 * S, PurgeReceived("x", 0, S))
    router.handle(11 * S, PurgeReceived("x", 0, 5 * S))
    assert requested_max_age_us(router, 12 * S, "x") == 3 * S


def test_watermarks_are_bounded_and_merged_in_a_flood_of_purges() -> None:
    router, now = make_router(), 100 * S
    for number in range(MAX_WATERMARKS + 500):
        router.handle(now + number, PurgeReceived(f"object-{number}", 0, 0))
    assert len(router.parts.purges.by_key) == MAX_WATERMARKS
    assert ALL_OBJECTS in router.parts.purges.by_key
    later = now + S
    for number in (0, 250, 499, 500, MAX_WATERMARKS + 499):
        assert 0 < requested_max_age_us(router, later + number, f"object-{number}") <= S, number


def test_purge_of_all_objects_applies_to_each_object() -> None:
    router = make_router()
    router.handle(10 * S, PurgeReceived("x", 0, S))
    router.handle(11 * S, PurgeReceived("", ALL_OBJECTS, 3 * S))
    assert requested_max_age_us(router, 12 * S, "x") == 3 * S, "its own purge is newer"
    assert requested_max_age_us(router, 13 * S, "y") == 5 * S


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 5 * S), st.sampled_from("abcdefgh"), st.integers(0, 2 * HOUR_US)),
        min_size=1,
        max_size=80,
    )
)
def test_no_purge_received_within_the_hold_is_lowered_or_lost(
    purges: list[tuple[int, str, int]],
) -> None:
    """Compares the watermarks with a plain list of all purges, for any order and any delay."""
    router, now = make_router(), 3 * HOUR_US
    received: list[tuple[int, str, int]] = []
    for delay_us, object_key, age_us in purges:
        now += delay_us
        router.handle(now, PurgeReceived(object_key, 0, age_us))
        received.append((now, object_key, now - age_us))
        for key in "abcdefgh":
            expected_us = max(
                (
                    purged_us
                    for received_us, name, purged_us in received
                    if name == key and received_us >= now - HOLD_US
                ),
                default=0,
            )
            assert router.parts.purges.by_key.get(key, NO_WATERMARK).purged_us >= expected_us
        assert all(received_us >= now - HOLD_US for _, received_us in router.parts.purges.by_key.values())
        assert [received_us for _, received_us in router.parts.purges.by_key.values()] == sorted(
            received_us for _, received_us in router.parts.purges.by_key.values()
        )
