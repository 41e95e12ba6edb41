"""Tenants and what they may do, compiled once from the operator's file. No I/O, no clock.

`Tenants` is swapped whole at a reload; a request in hand keeps the tenant that it was taken for.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

READ, BOOK, PURGE, OPERATE = 1, 2, 4, 8
BITS = {"read": READ, "book": BOOK, "purge": PURGE, "operate": OPERATE}
ALL_GROUPS = (1 << 256) - 1


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant. `groups` has a bit a group; `traffic classes` None is all; rates are requests a second, 0
    for no limit."""

    name: str
    rights: int
    classes: frozenset[str] | None = None
    groups: int = ALL_GROUPS
    weight: float = 1.0
    rate: float = 0.0
    burst: int = 0
    most_open: int = 0
    prefixes: tuple[str, ...] = ()

    def owns(self, group: int) -> bool:
        return bool(self.groups >> group & 1)

    def refuses(self, right: int, class_name: str, group: int) -> str:
        """Why this tenant may not do that, or nothing."""
        if not self.rights & right:
            return "right"
        if self.classes is not None and class_name not in self.classes:
            return "track"
        return "" if self.groups >> group & 1 else "group"


@dataclass(frozen=True, slots=True)
class Claim:
    """A name that belongs to a tenant: of an issuer's subjects, or (issuer '') of certificates; may end in
    '*'."""

    issuer: str
    pattern: str
    tenant: str


class Names:
    """Names to tenants: an exact one first, else the longest beginning that fits.

    One step for each length of a beginning that is in use, whatever the number of tenants.
    """

    def __init__(self, claims: Iterable[Claim]) -> None:
        self._exact: dict[tuple[str, str], str] = {}
        self._starts: dict[tuple[str, str], str] = {}
        for claim in claims:
            table = self._starts if claim.pattern.endswith("*") else self._exact
            table[claim.issuer, claim.pattern.rstrip("*")] = claim.tenant
        self._lengths = sorted({len(start) for _, start in self._starts}, reverse=True)

    def tenant(self, issuer: str, name: str) -> str:
        """The tenant's name, or nothing."""
        found = self._exact.get((issuer, name))
        if found is not None:
            return found
        for length in self._lengths:
            if length <= len(name):
                found = self._starts.get((issuer, name[:length]))
                if found is not None:
                    return found
        return ""


class Tenants:
    """All tenants of one generation of the operator's file."""

    def __init__(self, rows: Iterable[Tenant], claims: Iterable[Claim], generation: int = 1) -> None:
        self.rows = {row.name: row for row in rows}
        self.names = Names(claims)
        self.generation = generation
        # The owner of each beginning of operation keys, by its length; sound since no two tenants' overlap.
        self._keys = {prefix: row.name for row in self.rows.values() for prefix in row.prefixes}
        self._lengths = sorted({len(prefix) for prefix in self._keys})

    def of_subject(self, issuer: str, subject: str) -> Tenant | None:
        return self.rows.get(self.names.tenant(issuer, subject))

    def of_names(self, names: Iterable[str]) -> tuple[Tenant | None, str]:
        """The one tenant of a certificate's names and the name that says so; none where they say two.

        Danger: a certificate with names of two tenants would let its holder choose whose rights it uses.
        """
        found = {tenant: name for name in names if (tenant := self.names.tenant("", name))}
        if len(found) != 1:
            return None, "two tenants" if found else "no tenant"
        ((tenant, name),) = found.items()
        return self.rows.get(tenant), name

    def key_owner(self, key: str) -> str:
        """The tenant to whom keys with this beginning belong, or nothing."""
        low = key.lower()
        for length in self._lengths:
            owner = self._keys.get(low[:length])
            if owner is not None:
                return owner
        return ""
