"""Loads and checks the server's certificate chain and key, the client CA and its revocation lists (RFC 5280),
and makes an SSL context of them."""

from __future__ import annotations

import os
import ssl
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec, ed25519, rsa

from hoistplank.authorization import private_keys
from hoistplank.authorization.credential_files import CredentialFileError, read_file
from hoistplank.authorization.errors import AuthorizationError
from hoistplank.authorization.identity import CertificateIdentity
from hoistplank.authorization.revocations import SERIAL, Revocation

TLS_VERSIONS = {"tls1.2": ssl.TLSVersion.TLSv1_2, "tls1.3": ssl.TLSVersion.TLSv1_3}
CRL_END = b"-----END X509 CRL-----"
MAX_NAMES = 32  # subject alternative names that are used of a certificate
FAR_FUTURE_US = 1 << 62


class CertificateRejectedError(AuthorizationError):
    """Raised if a client certificate verified by a handshake is not accepted; the text is the reason."""


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """The TLS files and options of a listener; `min_version` is a key of TLS_VERSIONS."""

    certificate: Path
    key: Path
    client_ca: Path | None
    revocation_list: Path | None
    require_certificate: bool
    min_version: str

    def paths(self) -> tuple[Path, ...]:
        """Returns the paths of all configured files."""
        named = (self.certificate, self.key, self.client_ca, self.revocation_list)
        return tuple(path for path in named if path is not None)


@dataclass(frozen=True, slots=True)
class RevocationLists:
    """The revocations of the client CAs' lists; `next_update_us` is the earliest next update, 0 without a
    list."""

    revocations: tuple[Revocation, ...] = ()
    next_update_us: int = 0


NO_REVOCATION_LISTS = RevocationLists()


@dataclass(frozen=True, slots=True)
class TlsState:
    """The SSL context and revocation lists for new connections."""

    context: ssl.SSLContext
    certificate_expires_us: int
    revocation_lists: RevocationLists = NO_REVOCATION_LISTS


def _microseconds(moment: datetime) -> int:
    return int(moment.timestamp() * 1e6)


def _parse_chain(path: Path, data: bytes) -> list[x509.Certificate]:
    try:
        return x509.load_pem_x509_certificates(data)
    except ValueError:
        raise CredentialFileError(f"{path}: holds no certificates in PEM") from None


@contextmanager
def _in_memory(data: bytes) -> Iterator[str]:
    """Yields the path of an in-memory file with these bytes.

    A file may change between its check and the moment the library opens it by path. Reading from memory, the
    library gets the very bytes that were checked.
    """
    file = os.memfd_create("checked", os.MFD_CLOEXEC)
    try:
        os.write(file, data)
        yield f"/proc/self/fd/{file}"
    finally:
        os.close(file)


def load_tls(files: TlsFiles, now: int) -> TlsState:
    """Reads and checks all TLS files of a listener; raises CredentialFileError."""
    chain_pem, key_pem = read_file(files.certificate), read_file(files.key, private=True)
    certificate = _parse_chain(files.certificate, chain_pem)[0]
    _check_key(files, certificate, key_pem)
    expires_us = _microseconds(certificate.not_valid_after_utc)
    if expires_us <= now:
        raise CredentialFileError(
            f"{files.certificate}: expired at {certificate.not_valid_after_utc:%Y-%m-%dT%H:%M:%SZ}"
        )
    context = _server_context(files, chain_pem, key_pem)
    if files.client_ca is None:
        return TlsState(context, expires_us)
    authorities = _trust_client_ca(context, files.client_ca, required=files.require_certificate)
    if files.revocation_list is None:
        return TlsState(context, expires_us)
    return TlsState(context, expires_us, _load_revocation_lists(files.revocation_list, authorities, now))


def _check_key(files: TlsFiles, certificate: x509.Certificate, key_pem: bytes) -> None:
    private = private_keys.parse_pem(files.key, key_pem)
    form = (serialization.Encoding.DER, serialization.PublicFormat.SubjectPublicKeyInfo)
    if certificate.public_key().public_bytes(*form) != private.public_key().public_bytes(*form):
        raise CredentialFileError(
            f"{files.key}: is not the key of the first certificate in {files.certificate}"
        )


