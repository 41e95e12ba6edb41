"""What was revoked: keys, subjects, single tokens, certificates. No I/O, no clock."""

from __future__ import annotations

import re
from dataclasses import dataclass

KEY, SUBJECT, TOKEN, SERIAL, NAME = "key", "subject", "jti", "serial", "name"
KINDS = (KEY, SUBJECT, TOKEN, SERIAL, NAME)
MOST = 100_000
HEX = re.compile(r"[0-9a-f]{1,40}").fullmatch


class BadRevocation(Exception):
    """A line that can't be used; its text says why."""


@dataclass(frozen=True, slots=True)
class Revocation:
    """One thing that no longer stands.

    `issuer` is the token's issuer for key, subject and jti; for a certificate's serial (hex) its issuer (RFC
    4514), or
    nothing for that serial of any; nothing for a certificate's name. Past `until_us` (0: never) it may be
    forgotten, since
    what it struck has expired by itself.
    """

    kind: str
    issuer: str
    value: str
    until_us: int = 0

    def __post_init__(self) -> None:
        if self.kind not in KINDS:
            raise BadRevocation(f"kind '{self.kind[:20]}' is none of {', '.join(KINDS)}")
        if not 1 <= len(self.value) <= 200 or len(self.issuer) > 1_000:
            raise BadRevocation("a value is to have 1 to 200 characters, an issuer 1,000 at most")
        if self.kind in (KEY, SUBJECT, TOKEN) and not self.issuer:
            raise BadRevocation(f"a {self.kind} is revoked with its issuer")
        if self.kind == NAME and self.issuer:
            raise BadRevocation("a certificate's name is revoked without an issuer")
        if self.kind == SERIAL and not HEX(self.value):
            raise BadRevocation("a serial is written in up to 40 small hex digits, without leading zeros")


class Revoked:
    """The set in force: from the operators' file, from the control front, and serials from revocation
    lists."""

    def __init__(self) -> None:
        self._sources: dict[str, frozenset[tuple[str, str, str]]] = {}
        self._all: frozenset[tuple[str, str, str]] = frozenset()
        self.generation = 0

    def renew(self, source: str, rows: list[Revocation], now: int) -> None:
        """All that one source says from now on; what is past its time is left out."""
        live = [row for row in rows if not row.until_us or row.until_us > now]
        if len(live) > MOST:
            raise BadRevocation(f"{len(live)} revocations, at most {MOST}")
        self._put(source, frozenset((row.kind, row.issuer, row.value) for row in live))

    def add(self, source: str, row: Revocation) -> None:
        held = self._sources.get(source, frozenset())
        if len(held) >= MOST:
            raise BadRevocation(f"over {MOST} revocations from {source}")
        self._put(source, held | {(row.kind, row.issuer, row.value)})

    def replace(self, source: str, other: Revoked) -> None:
        """What another set holds from that source, in place of what this one does."""
        self._put(source, other._sources.get(source, frozenset()))

    def _put(self, source: str, rows: frozenset[tuple[str, str, str]]) -> None:
        if self._sources.get(source) != rows:
            self._sources[source] = rows
            self._all = frozenset().union(*self._sources.values())
            self.generation += 1

    def __len__(self) -> int:
        return len(self._all)

    def strikes_token(self, issuer: str, kid: str, subject: str, jti: str) -> str:
        """Which of a token's parts is revoked, or nothing."""
        held = self._all
        if not held:
            return ""
        if (KEY, issuer, kid) in held:
            return "key"
        if (SUBJECT, issuer, subject) in held:
            return "subject"
        return "jti" if jti and (TOKEN, issuer, jti) in held else ""

    def strikes_certificate(self, issuer: str, serial: str, names: tuple[str, ...]) -> str:
        """Which of a certificate's parts is revoked, or nothing."""
        held = self._all
        if not held:
            return ""
        if (SERIAL, "", serial) in held or (SERIAL, issuer, serial) in held:
            return "serial"
        return "name" if any((NAME, "", name) in held for name in names) else ""
