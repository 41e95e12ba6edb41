"""What the router keeps of purges: for how long, in which order, and how much at most."""

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
HOUR = 3_600 * S
HOLD = SITE.purge_hold_us  # for how long after it was told a purge counts


def router() -> Router:
    made = Router(replace(SITE, rules=RULES), 1)
    rows = [Endpoint("a", "z1", "cache", 0, 1.0, 0, "up"), Endpoint("o", "hub", "origin", 0, 1.0, 0, "up")]
    made.handle(0, EndpointsUpdated(EndpointListForm.PERSISTED, rows))
    return made


def oldest_asked(made: Router, now: int, object_key: str) -> int:
    """The oldest copy that the router asks for when a request for `object_key` comes now; 0 for any."""
    name = f"v{now}"
    made.handle(now, RequestArrived(name, "video", object_key, 0, 3, 0.0, now + 5 * S, False))
    found = []
    while (action := made.next_action(now)) is not None:
        found += [action.max_age_us] if isinstance(action, SendAttempt) else []
    assert len(found) == 1, "one attempt for one request"
    made.handle(now, AttemptEnded(name, 0, Outcome.SUCCEEDED, True, 1_000, CacheStatus.FILLED, []))
    return found[0]


def test_an_object_that_is_purged_again_and_again_keeps_no_other_purge() -> None:
    """The users' measurement: 3.9 purges a second for five hours, one object purged every 2 s."""
    made, most = router(), 0
    for number in range(20_000):
        now = number * 256_410
        made.handle(now, PurgeReceived("often" if number % 8 == 0 else f"object-{number}", 0, 0))
        most = max(most, len(made.parts.purges.by_key))
    assert most <= HOLD * 3.9 / S + 2
    assert oldest_asked(made, now + 1, "often") <= 2 * S + 1


def test_a_purge_heard_an_hour_late_counts_from_when_it_was_heard() -> None:
    made = router()
    made.handle(2 * HOUR, PurgeReceived("late", 0, HOUR))
    assert oldest_asked(made, 2 * HOUR + S, "late") == HOUR + S
    made.handle(2 * HOUR + HOLD - 2, PurgeReceived("other", 0, 0))
    assert oldest_asked(made, 2 * HOUR + HOLD - 1, "late") == HOUR + HOLD - 1


def test_purges_are_forgotten_without_any_request() -> None:
    made = router()
    for number in range(2_000):
        made.handle(number * 256_410, PurgeReceived(f"object-{number}", 0, 0))
    assert len(made.parts.purges.by_key) <= HOLD * 3.9 / S + 2


def test_an_older_purge_that_comes_second_does_not_lower_the_floor() -> None:
    made = router()
    made.handle(10 * S, PurgeReceived("x", 0, S))
    made.handle(11 * S, PurgeReceived("x", 0, 5 * S))
    assert oldest_asked(made, 12 * S, "x") == 3 * S


def test_a_flood_of_purges_is_bounded_and_still_counts_for_each_object() -> None:
    made, now = router(), 100 * S
    for number in range(MAX_WATERMARKS + 500):
        made.handle(now + number, PurgeReceived(f"object-{number}", 0, 0))
    assert len(made.parts.purges.by_key) == MAX_WATERMARKS
    assert ALL_OBJECTS in made.parts.purges.by_key
    later = now + S
    for number in (0, 250, 499, 500, MAX_WATERMARKS + 499):
        assert 0 < oldest_asked(made, later + number, f"object-{number}") <= S, number


def test_a_purge_of_all_objects_counts_for_each() -> None:
    made = router()
    made.handle(10 * S, PurgeReceived("x", 0, S))
    made.handle(11 * S, PurgeReceived("", ALL_OBJECTS, 3 * S))
    assert oldest_asked(made, 12 * S, "x") == 3 * S, "its own purge is newer"
    assert oldest_asked(made, 13 * S, "y") == 5 * S


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 5 * S), st.sampled_from("abcdefgh"), st.integers(0, 2 * HOUR)),
        min_size=1,
        max_size=80,
    )
)
def test_no_purge_told_within_the_hold_is_ever_lowered_or_lost(
    purges: list[tuple[int, str, int]],
) -> None:
    """Against a plain model: every purge that was told, in any order, with any delay."""
    made, now = router(), 3 * HOUR
    told: list[tuple[int, str, int]] = []
    for pause, object_key, age in purges:
        now += pause
        made.handle(now, PurgeReceived(object_key, 0, age))
        told.append((now, object_key, now - age))
        for key in "abcdefgh":
            wanted = max((floor for at, name, floor in told if name == key and at >= now - HOLD), default=0)
            assert made.parts.purges.by_key.get(key, NO_WATERMARK).purged_us >= wanted
        assert all(at >= now - HOLD for _, at in made.parts.purges.by_key.values())
        assert [at for _, at in made.parts.purges.by_key.values()] == sorted(
            at for _, at in made.parts.purges.by_key.values()
        )
