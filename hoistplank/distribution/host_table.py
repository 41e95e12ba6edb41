"""The cache hosts that a replica forwards, each at the version at which it last changed. Decision logic.

Removed hosts leave a tombstone, so that a follower that knew them learns of the removal. Tombstones are
bounded: followers older than a dropped tombstone get the full list.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

import msgspec

from hoistplank.distribution.change_index import Change, ChangeIndex
from hoistplank.distribution.messages import CatchUp, ReplicatedEvent, encode
from hoistplank.distribution.versions import NOTHING
from hoistplank.protocol.changelog import Fleet, Target

READY, DRAINING, GONE = "ready", "draining", "gone"
MAX_TOMBSTONES = 4_096
MAX_DEPARTURES = 4_096  # draining or removed hosts whose process start is remembered


class Departure(NamedTuple):
    """The process start time of a draining or removed host, and the epoch of that event."""

    boot_ms: float
    epoch: int


class HostTable:
    """The listed hosts, the tombstones of removed ones, and which followers need the full list."""

    def __init__(self, index: ChangeIndex, max_tombstones: int = MAX_TOMBSTONES) -> None:
        self.is_listed = False  # True once any list has been received
        self.changed_at = NOTHING  # the version of the last change of any host
        self.full_list_before = NOTHING  # a follower at an older version needs the full list
        self._index = index
        self._max_tombstones = max_tombstones
        self._list_epoch = 0  # the epoch of the last full list
        self._hosts: dict[str, Change] = {}  # uid -> the change that holds its entry
        self._tombstones = OrderedDict[str, Change]()
        self._departures = OrderedDict[str, Departure]()
        self._revision = 0
        self._full_list_line: bytes | None = None

    def __len__(self) -> int:
        return len(self._hosts)

    @property
    def tombstone_count(self) -> int:
        """Number of tombstones of removed hosts, kept for followers."""
        return len(self._tombstones)

    def targets(self) -> list[Target]:
        """Returns all listed hosts."""
        return [change.targets[uid] for uid, change in self._hosts.items()]

    def apply(self, fleet: Fleet, change: Change) -> None:
        """Applies a list of the change log, full or partial, carried by the newest change."""
        self._revision = fleet.rev
        if fleet.all or not self.is_listed:
            self._replace_list(fleet, change)
        else:
            for target in fleet.targets:
                self._apply_target(target, change)
        self._index.update(change)
        while len(self._tombstones) > self._max_tombstones:
            self._drop_oldest_tombstone()

    def _replace_list(self, fleet: Fleet, change: Change) -> None:
        is_first_of_epoch = not self.is_listed or change.version.epoch != self._list_epoch
        self.is_listed = True
        self._list_epoch = change.version.epoch
        listed = {target.uid for target in fleet.targets}
        for uid in [uid for uid in self._hosts if uid not in listed]:
            self._remove(uid, change)
        for target in fleet.targets:
            self._apply_target(target, change)
        if is_first_of_epoch:
            # Another replica's list of the previous epoch may differ from the one replaced here: without the
            # full list, a follower of that replica would keep hosts that are not among these changes.
            self.full_list_before = change.version
            self._mark_changed(change)

    def _apply_target(self, target: Target, change: Change) -> None:
        target = self._with_departure(target, change.version.epoch)
        if target.state == GONE:
            self._remove(target.uid, change)
            return
        holder = self._hosts.get(target.uid)
        if holder is not None and holder.targets[target.uid] == target:
            return
        self._detach(target.uid)
        self._hosts[target.uid] = change
        self._attach(target, change)

    def _with_departure(self, target: Target, epoch: int) -> Target:
        """Returns the entry, in state draining if its process is known to be draining or removed.

        The list of a restarted change log may predate a drain that was received; the host would get new
        requests. Only another start of its process clears the departure.
        """
        departure = self._departures.get(target.uid)
        if target.state != READY:
            self._departures[target.uid] = Departure(target.boot_ms, epoch)
            self._departures.move_to_end(target.uid)
            if len(self._departures) > MAX_DEPARTURES:
                self._departures.popitem(last=False)
        elif departure is not None and departure.epoch < epoch and departure.boot_ms == target.boot_ms:
            return msgspec.structs.replace(target, state=DRAINING)
        else:
            self._departures.pop(target.uid, None)
        return target

    def _remove(self, uid: str, change: Change) -> None:
        holder = self._hosts.get(uid)
        if holder is None:
            return  # unknown, or its tombstone exists already
        target = holder.targets[uid]
        self._detach(uid)
        self._tombstones[uid] = change
        self._attach(msgspec.structs.replace(target, state=GONE), change)

    def _drop_oldest_tombstone(self) -> None:
        uid, change = self._tombstones.popitem(last=False)
        del change.targets[uid]
        self._index.update(change)
        self.full_list_before = max(self.full_list_before, change.version)

    def _attach(self, target: Target, change: Change) -> None:
        change.targets[target.uid] = target
        self._mark_changed(change)

    def _mark_changed(self, change: Change) -> None:
        self._full_list_line = None
        self.changed_at = change.version

    def _detach(self, uid: str) -> None:
        change = self._hosts.pop(uid, None) or self._tombstones.pop(uid, None)
        if change is not None:
            del change.targets[uid]
            self._index.update(change)

    def full_list_event(self) -> ReplicatedEvent:
        """Returns the full list as part of a catch-up."""
        epoch, number = self.changed_at
        fleet = Fleet(rev=self._revision, all=True, targets=self.targets())
        return ReplicatedEvent(number, epoch, fleet=fleet, catch_up=CatchUp.PART)

    def full_list_line(self) -> bytes:
        """Returns the line of `full_list_event`, encoded once until a host changes."""
        if self._full_list_line is None:
            self._full_list_line = encode(self.full_list_event())
        return self._full_list_line
