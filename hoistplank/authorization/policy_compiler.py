"""Compiles the section `(callers …)` of the operator file into settings. No I/O, no clock."""

from __future__ import annotations

from pathlib import Path

from hoistplank.authorization.certificates import TlsFiles
from hoistplank.authorization.permissions import (
    ALL_GROUPS,
    RIGHT_BITS,
    NameBinding,
    Tenant,
    TenantDirectory,
)
from hoistplank.authorization.policy import ANONYMOUS_TENANT, AuthenticationPolicy
from hoistplank.authorization.settings import (
    AdminSettings,
    AuthorizationSettings,
    IssuerSettings,
    RevocationFileSettings,
    TlsSettings,
)
from hoistplank.operator_configuration.schema import Section

MICROSECONDS = 1e6


def compile_settings(section: Section, folder: Path, generation: int) -> AuthorizationSettings:
    """Returns the settings of `(callers …)`. Relative paths are relative to the folder."""
    revoked = section["revoked"]
    return AuthorizationSettings(
        tenants=_tenants(section, generation),
        policy=_policy(section),
        issuers=tuple(_issuer(row, folder) for row in section["tokens"]["issuer"]),
        revocation_file=None
        if revoked is None
        else RevocationFileSettings(folder / revoked, section.location_of("revoked")),
        poll_interval_s=section["look-every"] / MICROSECONDS,
        tls=None if section["tls"] is None else _tls(section["tls"], folder),
        admin=None if section["control"] is None else _admin(section["control"]),
        location=section.location,
    )


def _tenants(section: Section, generation: int) -> TenantDirectory:
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


def _policy(section: Section) -> AuthenticationPolicy:
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


def _issuer(form: Section, folder: Path) -> IssuerSettings:
    return IssuerSettings(form.title, form["audience"], folder / form["keys"], form.location_of("keys"))


def _tls(form: Section, folder: Path) -> TlsSettings:
    files = TlsFiles(
        certificate=folder / form["certificate"],
        key=folder / form["key"],
        client_ca=folder / form["client-ca"] if form["client-ca"] else None,
        revocation_list=folder / form["crl"] if form["crl"] else None,
        require_certificate=form["require-certificate"] == "yes",
        min_version=form["oldest"],
    )
    return TlsSettings(
        listen=form["listen"],
        files=files,
        rejects_when_list_expired=form["expired-crl"] == "refuse",
        max_handshakes=form["handshakes"],
        handshake_timeout_s=form["handshake-time"] / MICROSECONDS,
        location=form.location,
    )


def _admin(form: Section) -> AdminSettings:
    return AdminSettings(
        listen=form["listen"],
        max_body_bytes=form["body"],
        max_connections=form["connections"],
        location=form.location,
    )
