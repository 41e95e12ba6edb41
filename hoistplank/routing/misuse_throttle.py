"""Limits how fast a client connection's unusable input is read: stray records and invalid requests.

A token bucket that may go into debt, which is repaid by a pause in reading. What was read is answered, so
that a client which shares its connection with others, as behind a web server, does not lose them theirs.
"""

from __future__ import annotations

INVALID_REQUEST_COST = 10.0  # in stray records: it is parsed, logged and answered
VALID_REQUEST_CREDIT = INVALID_REQUEST_COST  # one invalid request beside each valid one is no misuse
BURST = 32 * INVALID_REQUEST_COST  # as many invalid requests as a connection may have open
REFILL_PER_S = 500.0
# Well below the deadlines, as valid requests may stand behind what is not read yet.
MAX_PAUSE_S = 0.5


class MisuseThrottle:
    """The allowance of one connection; times are seconds of one monotonic clock."""

    __slots__ = ("_stray_records", "_tokens", "_updated_at")

    def __init__(self, now: float) -> None:
        self._tokens, self._updated_at = BURST, now
        self._stray_records = 0

    def record_valid_request(self) -> None:
        """Adds to the allowance: the more requests a connection carries, the more may be invalid."""
        self._tokens = min(BURST, self._tokens + VALID_REQUEST_CREDIT)

    def record_invalid_request(self) -> None:
        """Takes an invalid request from the allowance."""
        self._tokens -= INVALID_REQUEST_COST

    def pause_s(self, now: float, stray_records: int) -> float:
        """Returns how long reading is to be paused, 0 while the allowance lasts. `stray_records` is the
        connection's total so far."""
        self._tokens += (now - self._updated_at) * REFILL_PER_S - (stray_records - self._stray_records)
        self._updated_at, self._stray_records = now, stray_records
        self._tokens = max(-MAX_PAUSE_S * REFILL_PER_S, min(BURST, self._tokens))
        return max(0.0, -self._tokens / REFILL_PER_S)
