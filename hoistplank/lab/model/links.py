"""A link that concurrent transfers share: each gets an equal part, and none more than a transfer's own pace.

Fluid model. Since all share alike, one running sum of what a transfer got since the day's start is enough:
each ends when the sum has grown by its own size, so a link with thousands of transfers costs a heap, not a
loop.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from hoistplank.lab.model.event_queue import EventQueue

Transfer = list[Any]  # [sum at its end, turn, what to call or None, its arguments]
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
        "active",
        "capacity",
        "capacity_share",
        "carried_us",
        "overload_loss",
    )

    def __init__(self, agenda: EventQueue, capacity: float, thrash: float = 0.0) -> None:
        self._agenda, self.capacity, self.capacity_share, self.overload_loss = agenda, capacity, 1.0, thrash
        self._got, self._rate, self._at, self._due, self._turn = 0.0, 1.0, 0, FAR, 0
        self._heap: list[Transfer] = []
        self.active, self.carried_us = 0, 0.0

    def _move(self) -> None:
        """Brings the sum up to now."""
        now = self._agenda.now
        if now > self._at:
            passed = (now - self._at) * self._rate
            self._got += passed
            self.carried_us += passed * self.active
            self._at = now

    def _pace(self) -> None:
        """The pace that follows from what is open now, and the time at which the next transfer ends."""
        capacity, many, rate = self.capacity * self.capacity_share, self.active, 1.0
        if many > capacity:
            over = many / max(1e-6, capacity)
            rate = 1 / (over * (1 + self.overload_loss * (over - 1)))
        self._rate = rate
        heap = self._heap
        while heap and heap[0][2] is None:
            heappop(heap)
        if heap:
            due = self._agenda.now + int((heap[0][0] - self._got) / rate) + 1
            # One that is set for an earlier time stays: it finds nothing to end and sets the next.
            if due < self._due:
                self._due = due
                self._agenda.schedule(due, self._ring, due)

    def start(self, size_us: float, call: Callable[..., None], *args: Any) -> Transfer:
        """A transfer; `call(*args)` at its end."""
        self._move()
        self._turn += 1
        transfer: Transfer = [self._got + size_us, self._turn, call, args]
        heappush(self._heap, transfer)
        self.active += 1
        self._pace()
        return transfer

    def cancel(self, transfer: Transfer) -> None:
        """Ends a transfer early, without a call; one that has ended is left alone."""
        if transfer[2] is not None:
            self._move()
            transfer[2] = None
            self.active -= 1
            self._pace()

    def resize(self, capacity: float | None = None, share: float | None = None) -> None:
        """Another width, or another share of it (cold, slowed); what is under way goes on at the new pace."""
        self._move()
        self.capacity = self.capacity if capacity is None else capacity
        self.capacity_share = self.capacity_share if share is None else share
        self._pace()

    def _ring(self, due: int) -> None:
        if due != self._due:
            return
        self._due = FAR
        self._move()
        heap, ended = self._heap, []
        while heap and (heap[0][2] is None or heap[0][0] <= self._got + 0.5):
            transfer = heappop(heap)
            if transfer[2] is not None:
                ended.append((transfer[2], transfer[3]))
                transfer[2] = None
                self.active -= 1
        self._pace()
        for call, args in ended:
            call(*args)

    def utilization(self) -> float:
        """Active transfers as a share of the capacity; above 1 where it is overloaded."""
        return self.active / max(0.001, self.capacity * self.capacity_share)
