"""Files that are watched for changes: read in a thread, taken up on the loop, whole or not at all."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

from hoistplank.authorization.errors import AuthorizationError
from hoistplank.operator_configuration.errors import SourceLocation


class FileFingerprint(NamedTuple):
    """What changes when a file does: a whole write makes a new inode even within one tick of its clock."""

    modified_ns: int
    size: int
    inode: int
    mode: int


Fingerprint = tuple[FileFingerprint | int | None, ...]  # a file's, or the errno that reading it gave
Apply = Callable[[int], None]  # takes up what was read; the argument is when the reading began


class Scan(NamedTuple):
    """What a look at a source's files gave: `apply` where they changed and can be used, `error` where they
    changed and can't."""

    fingerprint: Fingerprint
    apply: Apply | None = None
    error: Exception | None = None


@dataclass(slots=True, eq=False)
class CredentialSource:
    """Files that are read together. `read` loads them, in any thread, and returns what takes them up on the
    loop; both may raise AuthorizationError. `location` is where the operator's file names them, and `failed`
    whether what stands there now could not be used."""

    name: str
    location: SourceLocation
    paths: tuple[Path, ...]
    read: Callable[[], Apply]
    last_seen: Fingerprint = ()
    failed: bool = False

    def fingerprint(self) -> Fingerprint:
        """The state of the files now."""
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
        """Reads the files and takes them up; raises AuthorizationError."""
        self.last_seen = self.fingerprint()
        self.read()(now)

    def scan(self) -> Scan:
        """Reads the files if they changed."""
        fingerprint = self.fingerprint()
        if fingerprint == self.last_seen:
            return Scan(fingerprint)
        try:
            return Scan(fingerprint, apply=self.read())
        except (AuthorizationError, OSError) as error:
            return Scan(fingerprint, error=error)

    def accept(self, scan: Scan, read_us: int) -> Exception | None:
        """Takes up what a scan read; returns why it can't be used, or None."""
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
