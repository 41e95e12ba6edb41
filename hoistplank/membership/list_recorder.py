"""Persists the endpoint list of the change log for the next start of this dispatcher."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from hoistplank.membership import list_staleness
from hoistplank.membership.host_records import to_persisted
from hoistplank.membership.host_registry import GONE
from hoistplank.protocol.changelog import Event, Fleet
from hoistplank.store.background_writer import BackgroundWriter
from hoistplank.store.errors import FolderError
from hoistplank.store.folder import StateFolder
from hoistplank.store.schemas import (
    PersistedChange,
    PersistedHost,
    PersistedList,
    PersistedPurge,
    RemovalHistory,
)

CONTACT_INTERVAL_US = 10_000_000  # between records of contact alone; a list's age needs no finer resolution
STOP_TIMEOUT_S = 0.2  # at the end of a graceful shutdown, which doesn't wait longer for a slow disk


@dataclass(slots=True)
class _HostUpdate:
    """The hosts that one event lists, the names of those it removes, and whether it is a whole list."""

    listed: list[PersistedHost] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)
    whole: bool = False


class ListRecorder:
    """Holds the current list and its removal history, and stores both; without a folder nothing is stored.

    Purges are stored for `purge_retention_us`. `report` is called with a line of text in the writing thread.
    """

    def __init__(
        self, folder: Path | None, log_address: str, purge_retention_us: int, report: Callable[[str], None]
    ) -> None:
        self.state: PersistedList | None = None
        self.notes: list[str] = []  # a line for each problem in reading the folder
        self.current: dict[str, PersistedHost] = {}
        self._log_address = log_address
        self._purge_retention_us = purge_retention_us
        self._history = RemovalHistory()
        self._revision = 0
        self._last_contact_us = 0
        self._last_recorded_us = 0
        self._writer: BackgroundWriter | None = None
        if folder is not None:
            self._load(StateFolder(folder), report)

    def _load(self, folder: StateFolder, report: Callable[[str], None]) -> None:
        try:
            result = folder.load(repair=False)
        except FolderError as error:
            self.notes.append(str(error))
        else:
            self.state, self.notes = result.state, result.notes
        self._writer = BackgroundWriter(folder, report)
        if self.state is not None:
            self._history = self.state.history

    def start(self) -> None:
        """Starts the writer."""
        if self._writer is not None:
            self._writer.start(self.state)

    def record_event(self, now: int, event: Event, *, is_first_list: bool) -> list[PersistedHost]:
        """Records an event of the change log; returns the hosts that it names. Removals that the first list
        of a run shows don't count towards the removal rate."""
        self._last_contact_us = now
        hosts = list[PersistedHost]()
        update = _HostUpdate()
        if event.fleet is not None:
            hosts = [to_persisted(row, now, self.current.get(row.uid)) for row in event.fleet.targets]
            update = self._update_hosts(now, event.fleet, hosts, is_first_list=is_first_list)
        purges = list[PersistedPurge]()
        if event.invalidate is not None:
            purge = event.invalidate
            purges.append(PersistedPurge(purge.object, purge.bucket, int(purge.time * 1000)))
        is_whole = update.whole or (event.fleet is not None and self.state is None)
        self._write(now, update, purges, is_whole=is_whole)
        return hosts

    def _update_hosts(
        self, now: int, fleet: Fleet, hosts: list[PersistedHost], *, is_first_list: bool
    ) -> _HostUpdate:
        before = self.current
        listed = {host.uid: host for host in hosts if host.state != GONE}
        if fleet.all:
            removed = [uid for uid in before if uid not in listed]
            self.current = listed
        else:
            removed = [host.uid for host in hosts if host.state == GONE and host.uid in before]
            self.current = {uid: host for uid, host in before.items() if uid not in removed} | listed
        observed_removals = 0 if is_first_list else len(removed)
        self._history = list_staleness.update_history(self._history, now, len(before), observed_removals)
        self._revision = fleet.rev
        return _HostUpdate(list(listed.values()), removed, fleet.all)

    def _write(self, now: int, update: _HostUpdate, purges: list[PersistedPurge], *, is_whole: bool) -> None:
        if self._writer is None:
            return
        self._last_recorded_us = now
        if not is_whole:
            self._writer.add(
                PersistedChange(now, self._revision, update.listed, update.removed, purges, self._history)
            )
            return
        earlier_purges = self.state.purges if self.state is not None else []
        self.state = PersistedList(
            self._log_address,
            now,
            self._revision,
            list(self.current.values()),
            self._history,
            self._recent(earlier_purges + purges, now),
        )
        self._writer.replace(self.state)

    def _recent(self, purges: list[PersistedPurge], now: int) -> list[PersistedPurge]:
        oldest_us = now - self._purge_retention_us
        return [purge for purge in purges if purge.made_us > oldest_us]

    def record_contact(self, now: int) -> None:
        """Records that the change log was reached and has nothing newer."""
        self._last_contact_us = now
        if self._writer is None or self.state is None:
            return
        if now - self._last_recorded_us > CONTACT_INTERVAL_US:
            self._last_recorded_us = now
            self._history = list_staleness.update_history(self._history, now, len(self.current), 0)
            self._writer.add(PersistedChange(now, self._revision, history=self._history))

    def stop(self, *, is_synced: bool) -> None:
        """Writes what is pending, with the last contact if there was one, and stops the writer."""
        if self._writer is None:
            return
        if self.state is not None and is_synced:
            self._writer.add(PersistedChange(self._last_contact_us, self._revision, history=self._history))
        self._writer.stop(STOP_TIMEOUT_S)
