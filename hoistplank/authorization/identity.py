"""Who calls: what a connection and a request show, and the caller that they were found to name."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from hoistplank.authorization.permissions import Tenant
from hoistplank.authorization.rejection import Rejection


class Caller(NamedTuple):
    """Whom a request belongs to, from its admission to its end: a key or a certificate that is retired or
    revoked in between does not affect it. `name` is the subject, or the certificate's name."""

    tenant: Tenant
    name: str


@dataclass(slots=True, eq=False)
class CertificateIdentity:
    """A client certificate that a handshake proved: issuer (RFC 4514), serial in hex, names `uri:…` and
    `dns:…`.

    `outcome` is whose it was found to be, and stands while `epoch` is the authenticator's.
    """

    issuer: str
    serial: str
    names: tuple[str, ...]
    epoch: int = -1
    outcome: Caller | Rejection | None = None


class Credentials(NamedTuple):
    """What one request shows. `authorization` is the field of that name, empty where there is none; `source`
    is whom failing signature checks count against."""

    identity: CertificateIdentity | None
    authorization: str
    source: str
