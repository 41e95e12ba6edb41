"""The time for which an incomplete line of the change log may get no more data. No I/O, no clock."""

from __future__ import annotations

MAX_TIMEOUT_S = 2.2  # a log that sends nothing for this long counts as silent in any case
RECENT_S = 10.0  # a line that stalled longer ago than this no longer counts


class LineStallTimeout:
    """A timeout that doubles with each line that stalled, up to MAX_TIMEOUT_S.

    The rest of a stalled line is usually lost, and a new connection brings the whole line at once. A slow log
    that pauses within each line would be reconnected to forever, and none of its events would be received.
    """

    def __init__(self, initial_s: float) -> None:
        self._initial_s = initial_s
        self._stalled_lines = 0
        self._stalled_at = 0.0

    def timeout_s(self, now: float) -> float:
        """Returns the timeout at a time in seconds."""
        if now - self._stalled_at > RECENT_S:
            self._stalled_lines = 0
        return min(max(self._initial_s, MAX_TIMEOUT_S), self._initial_s * 2.0**self._stalled_lines)

    def record_stall(self, now: float) -> None:
        """Records that a line stalled for longer than the timeout."""
        self._stalled_lines += 1
        self._stalled_at = now
