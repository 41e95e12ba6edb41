"""Keys that check tokens, and the tokens whose signatures were checked. No I/O, no clock.

A signature is checked once; after that the token stands in a bounded table under its digest, with the very
key that proved
it. It dies with its expiry, with its key (retired, replaced under the same name, gone) and with a revocation,
since all
three are looked at again at each use: nothing has to be swept when keys change.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from types import MappingProxyType
from typing import NamedTuple

from hoistplank.authorization.jws import Claims

MOST_UNKNOWN = 1_024  # keys asked for in vain that are remembered


@dataclass(frozen=True, slots=True, eq=False)
class Key:
    """A public key of an issuer's set; `check(signed, signature)` says whether the signature is its own."""

    kid: str
    algorithm: str
    thumbprint: str  # RFC 7638
    check: Callable[[bytes, bytes], bool]


class KeySet(NamedTuple):
    """What an issuer's set holds: keys that check tokens, and the names of those that were retired."""

    keys: Mapping[str, Key] = MappingProxyType({})
    retired: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Issuer:
    """Who signs tokens, for whom, and with which keys at this generation. `read_us`: when the last look
    began."""

    name: str
    audience: str
    held: KeySet = KeySet()
    generation: int = 0
    read_us: int = 0

    @property
    def keys(self) -> Mapping[str, Key]:
        return self.held.keys

    def renewed(self, found: KeySet, read_us: int, audience: str = "") -> Issuer:
        """The next generation. A key that is the same stays the same object, and so do the tokens it
        proved."""
        audience = audience or self.audience
        # Danger: a token that was proven for another audience would stand on; with new keys all are judged
        # anew.
        before = self.keys if audience == self.audience else {}
        kept = {}
        for kid, key in found.keys.items():
            held = before.get(kid)
            kept[kid] = held if held is not None and held.thumbprint == key.thumbprint else key
        changed = kept.keys() != before.keys() or any(kept[kid] is not before[kid] for kid in kept)
        return Issuer(self.name, audience, KeySet(kept, found.retired), self.generation + changed, read_us)

    def looked_at(self, read_us: int) -> Issuer:
        """Its set was looked at and is as before."""
        return replace(self, read_us=read_us)


@dataclass(slots=True, eq=False)
class Proof:
    """What is left of a token whose signature was good.

    `caller` is whose it was found to be, and stands while `epoch` is the gate's: tenants, terms, keys and
    revocations as
    they were then. From `from_us` until `until_us` nothing but time can change the answer.
    """

    issuer: str
    key: Key
    subject: str
    jti: str
    expires_us: int
    not_before_us: int
    epoch: int = -1
    caller: object = None
    from_us: int = 0
    until_us: int = 0


class Proofs:
    """Checked tokens by digest: a Proof, or None for a signature that was wrong; the longest unused goes
    first."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.rows: OrderedDict[bytes, Proof | None] = OrderedDict()

    @staticmethod
    def digest(token: str) -> bytes:
        return hashlib.sha256(token.encode("latin-1", "replace")).digest()

    def get(self, digest: bytes) -> Proof | None | bool:
        """A Proof; None for a wrong signature; False where this token was never checked."""
        found = self.rows.get(digest, False)
        if found is not False and len(self.rows) * 2 > self.most:
            self.rows.move_to_end(digest)  # the order matters only where something may have to go
        return found

    def put(self, digest: bytes, proof: Proof | None) -> None:
        self.rows[digest] = proof
        if len(self.rows) > self.most:
            # Danger: a flood of wrong tokens would push all good ones out, and each would be checked again.
            # What is
            # wrong stands in the older half only: it makes room for itself first.
            self.rows.popitem(last=False)
        if proof is None:
            self.rows.move_to_end(digest, last=False)

    def drop(self, digest: bytes) -> None:
        self.rows.pop(digest, None)


class Unknown:
    """Keys that tokens name and that no set holds yet.

    Danger: a token signed by the next key may come before the key set that publishes it was read here. Until
    the set
    has been read once more, such a token is neither good nor bad: it is rejected for a moment, and the set
    is asked
    for. Only a key that is not there after that is unknown.
    """

    def __init__(self) -> None:
        self.first: OrderedDict[tuple[str, str], int] = OrderedDict()

    def is_final(self, issuer: Issuer, kid: str, now: int) -> bool:
        """Whether the set was read since the key was first asked for, or says itself that the key is
        retired."""
        if kid in issuer.held.retired:
            return True
        at = self.first.setdefault((issuer.name, kid), now)
        if len(self.first) > MOST_UNKNOWN:
            self.first.popitem(last=False)
        return issuer.read_us > at

    def found(self, issuer: Issuer) -> None:
        """A set was read: what it holds is unknown no more."""
        for kid in issuer.keys:
            self.first.pop((issuer.name, kid), None)


def proof_of(claims: Claims, key: Key) -> Proof | None:
    """The proof of a token, or None where the signature is not the key's."""
    if not key.check(claims.signed, claims.signature):
        return None
    return Proof(claims.issuer, key, claims.subject, claims.jti, claims.expires_us, claims.not_before_us)
