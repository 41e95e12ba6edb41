"""Cache of tokens whose signatures were checked. No I/O, no clock.

A signature is checked once; after that a bounded table holds the token by its digest, with the key object
that verified it. Expiry, a change of the key (retired, replaced under the same name, removed) and revocation
are checked again at each use, so a key change requires no sweep of the cache.
"""

from __future__ import annotations

import enum
import hashlib
from collections import OrderedDict
from dataclasses import dataclass
from typing import Literal

from hoistplank.authorization.identity import Caller
from hoistplank.authorization.jws import TokenClaims
from hoistplank.authorization.key_sets import VerificationKey
from hoistplank.authorization.rejection import Rejection


class Verdict(enum.Enum):
    """The cached result for a token that was not verified."""

    BAD_SIGNATURE = "bad signature"


@dataclass(slots=True, eq=False)
class VerifiedToken:
    """The data kept of a token whose signature is valid.

    `outcome` caches the caller or rejection. It is valid while `epoch` equals the authenticator's (tenants,
    policy, keys and revocations are unchanged), from `valid_from_us` until `valid_until_us`.
    """

    issuer: str
    key: VerificationKey
    subject: str
    jti: str
    expires_us: int
    not_before_us: int
    epoch: int = -1
    outcome: Caller | Rejection | None = None
    valid_from_us: int = 0
    valid_until_us: int = 0

    def outcome_at(self, now: int, epoch: int) -> Caller | Rejection | None:
        """Returns the outcome if it is still valid, otherwise None."""
        if self.epoch == epoch and self.valid_from_us <= now < self.valid_until_us:
            return self.outcome
        return None


CachedVerdict = VerifiedToken | Literal[Verdict.BAD_SIGNATURE]


def verify(claims: TokenClaims, key: VerificationKey) -> CachedVerdict:
    """Verifies a token's signature and returns the result for the cache."""
    if not key.verify(claims.signed, claims.signature):
        return Verdict.BAD_SIGNATURE
    return VerifiedToken(
        claims.issuer, key, claims.subject, claims.jti, claims.expires_us, claims.not_before_us
    )


class TokenCache:
    """Checked tokens by digest, at most `capacity`; the least recently used is evicted first."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._verdicts: OrderedDict[bytes, CachedVerdict] = OrderedDict()

    def __len__(self) -> int:
        return len(self._verdicts)

    @staticmethod
    def digest(token: str) -> bytes:
        """Returns the cache key of a token (SHA-256)."""
        return hashlib.sha256(token.encode("latin-1", "replace")).digest()

    def get(self, digest: bytes) -> CachedVerdict | None:
        """Returns the result of an earlier check; None if the token is not cached."""
        verdict = self._verdicts.get(digest)
        if verdict is not None and len(self._verdicts) * 2 > self.capacity:
            self._verdicts.move_to_end(digest)  # the order matters only when evictions are near
        return verdict

    def put(self, digest: bytes, verdict: CachedVerdict) -> None:
        """Caches the result of a check."""
        self._verdicts[digest] = verdict
        if len(self._verdicts) > self.capacity:
            # Invalid tokens are kept at the end that is evicted first: otherwise a flood of them would evict
            # all valid ones, and each of those would be checked again.
            self._verdicts.popitem(last=False)
        if verdict is Verdict.BAD_SIGNATURE:
            self._verdicts.move_to_end(digest, last=False)

    def discard(self, digest: bytes) -> None:
        """Removes a token if it is cached."""
        self._verdicts.pop(digest, None)
