"""What a replica answers an operator: how far it has come, and what is in force where."""

from __future__ import annotations

import msgspec

from hoistplank.distribution.change_status import ChangeStatus
from hoistplank.distribution.messages import VersionFields


class MissingRow(msgspec.Struct, frozen=True):
    """A dispatcher that does not have a change in force, and since when it was not heard."""

    dispatcher: str
    version: VersionFields
    heard_ago_us: int
    connected: bool
    refused: str = ""


class ChangeRow(msgspec.Struct, frozen=True):
    """A change is in force at `in_force` of `total` dispatchers; `unreadable`: why no replica hands it on."""

    version: VersionFields
    in_force: int
    total: int
    missing: list[MissingRow]
    unreadable: str = ""


class UnheardRow(msgspec.Struct, frozen=True):
    """A dispatcher that is connected, but has not been heard lately."""

    dispatcher: str
    heard_ago_us: int


class PeerRow(msgspec.Struct, frozen=True):
    """Another replica; `heard_ago_us` None: not connected."""

    name: str
    heard_ago_us: int | None = None


class Load(msgspec.Struct, frozen=True):
    """What a replica holds and carries just now; `bytes`: of a catch-up from nothing."""

    dispatchers: int
    catching_up: int
    waiting: int
    hosts: int
    purges: int
    bytes: int
    cut_off: int  # dispatchers whose connection was ended as they read too slowly


class StatusAnswer(msgspec.Struct, frozen=True):
    """One replica's answer; `change`: of the version that was asked for."""

    replica: str
    region: str
    version: VersionFields
    configuration: VersionFields
    log_heard_ago_us: int | None
    connected: int
    load: Load
    events: ChangeRow
    configurations: ChangeRow
    unheard: list[UnheardRow]
    peers: list[PeerRow]
    change: ChangeRow | None = None


def change_row(now_us: int, status: ChangeStatus) -> ChangeRow:
    """A status as it stands in the answer."""
    missing = [
        MissingRow(
            row.dispatcher,
            VersionFields(*row.version),
            max(0, now_us - row.last_heard_us),
            row.is_connected,
            row.refused,
        )
        for row in status.missing
    ]
    return ChangeRow(VersionFields(*status.version), status.in_force, status.total, missing)
