"""A source that is crowded for a moment: a request may not use up its attempts long before it is late."""

from __future__ import annotations

from hoistplank.decision.actions import Reject, SendAttempt
from hoistplank.decision.events import CacheStatus
from tests.helpers import Stage

REFUSAL_MS, STEP_MS, CROWDED_MS, LATE_MS = 50, 10, 300, 480
HOSTS = "hosts kept a:cache:z1:up p:parent:hub:up q:parent:hub:up o:origin:hub:up"


def rejected_at(stage: Stage) -> int:
    """Plays one request while every source refuses; when it is rejected, in ms, -1 if it gets through."""
    stage.play(f"0 {HOSTS}".split(), "hosts")
    stage.play("0 request v1 video x".split(), "request")
    ends_at, number = -1, -1
    for now in range(STEP_MS, LATE_MS + STEP_MS, STEP_MS):
        for action in stage.pending:
            if isinstance(action, Reject):
                return now - STEP_MS
            if isinstance(action, SendAttempt):
                ends_at, number = now - STEP_MS + REFUSAL_MS, action.attempt
        stage.pending.clear()
        if now == ends_at and now > CROWDED_MS:
            return -1
        refused = f"{now} end v1 {number} overloaded note={CacheStatus.SOURCE_REFUSED} took_ms={REFUSAL_MS}"
        stage.play((refused if now == ends_at else f"{now} tick").split(), "turn")
    return LATE_MS


def test_attempts_last_until_the_request_is_late() -> None:
    """The sources refuse for 0.3 s; the request could be in time until 0.48 s, and has six attempts."""
    assert rejected_at(Stage()) in (-1, LATE_MS)
