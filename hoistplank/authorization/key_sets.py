"""Issuers of tokens and the public keys that verify them, by generation. No I/O, no clock."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from types import MappingProxyType
from typing import NamedTuple

MAX_UNKNOWN_KEYS = 1_024  # keys asked for in vain that are remembered


@dataclass(frozen=True, slots=True, eq=False)
class VerificationKey:
    """A public key of an issuer's set; `verify(signed, signature)` says whether the signature is its own.
    The thumbprint is RFC 7638's."""

    kid: str
    algorithm: str
    thumbprint: str
    verify: Callable[[bytes, bytes], bool]


class KeySet(NamedTuple):
    """What an issuer's set holds: keys that verify tokens, and the names of those that were retired."""

    keys: Mapping[str, VerificationKey] = MappingProxyType({})
    retired: frozenset[str] = frozenset()


NO_KEYS = KeySet()


@dataclass(frozen=True, slots=True)
class Issuer:
    """Who signs tokens, for whom, and with which keys at this generation. `read_us`: when the last reading
    of its key set began."""

    name: str
    audience: str
    key_set: KeySet = NO_KEYS
    generation: int = 0
    read_us: int = 0

    @property
    def keys(self) -> Mapping[str, VerificationKey]:
        """The keys that verify tokens, by their names."""
        return self.key_set.keys

    def with_key_set(self, key_set: KeySet, read_us: int, audience: str = "") -> Issuer:
        """The next generation. A key that is the same stays the same object, and so do the tokens that it
        verified."""
        audience = audience or self.audience
        # Danger: a token that was verified for another audience would stand on; with new keys all are judged
        # anew.
        before = self.keys if audience == self.audience else {}
        keys = {}
        for kid, key in key_set.keys.items():
            previous = before.get(kid)
            unchanged = previous is not None and previous.thumbprint == key.thumbprint
            keys[kid] = previous if previous is not None and unchanged else key
        changed = keys.keys() != before.keys() or any(keys[kid] is not before[kid] for kid in keys)
        return Issuer(self.name, audience, KeySet(keys, key_set.retired), self.generation + changed, read_us)

    def with_read_time(self, read_us: int) -> Issuer:
        """The same keys, read again and unchanged."""
        return replace(self, read_us=read_us)


class UnknownKeys:
    """Keys that tokens name and that no set holds yet.

    Danger: a token signed by the next key may come before the key set that publishes it was read here. Until
    the set has been read once more, such a token is neither valid nor invalid: it is rejected for a moment,
    and the set is read again. Only a key that is not there after that is unknown.
    """

    def __init__(self) -> None:
        self._first_seen_us: OrderedDict[tuple[str, str], int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._first_seen_us)

    def is_final(self, issuer: Issuer, kid: str, now: int) -> bool:
        """Whether the set was read since the key was first asked for, or says itself that the key is
        retired."""
        if kid in issuer.key_set.retired:
            return True
        first_seen_us = self._first_seen_us.setdefault((issuer.name, kid), now)
        if len(self._first_seen_us) > MAX_UNKNOWN_KEYS:
            self._first_seen_us.popitem(last=False)
        return issuer.read_us > first_seen_us

    def forget_known(self, issuer: Issuer) -> None:
        """A set was read: what it holds is unknown no more."""
        for kid in issuer.keys:
            self._first_seen_us.pop((issuer.name, kid), None)
