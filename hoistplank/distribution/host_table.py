"""The cache hosts that a replica hands on, each at the version at which it last changed. Decision logic.

Hosts that are gone leave a tombstone, so that a follower that knew them hears of it. Tombstones are
bounded: once one is dropped, followers older than it get the whole list.
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
MAX_DEPARTURES = 4_096  # hosts of which it is remembered that they were told to drain or to be gone


class Departure(NamedTuple):
    """A host was told to drain or to be gone: which start of it, and in which epoch that was told."""

    boot_ms: float
    epoch: int


class HostTable:
    """The hosts listed, the tombstones of those that went, and from which version on a change of it is
    enough.
    """

    def __init__(self, index: ChangeIndex, most_tombstones: int = MAX_TOMBSTONES) -> None:
        self.is_listed = False  # whether any list has been told
        self.changed_at = NOTHING  # the version of the last change of any host
        self.whole_before = NOTHING  # a follower that holds less needs the whole list
        self._index, self._most_tombstones = index, most_tombstones
        self._list_epoch = 0  # the epoch of the last whole list
        self._hosts: dict[str, Change] = {}  # uid -> the change that holds its entry
        self._tombstones = OrderedDict[str, Change]()
        self._departures = OrderedDict[str, Departure]()
        self._revision = 0
        self._whole_line: bytes | None = None

    def __len__(self) -> int:
        return len(self._hosts)

    @property
    def tombstones(self) -> int:
        return len(self._tombstones)

    def targets(self) -> list[Target]:
        """All hosts listed."""
        return [change.targets[uid] for uid, change in self._hosts.items()]

    def told(self, fleet: Fleet, change: Change) -> None:
        """A list of the change log, carried by the newest change: whole, or what changed."""
        self._revision = fleet.rev
        is_whole = fleet.all or not self.is_listed
        if is_whole:
            self._whole_list(fleet, change)
        else:
            for target in fleet.targets:
                self._told_one(target, change)
        self._index.close(change)
        while len(self._tombstones) > self._most_tombstones:
            self._drop_tombstone()

    def _whole_list(self, fleet: Fleet, change: Change) -> None:
        is_first_of_epoch = not self.is_listed or change.version.epoch != self._list_epoch
        self.is_listed, self._list_epoch = True, change.version.epoch
        listed = {target.uid for target in fleet.targets}
        for uid in [uid for uid in self._hosts if uid not in listed]:
            self._gone(uid, change)
        for target in fleet.targets:
            self._told_one(target, change)
        if is_first_of_epoch:
            # Danger: what another replica held of the epoch before may differ from what is replaced here,
            # and a follower that comes from there would keep hosts which are not among these changes.
            self.whole_before = change.version
            self._whole_line, self.changed_at = None, change.version

    def _told_one(self, target: Target, change: Change) -> None:
        target = self._kept(target, change.version.epoch)
        if target.state == GONE:
            self._gone(target.uid, change)
            return
        held = self._hosts.get(target.uid)
        if held is not None and held.targets[target.uid] == target:
            return
        self._take_out(target.uid)
        self._hosts[target.uid] = change
        self._put_in(target, change)

    def _kept(self, target: Target, epoch: int) -> Target:
        """An entry, beside what was heard of its host.

        Danger: the list of a change log that began anew may be from before a drain that was heard, and the
        host would get new work. Only another start of its process takes it back.
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

    def _gone(self, uid: str, change: Change) -> None:
        held = self._hosts.get(uid)
        if held is None:
            return  # not known, or its tombstone stands
        target = held.targets[uid]
        self._take_out(uid)
        self._tombstones[uid] = change
        self._put_in(msgspec.structs.replace(target, state=GONE), change)

    def _drop_tombstone(self) -> None:
        uid, change = self._tombstones.popitem(last=False)
        del change.targets[uid]
        self._index.close(change)
        self.whole_before = max(self.whole_before, change.version)

    def _put_in(self, target: Target, change: Change) -> None:
        change.targets[target.uid] = target
        self._whole_line, self.changed_at = None, change.version

    def _take_out(self, uid: str) -> None:
        change = self._hosts.pop(uid, None) or self._tombstones.pop(uid, None)
        if change is not None:
            del change.targets[uid]
            self._index.close(change)

    def whole(self) -> ReplicatedEvent:
        """The whole list as part of a catch-up."""
        epoch, number = self.changed_at
        fleet = Fleet(self._revision, True, self.targets())
        return ReplicatedEvent(number, epoch, fleet=fleet, catch_up=CatchUp.PART)

    def whole_line(self) -> bytes:
        if self._whole_line is None:
            self._whole_line = encode(self.whole())
        return self._whole_line
