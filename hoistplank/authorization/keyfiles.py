"""Files that callers' keys live in: key sets (RFC 7517), private keys, revocations. Read whole or refused;
written whole.

A ring is a folder: `ring.json` is the public key set, with each key's state beside it as `state` and `since`
(a member that
other readers let pass, RFC 7517 section 4), and `KID.pem` its private key, mode 0600.
"""

from __future__ import annotations

import binascii
import contextlib
import json
import os
import secrets
import stat
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec, ed25519
from cryptography.hazmat.primitives.asymmetric.utils import encode_dss_signature
from joserfc import jwt
from joserfc.errors import JoseError
from joserfc.jwk import ECKey, OKPKey

from hoistplank.authorization import key_lifecycle as rings
from hoistplank.authorization.jws import KID
from hoistplank.authorization.key_lifecycle import ACCEPTED, STATES, BadMove, Entry
from hoistplank.authorization.revocations import BadRevocation, Revocation
from hoistplank.authorization.token_cache import Key, KeySet

MOST_BYTES = 1_048_576
MOST_KEYS = 200
RING = "ring.json"
JWK = dict[str, Any]  # RFC 7517 section 4


class BadFile(Exception):
    """A file that can't be used; its text names the file and says why, never what stands in it."""


def read_bytes(path: Path, private: bool = False) -> bytes:
    """A file's bytes; raises BadFile. A private one must be closed to group and others."""
    try:
        with path.open("rb") as file:
            told = os.fstat(file.fileno())
            if not stat.S_ISREG(told.st_mode):
                raise BadFile(f"{path}: is no plain file")
            # Danger: a key that others on the machine can read is theirs too.
            if private and told.st_mode & 0o077:
                raise BadFile(
                    f"{path}: mode {told.st_mode & 0o777:04o} lets others at a private key, expected 0600"
                )
            data = file.read(MOST_BYTES + 1)
    except OSError as wrong:
        raise BadFile(f"{path}: can't be read ({wrong.strerror})") from None
    if len(data) > MOST_BYTES:
        raise BadFile(f"{path}: is longer than {MOST_BYTES} bytes")
    return data


def write_whole(path: Path, data: bytes, mode: int = 0o600) -> None:
    """Danger: a reader between two writes would find half a file. Written beside, flushed, renamed, folder
    flushed."""
    beside = path.with_name(f".{path.name}.{secrets.token_hex(4)}")
    try:
        file = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_EXCL, mode)
        try:
            left = memoryview(data)
            while left:
                left = left[os.write(file, left) :]
            os.fsync(file)
        finally:
            os.close(file)
        beside.replace(path)
    except OSError as wrong:
        with contextlib.suppress(OSError):
            beside.unlink()
        raise BadFile(f"{path}: can't be written ({wrong.strerror})") from None
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def _es256(public: ec.EllipticCurvePublicKey) -> Callable[[bytes, bytes], bool]:
    method = ec.ECDSA(hashes.SHA256())

    def check(signed: bytes, signature: bytes) -> bool:
        r, s = int.from_bytes(signature[:32]), int.from_bytes(signature[32:])
        try:
            public.verify(encode_dss_signature(r, s), signed, method)
        except InvalidSignature:
            return False
        return True

    return check


def _eddsa(public: ed25519.Ed25519PublicKey) -> Callable[[bytes, bytes], bool]:
    def check(signed: bytes, signature: bytes) -> bool:
        try:
            public.verify(signature, signed)
        except InvalidSignature:
            return False
        return True

    return check


