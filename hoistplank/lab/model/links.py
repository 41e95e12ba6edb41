"""A link shared by concurrent transfers: each gets an equal share, at most the full rate of one transfer.

Fluid model. Since all transfers share equally, one running sum of the service per transfer since the day's
start is enough: each ends when the sum has grown by its size. A link with thousands of transfers then costs a
heap operation per change, not a loop over all of them.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from hoistplank.lab.model.event_queue import EventQueue

Transfer = list[Any]  # [sum at its end, sequence number, callback or None once ended, its arguments]
NO_END_DUE = 1 << 60  # later than any event


class Link:
    """Carries `capacity` transfers at full rate.

    Beyond that, each multiple of the capacity by which it is exceeded costs the share `overload_loss` of it.
    Sizes are in microseconds at full rate.
    """

    __slots__ = (
        "_events",
        "_heap",
        "_next_end",
        "_rate",
        "_sequence",
        "_served_us",
        "_updated_at",
        "active",
        "capacity",
        "capacity_share",
        "carried_us",
        "overload_loss",
    )

    def __init__(self, events: EventQueue, capacity: float, overload_loss: float = 0.0) -> None:
        self._events, self.capacity, self.capacity_share, self.overload_loss = (
            events,
            capacity,
            1.0,
            overload_loss,
        )
        self._served_us, self._rate, self._updated_at, self._next_end, self._sequence = (
            0.0,
            1.0,
            0,
            NO_END_DUE,
            0,
        )
        self._heap: list[Transfer] = []
        self.active, self.carried_us = 0, 0.0

    def _advance(self) -> None:
        """Bring the running sum up to the current time."""
        now = self._events.now
        if now > self._updated_at:
            passed = (now - self._updated_at) * self._rate
            self._served_us += passed
            self.carried_us += passed * self.active
            self._updated_at = now

    def _reschedule(self) -> None:
        """Set the rate from the active transfers, and schedule the end of the next one."""
        capacity, active, rate = self.capacity * self.capacity_share, self.active, 1.0
        if active > capacity:
            overload = active / max(1e-6, capacity)
            rate = 1 / (overload * (1 + self.overload_loss * (overload - 1)))
        self._rate = rate
        heap = self._heap
        while heap and heap[0][2] is None:
            heappop(heap)
        if heap:
            due = self._events.now + int((heap[0][0] - self._served_us) / rate) + 1
            # An event scheduled for an earlier time stays: it finds no ended transfer and schedules the next.
            if due < self._next_end:
                self._next_end = due
                self._events.schedule(due, self._end_transfers, due)

    def start(self, size_us: float, callback: Callable[..., None], *args: Any) -> Transfer:
        """Start a transfer and return it; `callback(*args)` runs at its end."""
        self._advance()
        self._sequence += 1
        transfer: Transfer = [self._served_us + size_us, self._sequence, callback, args]
        heappush(self._heap, transfer)
        self.active += 1
        self._reschedule()
        return transfer

    def cancel(self, transfer: Transfer) -> None:
        """End a transfer early without its callback; one that has ended is ignored."""
        if transfer[2] is not None:
            self._advance()
            transfer[2] = None
            self.active -= 1
            self._reschedule()

    def resize(self, capacity: float | None = None, share: float | None = None) -> None:
        """Change the capacity or its usable share (cold, slowed); active transfers go on at the new rate."""
        self._advance()
        self.capacity = self.capacity if capacity is None else capacity
        self.capacity_share = self.capacity_share if share is None else share
        self._reschedule()

    def _end_transfers(self, due: int) -> None:
        if due != self._next_end:
            return
        self._next_end = NO_END_DUE
        self._advance()
        heap, ended = self._heap, []
        while heap and (heap[0][2] is None or heap[0][0] <= self._served_us + 0.5):
            transfer = heappop(heap)
            if transfer[2] is not None:
                ended.append((transfer[2], transfer[3]))
                transfer[2] = None
                self.active -= 1
        self._reschedule()
        for callback, args in ended:
            callback(*args)

    def utilization(self) -> float:
        """Return the active transfers as a share of the capacity; above 1 when the link is overloaded."""
        return self.active / max(0.001, self.capacity * self.capacity_share)
