"""Conversion of a remote clock's timestamps to local time, in whole microseconds of Unix time. No I/O."""

from __future__ import annotations

from collections import deque

MAX_SAMPLES = 8  # events; after a forward step of a clock, results are wrong for at most this many events


class ClockOffset:
    """Converts timestamps of the change log's clock to local time.

    If the local clock is ahead, each purge looks older than it is by the difference, and copies from before
    the purge would be taken for newer ones. The smallest delay among the last events (local time of receipt
    minus remote timestamp) is an upper bound of that difference, and all of it is taken as the difference.
    The first event therefore counts as created when it was received. While the clocks keep their difference,
    a result is never before the true time, and after it by at most the transit time of the fastest event.
    """

    def __init__(self) -> None:
        self._delays_us: deque[int] = deque(maxlen=MAX_SAMPLES)

    def to_local_us(self, received_us: int, remote_us: int) -> int:
        """Returns the local time at which an event was created that the remote clock dates `remote_us` and
        that was received at `received_us` local time. The result is later than `received_us` only if
        `remote_us` is."""
        self._delays_us.append(max(0, received_us - remote_us))
        return remote_us + min(self._delays_us)
