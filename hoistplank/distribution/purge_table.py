"""The purges that a replica forwards, by object or bucket, in the order in which they were received.

Decision logic: no I/O, no clock; times are whole microseconds. A purge is retained for a horizon counted from
when it was last received here, not from when it was made: one that arrives an hour late applies from then on.
Beyond the table's bound, the purges received longest ago are merged into one purge of all objects, which
costs refills from the parents and never loses a purge.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

import msgspec

from hoistplank.distribution.change_index import Change, ChangeIndex
from hoistplank.distribution.messages import ALL_OBJECTS_BUCKET
from hoistplank.protocol.changelog import Purge

MAX_PURGES = 65_536  # an hour's purges of the largest fleet are 14,000


class RetainedPurge(NamedTuple):
    """A purge with the change that carries it, and when it was last received here."""

    change: Change
    received_us: int

    @property
    def purge(self) -> Purge:
        """The purge itself."""
        assert self.change.purge is not None  # a retained purge is in its change until dropped from both
        return self.change.purge


class PurgeTable:
    """The newest purge of each object and bucket within the horizon."""

    def __init__(self, index: ChangeIndex, horizon_us: int, max_purges: int = MAX_PURGES) -> None:
        self.horizon_us = horizon_us
        self.max_purges = max_purges
        self._index = index
        self._purges = OrderedDict[str | int, RetainedPurge]()  # by time of last receipt, oldest first
        self._all_objects: RetainedPurge | None = None

    def __len__(self) -> int:
        return len(self._purges) + (self._all_objects is not None)

    def apply(self, now_us: int, purge: Purge, change: Change) -> None:
        """Adds a purge carried by the newest change. The time of an earlier purge is never lowered."""
        self.remove_expired(now_us)
        is_all = not purge.object and purge.bucket == ALL_OBJECTS_BUCKET
        key = purge.object or purge.bucket
        earlier = self._all_objects if is_all else self._purges.pop(key, None)
        if earlier is not None:
            purge = msgspec.structs.replace(purge, time=max(purge.time, earlier.purge.time))
            self._detach(earlier)
        retained = self._attach(RetainedPurge(change, now_us), purge)
        if is_all:
            self._all_objects = retained
        else:
            self._purges[key] = retained
        while len(self._purges) > self.max_purges:
            self._merge_into_all_objects(self._purges.popitem(last=False)[1])

    def remove_expired(self, now_us: int) -> None:
        """Drops purges that were last received longer ago than the horizon."""
        horizon_start_us = now_us - self.horizon_us
        while self._purges and next(iter(self._purges.values())).received_us < horizon_start_us:
            self._detach(self._purges.popitem(last=False)[1])
        if self._all_objects is not None and self._all_objects.received_us < horizon_start_us:
            self._detach(self._all_objects)
            self._all_objects = None

    def _merge_into_all_objects(self, oldest: RetainedPurge) -> None:
        """Merges the purge received longest ago into the purge of all objects.

        A follower that lacks the dropped purge must get the merged one, so the newer of the two changes
        carries it: a follower that holds that version has received both purges.
        """
        existing = self._all_objects
        purge_time = oldest.purge.time
        carrier = oldest
        if existing is not None:
            purge_time = max(purge_time, existing.purge.time)
            carrier = max(existing, oldest, key=lambda retained: retained.change.version)
            self._detach(oldest if carrier is existing else existing)
        self._all_objects = self._attach(carrier, Purge(purge_time, bucket=ALL_OBJECTS_BUCKET))

    def _attach(self, retained: RetainedPurge, purge: Purge) -> RetainedPurge:
        retained.change.purge = purge
        self._index.update(retained.change)
        return retained

    def _detach(self, retained: RetainedPurge) -> None:
        retained.change.purge = None
        self._index.update(retained.change)
