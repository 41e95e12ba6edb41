"""What a control replica holds of the change log, and what a follower at a version lacks of it.

Decision logic: no I/O, no clock; times are whole microseconds. The state is keyed: hosts by uid, purges by
object or bucket, and the newest configuration, each at the version at which it last changed. What is
superseded is not handed on. One missing event is told as the change log told it; more than one as a
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

MAX_CONFIGURATION_VERSIONS = 4_096  # two and a half days of them at 1,500 a day


class StateSize(NamedTuple):
    """How much a replica holds; `bytes`: of a catch-up from nothing."""

    hosts: int
    tombstones: int
    purges: int
    changes: int
    bytes: int


class ReplicatedState:
    """The state of a replica; `purge_horizon_us`: how long a purge is handed on after it was told here."""

    def __init__(
        self, purge_horizon_us: int, tombstones: int = MAX_TOMBSTONES, most_purges: int = MAX_PURGES
    ) -> None:
        self.version = NOTHING
        self.configuration_version = NOTHING
        self.configuration: Configuration | None = None
        self._index = ChangeIndex()
        self._hosts = HostTable(self._index, tombstones)
        self._purges = PurgeTable(self._index, purge_horizon_us, most_purges)
        self._configuration_change: Change | None = None
        self._configuration_versions = OrderedDict[Version, None]()
        self._now_us = 0
        self._previous = NOTHING  # the version before this one
        self._newest_line: bytes | None = None  # the line for all who hold the version before

    @property
    def is_listed(self) -> bool:
        """Whether any list of hosts has been told: until then there is nothing to hand on."""
        return self._hosts.is_listed

    def apply(self, now_us: int, event: ReplicatedEvent) -> bool:
        """An event of the change log; False if it is a heartbeat or not newer than what is held: nothing
        changes.

        That no event is missing before it is for the caller to see: the change log counts by one.
        """
        self.forget(now_us)
        version = event.version
        if event.is_heartbeat or version <= self.version:
            return False
        change = Change(version)
        if event.fleet is not None:
            self._hosts.told(event.fleet, change)
        if event.invalidate is not None:
            self._purges.told(self._now_us, event.invalidate, change)
        if event.configuration is not None:
            self._configure(event.configuration, change)
        self._previous, self.version, self._newest_line = self.version, version, None
        return True

    def forget(self, now_us: int) -> None:
        """Drops purges beyond the horizon; to be called each second or so, as `apply` does."""
        self._now_us = max(self._now_us, now_us)
        self._purges.forget(self._now_us)

    def _configure(self, configuration: Configuration, change: Change) -> None:
        superseded = self._configuration_change
        if superseded is not None:
            superseded.configuration = None
            self._index.close(superseded)
        change.configuration = configuration
        self._index.close(change)
        self._configuration_change = change
        self.configuration, self.configuration_version = configuration, change.version
        self._configuration_versions[change.version] = None
        if len(self._configuration_versions) > MAX_CONFIGURATION_VERSIONS:
            self._configuration_versions.popitem(last=False)

    def is_configuration(self, version: Version) -> bool:
        """Whether the event of this version brought a configuration; of the last 4,096 of them."""
        return version in self._configuration_versions

    # What a follower lacks.

    def events_since(self, version: Version) -> list[ReplicatedEvent]:
        """What a follower at `version` lacks: nothing, one event, or a catch-up from its begin to its end.

        A follower that is ahead gets a heartbeat, which it ignores. Nothing at all while no list is known.
        """
        if version == self.version or not self.is_listed:
            return []
        if version > self.version:
            return [self.heartbeat()]
        single = self._single_event(version)
        if single is not None:
            return [single]
        parts = [change.event(catch_up=CatchUp.PART) for change in self._parts(version)]
        if self._needs_whole_list(version):
            parts.insert(0, self._hosts.whole())
        return [self._mark(version, CatchUp.BEGIN), *parts, self._mark(version, CatchUp.END)]

    def lines_since(self, version: Version) -> list[bytes]:
        """`events_since`, encoded; lines that are the same for all followers are encoded once."""
        if version == self.version or not self.is_listed:
            return []
        if version > self.version:
            return [encode(self.heartbeat())]
        if version == self._previous and self._newest_line is not None:
            return [self._newest_line]
        single = self._single_event(version)
        if single is not None:
            line = encode(single)
            if version == self._previous:
                self._newest_line = line
            return [line]
        parts = [change.part_line() for change in self._parts(version)]
        if self._needs_whole_list(version):
            parts.insert(0, self._hosts.whole_line())
        begin, end = self._mark(version, CatchUp.BEGIN), self._mark(version, CatchUp.END)
        return [encode(begin), *parts, encode(end)]

    def bytes_since(self, version: Version) -> int:
        """How large a catch-up from `version` is."""
        return sum(map(len, self.lines_since(version)))

    def heartbeat(self) -> ReplicatedEvent:
        """For a follower that holds this version: there is nothing newer."""
        return ReplicatedEvent(self.version.number, self.version.epoch)

    def heartbeat_for(self, version: Version) -> ReplicatedEvent:
        """For a follower at `version`, also while it waits for its catch-up.

        Danger: a plain heartbeat ahead of what a follower holds looks to it like lost events.
        """
        return self._mark(version, CatchUp.BEGIN) if version < self.version else self.heartbeat()

    def _mark(self, after: Version, catch_up: CatchUp) -> ReplicatedEvent:
        """The first or last line of a catch-up; `after` tells of a number in the same epoch alone."""
        number = after.number if after.epoch == self.version.epoch else 0
        return ReplicatedEvent(self.version.number, self.version.epoch, number, catch_up=catch_up)

    def _needs_whole_list(self, version: Version) -> bool:
        """Whether changes alone would not say which hosts to drop.

        Danger: replicas that hear of a new epoch at different times hold different ends of the old one.
        """
        is_of_other_epoch = version.epoch != self.version.epoch
        return is_of_other_epoch or version.number == 0 or version < self._hosts.whole_before

    def _parts(self, version: Version) -> list[Change]:
        """The changes to be told to a follower at `version`, beside a whole list where it needs one."""
        lacking = self._index.since(version if version.number else NOTHING)
        if not self._needs_whole_list(version):
            return lacking
        return [change for change in lacking if change.purge is not None or change.configuration is not None]

    def _single_event(self, version: Version) -> ReplicatedEvent | None:
        """The newest event alone, where a follower at `version` lacks nothing else."""
        if self._needs_whole_list(version):
            return None
        lacking = self._index.since(version)
        if not lacking:
            return ReplicatedEvent(self.version.number, self.version.epoch, version.number)
        if len(lacking) == 1 and lacking[0].version == self.version:
            return lacking[0].event(version.number)
        return None

    # Figures.

    def targets(self) -> list[Target]:
        """All hosts listed."""
        return self._hosts.targets()

    def purges(self) -> list[Purge]:
        """All purges within the horizon."""
        return [change.purge for change in self._index if change.purge is not None]

    def size(self) -> StateSize:
        hosts, tombstones = len(self._hosts), self._hosts.tombstones
        return StateSize(hosts, tombstones, len(self._purges), len(self._index), self.bytes_since(NOTHING))
