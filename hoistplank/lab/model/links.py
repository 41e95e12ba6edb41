"""A link that concurrent transfers share: each gets an equal part, and none more than a transfer's own pace.

Fluid model. Since all share alike, one running sum of what a transfer got since the day's start is enough:
each ends when the sum has grown by its own size, so a link with thousands of transfers costs a heap, not a
loop.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from hoistplank.lab.model.event_queue import Agenda

Flow = list[Any]  # [sum at its end, turn, what to call or None, its arguments]
FAR = 1 << 60


class Link:
    """`room` transfers at full pace at once; beyond it `thrash` of it is lost for each time it is overdrawn.

    Sizes are microseconds at full pace.
    """

    __slots__ = (
        "_agenda",
        "_at",
        "_due",
        "_got",
        "_heap",
        "_rate",
        "_turn",
        "carried",
        "open",
        "room",
        "share",
        "thrash",
    )

    def __init__(self, agenda: Agenda, room: float, thrash: float = 0.0) -> None:
        self._agenda, self.room, self.share, self.thrash = agenda, room, 1.0, thrash
        self._got, self._rate, self._at, self._due, self._turn = 0.0, 1.0, 0, FAR, 0
        self._heap: list[Flow] = []
        self.open, self.carried = 0, 0.0

    def _move(self) -> None:
        """Brings the sum up to now."""
        now = self._agenda.now
        if now > self._at:
            passed = (now - self._at) * self._rate
            self._got += passed
            self.carried += passed * self.open
            self._at = now

    def _pace(self) -> None:
        """The pace that follows from what is open now, and the time at which the next transfer ends."""
        room, many, rate = self.room * self.share, self.open, 1.0
        if many > room:
            over = many / max(1e-6, room)
            rate = 1 / (over * (1 + self.thrash * (over - 1)))
        self._rate = rate
        heap = self._heap
        while heap and heap[0][2] is None:
            heappop(heap)
        if heap:
            due = self._agenda.now + int((heap[0][0] - self._got) / rate) + 1
            # One that is set for an earlier time stays: it finds nothing to end and sets the next.
            if due < self._due:
                self._due = due
                self._agenda.at(due, self._ring, due)

    def begin(self, size_us: float, call: Callable[..., None], *args: Any) -> Flow:
        """A transfer; `call(*args)` at its end."""
        self._move()
        self._turn += 1
        flow: Flow = [self._got + size_us, self._turn, call, args]
        heappush(self._heap, flow)
        self.open += 1
        self._pace()
        return flow

    def stop(self, flow: Flow) -> None:
        """Ends a transfer early, without a call; one that has ended is left alone."""
        if flow[2] is not None:
            self._move()
            flow[2] = None
            self.open -= 1
            self._pace()

    def turned(self, room: float | None = None, share: float | None = None) -> None:
        """Another width, or another share of it (cold, slowed); what is under way goes on at the new pace."""
        self._move()
        self.room = self.room if room is None else room
        self.share = self.share if share is None else share
        self._pace()

    def _ring(self, due: int) -> None:
        if due != self._due:
            return
        self._due = FAR
        self._move()
        heap, ended = self._heap, []
        while heap and (heap[0][2] is None or heap[0][0] <= self._got + 0.5):
            flow = heappop(heap)
            if flow[2] is not None:
                ended.append((flow[2], flow[3]))
                flow[2] = None
                self.open -= 1
        self._pace()
        for call, args in ended:
            call(*args)

    def fullness(self) -> float:
        return self.open / max(0.001, self.room * self.share)
