"""A source that refuses fills for a moment: a request must not use up its attempts long before it is late."""

from __future__ import annotations

from hoistplank.decision.actions import Reject, SendAttempt
from hoistplank.decision.events import CacheStatus
from tests.helpers import ScenarioPlayer

REFUSAL_MS, STEP_MS, OVERLOADED_MS, LAST_START_MS = 50, 10, 300, 480
HOSTS_LINE = "hosts kept a:cache:z1:up p:parent:hub:up q:parent:hub:up o:origin:hub:up"


def rejection_time_ms(player: ScenarioPlayer) -> int:
    """Returns the time in ms at which a request is rejected while all sources refuse, -1 if it is served."""
    player.play_line(f"0 {HOSTS_LINE}".split(), "hosts")
    player.play_line("0 request v1 video x".split(), "request")
    ends_ms, attempt = -1, -1
    for now_ms in range(STEP_MS, LAST_START_MS + STEP_MS, STEP_MS):
        for action in player.pending:
            if isinstance(action, Reject):
                return now_ms - STEP_MS
            if isinstance(action, SendAttempt):
                ends_ms, attempt = now_ms - STEP_MS + REFUSAL_MS, action.attempt
        player.pending.clear()
        if now_ms == ends_ms and now_ms > OVERLOADED_MS:
            return -1
        end_event = (
            f"{now_ms} end v1 {attempt} overloaded note={CacheStatus.SOURCE_REFUSED} took_ms={REFUSAL_MS}"
        )
        player.play_line((end_event if now_ms == ends_ms else f"{now_ms} tick").split(), "turn")
    return LAST_START_MS


def test_retries_of_refused_fills_continue_until_the_request_is_late() -> None:
    """The sources refuse for 0.3 s. The request can be in time until 0.48 s and has six attempts, which the
    backoff must spread over that time.
    """
    assert rejection_time_ms(ScenarioPlayer()) in (-1, LAST_START_MS)
