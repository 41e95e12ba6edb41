"""The schema of the form `(callers …)` of the operator file, and the checks across its forms."""

from __future__ import annotations

from typing import NamedTuple

from hoistplank.authorization.permissions import RIGHT_BITS
from hoistplank.authorization.policy import ANONYMOUS_TENANT
from hoistplank.operator_configuration.errors import Diagnostic
from hoistplank.operator_configuration.schema import TITLE, Field, FormSchema, Section
from hoistplank.operator_configuration.syntax import Atom
from hoistplank.operator_configuration.values import (
    ADDRESS,
    NAME,
    TEXT,
    ValueType,
    duration,
    integer,
    matching,
    number,
    one_of,
    rate,
    size,
)

CERTIFICATE_NAME_KINDS = ("uri:", "dns:")
MAX_GROUP = 255


def _parse_groups(atom: Atom) -> range:
    """`17` or `0-31`: groups of objects, from 0 to 255."""
    first, dash, last = atom.text.partition("-")
    if atom.quoted or not first.isdecimal() or not (last.isdecimal() if dash else not last):
        raise ValueError
    found = range(int(first[:4]), int((last or first)[:4]) + 1)
    if not found or found[-1] > MAX_GROUP:
        raise ValueError
    return found


GROUPS = ValueType("a group from 0 to 255 or a span of them, as 0-31", _parse_groups)
# A pattern is an exact name, or a prefix followed by one '*'.
PATTERN = matching(r"[^*\s]{1,200}\*?", "a name, or the start of one followed by '*'")
PREFIX = matching(r"[0-9a-f]{1,16}", "1 to 16 small hex digits")
CLASS_NAME = matching(r"[A-Za-z0-9_.-]{1,60}", "the name of a traffic class")

ISSUER = FormSchema(
    (
        Field("keys", TEXT, required=True, doc="the file with its key set (JWKS)"),
        Field("audience", TEXT, required=True, doc="what its tokens must be made for"),
    ),
    title=TEXT,
)

TOKENS = FormSchema(
    (
        Field("issuer", ISSUER, repeated=True, doc="who signs tokens"),
        Field("skew", duration("0ms", "5min"), 30_000_000, doc="how far clocks may differ"),
        Field("longest", duration("1s", "30d"), 86_400_000_000, doc="the furthest expiry that is taken"),
        Field("size", size(256, 16_384), 4_096, doc="bytes of a token at most"),
        Field("kept", integer(16, 1_000_000), 20_000, doc="checked tokens that are remembered"),
        Field("checks", rate(), 600.0, doc="signatures checked a second, over all"),
        Field("checks-each", rate(), 60.0, doc="signatures checked a second for one source"),
    )
)

TLS = FormSchema(
    (
        Field("listen", ADDRESS, required=True, doc="where callers connect with TLS"),
        Field("certificate", TEXT, required=True, doc="the server's chain, PEM"),
        Field("key", TEXT, required=True, doc="the server's private key, PEM, mode 0600"),
        Field("client-ca", TEXT, doc="who signs client certificates, PEM; absent: none are asked for"),
        Field("require-certificate", one_of("yes", "no"), "no", doc="whether a caller must show one"),
        Field("crl", TEXT, doc="revoked client certificates, PEM, signed by the client CA"),
        Field(
            "expired-crl", one_of("refuse", "keep"), "refuse", doc="what a list past its next update means"
        ),
        Field("oldest", one_of("tls1.2", "tls1.3"), "tls1.3", doc="the oldest version that is spoken"),
        Field("handshakes", integer(1, 1_000), 64, doc="handshakes that may run at once"),
        Field("handshake-time", duration("50ms", "10s"), 2_000_000, doc="how long one may take"),
    )
)

CONTROL = FormSchema(
    (
        Field("listen", ADDRESS, required=True, doc="where operators connect, over mutual TLS"),
        Field("body", size(64, 65_536), 4_096, doc="bytes of a request's body at most"),
        Field("connections", integer(1, 64), 8, doc="operators' connections at once"),
    )
)

TENANT = FormSchema(
    (
        Field(
            "subjects",
            FormSchema(
                (Field("names", PATTERN, repeated=True, required=True, doc="whom its issuer names"),),
                title=TEXT,
            ),
            repeated=True,
            doc="an issuer and the subjects that are this tenant's",
        ),
        Field("names", PATTERN, repeated=True, doc="names in certificates: uri:… or dns:…"),
        Field("tracks", CLASS_NAME, repeated=True, doc="the traffic classes it may use; absent: all"),
        Field("groups", GROUPS, repeated=True, doc="the groups of objects it owns; absent: all"),
        Field("rights", one_of(*RIGHT_BITS), repeated=True, required=True, doc="what it may do"),
        Field("weight", number(0.01, 1_000), 1.0, doc="its share beside the others' while the core is full"),
        Field("rate", rate(), doc="requests a second; absent: no limit"),
        Field(
            "burst", integer(1, 1_000_000), doc="requests at once above the rate; absent: those of a second"
        ),
        Field("open-visits", integer(1, 1_000_000), doc="requests open at once; absent: no limit"),
        Field(
            "operation-keys",
            PREFIX,
            repeated=True,
            doc="the first digits of its operation keys, its own alone",
        ),
    ),
    title=NAME,
)

CALLERS = FormSchema(
    (
        Field(
            "strangers",
            one_of("refuse", "anyone"),
            "refuse",
            doc="callers that show nothing are refused, or are the tenant 'anyone'",
        ),
        Field("tokens", TOKENS, default=True, doc="signed tokens"),
        Field("tls", TLS, doc="the listener with TLS"),
        Field("control", CONTROL, doc="the operators' front"),
        Field("revoked", TEXT, doc="the file of what was revoked, JSON lines"),
        Field(
            "look-every", duration("50ms", "1s"), 250_000, doc="how often the files are looked at for changes"
        ),
        Field("tenant", TENANT, repeated=True, doc="one member operator"),
    )
)


