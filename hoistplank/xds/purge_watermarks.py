"""The purges that followers are sent: the purge time of each object or group, for a bounded time.

Decision logic: no I/O, no clock; times are whole microseconds.
"""

from __future__ import annotations

from collections import OrderedDict


class PurgeWatermarks:
    """Purge times by name, which is an object's key or `group.N`."""

    def __init__(self, retention_us: int) -> None:
        """`retention_us`: how long a purge is sent after it was last received."""
        self.retention_us = retention_us
        self.purged_us: dict[str, int] = {}
        self.received_us = OrderedDict[str, int]()  # when each name was last received, oldest first

    def add(self, now_us: int, name: str, purged_us: int) -> None:
        """Adds a purge; the purge time of a name is never lowered."""
        self.purged_us[name] = max(purged_us, self.purged_us.get(name, 0))
        self.received_us[name] = now_us
        self.received_us.move_to_end(name)
        self.remove_expired(now_us)

    def remove_expired(self, now_us: int) -> None:
        """Drops purges received longer ago than the retention: no copy can be older.

        The time of receipt counts and not the purge time: a purge that is received late, after a lost
        connection, would otherwise be dropped before it reaches a follower.
        """
        while self.received_us and next(iter(self.received_us.values())) < now_us - self.retention_us:
            name, _ = self.received_us.popitem(last=False)
            del self.purged_us[name]
