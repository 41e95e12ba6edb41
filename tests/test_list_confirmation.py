"""How far the endpoint list is relied on, by what its watch reports and by what time."""

from __future__ import annotations

import pytest

from hoistplank.decision.events import EndpointWatchStage
from hoistplank.decision.list_confirmation import ListConfirmation

GRACE_US = 250_000
STAGES = {
    "connects": EndpointWatchStage.CONNECTING,
    "refused": EndpointWatchStage.REFUSED,
    "asked": EndpointWatchStage.AWAITING_ANSWER,
    "confirmed": EndpointWatchStage.CONFIRMED,
}

# Rows of: time (ms), what the watch reports ("" for nothing), how far the list is relied on then.
HISTORIES: dict[str, list[tuple[int, str, str]]] = {
    "nobody watches": [(0, "", "unwatched")],
    "a start that is answered": [
        (0, "connects", "awaited"),
        (5, "asked", "awaited"),
        (9, "confirmed", "confirmed"),
    ],
    "a start that is refused": [
        (0, "connects", "awaited"),
        (5, "refused", "unreachable"),
        (40, "connects", "unreachable"),
    ],
    "a start whose connection does not come up": [
        (0, "connects", "awaited"),
        (1_000, "connects", "awaited"),
        (3_400, "", "awaited"),
        (3_501, "", "unanswered"),
    ],
    "a start that is not answered": [
        (0, "connects", "awaited"),
        (5, "asked", "awaited"),
        (2_900, "", "awaited"),
        (3_006, "", "unanswered"),
    ],
    "silence is waited for once": [
        (0, "connects", "awaited"),
        (5, "asked", "awaited"),
        (2_300, "connects", "awaited"),
        (2_310, "asked", "awaited"),
        (3_006, "", "unanswered"),
        (9_000, "asked", "unanswered"),
        (9_500, "confirmed", "confirmed"),
    ],
    "a connection that breaks and is back at once": [
        (0, "confirmed", "confirmed"),
        (10, "connects", "grace"),
        (40, "asked", "grace"),
        (42, "confirmed", "confirmed"),
    ],
    "one that is back and answers late": [
        (0, "confirmed", "confirmed"),
        (10, "connects", "grace"),
        (40, "asked", "grace"),
        (159, "", "grace"),
        (200, "", "awaited"),
        (3_039, "", "awaited"),
        (3_041, "", "unanswered"),
    ],
    "one that does not come up": [
        (0, "confirmed", "confirmed"),
        (10, "connects", "grace"),
        (170, "", "awaited"),
        (1_011, "", "unanswered"),
    ],
    "an outage that is told by refusals": [
        (0, "confirmed", "confirmed"),
        (10, "connects", "grace"),
        (40, "refused", "unreachable"),
        (5_000, "connects", "unreachable"),
        (5_010, "asked", "grace"),
        (5_161, "", "awaited"),
        (5_200, "confirmed", "confirmed"),
    ],
    "one that was asked and went without an answer": [
        (0, "connects", "awaited"),
        (5, "asked", "awaited"),
        (500, "connects", "awaited"),
        (510, "refused", "awaited"),
        (2_900, "refused", "awaited"),
        (3_006, "", "unanswered"),
    ],
    "one that was asked, was gone for long and is back": [
        (0, "connects", "awaited"),
        (5, "asked", "awaited"),
        (500, "refused", "awaited"),
        (6_100, "refused", "unreachable"),
        (8_000, "asked", "awaited"),
        (10_900, "", "awaited"),
        (11_001, "", "unanswered"),
    ],
}


@pytest.mark.parametrize("name", HISTORIES)
def test_how_far_the_list_is_relied_on(name: str) -> None:
    confirmation = ListConfirmation(GRACE_US)
    for at_ms, reported, standing in HISTORIES[name]:
        now_us = at_ms * 1_000
        if reported:
            confirmation.observe(now_us, STAGES[reported])
        assert confirmation.standing(now_us).value == standing, f"at {at_ms} ms"
        assert confirmation.permits_attempts(now_us) == (standing != "awaited")


@pytest.mark.parametrize("name", HISTORIES)
def test_no_history_holds_attempts_for_longer_than_its_waits(name: str) -> None:
    """Whatever a source does, a fleet is not kept from serving by it: 6.5 s is the sum of all waits."""
    confirmation = ListConfirmation(GRACE_US)
    for at_ms, reported, _ in HISTORIES[name]:
        if reported:
            confirmation.observe(at_ms * 1_000, STAGES[reported])
    last_us = HISTORIES[name][-1][0] * 1_000
    assert confirmation.permits_attempts(last_us + 6_500_000)
