"""The tokens whose signatures were checked. No I/O, no clock.

A signature is checked once; after that the token stands in a bounded table under its digest, with the very
key that verified it. It ends with its expiry, with its key (retired, replaced under the same name, removed)
and with a revocation, since all three are looked at again at each use: nothing has to be swept when keys
change.
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
    """What a check left of a token beside the verified token itself."""

    BAD_SIGNATURE = "bad signature"


@dataclass(slots=True, eq=False)
class VerifiedToken:
    """What is left of a token whose signature was good.

    `outcome` is whose it was found to be, and stands while `epoch` is the authenticator's: tenants, policy,
    keys and revocations as they were then. From `valid_from_us` until `valid_until_us` nothing but time can
    change it.
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
        """The outcome where it still stands, else None."""
        if self.epoch == epoch and self.valid_from_us <= now < self.valid_until_us:
            return self.outcome
        return None


CachedVerdict = VerifiedToken | Literal[Verdict.BAD_SIGNATURE]


def verify(claims: TokenClaims, key: VerificationKey) -> CachedVerdict:
    """Checks a token's signature."""
    if not key.verify(claims.signed, claims.signature):
        return Verdict.BAD_SIGNATURE
    return VerifiedToken(
        claims.issuer, key, claims.subject, claims.jti, claims.expires_us, claims.not_before_us
    )


class TokenCache:
    """Checked tokens by digest, `capacity` at most; the least recently used goes first."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._verdicts: OrderedDict[bytes, CachedVerdict] = OrderedDict()

    def __len__(self) -> int:
        return len(self._verdicts)

    @staticmethod
    def digest(token: str) -> bytes:
        """The key under which a token is cached (SHA-256)."""
        return hashlib.sha256(token.encode("latin-1", "replace")).digest()

    def get(self, digest: bytes) -> CachedVerdict | None:
        """What the check said; None where this token was never checked."""
        verdict = self._verdicts.get(digest)
        if verdict is not None and len(self._verdicts) * 2 > self.capacity:
            self._verdicts.move_to_end(digest)  # the order matters only where something may have to go
        return verdict

    def put(self, digest: bytes, verdict: CachedVerdict) -> None:
        """Remembers a check."""
        self._verdicts[digest] = verdict
        if len(self._verdicts) > self.capacity:
            # Danger: a flood of wrong tokens would push all good ones out, and each would be checked again.
            # What is wrong stands in the older half only: it is evicted first.
            self._verdicts.popitem(last=False)
        if verdict is Verdict.BAD_SIGNATURE:
            self._verdicts.move_to_end(digest, last=False)

    def discard(self, digest: bytes) -> None:
        """Forgets a token, if it is there."""
        self._verdicts.pop(digest, None)
