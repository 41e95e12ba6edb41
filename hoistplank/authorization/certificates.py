"""The server's chain and key, the client CA and its revocation lists (RFC 5280): read, checked, made into a
context."""

from __future__ import annotations

import os
import ssl
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec, ed25519, rsa

from hoistplank.authorization.authorizer import Identity
from hoistplank.authorization.keyfiles import BadFile, private_key, read_bytes
from hoistplank.authorization.revocations import SERIAL, Revocation

VERSIONS = {"tls1.2": ssl.TLSVersion.TLSv1_2, "tls1.3": ssl.TLSVersion.TLSv1_3}


@dataclass(frozen=True, slots=True)
class Tls:
    """What new connections are served with. `crl_until_us` is the earliest next update of the lists, 0
    without one."""

    context: ssl.SSLContext
    server_until_us: int
    crl_rows: tuple[Revocation, ...] = ()
    crl_until_us: int = 0


def _us(moment: datetime) -> int:
    return int(moment.timestamp() * 1e6)


def _chain(path: Path, data: bytes) -> list[x509.Certificate]:
    try:
        return x509.load_pem_x509_certificates(data)
    except ValueError:
        raise BadFile(f"{path}: holds no certificates in PEM") from None


def _held(data: bytes) -> str:
    """Danger: between the check of a file and the library's own reading it may be changed. The library reads
    from
    memory the very bytes that were checked."""
    file = os.memfd_create("checked", os.MFD_CLOEXEC)
    os.write(file, data)
    return f"/proc/self/fd/{file}"


def _closed(paths: Iterable[str]) -> None:
    for path in paths:
        os.close(int(path.rpartition("/")[2]))


def server(
    certificate: Path,
    key: Path,
    client_ca: Path | None,
    required: bool,
    oldest: str,
    crl: Path | None,
    now: int,
) -> Tls:
    """Reads and checks all files of a listener; raises BadFile."""
    chain_pem, key_pem = read_bytes(certificate), read_bytes(key, private=True)
    chain = _chain(certificate, chain_pem)
    private = private_key(key, key_pem)
    form = (serialization.Encoding.DER, serialization.PublicFormat.SubjectPublicKeyInfo)
    if chain[0].public_key().public_bytes(*form) != private.public_key().public_bytes(*form):
        raise BadFile(f"{key}: is not the key of the first certificate in {certificate}")
    if _us(chain[0].not_valid_after_utc) <= now:
        raise BadFile(f"{certificate}: expired at {chain[0].not_valid_after_utc:%Y-%m-%dT%H:%M:%SZ}")
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = VERSIONS[oldest]
    context.options |= ssl.OP_NO_RENEGOTIATION | ssl.OP_NO_TICKET | ssl.OP_NO_COMPRESSION
    # Danger: a resumed session would bring back what a certificate said before it was revoked.
    context.num_tickets = 0  # type: ignore[attr-defined]  # missing in the stubs
    held = [_held(chain_pem), _held(key_pem)]
    try:
        context.load_cert_chain(*held)
    except ssl.SSLError as wrong:
        raise BadFile(f"{certificate}: can't be used ({wrong.reason})") from None
    finally:
        _closed(held)
    rows: tuple[Revocation, ...] = ()
    until = 0
    if client_ca is not None:
        ca_pem = read_bytes(client_ca)
        authorities = _chain(client_ca, ca_pem)
        context.verify_mode = ssl.CERT_REQUIRED if required else ssl.CERT_OPTIONAL
        try:
            context.load_verify_locations(cadata=ca_pem.decode("ascii", "replace"))
        except ssl.SSLError as wrong:
            raise BadFile(f"{client_ca}: can't be used ({wrong.reason})") from None
        if crl is not None:
            rows, until = _lists(crl, authorities, now)
    return Tls(context, _us(chain[0].not_valid_after_utc), rows, until)


def _signed(found: x509.CertificateRevocationList, by: x509.Certificate) -> bool:
    key = by.public_key()
    return isinstance(key, ed25519.Ed25519PublicKey | ec.EllipticCurvePublicKey | rsa.RSAPublicKey) and bool(
        found.is_signature_valid(key)
    )


def _lists(path: Path, authorities: list[x509.Certificate], now: int) -> tuple[tuple[Revocation, ...], int]:
    blocks = read_bytes(path).split(b"-----END X509 CRL-----")[:-1]
    rows: list[Revocation] = []
    until = 1 << 62
    if not blocks:
        raise BadFile(f"{path}: holds no revocation list in PEM")
    for block in blocks:
        try:
            found = x509.load_pem_x509_crl(block + b"-----END X509 CRL-----\n")
        except ValueError:
            raise BadFile(f"{path}: holds a revocation list that can't be read") from None
        signer = next(
            (ca for ca in authorities if ca.subject == found.issuer and _signed(found, ca)),
            None,
        )
        if signer is None:
            raise BadFile(f"{path}: a revocation list is signed by none of the client CAs")
        if found.next_update_utc is None:
            raise BadFile(f"{path}: a revocation list has no next update (RFC 5280 section 5.1.2.5)")
        if _us(found.next_update_utc) <= now:
            raise BadFile(f"{path}: a revocation list expired at {found.next_update_utc:%Y-%m-%dT%H:%M:%SZ}")
        until = min(until, _us(found.next_update_utc))
        issuer = found.issuer.rfc4514_string()
        rows += [Revocation(SERIAL, issuer, f"{row.serial_number:x}") for row in found]
    return tuple(rows), until


def identity(der: bytes) -> Identity:
    """Who a proven certificate names: the URIs and DNS names of its subject alternative name (RFC 5280
    section 4.2.1.6).

    Raises BadFile where it can't be read; a certificate without such names is an identity without any.
    """
    try:
        found = x509.load_der_x509_certificate(der)
        names = found.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
        listed = [f"uri:{name}" for name in names.get_values_for_type(x509.UniformResourceIdentifier)]
        listed += [f"dns:{name.lower()}" for name in names.get_values_for_type(x509.DNSName)]
    except x509.ExtensionNotFound:
        listed = []
    except (ValueError, TypeError) as wrong:
        raise BadFile(f"a client certificate can't be read ({type(wrong).__name__})") from None
    return Identity(found.issuer.rfc4514_string(), f"{found.serial_number:x}", tuple(listed[:32]))


def until_text(until_us: int) -> str:
    return datetime.fromtimestamp(until_us / 1e6, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