def _key(path: Path, row: JWK, index: int) -> Key:
    kid = row.get("kid")
    if not isinstance(kid, str) or not KID(kid):
        raise BadFile(f"{path}: key {index} has no 'kid' of 1 to 64 letters, digits, '_' and '-'")
    if "d" in row or row.get("kty") == "oct":
        raise BadFile(f"{path}: key '{kid}' is a private or shared key, expected public ones only")
    want = {("OKP", "Ed25519"): "EdDSA", ("EC", "P-256"): "ES256"}.get(
        (str(row.get("kty")), str(row.get("crv")))
    )
    if want is None or row.get("alg", want) not in (want, "Ed25519" if want == "EdDSA" else want):
        raise BadFile(f"{path}: key '{kid}' is neither of Ed25519 for EdDSA nor of P-256 for ES256")
    bare = {name: row[name] for name in ("kty", "crv", "x", "y") if name in row}
    try:
        if want == "EdDSA":
            okp = OKPKey.import_key(bare)
            public = okp.public_key
            assert isinstance(public, ed25519.Ed25519PublicKey)
            return Key(kid, want, okp.thumbprint(), _eddsa(public))
        curve = ECKey.import_key(bare)
        return Key(kid, want, curve.thumbprint(), _es256(curve.public_key))
    except (JoseError, ValueError, TypeError, AssertionError, binascii.Error) as wrong:
        raise BadFile(f"{path}: key '{kid}' can't be used ({type(wrong).__name__})") from None


def _rows(path: Path, data: bytes) -> list[JWK]:
    try:
        told = msgspec.json.decode(data, type=dict[str, Any])
    except (msgspec.MsgspecError, RecursionError):
        raise BadFile(f"{path}: is no whole JSON object") from None
    rows = told.get("keys")
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise BadFile(f"{path}: has no list 'keys' (RFC 7517 section 5)")
    if len(rows) > MOST_KEYS:
        raise BadFile(f"{path}: has {len(rows)} keys, at most {MOST_KEYS} are taken")
    return rows


def parse_keys(path: Path, data: bytes) -> KeySet:
    """The keys of a set that may check tokens, by their names; raises BadFile."""
    found: dict[str, Key] = {}
    seen: set[str] = set()
    retired: set[str] = set()
    for index, row in enumerate(_rows(path, data)):
        key = _key(path, row, index)
        if key.kid in seen:
            # Danger: which of two keys of one name checks a token would hang on their order.
            raise BadFile(f"{path}: two keys are called '{key.kid}'")
        seen.add(key.kid)
        state = row.get("state", rings.VERIFYING)
        if state not in STATES:
            raise BadFile(f"{path}: key '{key.kid}' has the unknown state '{str(state)[:20]}'")
        if state in ACCEPTED:
            found[key.kid] = key
        elif state == rings.RETIRED:
            retired.add(key.kid)
    return KeySet(found, frozenset(retired))


def parse_revoked(path: Path, data: bytes) -> list[Revocation]:
    """Revocations, a JSON object a line; raises BadFile naming the line."""
    found = []
    for number, line in enumerate(data.splitlines(), 1):
        if not line.strip():
            continue
        try:
            row = msgspec.json.decode(line, type=Revocation, strict=True)
        except (msgspec.MsgspecError, BadRevocation, RecursionError) as wrong:
            raise BadFile(f"{path}:{number}: {wrong}") from None
        found.append(row)
    return found


def append_revocation(path: Path, row: Revocation) -> None:
    """One revocation more in an operators' file, which need not be there yet; raises BadFile."""
    with locked(path.parent):
        held = read_bytes(path) if path.exists() else b""
        if held and not held.endswith(b"\n"):
            held += b"\n"
        write_whole(path, held + msgspec.json.encode(row) + b"\n")


