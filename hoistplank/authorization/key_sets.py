"""Issuers of tokens with their verification keys, and the keys that are not known yet. No I/O, no clock."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from types import MappingProxyType
from typing import NamedTuple

MAX_UNKNOWN_KEYS = 1_024  # unknown keys that are remembered


@dataclass(frozen=True, slots=True, eq=False)
class VerificationKey:
    """A public key of an issuer's set; `verify(signed, signature)` returns True if the signature is valid.
    The thumbprint follows RFC 7638."""

    kid: str
    algorithm: str
    thumbprint: str
    verify: Callable[[bytes, bytes], bool]


class KeySet(NamedTuple):
    """An issuer's keys that verify tokens, by key ID, and the IDs of its retired keys."""

    keys: Mapping[str, VerificationKey] = MappingProxyType({})
    retired: frozenset[str] = frozenset()


NO_KEYS = KeySet()


@dataclass(frozen=True, slots=True)
class Issuer:
    """An issuer of tokens, the audience that its tokens must name, and its keys at this generation. `read_us`
    is the time at which the last reading of its key set began."""

    name: str
    audience: str
    key_set: KeySet = NO_KEYS
    generation: int = 0
    read_us: int = 0

    @property
    def keys(self) -> Mapping[str, VerificationKey]:
        """Keys that verify tokens, by key ID."""
        return self.key_set.keys

    def with_key_set(self, key_set: KeySet, read_us: int, audience: str = "") -> Issuer:
        """Returns the issuer with another key set. An unchanged key stays the same object, so tokens that it
        verified stay in the token cache."""
        audience = audience or self.audience
        # A changed audience replaces all key objects, so that cached tokens are checked again: otherwise a
        # token that was verified for the earlier audience would still be accepted.
        before = self.keys if audience == self.audience else {}
        keys = {}
        for kid, key in key_set.keys.items():
            previous = before.get(kid)
            unchanged = previous is not None and previous.thumbprint == key.thumbprint
            keys[kid] = previous if previous is not None and unchanged else key
        changed = keys.keys() != before.keys() or any(keys[kid] is not before[kid] for kid in keys)
        return Issuer(self.name, audience, KeySet(keys, key_set.retired), self.generation + changed, read_us)

    def with_read_time(self, read_us: int) -> Issuer:
        """Returns the issuer with the same keys and a later read time."""
        return replace(self, read_us=read_us)


class UnknownKeys:
    """Keys that tokens name and that no key set holds yet.

    A token signed with a new key may arrive before this dispatcher has read the key set that publishes the
    key. Until the set has been read once more, such a token is neither valid nor invalid: it is rejected with
    a short Retry-After. Only a key that is still missing then is unknown for certain.
    """

    def __init__(self) -> None:
        self._first_seen_us: OrderedDict[tuple[str, str], int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._first_seen_us)

    def is_final(self, issuer: Issuer, kid: str, now: int) -> bool:
        """Returns True if the key set was read since a token first named the key, or lists the key as
        retired."""
        if kid in issuer.key_set.retired:
            return True
        first_seen_us = self._first_seen_us.setdefault((issuer.name, kid), now)
        if len(self._first_seen_us) > MAX_UNKNOWN_KEYS:
            self._first_seen_us.popitem(last=False)
        return issuer.read_us > first_seen_us

    def forget_known(self, issuer: Issuer) -> None:
        """Forgets the keys that an issuer's key set holds now."""
        for kid in issuer.keys:
            self._first_seen_us.pop((issuer.name, kid), None)
