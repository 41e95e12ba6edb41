"""The settings of `(callers …)`, with the locations in the operator file that diagnostics of referenced files
need."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from hoistplank.authorization.certificates import TlsFiles
from hoistplank.authorization.permissions import TenantDirectory
from hoistplank.authorization.policy import AuthenticationPolicy
from hoistplank.operator_configuration.errors import SourceLocation

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class IssuerSettings:
    """An issuer of tokens and the file of its key set."""

    name: str
    audience: str
    key_set_file: Path
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class RevocationFileSettings:
    """The operators' revocation file."""

    path: Path
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """The TLS listener. `rejects_when_list_expired` is True if client certificates are rejected once a
    revocation list is past its next update."""

    listen: Address
    files: TlsFiles
    rejects_when_list_expired: bool
    max_handshakes: int
    handshake_timeout_s: float
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class AdminSettings:
    """The admin server."""

    listen: Address
    max_body_bytes: int
    max_connections: int
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class AuthorizationSettings:
    """All authorization settings of one generation of the operator file."""

    tenants: TenantDirectory
    policy: AuthenticationPolicy
    issuers: tuple[IssuerSettings, ...]
    revocation_file: RevocationFileSettings | None
    poll_interval_s: float
    tls: TlsSettings | None
    admin: AdminSettings | None
    location: SourceLocation
