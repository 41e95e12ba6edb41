"""What the admin server is asked and answers, as JSON. The names on the wire are part of its interface:
where they differ from the code's, a field says so."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec

from hoistplank.authorization.tls_listener import HandshakeCounts


class PurgeBody(msgspec.Struct, forbid_unknown_fields=True):
    """`object`, 16 small hex digits, or `group`, 0 to 255; both where the caller says whose the object is."""

    object_key: str = msgspec.field(name="object", default="")
    group: int | None = None


class RevokeBody(msgspec.Struct, forbid_unknown_fields=True):
    """A revocation (`revocations.Revocation`)."""

    kind: str
    value: str
    issuer: str = ""
    until_us: int = 0


class LevelBody(msgspec.Struct, forbid_unknown_fields=True):
    """`do`: pin, unpin, forbid or allow; `level` by name, "full" for full service; `for_s`: 0 for good."""

    action: str = msgspec.field(name="do")
    level: str = ""
    for_s: float = 0.0


class RefusedBody(msgspec.Struct):
    """Why a request was rejected."""

    reason: str = msgspec.field(name="refused")


class PurgedBody(msgspec.Struct):
    """What was purged: the object, or "group N"."""

    purged: str
    in_force_within_ms: int


class RevokedBody(msgspec.Struct):
    """The kind that was revoked; `persisted` is "yes", or why it was not written to the file."""

    revoked: str
    generation: int
    persisted: str = msgspec.field(name="kept")


class LevelChangedBody(msgspec.Struct):
    """What was done, and the level in force."""

    done: str
    level: str


class NoLevelsBody(msgspec.Struct):
    """The levels of a dispatcher without any."""

    level: str = "full"
    levels: None = None


class TenantView(msgspec.Struct):
    """A tenant; "all" for no limit on traffic classes or groups."""

    name: str
    rights: list[str]
    class_names: list[str] | str = msgspec.field(name="tracks")
    groups: list[int] | str
    admitted: int = msgspec.field(name="taken")


class TenantsView(msgspec.Struct):
    """`GET /v1/tenants`."""

    generation: int
    tenants: list[TenantView]


class IssuerView(msgspec.Struct):
    """An issuer and the names of its keys."""

    name: str
    generation: int
    keys: list[str]


class RevocationsView(msgspec.Struct):
    """How many revocations are in force."""

    generation: int
    rows: int


class KeysView(msgspec.Struct):
    """`GET /v1/keys`."""

    issuers: list[IssuerView]
    revocations: RevocationsView
    handshakes: HandshakeCounts


class RejectionView(msgspec.Struct):
    """How many requests were rejected for one reason."""

    tenant: str
    reason: str = msgspec.field(name="cause")
    count: int


class RejectionsView(msgspec.Struct):
    """`GET /v1/refusals`."""

    rejections: list[RejectionView] = msgspec.field(name="refusals")


class LimitView(msgspec.Struct):
    """A tenant's limits and what is left of them; null for no limit."""

    tenant: str
    weight: float
    rate: float | None
    available: float | None = msgspec.field(name="left")
    open: int
    max_open: int | None = msgspec.field(name="open_visits")


class LimitsView(msgspec.Struct):
    """`GET /v1/limits`."""

    limits: list[LimitView]
    open: int


class AdminResponse(NamedTuple):
    """A response, its body still to be encoded; `retry_after_us` 0 for no Retry-After."""

    status: int
    body: msgspec.Struct | Mapping[str, Any]
    retry_after_us: int = 0


def refusal(status: int, reason: str, retry_after_us: int = 0) -> AdminResponse:
    """The response to a request that is not done."""
    return AdminResponse(status, RefusedBody(reason), retry_after_us)
