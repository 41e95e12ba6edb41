"""Revocations of keys, subjects, single tokens and certificates. No I/O, no clock."""

from __future__ import annotations

import re
from dataclasses import dataclass

from hoistplank.authorization.errors import AuthorizationError

KEY, SUBJECT, TOKEN, SERIAL, NAME = "key", "subject", "jti", "serial", "name"
KINDS = (KEY, SUBJECT, TOKEN, SERIAL, NAME)
MAX_REVOCATIONS = 100_000  # from one source
MAX_VALUE_LENGTH = 200
MAX_ISSUER_LENGTH = 1_000
SERIAL_DIGITS = re.compile(r"[0-9a-f]{1,40}").fullmatch


class InvalidRevocationError(AuthorizationError):
    """An invalid revocation; the text says why."""


@dataclass(frozen=True, slots=True)
class Revocation:
    """One key, subject, token or certificate that is no longer accepted.

    `issuer` is the token's issuer for key, subject and jti; for a certificate's serial (hex) its issuer (RFC
    4514), or empty for that serial of any issuer; empty for a certificate's name. Past `until_us` (0: never)
    it may be dropped, since the revoked credential has expired by then.
    """

    kind: str
    issuer: str
    value: str
    until_us: int = 0

    def __post_init__(self) -> None:
        if self.kind not in KINDS:
            raise InvalidRevocationError(
                f"unknown kind '{self.kind[:20]}', expected one of {', '.join(KINDS)}"
            )
        if not 1 <= len(self.value) <= MAX_VALUE_LENGTH or len(self.issuer) > MAX_ISSUER_LENGTH:
            raise InvalidRevocationError("a value must have 1 to 200 characters, an issuer at most 1,000")
        if self.kind in (KEY, SUBJECT, TOKEN) and not self.issuer:
            raise InvalidRevocationError(f"a revocation of kind '{self.kind}' must have an issuer")
        if self.kind == NAME and self.issuer:
            raise InvalidRevocationError("a revocation of a certificate's name must have no issuer")
        if self.kind == SERIAL and not SERIAL_DIGITS(self.value):
            raise InvalidRevocationError(
                "a serial must be up to 40 lower-case hex digits, without leading zeros"
            )


class RevocationSet:
    """The revocations in force: from the operators' file, from the admin server, and serials from revocation
    lists. `generation` grows with each change."""

    def __init__(self) -> None:
        self._by_source: dict[str, frozenset[tuple[str, str, str]]] = {}
        self._all: frozenset[tuple[str, str, str]] = frozenset()
        self.generation = 0

    def __len__(self) -> int:
        return len(self._all)

    def replace(self, source: str, revocations: list[Revocation], now: int) -> None:
        """Replaces the revocations of one source, without those past their `until_us`. Raises
        InvalidRevocationError if there are too many."""
        current = [row for row in revocations if not row.until_us or row.until_us > now]
        if len(current) > MAX_REVOCATIONS:
            raise InvalidRevocationError(
                f"found {len(current)} revocations, expected at most {MAX_REVOCATIONS}"
            )
        self._put(source, frozenset((row.kind, row.issuer, row.value) for row in current))

    def add(self, source: str, revocation: Revocation) -> None:
        """Adds a revocation to a source. Raises InvalidRevocationError if there are too many."""
        held = self.entries(source)
        if len(held) >= MAX_REVOCATIONS:
            raise InvalidRevocationError(f"more than {MAX_REVOCATIONS} revocations from {source}")
        self._put(source, held | {(revocation.kind, revocation.issuer, revocation.value)})

    def copy_source(self, source: str, other: RevocationSet) -> None:
        """Replaces the revocations of a source by those of the same source in another set."""
        self._put(source, other.entries(source))

    def entries(self, source: str) -> frozenset[tuple[str, str, str]]:
        """Returns the revocations of one source, as kind, issuer and value."""
        return self._by_source.get(source, frozenset())

    def _put(self, source: str, entries: frozenset[tuple[str, str, str]]) -> None:
        if self._by_source.get(source) != entries:
            self._by_source[source] = entries
            self._all = frozenset().union(*self._by_source.values())
            self.generation += 1

    def revoked_part_of_token(self, issuer: str, kid: str, subject: str, jti: str) -> str:
        """Returns the kind of the token's part that is revoked, or an empty string."""
        held = self._all
        if not held:
            return ""
        if (KEY, issuer, kid) in held:
            return "key"
        if (SUBJECT, issuer, subject) in held:
            return "subject"
        return "jti" if jti and (TOKEN, issuer, jti) in held else ""

    def revoked_part_of_certificate(self, issuer: str, serial: str, names: tuple[str, ...]) -> str:
        """Returns the kind of the certificate's part that is revoked, or an empty string."""
        held = self._all
        if not held:
            return ""
        if (SERIAL, "", serial) in held or (SERIAL, issuer, serial) in held:
            return "serial"
        return "name" if any((NAME, "", name) in held for name in names) else ""
