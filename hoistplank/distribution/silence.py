"""Detects that no up-to-date replica has sent a heartbeat for too long.

Decision logic: no I/O, no clock; times are whole microseconds.
"""

from __future__ import annotations

SILENCE_US = 7_000_000
BURST_US = 500_000  # lines read within this time may have arrived together


class SilenceDetector:
    """Tracks the time up to which a dispatcher is known to have received everything."""

    def __init__(self, silence_us: int = SILENCE_US) -> None:
        self.silence_us = silence_us
        self._burst_us: int | None = None  # when the last burst of lines began
        self._arrived_after_us: int | None = None  # lines read now have arrived after this
        self._current_at_us: int | None = None  # everything sent by then has been received

    def connection_opened(self, now_us: int) -> None:
        """Starts a new connection to a replica: lines on it are sent later than now."""
        self._burst_us = now_us
        self._arrived_after_us = now_us

    def line_read(self, now_us: int) -> None:
        """Records that a line was read.

        After this process was suspended, pending lines may have been sent long before, and none of them
        proves that nothing was missed since. A line proves only that it arrived after the previous burst.
        """
        if self._burst_us is None:
            self._burst_us = now_us
        elif now_us - self._burst_us >= BURST_US:
            self._arrived_after_us = self._burst_us
            self._burst_us = now_us

    def heartbeat_confirmed(self) -> None:
        """Records that the line last read was a heartbeat: nothing is newer than what was received.

        Only heartbeats count: events and the end of a catch-up are also sent by a replica that has lost the
        change log.
        """
        if self._arrived_after_us is not None:
            self._current_at_us = max(self._arrived_after_us, self._current_at_us or 0)

    def is_silent(self, now_us: int) -> bool:
        """Returns True if no up-to-date replica was heard for longer than the limit, or ever."""
        return self._current_at_us is None or now_us - self._current_at_us > self.silence_us
