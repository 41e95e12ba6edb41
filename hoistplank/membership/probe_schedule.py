"""The probe schedule: a priority queue of hosts with lazy deletion. No I/O, no clock."""

from __future__ import annotations

from heapq import heappop, heappush
from typing import NamedTuple


class ScheduledProbe(NamedTuple):
    """A probe that is due at `due_us`; ties are broken by `rank`, this dispatcher's order of the hosts."""

    due_us: int
    rank: int
    uid: str


class ProbeSchedule:
    """The next probe of each host. A replaced entry stays in the queue and is skipped when it is due."""

    def __init__(self) -> None:
        self._queue: list[ScheduledProbe] = []
        self._next_us: dict[str, int] = {}  # by host; absent while a probe is in flight or none is scheduled

    def __len__(self) -> int:
        """Returns the number of entries in the queue, including replaced ones."""
        return len(self._queue)

    def schedule(self, uid: str, due_us: int, rank: int) -> None:
        """Schedules the host's next probe at `due_us`, replacing an earlier schedule."""
        self._next_us[uid] = due_us
        heappush(self._queue, ScheduledProbe(due_us, rank, uid))

    def pop_due(self, now: int) -> str | None:
        """Returns the next host whose probe is due and unschedules it; None if none is due."""
        while self._queue and self._queue[0].due_us <= now:
            probe = heappop(self._queue)
            if self._next_us.get(probe.uid) == probe.due_us:
                del self._next_us[probe.uid]
                return probe.uid
        return None
