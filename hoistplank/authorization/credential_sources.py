"""Files that are watched for changes: read in a thread, applied on the event loop, as a whole or not at
all."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

from hoistplank.authorization.errors import AuthorizationError
from hoistplank.operator_configuration.errors import SourceLocation


class FileFingerprint(NamedTuple):
    """File attributes that reveal a change: replacing a file makes a new inode even if its modification time
    has not advanced."""

    modified_ns: int
    size: int
    inode: int
    mode: int


Fingerprint = tuple[FileFingerprint | int | None, ...]  # of each file, or the errno of its stat call
Apply = Callable[
    [int], None
]  # applies the contents; the argument is the time (microseconds) at which reading began


class Scan(NamedTuple):
    """The result of checking a source's files: `apply` if they changed and are usable, `error` if they
    changed and are not."""

    fingerprint: Fingerprint
    apply: Apply | None = None
    error: Exception | None = None


@dataclass(slots=True, eq=False)
class CredentialSource:
    """Files that are read together. `read` loads them, in any thread, and returns a function that applies
    them on the event loop; both may raise AuthorizationError. `location` is where the operator file names
    them; `failed` is True if their current contents can't be used."""

    name: str
    location: SourceLocation
    paths: tuple[Path, ...]
    read: Callable[[], Apply]
    last_seen: Fingerprint = ()
    failed: bool = False

    def fingerprint(self) -> Fingerprint:
        """Returns the current fingerprint of the files."""
        found: list[FileFingerprint | int | None] = []
        for path in self.paths:
            try:
                status = os.stat(path)
                found.append(
                    FileFingerprint(status.st_mtime_ns, status.st_size, status.st_ino, status.st_mode)
                )
            except OSError as error:
                found.append(error.errno)
        return tuple(found)

    def load(self, now: int) -> None:
        """Reads the files and applies them; raises AuthorizationError."""
        self.last_seen = self.fingerprint()
        self.read()(now)

    def scan(self) -> Scan:
        """Reads the files if they changed since the last scan that was accepted."""
        fingerprint = self.fingerprint()
        if fingerprint == self.last_seen:
            return Scan(fingerprint)
        try:
            return Scan(fingerprint, apply=self.read())
        except (AuthorizationError, OSError) as error:
            return Scan(fingerprint, error=error)

    def accept(self, scan: Scan, read_us: int) -> Exception | None:
        """Applies the contents that a scan read; returns the error if they can't be used, or None."""
        if scan.fingerprint == self.last_seen:
            return None
        self.last_seen, self.failed = scan.fingerprint, False
        error = scan.error
        if scan.apply is not None:
            try:
                scan.apply(read_us)
            except AuthorizationError as refused:
                error = refused
        self.failed = error is not None
        return error
