"""Fake issuers of credentials: a certificate authority with revocation lists, and a signer of tokens.

The signer builds tokens itself, without the library that the program uses, so that it can build invalid ones
too.
"""

from __future__ import annotations

import base64
import json
import ssl
import time
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec, ed25519
from cryptography.hazmat.primitives.asymmetric.utils import decode_dss_signature
from cryptography.x509.oid import NameOID

PrivateKey = ed25519.Ed25519PrivateKey | ec.EllipticCurvePrivateKey


def private_key_pem(key: PrivateKey) -> bytes:
    """Return a private key as unencrypted PKCS #8 in PEM."""
    return key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )


def base64url(data: bytes) -> str:
    """Encode as Base64 in the URL-safe alphabet, without padding (RFC 7515, section 2)."""
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


class FakeCertificateAuthority:
    """A CA that writes its files into a folder: `ca.pem`, `server.pem` and `server.key`, `clients.crl`."""

    def __init__(self, folder: Path, name: str = "fake CA") -> None:
        self.folder, self.key = folder, ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self.certificate = self._signed(self.name, self.key.public_key(), [], 1, authority=True)
        self.serial = 1
        (folder / "ca.pem").write_bytes(self.certificate.public_bytes(serialization.Encoding.PEM))
        self.renew_server()
        self.write_revocation_list([])

    def _signed(
        self,
        subject: x509.Name,
        public: Any,
        names: list[x509.GeneralName],
        serial: int,
        authority: bool = False,
        days: float = 30,
    ) -> x509.Certificate:
        now = datetime.now(UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.name)
            .public_key(public)
            .serial_number(serial)
            .not_valid_before(now - timedelta(hours=1))
            .not_valid_after(now + timedelta(days=days))
            .add_extension(x509.BasicConstraints(authority, None), critical=True)
        )
        if names:
            builder = builder.add_extension(x509.SubjectAlternativeName(names), critical=False)
        return builder.sign(self.key, hashes.SHA256())

    def issue(self, file: str, names: list[str], days: float = 30) -> tuple[Path, int]:
        """Issue a certificate for `uri:…` and `dns:…` names, with its key in the same file.

        Returns the file's path and the serial number.
        """
        key = ec.generate_private_key(ec.SECP256R1())
        self.serial += 1
        alternative_names: list[x509.GeneralName] = [
            x509.UniformResourceIdentifier(name[4:]) if name.startswith("uri:") else x509.DNSName(name[4:])
            for name in names
        ]
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, file)])
        certificate = self._signed(subject, key.public_key(), alternative_names, self.serial, days=days)
        path = self.folder / file
        path.write_bytes(private_key_pem(key) + certificate.public_bytes(serialization.Encoding.PEM))
        path.chmod(0o600)
        return path, self.serial

    def renew_server(self) -> None:
        """Replace the server's certificate chain and key, each file atomically."""
        path, _ = self.issue("server.both", ["dns:localhost"])
        key, _, chain = path.read_bytes().partition(b"-----BEGIN CERTIFICATE-----")
        for file, data in (("server.key", key), ("server.pem", b"-----BEGIN CERTIFICATE-----" + chain)):
            temporary_path = self.folder / f".{file}"
            temporary_path.write_bytes(data)
            temporary_path.chmod(0o600)
            temporary_path.replace(self.folder / file)

    def write_revocation_list(self, serials: list[int], lasts_s: float = 86_400) -> None:
        """Replace `clients.crl` by a list of these serial numbers that is valid for `lasts_s` from now."""
        now = datetime.now(UTC)
        builder = x509.CertificateRevocationListBuilder().issuer_name(self.name)
        builder = builder.last_update(now - timedelta(days=2)).next_update(now + timedelta(seconds=lasts_s))
        for serial in serials:
            entry = (
                x509.RevokedCertificateBuilder()
                .serial_number(serial)
                .revocation_date(now - timedelta(days=1))
            )
            builder = builder.add_revoked_certificate(entry.build())
        temporary_path = self.folder / ".clients.crl"
        temporary_path.write_bytes(
            builder.sign(self.key, hashes.SHA256()).public_bytes(serialization.Encoding.PEM)
        )
        temporary_path.replace(self.folder / "clients.crl")

    def client_context(self, certificate: Path | None = None) -> ssl.SSLContext:
        """Return a TLS context that trusts this CA, with the client's certificate if one is given."""
        context = ssl.create_default_context(cafile=str(self.folder / "ca.pem"))
        if certificate is not None:
            context.load_cert_chain(certificate)
        return context


