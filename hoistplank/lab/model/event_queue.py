"""What is to happen, in the order of its time: the one clock of a world, whichever drive moves it on."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

Call = Callable[..., None]


class Agenda:
    """`now` is whole microseconds from the day's start; `done` counts what has happened."""

    __slots__ = ("_heap", "_turn", "done", "now")

    def __init__(self) -> None:
        self.now, self.done = 0, 0
        self._heap: list[tuple[int, int, Call, tuple[Any, ...]]] = []
        self._turn = 0

    def at(self, when: int, call: Call, *args: Any) -> None:
        """`call(*args)` at a time; what lies in the past happens next. Equal times keep their order."""
        self._turn += 1
        heappush(self._heap, (when, self._turn, call, args))

    def next_at(self) -> int | None:
        return self._heap[0][0] if self._heap else None

    def run(self, until: int) -> None:
        """All up to a time, that time included; `now` is that time afterwards."""
        heap, done = self._heap, 0
        while heap and heap[0][0] <= until:
            when, _, call, args = heappop(heap)
            if when > self.now:
                self.now = when
            call(*args)
            done += 1
        self.done += done
        self.now = max(self.now, until)
