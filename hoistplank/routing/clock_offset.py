"""The change log's clock against ours. No I/O, no clock of its own; whole microseconds of Unix time."""

from __future__ import annotations

from collections import deque

KEPT = 8  # events: a clock that is set forward is believed wrong for so many more at most


class LogClock:
    """Tells when, by our clock, something happened that the log dates by its own.

    Danger: where our clock runs ahead, each purge looks older than it is by as much, and copies from before
    it would pass as younger. The quickest of the last events bounds how far ahead it may run: what came so
    quickly can't have been on its way for longer, the rest is the clocks' difference, and all of it is taken
    as that. The first event counts as made when it was heard. A time that comes out is never before the true
    one while the clocks keep their difference, and after it by the quickest event's way at most.
    """

    def __init__(self) -> None:
        self._late: deque[int] = deque(maxlen=KEPT)

    def ours(self, heard: int, made: int) -> int:
        """`made` by the log's clock, heard at `heard` by ours. Later than `heard` only if `made` was."""
        self._late.append(max(0, heard - made))
        return made + min(self._late)
