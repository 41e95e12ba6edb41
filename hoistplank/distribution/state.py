"""The state that a control replica builds from the change log, and the part that a follower lacks.

Decision logic: no I/O, no clock; times are whole microseconds. The state is keyed: hosts by uid, purges by
object or bucket, and the newest configuration, each at the version at which it last changed. Superseded
content is not forwarded. A single missing event is sent as the change log sent it, more than one as a
catch-up (`messages.CatchUp`).
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from hoistplank.distribution.change_index import Change, ChangeIndex
from hoistplank.distribution.host_table import MAX_TOMBSTONES, HostTable
from hoistplank.distribution.messages import CatchUp, Configuration, ReplicatedEvent, encode
from hoistplank.distribution.purge_table import MAX_PURGES, PurgeTable
from hoistplank.distribution.versions import NOTHING, Version
from hoistplank.protocol.changelog import Purge, Target

MAX_CONFIGURATION_VERSIONS = 4_096  # two and a half days at 1,500 a day


class StateSize(NamedTuple):
    """The size of a replica's state; `bytes`: the size of a catch-up from nothing."""

    hosts: int
    tombstones: int
    purges: int
    changes: int
    bytes: int


class ReplicatedState:
    """The state of a replica."""

    def __init__(
        self, purge_horizon_us: int, max_tombstones: int = MAX_TOMBSTONES, max_purges: int = MAX_PURGES
    ) -> None:
        """`purge_horizon_us`: how long a purge is forwarded after it was last received here."""
        self.version = NOTHING
        self.configuration_version = NOTHING
        self.configuration: Configuration | None = None
        self._index = ChangeIndex()
        self._hosts = HostTable(self._index, max_tombstones)
        self._purges = PurgeTable(self._index, purge_horizon_us, max_purges)
        self._configuration_change: Change | None = None
        self._configuration_versions = OrderedDict[Version, None]()
        self._now_us = 0
        self._previous_version = NOTHING  # the version before the newest event
        self._newest_line: bytes | None = None  # the line for all followers at the previous version

    @property
    def is_listed(self) -> bool:
        """True if any list of hosts has been received: before that there is nothing to forward."""
        return self._hosts.is_listed

    def apply(self, now_us: int, event: ReplicatedEvent) -> bool:
        """Applies an event of the change log.

        Returns False, changing nothing, for a heartbeat and for an event not newer than the state. The caller
        checks that no event is missing before it: the change log counts by one.
        """
        self.remove_expired(now_us)
        version = event.version
        if event.is_heartbeat or version <= self.version:
            return False
        change = Change(version)
        if event.fleet is not None:
            self._hosts.apply(event.fleet, change)
        if event.invalidate is not None:
            self._purges.apply(self._now_us, event.invalidate, change)
        if event.configuration is not None:
            self._configure(event.configuration, change)
        self._previous_version = self.version
        self.version = version
        self._newest_line = None
        return True

    def remove_expired(self, now_us: int) -> None:
        """Drops purges beyond the horizon, as `apply` does; to be called about once a second."""
        self._now_us = max(self._now_us, now_us)
        self._purges.remove_expired(self._now_us)

    def _configure(self, configuration: Configuration, change: Change) -> None:
        superseded = self._configuration_change
        if superseded is not None:
            superseded.configuration = None
            self._index.update(superseded)
        change.configuration = configuration
        self._index.update(change)
        self._configuration_change = change
        self.configuration = configuration
        self.configuration_version = change.version
        self._configuration_versions[change.version] = None
        if len(self._configuration_versions) > MAX_CONFIGURATION_VERSIONS:
            self._configuration_versions.popitem(last=False)

    def is_configuration(self, version: Version) -> bool:
        """Returns True if the event of this version carried a configuration; the last 4,096 are known."""
        return version in self._configuration_versions

    def events_since(self, version: Version) -> list[ReplicatedEvent]:
        """Returns what a follower at `version` lacks: nothing, one event, or a complete catch-up.

        A follower that is ahead gets a heartbeat, which it ignores. Empty while no list is known.
        """
        if version == self.version or not self.is_listed:
            return []
        if version > self.version:
            return [self.heartbeat()]
        single = self._single_event(version)
        if single is not None:
            return [single]
        parts = [change.event(catch_up=CatchUp.PART) for change in self._parts(version)]
        if self._needs_full_list(version):
            parts.insert(0, self._hosts.full_list_event())
        return [self._boundary(version, CatchUp.BEGIN), *parts, self._boundary(version, CatchUp.END)]

    def lines_since(self, version: Version) -> list[bytes]:
        """Returns `events_since`, encoded; lines that are the same for all followers are encoded once."""
        if version == self.version or not self.is_listed:
            return []
        if version > self.version:
            return [encode(self.heartbeat())]
        if version == self._previous_version and self._newest_line is not None:
            return [self._newest_line]
        single = self._single_event(version)
        if single is not None:
            line = encode(single)
            if version == self._previous_version:
                self._newest_line = line
            return [line]
        parts = [change.part_line() for change in self._parts(version)]
        if self._needs_full_list(version):
            parts.insert(0, self._hosts.full_list_line())
        begin, end = self._boundary(version, CatchUp.BEGIN), self._boundary(version, CatchUp.END)
        return [encode(begin), *parts, encode(end)]

    def bytes_since(self, version: Version) -> int:
        """Returns the size of a catch-up from `version` in bytes."""
        return sum(map(len, self.lines_since(version)))

    def heartbeat(self) -> ReplicatedEvent:
        """Returns a heartbeat for followers at this version: nothing is newer."""
        return ReplicatedEvent(self.version.number, self.version.epoch)

    def heartbeat_for(self, version: Version) -> ReplicatedEvent:
        """Returns a heartbeat for a follower at `version`; the begin of a catch-up if it has yet to get one.

        A follower would treat a plain heartbeat ahead of its version as lost events.
        """
        return self._boundary(version, CatchUp.BEGIN) if version < self.version else self.heartbeat()

    def _boundary(self, after: Version, catch_up: CatchUp) -> ReplicatedEvent:
        """Returns the begin or end line of a catch-up; it has the number `after` only within an epoch."""
        number = after.number if after.epoch == self.version.epoch else 0
        return ReplicatedEvent(self.version.number, self.version.epoch, number, catch_up=catch_up)

    def _needs_full_list(self, version: Version) -> bool:
        """Returns True if the changes alone would leave hosts at a follower that are no longer listed.

        Replicas that learn of a new epoch at different times hold different last versions of the old one.
        """
        is_of_other_epoch = version.epoch != self.version.epoch
        return is_of_other_epoch or version.number == 0 or version < self._hosts.full_list_before

    def _parts(self, version: Version) -> list[Change]:
        """Returns the changes to send to a follower at `version`, besides the full list if it needs one."""
        lacking = self._index.since(version if version.number else NOTHING)
        if not self._needs_full_list(version):
            return lacking
        return [change for change in lacking if change.purge is not None or change.configuration is not None]

    def _single_event(self, version: Version) -> ReplicatedEvent | None:
        """Returns the newest event, if a follower at `version` lacks nothing else."""
        if self._needs_full_list(version):
            return None
        lacking = self._index.since(version)
        if not lacking:
            return ReplicatedEvent(self.version.number, self.version.epoch, version.number)
        if len(lacking) == 1 and lacking[0].version == self.version:
            return lacking[0].event(version.number)
        return None

    def targets(self) -> list[Target]:
        """Returns all listed hosts."""
        return self._hosts.targets()

    def purges(self) -> list[Purge]:
        """Returns all purges within the horizon."""
        return [change.purge for change in self._index if change.purge is not None]

    def size(self) -> StateSize:
        """Returns the size of the state."""
        return StateSize(
            hosts=len(self._hosts),
            tombstones=self._hosts.tombstone_count,
            purges=len(self._purges),
            changes=len(self._index),
            bytes=self.bytes_since(NOTHING),
        )