def _server_context(files: TlsFiles, chain_pem: bytes, key_pem: bytes) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = TLS_VERSIONS[files.min_version]
    context.options |= ssl.OP_NO_RENEGOTIATION | ssl.OP_NO_TICKET | ssl.OP_NO_COMPRESSION
    # No session resumption: a resumed session would skip the check of a certificate that was revoked since.
    context.num_tickets = 0  # type: ignore[attr-defined]  # missing in the stubs
    with _in_memory(chain_pem) as chain_path, _in_memory(key_pem) as key_path:
        try:
            context.load_cert_chain(chain_path, key_path)
        except ssl.SSLError as error:
            raise CredentialFileError(f"{files.certificate}: can't be used ({error.reason})") from None
    return context


def _trust_client_ca(context: ssl.SSLContext, path: Path, *, required: bool) -> list[x509.Certificate]:
    """Makes a context request client certificates; returns the authorities that sign them."""
    pem = read_file(path)
    authorities = _parse_chain(path, pem)
    context.verify_mode = ssl.CERT_REQUIRED if required else ssl.CERT_OPTIONAL
    try:
        context.load_verify_locations(cadata=pem.decode("ascii", "replace"))
    except ssl.SSLError as error:
        raise CredentialFileError(f"{path}: can't be used ({error.reason})") from None
    return authorities


def _is_signed_by(revocation_list: x509.CertificateRevocationList, authority: x509.Certificate) -> bool:
    key = authority.public_key()
    if not isinstance(key, ed25519.Ed25519PublicKey | ec.EllipticCurvePublicKey | rsa.RSAPublicKey):
        return False
    return bool(revocation_list.is_signature_valid(key))


def _load_revocation_lists(path: Path, authorities: list[x509.Certificate], now: int) -> RevocationLists:
    blocks = read_file(path).split(CRL_END)[:-1]
    if not blocks:
        raise CredentialFileError(f"{path}: holds no revocation list in PEM")
    revocations: list[Revocation] = []
    next_update_us = FAR_FUTURE_US
    for block in blocks:
        revocation_list, update_us = _parse_revocation_list(path, block + CRL_END + b"\n", authorities, now)
        next_update_us = min(next_update_us, update_us)
        issuer = revocation_list.issuer.rfc4514_string()
        revocations += [Revocation(SERIAL, issuer, f"{row.serial_number:x}") for row in revocation_list]
    return RevocationLists(tuple(revocations), next_update_us)


def _parse_revocation_list(
    path: Path, pem: bytes, authorities: list[x509.Certificate], now: int
) -> tuple[x509.CertificateRevocationList, int]:
    """Returns a revocation list that one of the authorities signed, and its next update in microseconds."""
    try:
        revocation_list = x509.load_pem_x509_crl(pem)
    except ValueError:
        raise CredentialFileError(f"{path}: holds a revocation list that can't be read") from None
    if not any(
        authority.subject == revocation_list.issuer and _is_signed_by(revocation_list, authority)
        for authority in authorities
    ):
        raise CredentialFileError(f"{path}: a revocation list is signed by none of the client CAs")
    next_update = revocation_list.next_update_utc
    if next_update is None:
        raise CredentialFileError(f"{path}: a revocation list has no next update (RFC 5280 section 5.1.2.5)")
    if _microseconds(next_update) <= now:
        raise CredentialFileError(f"{path}: a revocation list expired at {next_update:%Y-%m-%dT%H:%M:%SZ}")
    return revocation_list, _microseconds(next_update)


def identity_of(der: bytes) -> CertificateIdentity:
    """Returns the identity of a verified certificate: the URIs and DNS names of its subject alternative name
    (RFC 5280 section 4.2.1.6).

    Raises CertificateRejectedError if it can't be read; a certificate without such names gives an identity
    without names.
    """
    try:
        certificate = x509.load_der_x509_certificate(der)
        extension = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
        names = [f"uri:{name}" for name in extension.get_values_for_type(x509.UniformResourceIdentifier)]
        names += [f"dns:{name.lower()}" for name in extension.get_values_for_type(x509.DNSName)]
    except x509.ExtensionNotFound:
        names = []
    except (ValueError, TypeError) as error:
        raise CertificateRejectedError(
            f"a client certificate can't be read ({type(error).__name__})"
        ) from None
    return CertificateIdentity(
        certificate.issuer.rfc4514_string(), f"{certificate.serial_number:x}", tuple(names[:MAX_NAMES])
    )


def format_time(time_us: int) -> str:
    """Formats microseconds of the Unix clock as a UTC time for logs."""
    return datetime.fromtimestamp(time_us / 1e6, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
