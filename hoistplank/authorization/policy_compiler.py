"""Compiles the operator's sections into tenants and the authentication policy. No I/O, no clock."""

from __future__ import annotations

from hoistplank.authorization.key_sets import Issuer
from hoistplank.authorization.permissions import (
    ALL_GROUPS,
    RIGHT_BITS,
    NameBinding,
    Tenant,
    TenantDirectory,
)
from hoistplank.authorization.policy import ANONYMOUS_TENANT, AuthenticationPolicy
from hoistplank.operator_configuration.schema import Section


def compile_tenants(section: Section, generation: int) -> TenantDirectory:
    """All tenants of `(callers …)`."""
    tenants = [_tenant(form) for form in section["tenant"]]
    bindings = [binding for form in section["tenant"] for binding in _bindings(form)]
    return TenantDirectory(tenants, bindings, generation)


def _tenant(form: Section) -> Tenant:
    groups = 0
    for span in form["groups"]:
        for group in span:
            groups |= 1 << group
    rights = 0
    for right in form["rights"]:
        rights |= RIGHT_BITS[right]
    return Tenant(
        name=form.title,
        rights=rights,
        class_names=frozenset(form["tracks"]) or None,
        groups=groups or ALL_GROUPS,
        weight=form["weight"],
        rate=form["rate"] or 0.0,
        burst=form["burst"] or 0,
        max_open=form["open-visits"] or 0,
        key_prefixes=tuple(form["operation-keys"]),
    )


def _bindings(form: Section) -> list[NameBinding]:
    subjects = [
        NameBinding(subjects.title, name, form.title)
        for subjects in form["subjects"]
        for name in subjects["names"]
    ]
    certificates = [NameBinding("", name, form.title) for name in form["names"]]
    return subjects + certificates


def compile_policy(section: Section) -> AuthenticationPolicy:
    """The figures of `(tokens …)`, and whether callers may show nothing."""
    tokens = section["tokens"]
    return AuthenticationPolicy(
        allow_anonymous=section["strangers"] == ANONYMOUS_TENANT,
        clock_skew_us=tokens["skew"],
        max_lifetime_us=tokens["longest"],
        max_token_bytes=tokens["size"],
        token_cache_size=tokens["kept"],
        signature_checks=tokens["checks"],
        signature_checks_per_source=tokens["checks-each"],
    )


def compile_issuers(section: Section) -> dict[str, Issuer]:
    """The issuers of `(tokens …)` by name, without their keys."""
    return {row.title: Issuer(row.title, row["audience"]) for row in section["tokens"]["issuer"]}