class BoundName(NamedTuple):
    """A subject of an issuer or, with issuer '', a certificate name."""

    issuer: str
    name: str


class KeyPrefix(NamedTuple):
    """A prefix of operation keys and the tenant that reserved it."""

    prefix: str
    tenant: str


def check_section(section: Section, diagnostics: list[Diagnostic]) -> None:
    """Reports what the schema can't: names that occur twice, and forms that require others."""
    issuers = _check_issuers(section, diagnostics)
    names = _check_tenant_names(section, diagnostics)
    owners: dict[BoundName, str] = {}
    prefixes: list[KeyPrefix] = []
    for tenant in section["tenant"]:
        _check_subjects(tenant, issuers, owners, diagnostics)
        _check_certificate_names(tenant, owners, diagnostics)
        _check_key_prefixes(tenant, prefixes, diagnostics)
    if section["strangers"] == ANONYMOUS_TENANT and ANONYMOUS_TENANT not in names:
        diagnostics.append(
            Diagnostic(
                section.location_of("strangers"),
                "'anyone' without a tenant of that name",
                f"'(tenant {ANONYMOUS_TENANT} …)' with what they may do",
            )
        )
    _check_client_ca(section, diagnostics)


def _check_issuers(section: Section, diagnostics: list[Diagnostic]) -> list[str]:
    """Returns the names of the issuers; reports duplicates."""
    names: list[str] = []
    for issuer in section["tokens"]["issuer"]:
        if issuer.title in names:
            found = f"the issuer '{issuer.title}' a second time"
            diagnostics.append(Diagnostic(issuer.locations[TITLE], found, "it once"))
        else:
            names.append(issuer.title)
    return names


def _check_tenant_names(section: Section, diagnostics: list[Diagnostic]) -> set[str]:
    """Returns the names of the tenants; reports duplicates."""
    names: set[str] = set()
    for tenant in section["tenant"]:
        if tenant.title in names:
            found = f"the tenant '{tenant.title}' a second time"
            diagnostics.append(Diagnostic(tenant.locations[TITLE], found, "it once"))
        names.add(tenant.title)
    return names


def _check_subjects(
    tenant: Section, issuers: list[str], owners: dict[BoundName, str], diagnostics: list[Diagnostic]
) -> None:
    """Reports subjects of an issuer that is not configured, and subjects that belong to two tenants."""
    for subjects in tenant["subjects"]:
        if subjects.title not in issuers:
            known = ", ".join(f"'{name}'" for name in issuers) or "there is none"
            diagnostics.append(
                Diagnostic(
                    subjects.locations[TITLE],
                    f"the issuer '{subjects.title}'",
                    f"one that (tokens …) names: {known}",
                )
            )
        for name in subjects["names"]:
            _check_owner(owners, BoundName(subjects.title, name), tenant, diagnostics)


def _check_certificate_names(
    tenant: Section, owners: dict[BoundName, str], diagnostics: list[Diagnostic]
) -> None:
    """Reports certificate names without a known kind, and names that belong to two tenants."""
    for name in tenant["names"]:
        if not name.startswith(CERTIFICATE_NAME_KINDS):
            location = tenant.location_of("names")
            expected = "one that begins with 'uri:' or 'dns:'"
            diagnostics.append(Diagnostic(location, f"the name '{name}'", expected))
        _check_owner(owners, BoundName("", name), tenant, diagnostics)


def _check_key_prefixes(tenant: Section, prefixes: list[KeyPrefix], diagnostics: list[Diagnostic]) -> None:
    """Reports operation key prefixes that overlap another tenant's; adds this tenant's to `prefixes`."""
    for prefix in tenant["operation-keys"]:
        for other, owner in prefixes:
            if owner != tenant.title and (other.startswith(prefix) or prefix.startswith(other)):
                diagnostics.append(
                    Diagnostic(
                        tenant.location_of("operation-keys"),
                        f"'{prefix}', which overlaps '{other}' of '{owner}'",
                        "digits that no other tenant's keys begin with",
                    )
                )
        prefixes.append(KeyPrefix(prefix, tenant.title))


def _check_client_ca(section: Section, diagnostics: list[Diagnostic]) -> None:
    """Reports forms that need client certificates if no client CA is configured."""
    tls = section["tls"]
    if tls is not None and tls["client-ca"] is None:
        for name in ("crl", "require-certificate"):
            if name in tls.locations and tls[name] != "no":
                location = tls.location_of(name)
                diagnostics.append(Diagnostic(location, f"'{name}' without 'client-ca'", "both or neither"))
    if section["control"] is not None and (tls is None or tls["client-ca"] is None):
        diagnostics.append(
            Diagnostic(
                section.location_of("control"),
                "'control' without '(tls …)' that has a 'client-ca'",
                "both: operators are known by certificates",
            )
        )


def _check_owner(
    owners: dict[BoundName, str], name: BoundName, tenant: Section, diagnostics: list[Diagnostic]
) -> None:
    """Reports a name that belongs to two tenants: by the order of the file, one would get the other's
    rights."""
    owner = owners.setdefault(name, tenant.title)
    if owner != tenant.title:
        found = f"'{name.name}', which is the tenant '{owner}''s too"
        diagnostics.append(Diagnostic(tenant.locations[TITLE], found, "a name of one tenant"))
