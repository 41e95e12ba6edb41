"""Counts over all requests and attempts since the start, for the log."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from hoistplank.decision.actions import EndReason
from hoistplank.routing.attempt_ending import AttemptEnding


@dataclass(slots=True)
class RequestCounts:
    """Requests by their end, and attempts; `shed` ones are among the rejected."""

    succeeded: int = 0
    rejected: int = 0
    failed: int = 0
    client_left: int = 0
    attempts: int = 0
    shed: int = 0
    attempts_by_ending: Counter[AttemptEnding] = field(default_factory=Counter)
    given_up_by_reason: Counter[EndReason] = field(default_factory=Counter)

    def log_fields(self) -> dict[str, int]:
        """Under the names of the log line `phase`."""
        return {
            "succeeded": self.succeeded,
            "rejected": self.rejected,
            "failed": self.failed,
            "left": self.client_left,
            "attempts": self.attempts,
            "shed": self.shed,
        }

    def breakdown(self) -> dict[str, dict[str, int]]:
        """Attempts by their ending and given up requests by the reason, as the log line `counts` has them."""
        return {
            "endings": {ending.value: count for ending, count in self.attempts_by_ending.items()},
            "given_up": {reason.value: count for reason, count in self.given_up_by_reason.items()},
        }
