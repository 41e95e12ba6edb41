"""The changes that make up a replica's state, in order of version. Decision logic: no I/O, no clock.

Each change holds only what no later change has superseded, so the index grows with the state and not with
its history, and what a follower lacks is found from the newest end without visiting the rest.
"""

from __future__ import annotations

from collections.abc import Iterator

from hoistplank.distribution.messages import CatchUp, Configuration, ReplicatedEvent, encode
from hoistplank.distribution.versions import Version
from hoistplank.protocol.changelog import Fleet, Purge, Target


class Change:
    """The content of one change-log event that no later event has superseded."""

    __slots__ = ("_part_line", "configuration", "purge", "targets", "version")

    def __init__(self, version: Version) -> None:
        self.version = version
        self.targets: dict[str, Target] = {}
        self.purge: Purge | None = None
        self.configuration: Configuration | None = None
        self._part_line: bytes | None = None

    @property
    def is_empty(self) -> bool:
        """True if later changes have superseded all of it."""
        return not self.targets and self.purge is None and self.configuration is None

    def event(self, after: int = 0, catch_up: CatchUp | None = None) -> ReplicatedEvent:
        """Returns the change as an event (`after`: the preceding number), or as part of a catch-up."""
        fleet = Fleet(targets=list(self.targets.values())) if self.targets else None
        epoch, number = self.version
        return ReplicatedEvent(number, epoch, after, fleet, self.purge, self.configuration, catch_up)

    def discard_encoded(self) -> None:
        """Drops the encoded line; to be called after a field has changed."""
        self._part_line = None

    def part_line(self) -> bytes:
        """Returns the line of this change in a catch-up, encoded once for all followers."""
        if self._part_line is None:
            self._part_line = encode(self.event(catch_up=CatchUp.PART))
        return self._part_line


class ChangeIndex:
    """All changes that are not entirely superseded, oldest first."""

    def __init__(self) -> None:
        self._changes: dict[Version, Change] = {}

    def __len__(self) -> int:
        return len(self._changes)

    def __iter__(self) -> Iterator[Change]:
        return iter(self._changes.values())

    def update(self, change: Change) -> None:
        """Records that a change has been altered: adds it if it is new, removes it if it is empty.

        A new change must be newer than all others.
        """
        change.discard_encoded()
        if change.is_empty:
            self._changes.pop(change.version, None)
        else:
            self._changes.setdefault(change.version, change)

    def since(self, version: Version) -> list[Change]:
        """Returns the changes newer than `version`, oldest first; visits only these and one more."""
        newer = []
        for change in reversed(self._changes.values()):
            if change.version <= version:
                break
            newer.append(change)
        newer.reverse()
        return newer
