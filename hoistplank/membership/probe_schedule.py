"""When each host is probed next: a priority queue with lazy deletion. No I/O, no clock."""

from __future__ import annotations

from heapq import heappop, heappush
from typing import NamedTuple


class ScheduledProbe(NamedTuple):
    """A probe that is due at `due_us`; ties go by `rank`, this dispatcher's own order of the hosts."""

    due_us: int
    rank: int
    uid: str


class ProbeSchedule:
    """The next probe of each host. An entry that was replaced stays in the queue and is skipped later."""

    def __init__(self) -> None:
        self._queue: list[ScheduledProbe] = []
        self._next_us: dict[str, int] = {}  # by host; absent: a probe is in flight, or none is wanted

    def __len__(self) -> int:
        """Entries in the queue, with the replaced ones that are still there."""
        return len(self._queue)

    def schedule(self, uid: str, due_us: int, rank: int) -> None:
        """Probes the host at `due_us`, in place of any earlier plan."""
        self._next_us[uid] = due_us
        heappush(self._queue, ScheduledProbe(due_us, rank, uid))

    def pop_due(self, now: int) -> str | None:
        """The next host whose probe is due; it is then unscheduled. None where none is due."""
        while self._queue and self._queue[0].due_us <= now:
            probe = heappop(self._queue)
            if self._next_us.get(probe.uid) == probe.due_us:
                del self._next_us[probe.uid]
                return probe.uid
        return None
