"""The event queue of a simulated world, and its one clock, whichever backend moves it on."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

Callback = Callable[..., None]


class EventQueue:
    """`now` is whole microseconds from the day's start; `done` counts what has happened."""

    __slots__ = ("_heap", "_sequence", "executed", "now")

    def __init__(self) -> None:
        self.now, self.executed = 0, 0
        self._heap: list[tuple[int, int, Callback, tuple[Any, ...]]] = []
        self._sequence = 0

    def schedule(self, when: int, call: Callback, *args: Any) -> None:
        """`call(*args)` at a time; what lies in the past happens next. Equal times keep their order."""
        self._sequence += 1
        heappush(self._heap, (when, self._sequence, call, args))

    def next_time(self) -> int | None:
        """The time of the next event, or None."""
        return self._heap[0][0] if self._heap else None

    def run_until(self, until: int) -> None:
        """All up to a time, that time included; `now` is that time afterwards."""
        heap, done = self._heap, 0
        while heap and heap[0][0] <= until:
            when, _, call, args = heappop(heap)
            if when > self.now:
                self.now = when
            call(*args)
            done += 1
        self.executed += done
        self.now = max(self.now, until)
