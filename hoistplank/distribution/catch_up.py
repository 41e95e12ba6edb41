"""Schedules catch-ups, so that a whole fleet that reconnects at once is served in order of arrival.

Decision logic: no I/O, no clock; times are whole microseconds. The number of concurrent catch-ups and their
bytes per second are bounded.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)

SECOND_US = 1_000_000
MAX_WAITING = 8_192
TURN_LIMIT_US = 10_000_000  # a follower that has not received its catch-up by then loses its turn


class CatchUpQueue(Generic[Key]):
    """First-in, first-out queue. A turn begins once the bytes of all earlier turns may have been sent."""

    def __init__(
        self,
        max_concurrent: int = 16,
        bytes_per_second: int = 4_000_000,
        turn_limit_us: int = TURN_LIMIT_US,
        max_waiting: int = MAX_WAITING,
    ) -> None:
        if max_concurrent < 1 or bytes_per_second < 1:
            raise ValueError("a catch-up queue needs max_concurrent and bytes_per_second of at least 1")
        self.max_concurrent = max_concurrent
        self.bytes_per_second = bytes_per_second
        self.turn_limit_us = turn_limit_us
        self.max_waiting = max_waiting
        self._waiting = OrderedDict[Key, int]()  # the size of each requested catch-up in bytes
        self._active = OrderedDict[Key, int]()  # when each turn began, oldest first
        self._next_turn_us = 0  # when the bytes of all turns so far may have been sent

    @property
    def waiting_count(self) -> int:
        """Number of followers that wait for a turn."""
        return len(self._waiting)

    @property
    def active_count(self) -> int:
        """Number of followers that are being sent their catch-up."""
        return len(self._active)

    def enqueue(self, key: Key, size: int) -> bool:
        """Requests a turn to send `size` bytes; returns False if too many wait already.

        A follower that waits already keeps its position.
        """
        if key not in self._waiting and len(self._waiting) >= self.max_waiting:
            return False
        # Otherwise a follower that requests again while its turn still counts would occupy two places.
        self._active.pop(key, None)
        self._waiting[key] = size
        return True

    def start_ready(self, now_us: int) -> list[Key]:
        """Begins the turns that may begin now and returns their followers. Call `remove_overdue` first."""
        started = []
        while self._can_start(now_us):
            key, size = self._waiting.popitem(last=False)
            self._active[key] = now_us
            sending_us = size * SECOND_US // self.bytes_per_second
            self._next_turn_us = max(self._next_turn_us, now_us) + sending_us
            started.append(key)
        return started

    def _can_start(self, now_us: int) -> bool:
        has_slot = len(self._active) < self.max_concurrent
        return bool(self._waiting) and has_slot and self._next_turn_us <= now_us

    def remove_overdue(self, now_us: int) -> list[Key]:
        """Ends turns that exceeded their limit; the caller is to close the connections of those returned."""
        overdue = []
        while self._active and now_us - next(iter(self._active.values())) > self.turn_limit_us:
            overdue.append(self._active.popitem(last=False)[0])
        return overdue

    def finish(self, key: Key) -> None:
        """Ends the turn of a follower whose catch-up has been sent."""
        self._active.pop(key, None)

    def remove(self, key: Key) -> None:
        """Drops a follower that has disconnected, waiting or not."""
        self._waiting.pop(key, None)
        self._active.pop(key, None)

    def next_wakeup_us(self, now_us: int) -> int | None:
        """Returns when to call `remove_overdue` and `start_ready` next; None if nothing is pending."""
        deadlines = [began_us + self.turn_limit_us + 1 for began_us in list(self._active.values())[:1]]
        if self._waiting and len(self._active) < self.max_concurrent:
            deadlines.append(max(now_us, self._next_turn_us))
        return min(deadlines, default=None)
