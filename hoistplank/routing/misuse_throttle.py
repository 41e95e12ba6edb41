"""Limits how fast unusable input of clients is read: stray records and invalid requests.

Token buckets that may go into debt, which is repaid by a pause in reading: one for each connection and one
for all. What was read is answered, so that a client which shares its connection with others, as behind a web
server, does not lose them theirs.
"""

from __future__ import annotations

INVALID_REQUEST_COST = 10.0  # in stray records: it is parsed, logged and answered
BYTES_PER_COST = 256  # of an invalid request, which were read and decoded in vain
HEALTH_CHECK_COST = 5.0
VALID_REQUEST_CREDIT = INVALID_REQUEST_COST  # one invalid request beside each valid one is no misuse
BURST = 32 * INVALID_REQUEST_COST  # as many invalid requests as a connection may have open
REFILL_PER_S = 500.0
# Well below the deadlines, as valid requests may stand behind what is not read yet.
MAX_PAUSE_S = 0.5
# Of all connections together: about a twentieth of a core.
SHARED_BURST = 10 * BURST
SHARED_REFILL_PER_S = 10 * REFILL_PER_S
# For connections that misuse the protocol while others do so, too. The debt may be larger than what the
# longest pause repays: it would else be forgiven, and many connections would go beyond the allowance.
MAX_SHARED_PAUSE_S = 2.0
MAX_SHARED_DEBT_S = 10.0
# A connection that has less than this left has misused the protocol lately.
MISUSE_BELOW = BURST / 2


class MisuseBudget:
    """The allowance of all connections together, which only those that misuse the protocol wait for."""

    __slots__ = ("_tokens", "_updated_at")

    def __init__(self, now: float) -> None:
        self._tokens, self._updated_at = SHARED_BURST, now

    def spend(self, now: float, cost: float) -> None:
        """Takes a cost in stray records from the allowance."""
        tokens = self._tokens + (now - self._updated_at) * SHARED_REFILL_PER_S - cost
        self._updated_at = now
        self._tokens = max(-MAX_SHARED_DEBT_S * SHARED_REFILL_PER_S, min(SHARED_BURST, tokens))

    def pause_s(self) -> float:
        """Returns the time after which the debt is repaid, MAX_SHARED_PAUSE_S at most, and 0 while the
        allowance lasts."""
        return max(0.0, min(MAX_SHARED_PAUSE_S, -self._tokens / SHARED_REFILL_PER_S))


class MisuseThrottle:
    """The allowance of one connection; times are seconds of one monotonic clock."""

    __slots__ = (
        "_budget",
        "_cost",
        "_credit",
        "_has_valid_request",
        "_stray_records",
        "_tokens",
        "_updated_at",
    )

    def __init__(self, now: float, budget: MisuseBudget | None = None) -> None:
        self._budget = budget if budget is not None else MisuseBudget(now)
        self._tokens, self._updated_at = BURST, now
        self._cost = self._credit = 0.0  # since the last call of `pause_s`
        self._stray_records = 0
        self._has_valid_request = False

    @property
    def is_misusing(self) -> bool:
        """True if the connection has spent more than half of its allowance, or any of it without ever having
        sent a valid request."""
        return self._tokens < (MISUSE_BELOW if self._has_valid_request else BURST)

    def record_valid_request(self) -> None:
        """Adds to the allowance: the more requests a connection carries, the more may be invalid."""
        self._has_valid_request = True
        self._credit += VALID_REQUEST_CREDIT

    def record_invalid_request(self, size_bytes: int = 0) -> None:
        """Takes an invalid request of this size from the allowance."""
        self._cost += INVALID_REQUEST_COST + size_bytes // BYTES_PER_COST

    def record_health_check(self) -> None:
        """Takes a health check from the allowance: it is answered at once, and so bounded by nothing else."""
        self._has_valid_request = True
        self._cost += HEALTH_CHECK_COST

    def pause_s(self, now: float, stray_records: int) -> float:
        """Returns how long reading is to be paused, 0 while the allowance lasts. `stray_records` is the
        connection's total so far."""
        refill = (now - self._updated_at) * REFILL_PER_S
        net_cost = self._cost + (stray_records - self._stray_records) - self._credit
        self._updated_at, self._stray_records = now, stray_records
        self._cost = self._credit = 0.0
        # What is refilled comes first: a cost that is refilled at once would never show.
        self._tokens = min(BURST, self._tokens + refill + max(0.0, -net_cost)) - max(0.0, net_cost)
        self._tokens = max(-MAX_PAUSE_S * REFILL_PER_S, self._tokens)
        own_s = max(0.0, -self._tokens / REFILL_PER_S)
        if net_cost <= 0:
            return own_s
        self._budget.spend(now, net_cost)
        return max(own_s, self._budget.pause_s()) if self.is_misusing else own_s
