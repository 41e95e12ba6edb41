"""The purges that a replica hands on: by object or bucket, forgotten in the order in which they were told.

Decision logic: no I/O, no clock; times are whole microseconds. A purge counts for a horizon from when it
was last told here, not from when it was made: one that is heard an hour late begins to bind then. Beyond
the bound, the longest told become one purge of all objects, which costs fills and never loses a purge.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

import msgspec

from hoistplank.distribution.change_index import Change, ChangeIndex
from hoistplank.distribution.messages import ALL_OBJECTS_BUCKET
from hoistplank.protocol.changelog import Purge

MAX_PURGES = 65_536  # an hour's purges of the largest fleet are 14,000


class HeldPurge(NamedTuple):
    """A purge with the change that carries it, and when it was last told here."""

    change: Change
    told_us: int

    @property
    def purge(self) -> Purge:
        assert self.change.purge is not None  # a held purge is in its change until it is dropped from both
        return self.change.purge


class PurgeTable:
    """The newest purge of each object and bucket, within the horizon."""

    def __init__(self, index: ChangeIndex, horizon_us: int, most: int = MAX_PURGES) -> None:
        self.horizon_us, self.most = horizon_us, most
        self._index = index
        self._held = OrderedDict[str | int, HeldPurge]()  # in the order in which they were last told
        self._all_objects: HeldPurge | None = None

    def __len__(self) -> int:
        return len(self._held) + (self._all_objects is not None)

    def told(self, now_us: int, purge: Purge, change: Change) -> None:
        """A purge, carried by the newest change. The time of what is purged again is never lowered."""
        self.forget(now_us)
        is_all = not purge.object and purge.bucket == ALL_OBJECTS_BUCKET
        key = purge.object or purge.bucket
        earlier = self._all_objects if is_all else self._held.pop(key, None)
        if earlier is not None:
            purge = msgspec.structs.replace(purge, time=max(purge.time, earlier.purge.time))
            self._take_out(earlier)
        held = self._put_in(HeldPurge(change, now_us), purge)
        if is_all:
            self._all_objects = held
        else:
            self._held[key] = held
        while len(self._held) > self.most:
            self._merge(self._held.popitem(last=False)[1])

    def forget(self, now_us: int) -> None:
        """Drops what was last told longer ago than the horizon."""
        told_before = now_us - self.horizon_us
        while self._held and next(iter(self._held.values())).told_us < told_before:
            self._take_out(self._held.popitem(last=False)[1])
        if self._all_objects is not None and self._all_objects.told_us < told_before:
            self._take_out(self._all_objects)
            self._all_objects = None

    def _merge(self, oldest: HeldPurge) -> None:
        """Puts the longest told into the purge of all objects.

        Danger: a follower that lacks the dropped purge must get this one. It stands at the newer of the two
        changes: whoever has that version has heard both of them.
        """
        floor, made = self._all_objects, oldest.purge.time
        into = oldest
        if floor is not None:
            made = max(made, floor.purge.time)
            into = max(floor, oldest, key=lambda held: held.change.version)
            self._take_out(oldest if into is floor else floor)
        self._all_objects = self._put_in(into, Purge(made, bucket=ALL_OBJECTS_BUCKET))

    def _put_in(self, held: HeldPurge, purge: Purge) -> HeldPurge:
        held.change.purge = purge
        self._index.close(held.change)
        return held

    def _take_out(self, held: HeldPurge) -> None:
        held.change.purge = None
        self._index.close(held.change)
