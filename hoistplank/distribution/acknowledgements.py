"""Table of the version that each dispatcher has in force, and of when each last sent something.

Decision logic: no I/O, no clock; times are whole microseconds. An acknowledgement counts for the incarnation
(the start of a dispatcher) that sent it. Within an incarnation, what is in force never decreases, so
acknowledgements that are lost, duplicated or reordered never count a version that was not applied; a new
incarnation starts from the version that it reports.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from dataclasses import dataclass

import msgspec

from hoistplank.distribution.change_status import (
    ChangeKind,
    ChangeStatus,
    FleetStatus,
    MissingDispatcher,
    SilentDispatcher,
)
from hoistplank.distribution.dispatcher_progress import DispatcherProgress
from hoistplank.distribution.messages import Acknowledgement, AcknowledgementRow, FollowRequest
from hoistplank.distribution.versions import Version

MAX_DISPATCHERS = 8_192


class Registration(enum.Enum):
    """The outcome of registering a dispatcher that wants to follow."""

    ACCEPTED = "accepted"
    STALE_INCARNATION = "earlier"  # a newer start of this dispatcher is known
    TABLE_FULL = "no room"  # more dispatchers than the table holds


@dataclass(slots=True)
class _Row:
    """State of one dispatcher, as known to this replica."""

    incarnation: int
    region: str
    last_heard_us: int
    replica: str
    progress: DispatcherProgress
    connections: int = 0  # to this replica; an ended one may be noticed only after the next has begun
    peer: str = ""  # the replica that reported the dispatcher as connected there
    revision: int = 0

    @property
    def is_connected(self) -> bool:
        return self.connections > 0 or bool(self.peer)


class AcknowledgementTable:
    """The progress of all dispatchers known to this replica, directly or through its peers."""

    def __init__(self, retention_us: int, max_dispatchers: int = MAX_DISPATCHERS) -> None:
        """`retention_us`: how long a dispatcher that is not connected here is kept after its last message."""
        self.retention_us = retention_us
        self.max_dispatchers = max_dispatchers
        self.revision = 0  # increases with each change of a row that this replica itself received
        self._rows: dict[str, _Row] = {}
        self._own = OrderedDict[str, None]()  # dispatchers of this replica, in order of their rows' revisions

    def __len__(self) -> int:
        return len(self._rows)

    def register(self, now_us: int, replica: str, request: FollowRequest) -> Registration:
        """Counts a new connection of a dispatcher to this replica, whose name is `replica`.

        `disconnect` is to be called once for each accepted connection.
        """
        row = self._rows.get(request.dispatcher)
        if row is not None and request.incarnation < row.incarnation:
            return Registration.STALE_INCARNATION
        if row is None and self._is_full():
            return Registration.TABLE_FULL
        if row is None or request.incarnation > row.incarnation:
            progress = DispatcherProgress(Acknowledgement(request.resume_at))
            row = _Row(request.incarnation, request.region, now_us, replica, progress)
            self._rows[request.dispatcher] = row
        else:
            resumed = msgspec.structs.replace(row.progress.acknowledgement, version=request.resume_at)
            row.progress.advance(resumed)
        row.connections += 1
        row.replica = replica
        row.region = request.region
        row.peer = ""
        row.last_heard_us = max(row.last_heard_us, now_us)
        self._mark_changed(request.dispatcher, row)
        return Registration.ACCEPTED

    def latest_incarnation(self, dispatcher: str) -> int | None:
        """Returns the newest known incarnation of a dispatcher, None if the dispatcher is unknown."""
        row = self._rows.get(dispatcher)
        return row.incarnation if row is not None else None

    def acknowledge(
        self, now_us: int, dispatcher: str, incarnation: int, acknowledgement: Acknowledgement
    ) -> bool:
        """Records an acknowledgement that a dispatcher sent to this replica.

        Returns False, changing nothing, if the dispatcher is unknown, the incarnation is another, or the
        acknowledgement is older than the recorded one.
        """
        row = self._rows.get(dispatcher)
        if row is None or row.incarnation != incarnation or not row.progress.advance(acknowledgement):
            return False
        row.last_heard_us = max(row.last_heard_us, now_us)
        self._mark_changed(dispatcher, row)
        return True

    def disconnect(self, dispatcher: str, incarnation: int) -> None:
        """Removes one connection of this dispatcher to this replica."""
        row = self._rows.get(dispatcher)
        if row is not None and row.incarnation == incarnation and row.connections > 0:
            row.connections -= 1
            self._mark_changed(dispatcher, row)

    def merge_peer_row(self, now_us: int, replica: str, reported: AcknowledgementRow) -> bool:
        """Merges a row reported by the peer `replica`: the higher incarnation wins, then what is newer.

        Returns False if the row is of an earlier incarnation or the table is full.
        """
        row = self._rows.get(reported.dispatcher)
        if row is None and self._is_full():
            return False
        if row is not None and reported.incarnation < row.incarnation:
            return False
        heard_us = now_us - reported.heard_ago_us
        if row is None or reported.incarnation > row.incarnation:
            progress = DispatcherProgress(reported.acknowledgement)
            row = _Row(reported.incarnation, reported.region, heard_us, replica, progress)
            self._rows[reported.dispatcher] = row
            self._own.pop(reported.dispatcher, None)
        else:
            row.progress.advance(reported.acknowledgement)
        row.last_heard_us = max(row.last_heard_us, heard_us)
        if reported.connected:
            row.peer = replica
            row.region = reported.region
            row.replica = row.replica if row.connections else replica
        elif row.peer == replica:
            row.peer = ""
        return True

    def mark_peer_lost(self, replica: str) -> None:
        """Marks the dispatchers of a lost peer as no longer known to be connected."""
        for row in self._rows.values():
            if row.peer == replica:
                row.peer = ""

    def _mark_changed(self, dispatcher: str, row: _Row) -> None:
        self.revision += 1
        row.revision = self.revision
        self._own[dispatcher] = None
        self._own.move_to_end(dispatcher)

    def _is_full(self) -> bool:
        return len(self._rows) >= self.max_dispatchers

    def rows_since(self, now_us: int, revision: int) -> list[AcknowledgementRow]:
        """Returns the rows of own dispatchers that changed after `revision`, oldest change first."""
        changed = []
        for dispatcher in reversed(self._own):
            row = self._rows[dispatcher]
            if row.revision <= revision:
                break
            changed.append(_report(now_us, dispatcher, row))
        changed.reverse()
        return changed

    def change_status(self, version: Version, kind: ChangeKind = ChangeKind.EVENT) -> ChangeStatus:
        """Counts the dispatchers that have a change in force, and lists the others.

        A refused configuration is not in force, nor is its event.
        """
        statuses = (_missing(dispatcher, row, version, kind) for dispatcher, row in self._rows.items())
        missing = [status for status in statuses if status is not None]
        return ChangeStatus(version, len(self._rows), missing)

    def fleet_status(
        self, now_us: int, newest: Version, configuration: Version, silence_us: int
    ) -> FleetStatus:
        """Returns the status of the newest event and of the newest configuration over all dispatchers.

        Connected dispatchers that have sent nothing for longer than `silence_us` are listed as silent.
        """
        return FleetStatus(
            self.change_status(newest),
            self.change_status(configuration, ChangeKind.CONFIGURATION),
            self.connected_count(),
            [
                SilentDispatcher(dispatcher, row.last_heard_us)
                for dispatcher, row in self._rows.items()
                if row.is_connected and now_us - row.last_heard_us > silence_us
            ],
        )

    def connected_count_at(self, replica: str) -> int:
        """Returns the number of dispatchers that follow `replica`."""
        return sum(row.is_connected and row.replica == replica for row in self._rows.values())

    def connected_count(self) -> int:
        """Returns the number of dispatchers that follow any replica."""
        return sum(row.is_connected for row in self._rows.values())

    def remove_expired(self, now_us: int) -> list[str]:
        """Removes dispatchers not connected here and silent for the retention; returns their names."""
        expired = [
            dispatcher
            for dispatcher, row in self._rows.items()
            if not row.connections and now_us - row.last_heard_us > self.retention_us
        ]
        for dispatcher in expired:
            del self._rows[dispatcher]
            self._own.pop(dispatcher, None)
        return expired


def _report(now_us: int, dispatcher: str, row: _Row) -> AcknowledgementRow:
    """Returns a row as it is reported to peers."""
    return AcknowledgementRow(
        dispatcher,
        row.incarnation,
        row.progress.acknowledgement,
        row.region,
        connected=row.connections > 0,
        heard_ago_us=max(0, now_us - row.last_heard_us),
    )


def _missing(dispatcher: str, row: _Row, version: Version, kind: ChangeKind) -> MissingDispatcher | None:
    """Returns what a dispatcher has in force instead of a change; None if it has the change in force."""
    held = row.progress.held(kind)
    refusal = row.progress.refusal_of(version)
    if refusal is None and held >= version:
        return None
    reason = refusal.reason if refusal is not None else ""
    return MissingDispatcher(dispatcher, held, row.last_heard_us, row.is_connected, reason)
