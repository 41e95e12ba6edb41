"""Records of the dispatchers at which a change is in force, and of those at which it is missing."""

from __future__ import annotations

import enum
from typing import NamedTuple

from hoistplank.distribution.versions import Version


class ChangeKind(enum.Enum):
    """The kinds of change that a version can identify."""

    EVENT = "event"  # a purge or a change of hosts: in force once everything up to its version is applied
    CONFIGURATION = "configuration"  # in force once this configuration, or a newer one, was applied


class MissingDispatcher(NamedTuple):
    """A dispatcher that does not have a change in force."""

    dispatcher: str
    version: Version  # what it has in force, of the requested kind
    last_heard_us: int
    is_connected: bool
    refused: str  # why it refused the requested configuration; empty if it did not


class SilentDispatcher(NamedTuple):
    """A dispatcher that counts as connected but has sent nothing lately: it may be frozen."""

    dispatcher: str
    last_heard_us: int


class ChangeStatus(NamedTuple):
    """A change is in force at `total` dispatchers, less those in `missing`."""

    version: Version
    total: int
    missing: list[MissingDispatcher]

    @property
    def in_force(self) -> int:
        """Number of dispatchers that have the change in force."""
        return self.total - len(self.missing)


class FleetStatus(NamedTuple):
    """The status of the newest event and of the newest configuration over all dispatchers."""

    events: ChangeStatus
    configuration: ChangeStatus
    connected: int
    silent: list[SilentDispatcher]
