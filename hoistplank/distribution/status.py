"""A replica's answer to an operator: its version, and which dispatchers have it in force.

Attribute names follow the code's terms; the names on the wire are given by `msgspec.field(name=…)`.
"""

from __future__ import annotations

import msgspec

from hoistplank.distribution.messages import VersionFields


class MissingRow(msgspec.Struct, frozen=True):
    """A dispatcher that does not have a change in force, and the time since its last message."""

    dispatcher: str
    version: VersionFields
    heard_ago_us: int
    connected: bool
    refused: str = ""  # why it refused the change


class ChangeRow(msgspec.Struct, frozen=True):
    """A change is in force at `in_force` of `total` dispatchers; `unreadable`: why it is not forwarded."""

    version: VersionFields
    in_force: int
    total: int
    missing: list[MissingRow]
    unreadable: str = ""


class SilentRow(msgspec.Struct, frozen=True):
    """A dispatcher that is connected but has sent nothing lately."""

    dispatcher: str
    heard_ago_us: int


class PeerRow(msgspec.Struct, frozen=True):
    """Another replica; `heard_ago_us` is None if it is not connected."""

    name: str
    heard_ago_us: int | None = None


class ReplicaLoad(msgspec.Struct, frozen=True):
    """The load and state size of a replica; `bytes`: the size of a catch-up from nothing."""

    dispatchers: int
    catching_up: int
    waiting: int
    hosts: int
    purges: int
    bytes: int
    slow_readers: int = msgspec.field(name="cut_off")  # connections closed for reading too slowly


class StatusResponse(msgspec.Struct, frozen=True):
    """One replica's answer; `change`: the status of the requested version."""

    replica: str
    region: str
    version: VersionFields
    configuration: VersionFields
    log_heard_ago_us: int | None
    connected: int
    load: ReplicaLoad
    events: ChangeRow
    configurations: ChangeRow
    silent: list[SilentRow] = msgspec.field(name="unheard")
    peers: list[PeerRow]
    change: ChangeRow | None = None