class TokenSigner:
    """Signs tokens with one key (EdDSA or ES256)."""

    def __init__(self, kid: str, algorithm: str = "EdDSA", key: PrivateKey | None = None) -> None:
        self.kid, self.algorithm = kid, algorithm
        self.key: PrivateKey = key or (
            ed25519.Ed25519PrivateKey.generate()
            if algorithm == "EdDSA"
            else ec.generate_private_key(ec.SECP256R1())
        )

    def jwk(self, state: str = "signing") -> dict[str, Any]:
        """Return the public key as an entry of a key set (RFC 7517), with its lifecycle state."""
        public = self.key.public_key()
        if isinstance(public, ed25519.Ed25519PublicKey):
            key_fields = {"kty": "OKP", "crv": "Ed25519", "x": base64url(public.public_bytes_raw())}
        else:
            point = public.public_numbers()
            key_fields = {
                "kty": "EC",
                "crv": "P-256",
                "x": base64url(point.x.to_bytes(32)),
                "y": base64url(point.y.to_bytes(32)),
            }
        return {"kid": self.kid, "alg": self.algorithm, "use": "sig", "state": state, **key_fields}

    def sign(self, data: bytes) -> bytes:
        """Return a signature in the form of RFC 7518 (for ES256, r and s of 32 bytes each)."""
        if isinstance(self.key, ed25519.Ed25519PrivateKey):
            return self.key.sign(data)
        r, s = decode_dss_signature(self.key.sign(data, ec.ECDSA(hashes.SHA256())))
        return r.to_bytes(32) + s.to_bytes(32)

    def raw(self, header: str, claims: str) -> str:
        """Return a signed token of any header and claims, which need not be valid JSON."""
        signed = f"{base64url(header.encode())}.{base64url(claims.encode())}"
        return f"{signed}.{base64url(self.sign(signed.encode()))}"

    def token(
        self,
        subject: str,
        issuer: str = "https://id.example",
        audience: str = "hoistplank",
        lasts_s: float = 3_600,
        header: dict[str, Any] | None = None,
        **claims: Any,
    ) -> str:
        """Return a token; `header` and `claims` override a valid token's; claims of None are left out."""
        head = {"alg": self.algorithm, "kid": self.kid} | (header or {})
        payload = {"iss": issuer, "aud": audience, "sub": subject, "exp": int(time.time() + lasts_s)} | claims
        present = {name: value for name, value in payload.items() if value is not None}
        return self.raw(json.dumps(head), json.dumps(present))


def write_key_set(path: Path, *rows: dict[str, Any]) -> None:
    """Replace a key set's file atomically."""
    path.parent.mkdir(parents=True, exist_ok=True)
    temporary_path = path.with_name(f".{path.name}")
    temporary_path.write_text(json.dumps({"keys": list(rows)}))
    temporary_path.replace(path)


def operator_text(
    listen: int,
    control: int,
    extra: str = "",
    tokens: str = "",
    crl: bool = True,
    tenants: str | None = None,
    keys: str = "ring.json",
) -> str:
    """Return an operator file with two tenants and an operator.

    It names the files that `FakeCertificateAuthority` and `write_key_set` write.
    """
    default_tenants = """
  (tenant coast (subjects "https://id.example" (names coast-*)) (names uri:hoistplank:coast)
    (groups 0-31) (rights read book purge) (operation-keys c0))
  (tenant inland (subjects "https://id.example" (names inland-*)) (names uri:hoistplank:inland)
    (groups 32-63) (rights read book purge))
  (tenant operations (names uri:hoistplank:operations) (rights operate))"""
    return f"""(callers
  (tokens (issuer "https://id.example" (keys "{keys}") (audience "hoistplank")) {tokens})
  (tls (listen 127.0.0.1:{listen}) (certificate "server.pem") (key "server.key") (client-ca "ca.pem")
    {'(crl "clients.crl")' if crl else ""})
  (control (listen 127.0.0.1:{control}))
  (revoked "revoked.jsonl") {extra} {default_tenants if tenants is None else tenants})
"""
