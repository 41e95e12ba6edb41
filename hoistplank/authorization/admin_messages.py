"""Requests and responses of the admin server, as JSON.

The names on the wire are part of its interface: `msgspec.field(name=…)` gives them where the attribute is
named differently.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec

from hoistplank.authorization.tls_listener import HandshakeCounts


class PurgeBody(msgspec.Struct, forbid_unknown_fields=True):
    """`object`, 16 lower-case hex digits, or `group`, 0 to 255; both if the caller names the object's
    group."""

    object_key: str = msgspec.field(name="object", default="")
    group: int | None = None


class RevokeBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of `POST /v1/revoke`; the fields are those of `revocations.Revocation`."""

    kind: str
    value: str
    issuer: str = ""
    until_us: int = 0


class LevelBody(msgspec.Struct, forbid_unknown_fields=True):
    """`do`: pin, unpin, forbid or allow; `level`: its name, "full" for full service; `for_s`: 0 for no
    end."""

    action: str = msgspec.field(name="do")
    level: str = ""
    for_s: float = 0.0


class RefusedBody(msgspec.Struct):
    """The reason a request was rejected."""

    reason: str = msgspec.field(name="refused")


class PurgedBody(msgspec.Struct):
    """`purged`: the object key, or "group N"."""

    purged: str
    in_force_within_ms: int


class RevokedBody(msgspec.Struct):
    """`revoked`: the kind of revocation; `persisted`: "yes", or the reason it was not written to the file."""

    revoked: str
    generation: int
    persisted: str = msgspec.field(name="kept")


class LevelChangedBody(msgspec.Struct):
    """The action that was taken, and the level now in force."""

    done: str
    level: str


class NoLevelsBody(msgspec.Struct):
    """Response of a dispatcher that has no degradation levels configured."""

    level: str = "full"
    levels: None = None


class TenantView(msgspec.Struct):
    """A tenant; "all" means no restriction of traffic classes or groups. `admitted` counts requests since the
    start."""

    name: str
    rights: list[str]
    class_names: list[str] | str = msgspec.field(name="tracks")
    groups: list[int] | str
    admitted: int = msgspec.field(name="taken")


class TenantsView(msgspec.Struct):
    """Response to `GET /v1/tenants`."""

    generation: int
    tenants: list[TenantView]


class IssuerView(msgspec.Struct):
    """An issuer and the names of its keys."""

    name: str
    generation: int
    keys: list[str]


class RevocationsView(msgspec.Struct):
    """`rows`: number of revocations in force; `generation` grows with each change."""

    generation: int
    rows: int


class KeysView(msgspec.Struct):
    """Response to `GET /v1/keys`."""

    issuers: list[IssuerView]
    revocations: RevocationsView
    handshakes: HandshakeCounts


class RejectionView(msgspec.Struct):
    """Number of requests of a tenant that were rejected for one reason."""

    tenant: str
    reason: str = msgspec.field(name="cause")
    count: int


class RejectionsView(msgspec.Struct):
    """Response to `GET /v1/refusals`."""

    rejections: list[RejectionView] = msgspec.field(name="refusals")


class LimitView(msgspec.Struct):
    """A tenant's limits and current use; null for no limit. `rate` is requests a second, `available` rate
    tokens."""

    tenant: str
    weight: float
    rate: float | None
    available: float | None = msgspec.field(name="left")
    open: int
    max_open: int | None = msgspec.field(name="open_visits")


class LimitsView(msgspec.Struct):
    """Response to `GET /v1/limits`; `open` counts the open requests of all tenants."""

    limits: list[LimitView]
    open: int


class AdminResponse(NamedTuple):
    """A response with its body not yet encoded; `retry_after_us` 0 means no Retry-After."""

    status: int
    body: msgspec.Struct | Mapping[str, Any]
    retry_after_us: int = 0


def refusal(status: int, reason: str, retry_after_us: int = 0) -> AdminResponse:
    """Returns the response to a request that is rejected."""
    return AdminResponse(status, RefusedBody(reason), retry_after_us)
