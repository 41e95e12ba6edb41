"""The event queue of a simulated world and its clock, which a backend advances."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

Callback = Callable[..., None]


class EventQueue:
    """Runs callbacks at scheduled times.

    `now` is in whole microseconds from the start of the day; `executed` counts the callbacks run.
    """

    __slots__ = ("_heap", "_sequence", "executed", "now")

    def __init__(self) -> None:
        self.now, self.executed = 0, 0
        self._heap: list[tuple[int, int, Callback, tuple[Any, ...]]] = []
        self._sequence = 0

    def schedule(self, when: int, callback: Callback, *args: Any) -> None:
        """Schedule `callback(*args)`; a past time runs next, equal times run in the order of scheduling."""
        self._sequence += 1
        heappush(self._heap, (when, self._sequence, callback, args))

    def next_time(self) -> int | None:
        """Return the time of the next event, or None if there is none."""
        return self._heap[0][0] if self._heap else None

    def run_until(self, until: int) -> None:
        """Run all events up to and including `until`, and set `now` to it."""
        heap, executed = self._heap, 0
        while heap and heap[0][0] <= until:
            when, _, callback, args = heappop(heap)
            if when > self.now:
                self.now = when
            callback(*args)
            executed += 1
        self.executed += executed
        self.now = max(self.now, until)
