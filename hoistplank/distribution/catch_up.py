"""Turns for catch-ups: how many at once, and how many bytes a second, so that a whole fleet that comes back
at once is served in order. Decision logic: no I/O, no clock; times are whole microseconds."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)

SECOND_US = 1_000_000
MAX_WAITING = 8_192
TURN_LIMIT_US = 10_000_000  # a follower that takes its catch-up no faster loses its turn


class CatchUpQueue(Generic[Key]):
    """First come, first served. A turn begins when the bytes of the turns before it may have been sent."""

    def __init__(
        self,
        most_at_once: int = 16,
        bytes_per_second: int = 4_000_000,
        turn_limit_us: int = TURN_LIMIT_US,
        most_waiting: int = MAX_WAITING,
    ) -> None:
        if most_at_once < 1 or bytes_per_second < 1:
            raise ValueError("a catch-up queue needs at least one turn at once and one byte a second")
        self.most_at_once, self.bytes_per_second = most_at_once, bytes_per_second
        self.turn_limit_us, self.most_waiting = turn_limit_us, most_waiting
        self._waiting = OrderedDict[Key, int]()  # how many bytes each asked for
        self._turns = OrderedDict[Key, int]()  # when each began, oldest first
        self._next_us = 0  # when the bytes of all turns so far may have been sent

    @property
    def waiting(self) -> int:
        return len(self._waiting)

    @property
    def active(self) -> int:
        return len(self._turns)

    def asked(self, now_us: int, key: Key, size: int) -> bool:
        """A follower needs `size` bytes; one that asks again keeps its place. False where too many wait."""
        if key not in self._waiting and len(self._waiting) >= self.most_waiting:
            return False
        # Danger: one that comes back while its turn still counts would hold two places.
        self._turns.pop(key, None)
        self._waiting[key] = size
        return True

    def ready(self, now_us: int) -> list[Key]:
        """Those whose turn begins now."""
        begun = []
        while self._waiting and len(self._turns) < self.most_at_once and self._next_us <= now_us:
            key, size = self._waiting.popitem(last=False)
            self._turns[key] = now_us
            self._next_us = max(self._next_us, now_us) + size * SECOND_US // self.bytes_per_second
            begun.append(key)
        return begun

    def overdue(self, now_us: int) -> list[Key]:
        """Those who held a turn for longer than its limit: they have lost it, and their connections are to
        end.

        To be called before `ready`.
        """
        lost = []
        while self._turns and now_us - next(iter(self._turns.values())) > self.turn_limit_us:
            lost.append(self._turns.popitem(last=False)[0])
        return lost

    def done(self, now_us: int, key: Key) -> None:
        """A follower has been sent its catch-up."""
        self._turns.pop(key, None)

    def left(self, key: Key) -> None:
        """A follower has gone, waiting or not."""
        self._waiting.pop(key, None)
        self._turns.pop(key, None)

    def next_us(self, now_us: int) -> int | None:
        """When `overdue` or `ready` should be asked next; None if nothing is to come of itself."""
        moments = [began_us + self.turn_limit_us + 1 for began_us in list(self._turns.values())[:1]]
        if self._waiting and len(self._turns) < self.most_at_once:
            moments.append(max(now_us, self._next_us))
        return min(moments, default=None)
