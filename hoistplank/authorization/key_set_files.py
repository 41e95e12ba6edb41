"""Key sets in files (RFC 7517): public keys, each with its lifecycle state in the members `state` and
`since`, which other readers ignore (RFC 7517 section 4). A file with any invalid key is rejected as a
whole."""

from __future__ import annotations

import binascii
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.asymmetric import ec, ed25519
from cryptography.hazmat.primitives.asymmetric.utils import encode_dss_signature
from joserfc.errors import JoseError
from joserfc.jwk import ECKey, OKPKey

from hoistplank.authorization.credential_files import CredentialFileError, read_file
from hoistplank.authorization.jws import KEY_ID
from hoistplank.authorization.key_lifecycle import ACCEPTED_STATES, KeyState
from hoistplank.authorization.key_sets import KeySet, VerificationKey

MAX_KEYS = 200
MAX_SHOWN_STATE = 20  # characters of an unknown state in a message
JsonWebKey = dict[str, Any]  # RFC 7517 section 4
ALGORITHM_OF_KIND = {("OKP", "Ed25519"): "EdDSA", ("EC", "P-256"): "ES256"}
# Accepted values of `alg`: RFC 9864 renames EdDSA with this curve to Ed25519.
ALGORITHM_NAMES = {"EdDSA": ("EdDSA", "Ed25519"), "ES256": ("ES256",)}
PUBLIC_MEMBERS = ("kty", "crv", "x", "y")


def es256_verifier(public: ec.EllipticCurvePublicKey) -> Callable[[bytes, bytes], bool]:
    """Returns a function that verifies ES256 signatures (RFC 7518 section 3.4)."""
    method = ec.ECDSA(hashes.SHA256())

    def verify(signed: bytes, signature: bytes) -> bool:
        r, s = int.from_bytes(signature[:32]), int.from_bytes(signature[32:])
        try:
            public.verify(encode_dss_signature(r, s), signed, method)
        except InvalidSignature:
            return False
        return True

    return verify


def eddsa_verifier(public: ed25519.Ed25519PublicKey) -> Callable[[bytes, bytes], bool]:
    """Returns a function that verifies EdDSA signatures with Ed25519 (RFC 8037)."""

    def verify(signed: bytes, signature: bytes) -> bool:
        try:
            public.verify(signature, signed)
        except InvalidSignature:
            return False
        return True

    return verify


def parse_rows(path: Path, data: bytes) -> list[JsonWebKey]:
    """Returns the keys of a key set as JSON objects; raises CredentialFileError."""
    try:
        document = msgspec.json.decode(data, type=dict[str, Any])
    except (msgspec.MsgspecError, RecursionError):
        raise CredentialFileError(f"{path}: is not a valid JSON object") from None
    rows = document.get("keys")
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise CredentialFileError(f"{path}: has no list 'keys' (RFC 7517 section 5)")
    if len(rows) > MAX_KEYS:
        raise CredentialFileError(f"{path}: has {len(rows)} keys, at most {MAX_KEYS} are allowed")
    return rows


def parse_key_set(path: Path, data: bytes) -> KeySet:
    """Returns the keys of a set that may verify tokens, by key ID; raises CredentialFileError."""
    accepted: dict[str, VerificationKey] = {}
    names: set[str] = set()
    retired: set[str] = set()
    for index, row in enumerate(parse_rows(path, data)):
        key = _parse_key(path, row, index)
        if key.kid in names:
            # With two keys of one name, their order would decide which one verifies a token.
            raise CredentialFileError(f"{path}: two keys are called '{key.kid}'")
        names.add(key.kid)
        state = _parse_state(path, key.kid, row)
        if state in ACCEPTED_STATES:
            accepted[key.kid] = key
        elif state is KeyState.RETIRED:
            retired.add(key.kid)
    return KeySet(accepted, frozenset(retired))


def load_key_set(path: Path) -> KeySet:
    """Reads a key set; raises CredentialFileError."""
    return parse_key_set(path, read_file(path))


def _parse_state(path: Path, kid: str, row: JsonWebKey) -> KeyState:
    state = row.get("state", KeyState.VERIFYING)
    try:
        return KeyState(state)
    except ValueError:
        shown = str(state)[:MAX_SHOWN_STATE]
        raise CredentialFileError(f"{path}: key '{kid}' has the unknown state '{shown}'") from None


def _parse_key(path: Path, row: JsonWebKey, index: int) -> VerificationKey:
    kid = row.get("kid")
    if not isinstance(kid, str) or not KEY_ID(kid):
        raise CredentialFileError(f"{path}: key {index} has no 'kid' of 1 to 64 letters, digits, '_' and '-'")
    if "d" in row or row.get("kty") == "oct":
        raise CredentialFileError(
            f"{path}: key '{kid}' is a private or shared key, expected public ones only"
        )
    algorithm = ALGORITHM_OF_KIND.get((str(row.get("kty")), str(row.get("crv"))))
    if algorithm is None or row.get("alg", algorithm) not in ALGORITHM_NAMES[algorithm]:
        raise CredentialFileError(
            f"{path}: key '{kid}' is neither of Ed25519 for EdDSA nor of P-256 for ES256"
        )
    public_row = {name: row[name] for name in PUBLIC_MEMBERS if name in row}
    try:
        return _import_key(kid, algorithm, public_row)
    except (JoseError, ValueError, TypeError, AssertionError, binascii.Error) as error:
        raise CredentialFileError(f"{path}: key '{kid}' can't be used ({type(error).__name__})") from None


def _import_key(kid: str, algorithm: str, public_row: JsonWebKey) -> VerificationKey:
    if algorithm == "EdDSA":
        okp = OKPKey.import_key(public_row)
        public = okp.public_key
        assert isinstance(public, ed25519.Ed25519PublicKey)
        return VerificationKey(kid, algorithm, okp.thumbprint(), eddsa_verifier(public))
    curve = ECKey.import_key(public_row)
    return VerificationKey(kid, algorithm, curve.thumbprint(), es256_verifier(curve.public_key))
