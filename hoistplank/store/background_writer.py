"""The only thread that writes state. Callers submit a state or a change in microseconds and never wait for
the disk."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass

from hoistplank.store.errors import FolderError, StoreError
from hoistplank.store.folder import StateFolder
from hoistplank.store.schemas import PersistedChange, PersistedList, apply_changes, merge_changes

# Between writes. Changes submitted meanwhile are merged, so that a flapping list causes few writes.
WRITE_INTERVAL_S = 0.2
FAILURE_RETRY_INTERVAL_S = 1.0
LOCK_RETRY_INTERVAL_S = FAILURE_RETRY_INTERVAL_S / 2
STOP_TIMEOUT_S = 1.0


@dataclass(slots=True)
class WriterStatus:
    """The writer's progress and failures; read from any thread, written by the writing thread only."""

    persisted_us: int = 0  # `last_contact_us` of the newest state on the disk
    writes: int = 0
    failures: int = 0
    error: str = ""  # text of the current failure, empty for none


@dataclass(frozen=True, slots=True)
class _PendingWrite:
    """One write: the whole `state` as a snapshot, or `change` appended to what the disk already has."""

    state: PersistedList
    change: PersistedChange | None
    as_snapshot: bool


class BackgroundWriter:
    """Holds at most one whole state and one merged change; superseded ones are never written.

    `report` is called in the writing thread with a line of text, once when a failure begins and once when it
    is over.
    """

    def __init__(
        self, folder: StateFolder, report: Callable[[str], None], interval_s: float = WRITE_INTERVAL_S
    ) -> None:
        self.folder = folder
        self.status = WriterStatus()
        self._report = report
        self._interval_s = interval_s
        self._state: PersistedList | None = None  # the state after all pending writes
        self._snapshot_pending = False  # True if it is written next as a snapshot
        self._pending_change: PersistedChange | None = None
        self._condition = threading.Condition()
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name="state writer", daemon=True)

    def start(self, state: PersistedList | None) -> None:
        """Starts the thread; `state` is the one already on disk."""
        self._state = state
        self._thread.start()

    def replace(self, state: PersistedList) -> None:
        """Submits a whole state, which replaces everything submitted before."""
        with self._condition:
            self._state, self._snapshot_pending, self._pending_change = state, True, None
            self._condition.notify()

    def add(self, change: PersistedChange) -> None:
        """Submits a change to the last state; dropped if there is no state yet."""
        with self._condition:
            if self._state is None:
                return
            pending = self._pending_change
            self._pending_change = change if pending is None else merge_changes(pending, change)
            self._condition.notify()

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> None:
        """Writes what is pending and ends the thread; waits for that for `timeout_s` at most."""
        with self._condition:
            self._stopping = True
            self._condition.notify()
        self._thread.join(timeout_s)

    def _has_pending(self) -> bool:
        return self._snapshot_pending or self._pending_change is not None

    def _run(self) -> None:
        if not self._acquire_lock():
            return
        while (pending := self._next_write()) is not None:
            try:
                self._write(pending)
            except (OSError, StoreError) as error:
                # Every failed write is retried: if the thread ended, no later state would be written.
                self._write_failed(pending.state, str(error))
            else:
                self._write_succeeded(pending.state)

    def _acquire_lock(self) -> bool:
        """Waits for the folder's lock; returns False if the writer is stopped first.

        After a quick restart the old process may go on writing while it drains. Until it ends nothing is
        written here; then a whole state is written, because what the old process wrote is not known here.
        """
        reported = ""
        while True:
            try:
                self.folder.lock()
                generation = max(self.folder.generations(), default=0)
            except FolderError as error:
                self.folder.close()
                if str(error) != reported:
                    reported = str(error)
                    self._report(reported)
                with self._condition:
                    if self._condition.wait_for(lambda: self._stopping, LOCK_RETRY_INTERVAL_S):
                        return False
                continue
            with self._condition:
                self._snapshot_pending |= self._state is not None and bool(reported)
            self.folder.generation = generation
            return True

    def _next_write(self) -> _PendingWrite | None:
        """Waits for a pending write and returns it; None once stopped with nothing pending."""
        with self._condition:
            self._condition.wait_for(lambda: self._stopping or self._has_pending())
            if not self._has_pending():
                return None
            state, change, as_snapshot = self._state, self._pending_change, self._snapshot_pending
            self._snapshot_pending, self._pending_change = False, None
        assert state is not None
        if change is not None:
            state = apply_changes(state, change)
        return _PendingWrite(state, change, as_snapshot)

    def _write(self, pending: _PendingWrite) -> None:
        if pending.as_snapshot or self.folder.needs_snapshot():
            self.folder.snapshot(pending.state)
        elif pending.change is not None:
            self.folder.append(pending.change)

    def _write_succeeded(self, state: PersistedList) -> None:
        with self._condition:
            if not self._snapshot_pending:
                self._state = state  # no newer state was submitted; newer changes are still pending
            self.status.persisted_us = state.last_contact_us
            self.status.writes += 1
            if self.status.error:
                self._report("state is written again")
                self.status.error = ""
            if not self._stopping:
                self._condition.wait_for(lambda: self._stopping, self._interval_s)

    def _write_failed(self, state: PersistedList, error: str) -> None:
        """Schedules a snapshot as the next write, because the change that failed is missing in the log."""
        with self._condition:
            if not self._snapshot_pending:
                self._state, self._snapshot_pending = state, True
            self.status.failures += 1
            if error != self.status.error:
                self.status.error = error
                self._report(f"state can't be written: {error}")
            if self._stopping:
                self._snapshot_pending, self._pending_change = False, None
                return
            self._condition.wait_for(lambda: self._stopping, FAILURE_RETRY_INTERVAL_S)
