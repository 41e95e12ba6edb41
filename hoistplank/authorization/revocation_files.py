"""The operators' revocation file: one JSON object per line."""

from __future__ import annotations

from pathlib import Path

import msgspec

from hoistplank.authorization.credential_files import CredentialFileError, locked, read_file, write_file
from hoistplank.authorization.revocations import InvalidRevocationError, Revocation


def parse_revocations(path: Path, data: bytes) -> list[Revocation]:
    """Parses the revocations of a file; raises CredentialFileError with the line number."""
    revocations = []
    for number, line in enumerate(data.splitlines(), 1):
        if not line.strip():
            continue
        try:
            revocation = msgspec.json.decode(line, type=Revocation, strict=True)
        except (msgspec.MsgspecError, InvalidRevocationError, RecursionError) as error:
            raise CredentialFileError(f"{path}:{number}: {error}") from None
        revocations.append(revocation)
    return revocations


def load_revocations(path: Path) -> list[Revocation]:
    """Reads a revocation file; raises CredentialFileError."""
    return parse_revocations(path, read_file(path))


def append_revocation(path: Path, revocation: Revocation) -> None:
    """Adds a revocation to a file, which is created if it does not exist; raises CredentialFileError."""
    with locked(path.parent):
        data = read_file(path) if path.exists() else b""
        if data and not data.endswith(b"\n"):
            data += b"\n"
        write_file(path, data + msgspec.json.encode(revocation) + b"\n")