class Ring:
    """An operator's own ring of keys in a folder."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.file = folder, folder / RING

    def _load(self) -> list[JWK]:
        if not self.file.exists():
            return []
        data = read_bytes(self.file)
        parse_keys(self.file, data)
        return _rows(self.file, data)

    def _made(self) -> list[Entry]:
        """Private keys that no set names yet."""
        listed = {row["kid"] for row in self._load()}
        return [
            Entry(path.stem, rings.MADE, int(path.stat().st_mtime * 1e6))
            for path in sorted(self.folder.glob("*.pem"))
            if path.stem not in listed
        ]

    def entries(self) -> tuple[Entry, ...]:
        rows = self._load()
        return (
            *(Entry(row["kid"], row.get("state", rings.VERIFYING), int(row.get("since", 0))) for row in rows),
            *self._made(),
        )

    def make(self, kid: str, algorithm: str, now: int) -> None:
        """A new private key in the folder; nobody knows of it until it is published."""
        if not KID(kid):
            raise BadMove(f"'{kid[:60]}' is no name of 1 to 64 letters, digits, '_' and '-'")
        rings.added(self.entries(), kid, now)
        self.folder.mkdir(parents=True, exist_ok=True, mode=0o700)
        private: ed25519.Ed25519PrivateKey | ec.EllipticCurvePrivateKey
        private = (
            ed25519.Ed25519PrivateKey.generate()
            if algorithm == "EdDSA"
            else ec.generate_private_key(ec.SECP256R1())
        )
        write_whole(self.folder / f"{kid}.pem", private_pem(private))

    def move(self, kid: str, event: str, now: int) -> str:
        """An operator's event on a key, by the table of `ring`; returns the new state."""
        after = {entry.kid: entry for entry in rings.moved(self.entries(), kid, event, now)}
        rows = {row["kid"]: row for row in self._load()}
        if kid not in rows:
            rows[kid] = self._public(kid)
        for name, row in rows.items():
            row["state"], row["since"] = after[name].state, after[name].since_us
        write_whole(self.file, json.dumps({"keys": list(rows.values())}, indent=1).encode() + b"\n", 0o644)
        if after[kid].state == rings.RETIRED:
            # What is retired never signs again: its private half is not kept for someone to find.
            with contextlib.suppress(FileNotFoundError):
                (self.folder / f"{kid}.pem").unlink()
        return after[kid].state

    def _public(self, kid: str) -> JWK:
        key, algorithm = self._private(kid)
        return {"kid": kid, "use": "sig", "alg": algorithm, **key.as_dict(private=False)}

    def _private(self, kid: str) -> tuple[OKPKey | ECKey, str]:
        path = self.folder / f"{kid}.pem"
        data = read_bytes(path, private=True)
        try:
            if isinstance(private_key(path, data), ed25519.Ed25519PrivateKey):
                return OKPKey.import_key(data), "EdDSA"
            return ECKey.import_key(data), "ES256"
        except (JoseError, ValueError) as wrong:
            raise BadFile(f"{path}: can't be used ({type(wrong).__name__})") from None

    def token(self, claims: dict[str, Any], kid: str = "") -> str:
        """A token signed by the ring's signing key; raises BadMove where there is none, BadFile."""
        kid = kid or rings.signer(self.entries())
        key, algorithm = self._private(kid)
        return jwt.encode({"alg": algorithm, "kid": kid, "typ": "JWT"}, claims, key, algorithms=[algorithm])


def private_pem(key: ed25519.Ed25519PrivateKey | ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )


def private_key(path: Path, data: bytes) -> ed25519.Ed25519PrivateKey | ec.EllipticCurvePrivateKey:
    """A private key of the two kinds that are in use; raises BadFile."""
    try:
        key = serialization.load_pem_private_key(data, None)
    except (ValueError, TypeError) as wrong:
        raise BadFile(
            f"{path}: holds no private key in PEM without a password ({type(wrong).__name__})"
        ) from None
    if isinstance(key, ed25519.Ed25519PrivateKey):
        return key
    if isinstance(key, ec.EllipticCurvePrivateKey) and isinstance(key.curve, ec.SECP256R1):
        return key
    raise BadFile(f"{path}: its key is of another kind, expected Ed25519 or P-256")


@contextlib.contextmanager
def locked(folder: Path) -> Iterator[None]:
    """Danger: two commands that change one ring at once would lose one's change. The second waits."""
    import fcntl

    folder.mkdir(parents=True, exist_ok=True, mode=0o700)
    file = os.open(folder / ".lock", os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield
    finally:
        os.close(file)
