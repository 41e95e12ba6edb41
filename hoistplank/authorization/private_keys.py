"""Private keys in PEM files, of the two supported kinds: Ed25519 and P-256."""

from __future__ import annotations

from pathlib import Path

from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec, ed25519

from hoistplank.authorization.credential_files import CredentialFileError

PrivateKey = ed25519.Ed25519PrivateKey | ec.EllipticCurvePrivateKey


def generate(algorithm: str) -> PrivateKey:
    """Generates a key for EdDSA or ES256."""
    if algorithm == "EdDSA":
        return ed25519.Ed25519PrivateKey.generate()
    return ec.generate_private_key(ec.SECP256R1())


def encode_pem(key: PrivateKey) -> bytes:
    """Encodes a key as PKCS #8 in PEM, without a password."""
    return key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )


def parse_pem(path: Path, data: bytes) -> PrivateKey:
    """Parses a private key from a file's bytes; raises CredentialFileError."""
    try:
        key = serialization.load_pem_private_key(data, None)
    except (ValueError, TypeError) as error:
        raise CredentialFileError(
            f"{path}: holds no private key in PEM without a password ({type(error).__name__})"
        ) from None
    if isinstance(key, ed25519.Ed25519PrivateKey):
        return key
    if isinstance(key, ec.EllipticCurvePrivateKey) and isinstance(key.curve, ec.SECP256R1):
        return key
    raise CredentialFileError(f"{path}: unsupported kind of key, expected Ed25519 or P-256")
