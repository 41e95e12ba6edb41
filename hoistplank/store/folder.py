"""The folder of a persisted state: its lock, snapshots in generations, and a log of changes beside each.

`state_reader` defines the file names and reads the files. Everything here may wait for the disk, so it is
called from the writing thread, and once at the start.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
from collections.abc import Callable
from pathlib import Path

from hoistplank.store import schemas
from hoistplank.store.errors import FolderError, FolderLockedError
from hoistplank.store.schemas import PersistedChange, PersistedList
from hoistplank.store.state_reader import LOG, SNAPSHOT, LoadResult, StateReader, file_of, list_generations

RETAINED_GENERATIONS = 3
MAX_LOG_BYTES = 1 << 20  # of changes; beyond it a new snapshot is written
FOLDER_MODE, FILE_MODE = 0o700, 0o600


def flush(file: int) -> None:
    """Flushes a file descriptor to the disk."""
    os.fsync(file)


class StateFolder:
    """A state folder, written by one process at a time. `sync` flushes a file; a test double may be slow or
    fail."""

    def __init__(self, path: Path, sync: Callable[[int], None] = flush) -> None:
        self.path = path
        self.sync = sync
        self.generation = 0
        self.log_bytes = 0
        self.written_bytes = 0
        self._log: int | None = None
        self._lock: int | None = None

    def lock(self) -> None:
        """Takes the folder's lock. Raises FolderError if the folder or its lock can't be created,
        FolderLockedError if another process holds it."""
        try:
            self.path.mkdir(parents=True, exist_ok=True, mode=FOLDER_MODE)
            self._lock = os.open(self.path / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        except OSError as error:
            raise FolderError(self.path, f"can't be written to ({error.strerror})") from error
        try:
            # Without the lock two dispatchers writing one state would each truncate the other's changes.
            self.lock_descriptor(self._lock)
        except BlockingIOError as error:
            os.close(self._lock)
            self._lock = None
            raise FolderLockedError(self.path) from error
        except OSError as error:
            os.close(self._lock)
            self._lock = None
            raise FolderError(self.path, f"can't be locked ({error.strerror})") from error

    def lock_descriptor(self, file: int) -> None:
        """Locks a file descriptor against other processes. Raises OSError, or BlockingIOError if one of them
        holds the lock."""
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)

    def generations(self) -> dict[int, set[str]]:
        """Returns the generations in the folder, each with the suffixes of its files; raises FolderError."""
        return list_generations(self.path)

    def load(self, *, repair: bool = True) -> LoadResult:
        """Loads the newest whole state. With `repair`, unreadable files are renamed and torn tails truncated.
        Raises FolderError."""
        result = StateReader(self.path, repair=repair).load()
        self.generation = result.generation
        return result

    def snapshot(self, state: PersistedList) -> None:
        """Atomically writes a new generation and removes old ones. Raises OSError."""
        generation = self.generation + 1
        file = file_of(self.path, generation, SNAPSHOT)
        data = schemas.encode_record(state)
        temporary = self.path / f".{file.name}"
        handle = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, FILE_MODE)
        try:
            self._write(handle, data)
            self.sync(handle)
        finally:
            os.close(handle)
        temporary.replace(file)
        self._sync_folder()
        self.close_log()
        self.generation = generation
        self.log_bytes = 0
        self._remove_old_generations()

    def append(self, change: PersistedChange) -> None:
        """Appends a change to this generation's log. Raises OSError after truncating a partly written
        change."""
        if self._log is None:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
            self._log = os.open(file_of(self.path, self.generation, LOG), flags, FILE_MODE)
            self.log_bytes = os.fstat(self._log).st_size
        data = schemas.encode_record(change)
        try:
            self._write(self._log, data)
            self.sync(self._log)
        except OSError:
            # A partial frame in the middle of the log would make every frame after it unreadable.
            with contextlib.suppress(OSError):
                os.ftruncate(self._log, self.log_bytes)
            raise
        self.log_bytes += len(data)

    def needs_snapshot(self) -> bool:
        """Returns True if there is no generation yet or the log has grown past `MAX_LOG_BYTES`."""
        return self.generation == 0 or self.log_bytes > MAX_LOG_BYTES

    def _write(self, handle: int, data: bytes) -> None:
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(handle, rest) :]
        self.written_bytes += len(data)

    def _sync_folder(self) -> None:
        handle = os.open(self.path, os.O_RDONLY | os.O_CLOEXEC)
        try:
            self.sync(handle)
        finally:
            os.close(handle)

    def _remove_old_generations(self) -> None:
        """Removes all but the last RETAINED_GENERATIONS of any format; renamed damaged files stay."""
        for generation, suffixes in self.generations().items():
            if generation > self.generation - RETAINED_GENERATIONS:
                continue
            for suffix in suffixes:
                with contextlib.suppress(OSError):
                    file_of(self.path, generation, suffix).unlink()

    def close_log(self) -> None:
        """Closes the log of this generation if it is open."""
        if self._log is not None:
            os.close(self._log)
            self._log = None

    def close(self) -> None:
        """Closes the log and releases the lock."""
        self.close_log()
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None
