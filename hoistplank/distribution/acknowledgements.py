"""Which dispatcher has which version in force, and since when each was heard.

Decision logic: no I/O, no clock; times are whole microseconds. An acknowledgement counts for the incarnation
(the start of a dispatcher) that sent it. Within one, what is in force never goes back, so that
acknowledgements that are lost, doubled or come out of order never count for what was not applied; a new
incarnation begins with what it says.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from hoistplank.distribution.messages import Acknowledgement, AcknowledgementRow, FollowRequest
from hoistplank.distribution.versions import NOTHING, Version

MAX_DISPATCHERS = 8_192


class Life(enum.Enum):
    """The answer to a dispatcher that wants to follow."""

    ACCEPTED = "accepted"
    EARLIER = "earlier"  # a newer start of this dispatcher is known
    NO_ROOM = "no room"  # more dispatchers than the table holds


class ChangeKind(enum.Enum):
    """What a version is asked for."""

    EVENT = "event"  # a purge or a change of hosts: in force once all up to its version is applied
    CONFIGURATION = "configuration"  # in force once this configuration, or a newer one, was taken up


class Missing(NamedTuple):
    """A dispatcher that does not have a change in force."""

    dispatcher: str
    version: Version  # what it has in force, of the kind that is asked for
    heard_us: int  # when it was last heard
    is_connected: bool
    refused: str  # why it refused the configuration that is asked for; empty if it did not


class Unheard(NamedTuple):
    """A dispatcher that counts as connected, but has not been heard lately: it may be frozen."""

    dispatcher: str
    heard_us: int


class ChangeStatus(NamedTuple):
    """In force at `total` less those missing, who are named."""

    version: Version
    total: int
    missing: list[Missing]

    @property
    def in_force(self) -> int:
        return self.total - len(self.missing)


class FleetStatus(NamedTuple):
    """How far the fleet has come with the newest event and the newest configuration."""

    events: ChangeStatus
    configuration: ChangeStatus
    connected: int
    unheard: list[Unheard]


class _Progress(NamedTuple):
    """The parts of an acknowledgement none of which ever goes back."""

    version: Version
    configuration: Version
    decided: Version  # the newest configuration that was taken up or refused

    @classmethod
    def of(cls, in_force: Acknowledgement) -> _Progress:
        configuration = in_force.configuration.to_version()
        refused = in_force.refusal.version.to_version() if in_force.refusal is not None else NOTHING
        return cls(in_force.version.to_version(), configuration, max(configuration, refused))

    def is_behind(self, other: _Progress) -> bool:
        return any(mine < theirs for mine, theirs in zip(self, other, strict=True))


@dataclass(slots=True)
class _Row:
    """What is known of one dispatcher."""

    incarnation: int
    region: str
    heard_us: int
    replica: str
    in_force: Acknowledgement
    progress: _Progress  # of `in_force`
    connections: int = 0  # to this replica: one that has ended may be noticed after the next has begun
    peer: str = ""  # the replica that told of it as connected there
    revision: int = 0

    @property
    def is_connected(self) -> bool:
        return self.connections > 0 or bool(self.peer)

    def advance(self, in_force: Acknowledgement) -> bool:
        """Takes an acknowledgement of this incarnation; False, and nothing changes, if any part went back."""
        progress = _Progress.of(in_force)
        if progress.is_behind(self.progress):
            return False
        self.in_force, self.progress = in_force, progress
        return True


class AcknowledgementTable:
    """All dispatchers heard by this replica or by its peers; `retention_us`: how long one is kept unheard."""

    def __init__(self, retention_us: int, most: int = MAX_DISPATCHERS) -> None:
        self.retention_us, self.most = retention_us, most
        self.revision = 0  # rises with each change of a dispatcher that this replica itself heard
        self._rows: dict[str, _Row] = {}
        self._own = OrderedDict[str, None]()  # heard by this replica itself, in order of their row's revision

    def __len__(self) -> int:
        return len(self._rows)

    # What is heard.

    def followed(self, now_us: int, replica: str, follow: FollowRequest) -> Life:
        """A dispatcher has connected to `replica`, which is this one."""
        row = self._rows.get(follow.dispatcher)
        if row is not None and follow.incarnation < row.incarnation:
            return Life.EARLIER
        if row is None and not self._has_room():
            return Life.NO_ROOM
        if row is None or follow.incarnation > row.incarnation:
            row = _new_row(
                follow.incarnation, follow.region, now_us, replica, Acknowledgement(follow.resume_at)
            )
            self._rows[follow.dispatcher] = row
        else:
            row.advance(msgspec.structs.replace(row.in_force, version=follow.resume_at))
        row.connections, row.replica, row.region = row.connections + 1, replica, follow.region
        row.peer = ""
        row.heard_us = max(row.heard_us, now_us)
        self._changed(follow.dispatcher, row)
        return Life.ACCEPTED

    def incarnation(self, dispatcher: str) -> int | None:
        """The newest start of a dispatcher that is known."""
        row = self._rows.get(dispatcher)
        return row.incarnation if row is not None else None

    def acknowledged(self, now_us: int, dispatcher: str, incarnation: int, in_force: Acknowledgement) -> bool:
        """What a dispatcher says to this replica; False, and nothing changes, if it is unknown, of another
        incarnation, or older than what stands."""
        row = self._rows.get(dispatcher)
        if row is None or row.incarnation != incarnation or not row.advance(in_force):
            return False
        row.heard_us = max(row.heard_us, now_us)
        self._changed(dispatcher, row)
        return True

    def left(self, now_us: int, dispatcher: str, incarnation: int) -> None:
        """A connection of this dispatcher to this replica has ended."""
        row = self._rows.get(dispatcher)
        if row is not None and row.incarnation == incarnation and row.connections > 0:
            row.connections -= 1
            self._changed(dispatcher, row)

    def merged(self, now_us: int, replica: str, told: AcknowledgementRow) -> bool:
        """What a peer says of a dispatcher; the higher incarnation wins, then what is further in force.

        False if it is of an earlier incarnation or there is no room.
        """
        row = self._rows.get(told.dispatcher)
        if row is None and not self._has_room():
            return False
        if row is not None and told.incarnation < row.incarnation:
            return False
        heard_us = now_us - told.heard_ago_us
        if row is None or told.incarnation > row.incarnation:
            row = _new_row(told.incarnation, told.region, heard_us, replica, told.acknowledgement)
            self._rows[told.dispatcher] = row
            self._own.pop(told.dispatcher, None)
        else:
            row.advance(told.acknowledgement)
        row.heard_us = max(row.heard_us, heard_us)
        if told.connected:
            row.peer, row.region = replica, told.region
            row.replica = row.replica if row.connections else replica
        elif row.peer == replica:
            row.peer = ""
        return True

    def peer_lost(self, replica: str) -> None:
        """A peer is not heard any more: who was connected there is not known to be."""
        for row in self._rows.values():
            if row.peer == replica:
                row.peer = ""

    def _changed(self, dispatcher: str, row: _Row) -> None:
        self.revision += 1
        row.revision = self.revision
        self._own[dispatcher] = None
        self._own.move_to_end(dispatcher)

    def _has_room(self) -> bool:
        return len(self._rows) < self.most

    # What is told.

    def rows_since(self, now_us: int, revision: int) -> list[AcknowledgementRow]:
        """For a peer: the rows of this replica's own dispatchers that changed after `revision`, oldest
        first.
        """
        found = []
        for dispatcher in reversed(self._own):
            row = self._rows[dispatcher]
            if row.revision <= revision:
                break
            found.append(self._told(now_us, dispatcher, row))
        found.reverse()
        return found

    def _told(self, now_us: int, dispatcher: str, row: _Row) -> AcknowledgementRow:
        heard_ago_us = max(0, now_us - row.heard_us)
        connected = row.connections > 0
        return AcknowledgementRow(
            dispatcher, row.incarnation, row.in_force, row.region, connected, heard_ago_us
        )

    def in_force(self, now_us: int, version: Version, kind: ChangeKind = ChangeKind.EVENT) -> ChangeStatus:
        """Who has a change in force. A configuration that was refused is not, nor its event."""
        found = (_missing(dispatcher, row, version, kind) for dispatcher, row in self._rows.items())
        return ChangeStatus(version, len(self._rows), [missing for missing in found if missing is not None])

    def fleet(self, now_us: int, newest: Version, configuration: Version, silence_us: int) -> FleetStatus:
        """The same for the newest event and the newest configuration; unheard: for longer than
        `silence_us`.
        """
        return FleetStatus(
            self.in_force(now_us, newest),
            self.in_force(now_us, configuration, ChangeKind.CONFIGURATION),
            sum(row.is_connected for row in self._rows.values()),
            [
                Unheard(dispatcher, row.heard_us)
                for dispatcher, row in self._rows.items()
                if row.is_connected and now_us - row.heard_us > silence_us
            ],
        )

    def connected_to(self, replica: str) -> int:
        """How many dispatchers follow `replica`."""
        return sum(row.is_connected and row.replica == replica for row in self._rows.values())

    def connected(self) -> int:
        """How many dispatchers follow any replica."""
        return sum(row.is_connected for row in self._rows.values())

    def forgotten(self, now_us: int) -> list[str]:
        """Drops dispatchers that are not connected here and were unheard for the retention; returns them."""
        dropped = [
            dispatcher
            for dispatcher, row in self._rows.items()
            if not row.connections and now_us - row.heard_us > self.retention_us
        ]
        for dispatcher in dropped:
            del self._rows[dispatcher]
            self._own.pop(dispatcher, None)
        return dropped


def _new_row(incarnation: int, region: str, heard_us: int, replica: str, in_force: Acknowledgement) -> _Row:
    return _Row(incarnation, region, heard_us, replica, in_force, _Progress.of(in_force))


def _missing(dispatcher: str, row: _Row, version: Version, kind: ChangeKind) -> Missing | None:
    """What a dispatcher holds in place of a change, or None where it has it in force."""
    progress, refused, reason = row.progress, row.in_force.refusal, ""
    held = progress.configuration if kind is ChangeKind.CONFIGURATION else progress.version
    if refused is not None and refused.version.to_version() == version:
        reason = refused.reason
    elif held >= version:
        return None
    return Missing(dispatcher, held, row.heard_us, row.is_connected, reason)
