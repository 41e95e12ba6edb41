"""The reliability of the endpoint list, by the stages of its watch and by time."""

from __future__ import annotations

import pytest

from hoistplank.decision.events import EndpointWatchStage
from hoistplank.decision.list_confirmation import ListConfirmation

GRACE_US = 250_000
STAGES = {
    "connecting": EndpointWatchStage.CONNECTING,
    "refused": EndpointWatchStage.REFUSED,
    "awaiting": EndpointWatchStage.AWAITING_ANSWER,
    "confirmed": EndpointWatchStage.CONFIRMED,
}

# Rows of: time in ms, the stage that the watch reports ("" for none), the reliability of the list then.
HISTORIES: dict[str, list[tuple[int, str, str]]] = {
    "no watch is reported": [(0, "", "unwatched")],
    "the first connection is confirmed": [
        (0, "connecting", "awaited"),
        (5, "awaiting", "awaited"),
        (9, "confirmed", "confirmed"),
    ],
    "the first connection is refused": [
        (0, "connecting", "awaited"),
        (5, "refused", "unreachable"),
        (40, "connecting", "unreachable"),
    ],
    "the first connection is never established": [
        (0, "connecting", "awaited"),
        (1_000, "connecting", "awaited"),
        (3_400, "", "awaited"),
        (3_501, "", "unanswered"),
    ],
    "the first connection is never answered": [
        (0, "connecting", "awaited"),
        (5, "awaiting", "awaited"),
        (2_900, "", "awaited"),
        (3_006, "", "unanswered"),
    ],
    "a source that never answers is awaited once": [
        (0, "connecting", "awaited"),
        (5, "awaiting", "awaited"),
        (2_300, "connecting", "awaited"),
        (2_310, "awaiting", "awaited"),
        (3_006, "", "unanswered"),
        (9_000, "awaiting", "unanswered"),
        (9_500, "confirmed", "confirmed"),
    ],
    "a lost connection is back at once": [
        (0, "confirmed", "confirmed"),
        (10, "connecting", "grace"),
        (40, "awaiting", "grace"),
        (42, "confirmed", "confirmed"),
    ],
    "a lost connection is back and answered late": [
        (0, "confirmed", "confirmed"),
        (10, "connecting", "grace"),
        (40, "awaiting", "grace"),
        (159, "", "grace"),
        (200, "", "awaited"),
        (3_039, "", "awaited"),
        (3_041, "", "unanswered"),
    ],
    "a lost connection is never established again": [
        (0, "confirmed", "confirmed"),
        (10, "connecting", "grace"),
        (170, "", "awaited"),
        (1_011, "", "unanswered"),
    ],
    "a lost connection is refused, then back": [
        (0, "confirmed", "confirmed"),
        (10, "connecting", "grace"),
        (40, "refused", "unreachable"),
        (5_000, "connecting", "unreachable"),
        (5_010, "awaiting", "grace"),
        (5_161, "", "awaited"),
        (5_200, "confirmed", "confirmed"),
    ],
    "the source is refused while its answer is awaited": [
        (0, "connecting", "awaited"),
        (5, "awaiting", "awaited"),
        (500, "connecting", "awaited"),
        (510, "refused", "awaited"),
        (2_900, "refused", "awaited"),
        (3_006, "", "unanswered"),
    ],
    "the source is refused for long while its answer is awaited, then back": [
        (0, "connecting", "awaited"),
        (5, "awaiting", "awaited"),
        (500, "refused", "awaited"),
        (6_100, "refused", "unreachable"),
        (8_000, "awaiting", "awaited"),
        (10_900, "", "awaited"),
        (11_001, "", "unanswered"),
    ],
}


@pytest.mark.parametrize("name", HISTORIES)
def test_reliability_of_the_list(name: str) -> None:
    confirmation = ListConfirmation(GRACE_US)
    for at_ms, reported, standing in HISTORIES[name]:
        now_us = at_ms * 1_000
        if reported:
            confirmation.observe(now_us, STAGES[reported])
        assert confirmation.standing(now_us).value == standing, f"at {at_ms} ms"
        assert confirmation.permits_attempts(now_us) == (standing != "awaited")


@pytest.mark.parametrize("name", HISTORIES)
def test_attempts_are_held_for_a_bounded_time(name: str) -> None:
    """A source must not stop the fleet, whatever it does: 6.5 s is the sum of the waits."""
    confirmation = ListConfirmation(GRACE_US)
    for at_ms, reported, _ in HISTORIES[name]:
        if reported:
            confirmation.observe(at_ms * 1_000, STAGES[reported])
    last_us = HISTORIES[name][-1][0] * 1_000
    assert confirmation.permits_attempts(last_us + 6_500_000)
