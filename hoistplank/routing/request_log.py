"""Log lines of single requests that may not simply be repeated: sent again, or given up after an attempt."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

import structlog

from hoistplank.decision.actions import Fail, Reject, RejectionBasis
from hoistplank.decision.retries import NEVER_RAN
from hoistplank.decision.settings import IDEMPOTENT, RouterSettings
from hoistplank.routing.attempt_ending import OUTCOMES
from hoistplank.routing.attempts import Attempt, Request

log = structlog.get_logger()

LINES_PER_SECOND = 10.0
MAX_BURST_LINES = 50.0
SHUTTING_DOWN = "shutting down"  # the reason of a failure that the Router has not decided


class Clock(Protocol):
    """The clock that the log reads."""

    def now(self) -> int:
        """Returns the time in microseconds."""


@dataclass(slots=True)
class LineBudget:
    """The lines of one event: their number is limited, `so_far` counts those left out, too."""

    refilled_us: int
    lines_left: float = MAX_BURST_LINES
    so_far: int = 0

    def takes_line(self, now_us: int) -> bool:
        """Counts an event; returns whether it may be logged."""
        self.so_far += 1
        elapsed_s, self.refilled_us = (now_us - self.refilled_us) / 1e6, now_us
        self.lines_left = min(MAX_BURST_LINES, self.lines_left + elapsed_s * LINES_PER_SECOND)
        if self.lines_left < 1.0:
            return False
        self.lines_left -= 1.0
        return True


class RequestLog:
    """Logs each request of a keyed or non-idempotent class that is sent again, or that is given up after an
    attempt, at a limited rate."""

    def __init__(self, settings: RouterSettings, clock: Clock) -> None:
        self._clock = clock
        self._logged_classes = frozenset(
            row.name for row in settings.traffic_classes if row.semantics != IDEMPOTENT
        )
        self._given_up = LineBudget(clock.now())
        self._sent_again = LineBudget(clock.now())

    def given_up(self, request: Request, action: Reject | Fail) -> None:
        """Logs why a request was rejected or failed, and how each of its attempts ended."""
        if isinstance(action, Reject):
            self._log_end(request, "rejected", action.reason.value, action.basis.value)
        else:
            self._log_end(request, "failed", action.reason.value)

    def failed_by_shutdown(self, request: Request) -> None:
        """Logs that a request was failed at the end of a shutdown, and what had become of its attempts."""
        self._log_end(request, "failed", SHUTTING_DOWN)

    def sent_again(self, request: Request, attempt: Attempt) -> None:
        """Logs an attempt after others, how those ended, and why it may be made; not a first attempt."""
        if not self._is_logged(request):
            return
        now = self._clock.now()
        if not self._sent_again.takes_line(now):
            return
        never_ran = all(OUTCOMES[record.ending] in NEVER_RAN for record in request.unsuccessful)
        log.info(
            "request sent again",
            attempt=attempt.number,
            host=attempt.host,
            source=attempt.source,
            basis=(RejectionBasis.NEVER_RAN if never_ran else RejectionBasis.DEDUPLICATED).value,
            so_far=self._sent_again.so_far,
            **self._fields(now, request),
        )

    def _log_end(self, request: Request, answer: str, reason: str, basis: str = "") -> None:
        if not self._is_logged(request):
            return
        now = self._clock.now()
        if self._given_up.takes_line(now):
            log.info(
                "request given up",
                answer=answer,
                reason=reason,
                basis=basis,
                so_far=self._given_up.so_far,
                **self._fields(now, request),
            )

    def _is_logged(self, request: Request) -> bool:
        return request.class_name in self._logged_classes and bool(request.unsuccessful or request.attempts)

    def _fields(self, now: int, request: Request) -> dict[str, Any]:
        in_flight = [attempt.describe(now) for attempt in request.attempts.values()]
        return {
            "request": request.id,
            "class_name": request.class_name,
            "age_ms": (now - request.received_us) // 1_000,
            "attempts": [*map(str, request.unsuccessful), *in_flight],
        }
