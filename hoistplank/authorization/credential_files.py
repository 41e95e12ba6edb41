"""Atomic reading and writing of the files that hold keys, certificates and revocations."""

from __future__ import annotations

import contextlib
import fcntl
import os
import secrets
import stat
from collections.abc import Iterator
from pathlib import Path

from hoistplank.authorization.errors import AuthorizationError

MAX_FILE_BYTES = 1_048_576
PRIVATE_MODE = 0o600
PRIVATE_FOLDER_MODE = 0o700
OPEN_TO_OTHERS = 0o077  # mode bits of group and others
LOCK_FILE = ".lock"


class CredentialFileError(AuthorizationError):
    """A file that can't be used; the text has its path and the reason, never its contents."""


def read_file(path: Path, *, private: bool = False) -> bytes:
    """Returns a file's bytes; raises CredentialFileError. A private file must not be accessible to group and
    others."""
    try:
        with path.open("rb") as file:
            status = os.fstat(file.fileno())
            if not stat.S_ISREG(status.st_mode):
                raise CredentialFileError(f"{path}: is not a regular file")
            # A private key that other users of the machine can read is compromised.
            if private and status.st_mode & OPEN_TO_OTHERS:
                mode = f"{status.st_mode & 0o777:04o}"
                raise CredentialFileError(
                    f"{path}: mode {mode} gives others access to a private key, expected 0600"
                )
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise CredentialFileError(f"{path}: can't be read ({error.strerror})") from None
    if len(data) > MAX_FILE_BYTES:
        raise CredentialFileError(f"{path}: is longer than {MAX_FILE_BYTES} bytes")
    return data


def write_file(path: Path, data: bytes, mode: int = PRIVATE_MODE) -> None:
    """Replaces a file atomically; raises CredentialFileError.

    A reader must never find half a file: the data goes to a temporary file, which is flushed and renamed, and
    then the folder is flushed.
    """
    temporary = path.with_name(f".{path.name}.{secrets.token_hex(4)}")
    try:
        _write_flushed(temporary, data, mode)
        temporary.replace(path)
    except OSError as error:
        with contextlib.suppress(OSError):
            temporary.unlink()
        raise CredentialFileError(f"{path}: can't be written ({error.strerror})") from None
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def _write_flushed(path: Path, data: bytes, mode: int) -> None:
    file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, mode)
    try:
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(file, remaining) :]
        os.fsync(file)
    finally:
        os.close(file)


@contextlib.contextmanager
def locked(folder: Path) -> Iterator[None]:
    """Holds the folder's lock: of two commands that change a key ring or revocation file at once, the second
    waits, so that neither change is lost."""
    folder.mkdir(parents=True, exist_ok=True, mode=PRIVATE_FOLDER_MODE)
    file = os.open(folder / LOCK_FILE, os.O_RDWR | os.O_CREAT, PRIVATE_MODE)
    try:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield
    finally:
        os.close(file)
