"""From the operator's sections to what the gate goes by. No I/O, no clock."""

from __future__ import annotations

from hoistplank.authorization.authorizer import ANYONE, Terms
from hoistplank.authorization.permissions import ALL_GROUPS, BITS, Claim, Tenant, Tenants
from hoistplank.operator_configuration.schema import Section


def tenants(section: Section, generation: int) -> Tenants:
    """All tenants of `(callers …)`, compiled."""
    rows, claims = [], []
    for form in section["tenant"]:
        groups = 0
        for span in form["groups"]:
            for group in span:
                groups |= 1 << group
        rights = 0
        for right in form["rights"]:
            rights |= BITS[right]
        rows.append(
            Tenant(
                form.title,
                rights,
                frozenset(form["tracks"]) or None,
                groups or ALL_GROUPS,
                form["weight"],
                form["rate"] or 0.0,
                form["burst"] or 0,
                form["open-visits"] or 0,
                tuple(form["operation-keys"]),
            )
        )
        claims += [Claim(row.title, name, form.title) for row in form["subjects"] for name in row["names"]]
        claims += [Claim("", name, form.title) for name in form["names"]]
    return Tenants(rows, claims, generation)


def terms(section: Section) -> Terms:
    tokens = section["tokens"]
    return Terms(
        section["strangers"] == ANYONE,
        tokens["skew"],
        tokens["longest"],
        tokens["size"],
        tokens["kept"],
        tokens["checks"],
        tokens["checks-each"],
    )
