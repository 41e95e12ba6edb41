"""Credentials of connections and requests, and the caller that they identify."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from hoistplank.authorization.permissions import Tenant
from hoistplank.authorization.rejection import Rejection


class Caller(NamedTuple):
    """The tenant and name that a request belongs to, from its admission to its end: a key or certificate that
    is retired or revoked in between does not affect it. `name` is the token's subject or the certificate's
    name."""

    tenant: Tenant
    name: str


@dataclass(slots=True, eq=False)
class CertificateIdentity:
    """A client certificate verified by a handshake: issuer (RFC 4514), serial in hex, names `uri:…` and
    `dns:…`.

    `outcome` caches the caller or rejection, and is valid while `epoch` equals the authenticator's.
    """

    issuer: str
    serial: str
    names: tuple[str, ...]
    epoch: int = -1
    outcome: Caller | Rejection | None = None


class Credentials(NamedTuple):
    """The credentials of one request. `authorization` is the header field, empty if absent; `source` is the
    client address or peer whose budget pays for signature checks."""

    identity: CertificateIdentity | None
    authorization: str
    source: str
