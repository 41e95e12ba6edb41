"""Tenants and their permissions, compiled from the operator file. No I/O, no clock.

A reload replaces the whole `TenantDirectory`; a request in progress keeps the tenant that it was admitted
for.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

READ, BOOK, PURGE, OPERATE = 1, 2, 4, 8
RIGHT_BITS = {"read": READ, "book": BOOK, "purge": PURGE, "operate": OPERATE}
ALL_GROUPS = (1 << 256) - 1
WILDCARD = "*"


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant. `rights` and `groups` are bit sets; `class_names` None means all traffic classes; `rate` is
    requests a second and `max_open` concurrent requests, 0 for no limit; `key_prefixes` are prefixes of
    operation keys that only this tenant may use."""

    name: str
    rights: int
    class_names: frozenset[str] | None = None
    groups: int = ALL_GROUPS
    weight: float = 1.0
    rate: float = 0.0
    burst: int = 0
    max_open: int = 0
    key_prefixes: tuple[str, ...] = ()

    def owns(self, group: int) -> bool:
        """Returns True if the tenant owns a purge group."""
        return bool(self.groups >> group & 1)

    def denial_reason(self, right: int, class_name: str, group: int) -> str:
        """Returns why the tenant may not use that right, class or group, or an empty string."""
        if not self.rights & right:
            return "right"
        if self.class_names is not None and class_name not in self.class_names:
            return "track"
        return "" if self.groups >> group & 1 else "group"


class NamedTenant(NamedTuple):
    """A tenant, and the certificate name by which it was found."""

    tenant: Tenant
    name: str


class Ambiguity(enum.Enum):
    """Why a certificate identifies no tenant; the value is the reason in answers."""

    NO_TENANT = "no tenant"
    TWO_TENANTS = "two tenants"


@dataclass(frozen=True, slots=True)
class NameBinding:
    """A name that belongs to a tenant: a subject of an issuer or, with issuer '', a certificate name; a
    pattern that ends in '*' matches by prefix."""

    issuer: str
    pattern: str
    tenant: str


class NameIndex:
    """Maps names to tenants: an exact match first, otherwise the longest matching prefix.

    A lookup costs one step for each prefix length in use, whatever the number of tenants.
    """

    def __init__(self, bindings: Iterable[NameBinding]) -> None:
        self._exact: dict[tuple[str, str], str] = {}
        self._prefixes: dict[tuple[str, str], str] = {}
        for binding in bindings:
            table = self._prefixes if binding.pattern.endswith(WILDCARD) else self._exact
            table[binding.issuer, binding.pattern.rstrip(WILDCARD)] = binding.tenant
        self._lengths = sorted({len(prefix) for _, prefix in self._prefixes}, reverse=True)

    def tenant(self, issuer: str, name: str) -> str:
        """Returns the name of the matching tenant, or an empty string."""
        exact = self._exact.get((issuer, name))
        if exact is not None:
            return exact
        for length in self._lengths:
            if length <= len(name):
                tenant = self._prefixes.get((issuer, name[:length]))
                if tenant is not None:
                    return tenant
        return ""


class TenantDirectory:
    """All tenants of one generation of the operator file."""

    def __init__(
        self, tenants: Iterable[Tenant], bindings: Iterable[NameBinding], generation: int = 1
    ) -> None:
        self.by_name = {tenant.name: tenant for tenant in tenants}
        self.names = NameIndex(bindings)
        self.generation = generation
        # The owner of each operation key prefix. The order of lookup does not matter:
        # `sections.check_section` rejects prefixes of two tenants that overlap.
        self._key_owners = {
            prefix: tenant.name for tenant in self.by_name.values() for prefix in tenant.key_prefixes
        }
        self._key_prefix_lengths = sorted({len(prefix) for prefix in self._key_owners})

    def of_subject(self, issuer: str, subject: str) -> Tenant | None:
        """Returns the tenant of a token's subject, or None."""
        return self.by_name.get(self.names.tenant(issuer, subject))

    def of_certificate(self, names: Iterable[str]) -> NamedTenant | Ambiguity:
        """Returns the one tenant of a certificate's names and the name that matched, or why there is none.

        A certificate with names of two tenants is rejected: it would let its holder choose whose rights to
        use.
        """
        found = {owner: name for name in names if (owner := self.names.tenant("", name))}
        if len(found) != 1:
            return Ambiguity.TWO_TENANTS if found else Ambiguity.NO_TENANT
        ((tenant_name, name),) = found.items()
        tenant = self.by_name.get(tenant_name)
        return NamedTenant(tenant, name) if tenant is not None else Ambiguity.NO_TENANT

    def key_owner(self, operation_key: str) -> str:
        """Returns the tenant that has reserved a prefix of this operation key, or an empty string."""
        lower = operation_key.lower()
        for length in self._key_prefix_lengths:
            owner = self._key_owners.get(lower[:length])
            if owner is not None:
                return owner
        return ""
