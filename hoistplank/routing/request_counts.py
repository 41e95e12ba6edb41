"""Counts of requests and attempts since the start of the process, for the log."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from hoistplank.decision.actions import EndReason, Fail, Reject, RejectionBasis
from hoistplank.routing.attempt_ending import AttemptEnding


@dataclass(slots=True)
class RequestCounts:
    """Counts of requests by result, and of attempts; `rejected` includes the `shed` requests."""

    succeeded: int = 0
    rejected: int = 0
    failed: int = 0
    client_left: int = 0
    attempts: int = 0
    shed: int = 0
    attempts_by_ending: Counter[AttemptEnding] = field(default_factory=Counter)
    unsuccessful_by_reason: Counter[EndReason] = field(default_factory=Counter)
    # Ends of attempts that were already in the queue when a timeout of the same attempt was handled.
    crossed_by_ending: Counter[AttemptEnding] = field(default_factory=Counter)
    rejected_by_basis: Counter[RejectionBasis] = field(default_factory=Counter)

    def count_rejection(self, action: Reject) -> None:
        """Counts a request that the Router has rejected."""
        self.rejected += 1
        self.unsuccessful_by_reason[action.reason] += 1
        self.rejected_by_basis[action.basis] += 1

    def count_failure(self, action: Fail) -> None:
        """Counts a request that the Router has failed."""
        self.failed += 1
        self.unsuccessful_by_reason[action.reason] += 1

    def log_fields(self) -> dict[str, int]:
        """Returns the counts under the field names of the log line `phase`."""
        return {
            "succeeded": self.succeeded,
            "rejected": self.rejected,
            "failed": self.failed,
            "left": self.client_left,
            "attempts": self.attempts,
            "shed": self.shed,
        }

    def breakdown(self) -> dict[str, dict[str, int]]:
        """Returns the counts by ending, reason and basis, for the log line `counts`."""
        return {
            "endings": {ending.value: count for ending, count in self.attempts_by_ending.items()},
            "given_up": {reason.value: count for reason, count in self.unsuccessful_by_reason.items()},
            "crossed": {ending.value: count for ending, count in self.crossed_by_ending.items()},
            "rejected_by": {basis.value: count for basis, count in self.rejected_by_basis.items()},
        }
