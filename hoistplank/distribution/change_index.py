"""The changes that a replica's state is made of, in order of version. Decision logic: no I/O, no clock.

Each change holds only what no later change has superseded, so the index is as large as the state and not as
large as the history, and what a follower lacks is read from its newest end without a look at the rest.
"""

from __future__ import annotations

from collections.abc import Iterator

from hoistplank.distribution.messages import CatchUp, Configuration, ReplicatedEvent, encode
from hoistplank.distribution.versions import Version
from hoistplank.protocol.changelog import Fleet, Purge, Target


class Change:
    """What is still valid of one event of the change log."""

    __slots__ = ("version", "targets", "purge", "configuration", "_line")

    def __init__(self, version: Version) -> None:
        self.version = version
        self.targets: dict[str, Target] = {}
        self.purge: Purge | None = None
        self.configuration: Configuration | None = None
        self._line: bytes | None = None

    @property
    def is_empty(self) -> bool:
        return not self.targets and self.purge is None and self.configuration is None

    def event(self, after: int = 0, catch_up: CatchUp | None = None) -> ReplicatedEvent:
        """The change as an event of its own (`after`: the number before it), or as part of a catch-up."""
        fleet = Fleet(targets=list(self.targets.values())) if self.targets else None
        epoch, number = self.version
        return ReplicatedEvent(number, epoch, after, fleet, self.purge, self.configuration, catch_up)

    def altered(self) -> None:
        """To be called when a field has changed: the line kept is of the past."""
        self._line = None

    def part_line(self) -> bytes:
        """The line of this change in a catch-up: encoded once for all followers."""
        if self._line is None:
            self._line = encode(self.event(catch_up=CatchUp.PART))
        return self._line


class ChangeIndex:
    """All changes that still hold something, oldest first."""

    def __init__(self) -> None:
        self._changes: dict[Version, Change] = {}

    def __len__(self) -> int:
        return len(self._changes)

    def __iter__(self) -> Iterator[Change]:
        return iter(self._changes.values())

    def close(self, change: Change) -> None:
        """To be called after something was put into a change or taken from it.

        One that is new here must be newer than all others.
        """
        change.altered()
        if change.is_empty:
            self._changes.pop(change.version, None)
        else:
            self._changes.setdefault(change.version, change)

    def since(self, version: Version) -> list[Change]:
        """The changes newer than `version`, oldest first; looks at these and one more."""
        found = []
        for change in reversed(self._changes.values()):
            if change.version <= version:
                break
            found.append(change)
        found.reverse()
        return found
