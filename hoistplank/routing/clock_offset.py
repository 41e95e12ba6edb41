"""A remote clock against ours. No I/O, no clock of its own; whole microseconds of Unix time."""

from __future__ import annotations

from collections import deque

SAMPLES = 8  # events: a clock that is set forward is believed wrong for so many more at most


class ClockOffset:
    """Takes times of the change log's clock into ours.

    Danger: where our clock runs ahead, each purge looks older than it is by as much, and copies from before
    it would pass as younger. The quickest of the last events bounds how far ahead it may run: what came so
    quickly can't have been on its way for longer, the rest is the clocks' difference, and all of it is taken
    as that. The first event counts as made when it was received. A time that comes out is never before the
    true one while the clocks keep their difference, and after it by the quickest event's delay at most.
    """

    def __init__(self) -> None:
        self._delays_us: deque[int] = deque(maxlen=SAMPLES)

    def to_local_us(self, received_us: int, remote_us: int) -> int:
        """When, by our clock, an event was made that is dated `remote_us` by the remote clock and was
        received at `received_us` by ours. Later than `received_us` only if `remote_us` was."""
        self._delays_us.append(max(0, received_us - remote_us))
        return remote_us + min(self._delays_us)
