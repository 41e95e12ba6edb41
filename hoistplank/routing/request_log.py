"""Log lines of single requests: those that were given up after an attempt, and may not simply be repeated."""

from __future__ import annotations

from typing import Protocol

import structlog

from hoistplank.decision.actions import Fail, Reject
from hoistplank.decision.settings import IDEMPOTENT, RouterSettings
from hoistplank.routing.attempts import Request

log = structlog.get_logger()

LINES_PER_SECOND = 10.0
MAX_BURST_LINES = 50.0


class Clock(Protocol):
    """The clock that the log reads."""

    def now(self) -> int:
        """Returns the time in microseconds."""


class RequestLog:
    """Logs each request of a keyed or non-idempotent class that is given up after an attempt.

    The rate is limited; `so_far` counts all of these requests since the start.
    """

    def __init__(self, settings: RouterSettings, clock: Clock) -> None:
        self._clock = clock
        self._logged_classes = frozenset(
            row.name for row in settings.traffic_classes if row.semantics != IDEMPOTENT
        )
        self._lines_left = MAX_BURST_LINES
        self._refilled_us = clock.now()
        self._so_far = 0

    def given_up(self, request: Request, action: Reject | Fail) -> None:
        """Logs why a request was rejected or failed, and how each of its attempts ended."""
        if request.class_name not in self._logged_classes or not request.unsuccessful:
            return
        self._so_far += 1
        now = self._clock.now()
        if not self._takes_line(now):
            return
        is_rejected, basis = False, ""
        if isinstance(action, Reject):
            is_rejected, basis = True, action.basis.value
        log.info(
            "request given up",
            request=request.id,
            class_name=request.class_name,
            answer="rejected" if is_rejected else "failed",
            reason=action.reason.value,
            basis=basis,
            age_ms=(now - request.received_us) // 1_000,
            attempts=[str(record) for record in request.unsuccessful],
            so_far=self._so_far,
        )

    def _takes_line(self, now: int) -> bool:
        elapsed_s, self._refilled_us = (now - self._refilled_us) / 1e6, now
        self._lines_left = min(MAX_BURST_LINES, self._lines_left + elapsed_s * LINES_PER_SECOND)
        if self._lines_left < 1.0:
            return False
        self._lines_left -= 1.0
        return True
