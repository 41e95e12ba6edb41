"""Read-only views for operators: of all tenants with the right `operate`, otherwise of their own."""

from __future__ import annotations

from hoistplank.authorization.admin_messages import (
    IssuerView,
    KeysView,
    LimitsView,
    LimitView,
    RejectionsView,
    RejectionView,
    RevocationsView,
    TenantsView,
    TenantView,
)
from hoistplank.authorization.authorizer import NO_TENANT_NAME, Authorizer
from hoistplank.authorization.permissions import ALL_GROUPS, OPERATE, RIGHT_BITS, Tenant
from hoistplank.authorization.tls_listener import HandshakeCounts

GROUPS = range(256)
ALL = "all"


def _visible(authorizer: Authorizer, viewer: Tenant) -> list[Tenant]:
    return list(authorizer.tenants.by_name.values()) if viewer.rights & OPERATE else [viewer]


def tenants(authorizer: Authorizer, viewer: Tenant) -> TenantsView:
    """Returns the visible tenants with their rights."""
    return TenantsView(
        authorizer.tenants.generation, [_tenant(authorizer, row) for row in _visible(authorizer, viewer)]
    )


def _tenant(authorizer: Authorizer, tenant: Tenant) -> TenantView:
    usage = authorizer.limiter.usage.get(tenant.name)
    return TenantView(
        name=tenant.name,
        rights=[word for word, bit in RIGHT_BITS.items() if tenant.rights & bit],
        class_names=sorted(tenant.class_names) if tenant.class_names is not None else ALL,
        groups=ALL if tenant.groups == ALL_GROUPS else [group for group in GROUPS if tenant.owns(group)],
        admitted=usage.admitted if usage is not None else 0,
    )


def keys(authorizer: Authorizer, handshakes: HandshakeCounts) -> KeysView:
    """Returns issuers with their keys, revocations and handshakes; the same for every operator."""
    authenticator = authorizer.authenticator
    return KeysView(
        issuers=[
            IssuerView(issuer.name, issuer.generation, sorted(issuer.keys))
            for issuer in authenticator.issuers.values()
        ],
        revocations=RevocationsView(authenticator.revocations.generation, len(authenticator.revocations)),
        handshakes=handshakes,
    )


def rejections(authorizer: Authorizer, viewer: Tenant) -> RejectionsView:
    """Returns the number of rejected requests by tenant and reason."""
    names = {row.name for row in _visible(authorizer, viewer)}
    if viewer.rights & OPERATE:
        names.add(NO_TENANT_NAME)
    return RejectionsView(
        [
            RejectionView(row.tenant, row.reason, count)
            for row, count in sorted(authorizer.rejections.items())
            if row.tenant in names
        ]
    )


def limits(authorizer: Authorizer, viewer: Tenant, now: int) -> LimitsView:
    """Returns the limits of the visible tenants and their open requests."""
    rows = [_limit(authorizer, row, now) for row in _visible(authorizer, viewer)]
    return LimitsView(rows, authorizer.limiter.total_open)


def _limit(authorizer: Authorizer, tenant: Tenant, now: int) -> LimitView:
    usage = authorizer.limiter.usage.get(tenant.name)
    bucket = usage.bucket if usage is not None else None
    return LimitView(
        tenant=tenant.name,
        weight=tenant.weight,
        rate=tenant.rate or None,
        available=round(bucket.available(now), 1) if bucket is not None else None,
        open=usage.open if usage is not None else 0,
        max_open=tenant.max_open or None,
    )
