"""Authentication: finds the tenant of a request by its certificate and its token. No I/O, no clock, no await.

`now` is whole microseconds of the Unix clock. A token's cheapest checks run first and its signature is
verified once; the outcome is valid until tenants, policy, keys or revocations change (`epoch`).
"""

from __future__ import annotations

from collections.abc import Mapping

from hoistplank.authorization import jws
from hoistplank.authorization.identity import Caller, CertificateIdentity, Credentials
from hoistplank.authorization.key_sets import Issuer, UnknownKeys, VerificationKey
from hoistplank.authorization.permissions import Ambiguity, TenantDirectory
from hoistplank.authorization.policy import ANONYMOUS_TENANT, AuthenticationPolicy
from hoistplank.authorization.rejection import (
    FORBIDDEN,
    TOO_MANY_REQUESTS,
    UNAUTHORIZED,
    UNAVAILABLE,
    Rejection,
)
from hoistplank.authorization.revocations import RevocationSet
from hoistplank.authorization.signature_budget import SignatureBudget
from hoistplank.authorization.token_cache import TokenCache, Verdict, VerifiedToken, verify

# Retry-After of a token whose key may not have been read yet: the key sets are read again within this time
# (`service.MAX_POLL_INTERVAL_S`).
UNKNOWN_KEY_RETRY_US = 300_000
MAX_RECENT_FIELDS = 512

# The outcome for a certificate without a tenant; a token sent with it may still name the tenant.
NO_TENANT = Rejection(UNAUTHORIZED, Ambiguity.NO_TENANT.value)
TWO_TENANTS = Rejection(UNAUTHORIZED, Ambiguity.TWO_TENANTS.value)
NO_TENANT_FOR_SUBJECT = Rejection(FORBIDDEN, "no tenant")
NO_CREDENTIALS = Rejection(UNAUTHORIZED, "no credentials")
CONFLICTING_TENANTS = Rejection(FORBIDDEN, "token of another tenant")
NOT_A_BEARER_TOKEN = Rejection(UNAUTHORIZED, "scheme")
TOKEN_TOO_LONG = Rejection(UNAUTHORIZED, "token size")
BAD_SIGNATURE = Rejection(UNAUTHORIZED, "token signature")
UNKNOWN_KEY = Rejection(UNAUTHORIZED, "token key")
KEY_NOT_KNOWN_YET = Rejection(UNAVAILABLE, "key not known yet", UNKNOWN_KEY_RETRY_US)
CHECKS_EXHAUSTED_REASON = "checks"


def _invalid_token(reason: str) -> Rejection:
    return Rejection(UNAUTHORIZED, f"token {reason}")


def _revoked(part: str) -> Rejection:
    return Rejection(UNAUTHORIZED, f"revoked {part}")


class Authenticator:
    """Holds tenants, issuers, revocations and the cache of verified tokens."""

    def __init__(
        self,
        tenants: TenantDirectory,
        issuers: Mapping[str, Issuer],
        policy: AuthenticationPolicy,
        now: int,
    ) -> None:
        self.tenants, self.issuers, self.policy = tenants, dict(issuers), policy
        self.revocations = RevocationSet()
        self.token_cache = TokenCache(policy.token_cache_size)
        self.unknown_keys = UnknownKeys()
        self._signature_budget = _budget(policy, now)
        self._epoch = 0
        # Clients repeat their tokens: a lookup by the authorization field itself saves the digest, a third of
        # the cost. The table is small and cleared at once, since it holds whole tokens, not digests.
        self._recent: dict[str, VerifiedToken] = {}

    def configure(self, tenants: TenantDirectory, policy: AuthenticationPolicy, now: int) -> None:
        """Applies new tenants and policy, from the next request on."""
        if policy != self.policy:
            self.token_cache.capacity = policy.token_cache_size
            self._signature_budget = _budget(policy, now)
        self.tenants, self.policy = tenants, policy
        self._epoch += 1

    def replace_issuers(self, issuers: Mapping[str, Issuer]) -> None:
        """Replaces the issuers and their keys."""
        before = {name: issuer.generation for name, issuer in self.issuers.items()}
        if {name: issuer.generation for name, issuer in issuers.items()} != before:
            self._epoch += 1
        self.issuers = dict(issuers)
        for issuer in issuers.values():
            self.unknown_keys.forget_known(issuer)

    @property
    def epoch(self) -> int:
        """Counter that grows with every change of tenants, policy, keys or revocations and so invalidates
        earlier outcomes."""
        return self._epoch + self.revocations.generation

    def authenticate(self, now: int, credentials: Credentials) -> Caller | Rejection:
        """Returns the caller of a request, or why it can't be determined."""
        identity, authorization, _ = credentials
        holder = self.holder(identity) if identity is not None else None
        if isinstance(holder, Rejection) and (not authorization or holder is not NO_TENANT):
            return holder
        if authorization:
            bearer = self._bearer(now, credentials)
            if (
                isinstance(bearer, Caller)
                and isinstance(holder, Caller)
                and bearer.tenant is not holder.tenant
            ):
                # Otherwise a token that leaked to another tenant would work from that tenant's machines.
                return CONFLICTING_TENANTS
            return bearer
        if isinstance(holder, Caller):
            return holder
        return self._anonymous()

    def _anonymous(self) -> Caller | Rejection:
        tenant = self.tenants.by_name.get(ANONYMOUS_TENANT) if self.policy.allow_anonymous else None
        return Caller(tenant, ANONYMOUS_TENANT) if tenant is not None else NO_CREDENTIALS

    # Certificates.

    def check_certificate(self, identity: CertificateIdentity) -> Rejection | None:
        """Returns why a certificate verified by a handshake is not accepted, or None."""
        part = self.revocations.revoked_part_of_certificate(identity.issuer, identity.serial, identity.names)
        return _revoked(part) if part else None

    def holder(self, identity: CertificateIdentity) -> Caller | Rejection:
        """Returns the caller that a certificate names, or why there is none."""
        epoch = self.epoch
        if identity.epoch != epoch or identity.outcome is None:
            identity.epoch, identity.outcome = epoch, self._find_holder(identity)
        return identity.outcome

    def _find_holder(self, identity: CertificateIdentity) -> Caller | Rejection:
        rejection = self.check_certificate(identity)
        if rejection is not None:
            return rejection
        match = self.tenants.of_certificate(identity.names)
        if isinstance(match, Ambiguity):
            return NO_TENANT if match is Ambiguity.NO_TENANT else TWO_TENANTS
        return Caller(match.tenant, match.name)

    # Tokens.

    def _bearer(self, now: int, credentials: Credentials) -> Caller | Rejection:
        authorization, epoch = credentials.authorization, self.epoch
        recent = self._recent.get(authorization)
        outcome = recent.outcome_at(now, epoch) if recent is not None else None
        if outcome is not None:
            return outcome
        return self._check_field(now, credentials, epoch)

    def _check_field(self, now: int, credentials: Credentials, epoch: int) -> Caller | Rejection:
        """Returns the caller of an authorization field's token, from the token cache or by a new check."""
        authorization = credentials.authorization
        scheme, _, token = authorization.partition(" ")
        if not token or (scheme != "Bearer" and scheme.lower() != "bearer"):
            return NOT_A_BEARER_TOKEN
        if len(token) > self.policy.max_token_bytes:
            return TOKEN_TOO_LONG
        digest = self.token_cache.digest(token)
        verdict = self.token_cache.get(digest)
        if verdict is Verdict.BAD_SIGNATURE:
            return BAD_SIGNATURE
        if verdict is not None:
            outcome = verdict.outcome_at(now, epoch)
            if outcome is not None:
                self._remember_recent(authorization, verdict)
                return outcome
            if self._has_key_of(verdict):
                return self._judge_verified(now, verdict)
            self.token_cache.discard(digest)  # its key was retired or replaced: the token is checked again
        return self._check_new(now, token, digest, credentials.source)

    def _remember_recent(self, authorization: str, token: VerifiedToken) -> None:
        if len(self._recent) >= MAX_RECENT_FIELDS:
            self._recent.clear()
        self._recent[authorization] = token

    def _has_key_of(self, token: VerifiedToken) -> bool:
        """Returns True if the same key object that verified a token is still in its issuer's set."""
        issuer = self.issuers.get(token.issuer)
        return issuer is not None and issuer.keys.get(token.key.kid) is token.key

    def _judge_verified(self, now: int, token: VerifiedToken) -> Caller | Rejection:
        """Repeats all checks except the signature, and caches the outcome."""
        policy = self.policy
        problem = jws.validity_problem(
            token.expires_us, token.not_before_us, now, policy.clock_skew_us, policy.max_lifetime_us
        )
        if problem:
            return _invalid_token(problem)
        earliest_us = max(token.not_before_us, token.expires_us - policy.max_lifetime_us)
        token.valid_from_us = earliest_us - policy.clock_skew_us
        token.valid_until_us = token.expires_us + policy.clock_skew_us
        token.epoch, outcome = self.epoch, self._subject_of(token)
        token.outcome = outcome
        return outcome

    def _subject_of(self, token: VerifiedToken) -> Caller | Rejection:
        part = self.revocations.revoked_part_of_token(token.issuer, token.key.kid, token.subject, token.jti)
        if part:
            return _revoked(part)
        tenant = self.tenants.of_subject(token.issuer, token.subject)
        return Caller(tenant, token.subject) if tenant is not None else NO_TENANT_FOR_SUBJECT

    def _check_new(self, now: int, token: str, digest: bytes, source: str) -> Caller | Rejection:
        """Checks a token that is not cached: everything cheap before the signature, which counts against a
        budget."""
        try:
            claims = jws.parse_token(token, self.policy.max_token_bytes)
        except jws.InvalidTokenError as error:
            return _invalid_token(error.reason)
        rejection = self._check_claims(now, claims)
        if rejection is not None:
            return rejection
        key = self._find_key(now, claims)
        if isinstance(key, Rejection):
            return key
        wait_us = self._signature_budget.take(source, now)
        if wait_us:
            return Rejection(TOO_MANY_REQUESTS, CHECKS_EXHAUSTED_REASON, wait_us)
        verdict = verify(claims, key)
        self.token_cache.put(digest, verdict)
        if verdict is Verdict.BAD_SIGNATURE:
            return BAD_SIGNATURE
        self._signature_budget.trust(source)
        return self._judge_verified(now, verdict)

    def _check_claims(self, now: int, claims: jws.TokenClaims) -> Rejection | None:
        issuer, policy = self.issuers.get(claims.issuer), self.policy
        if issuer is None:
            return _invalid_token("iss")
        if issuer.audience not in claims.audiences:
            return _invalid_token("aud")
        problem = jws.validity_problem(
            claims.expires_us, claims.not_before_us, now, policy.clock_skew_us, policy.max_lifetime_us
        )
        if problem:
            return _invalid_token(problem)
        part = self.revocations.revoked_part_of_token(claims.issuer, claims.kid, claims.subject, claims.jti)
        return _revoked(part) if part else None

    def _find_key(self, now: int, claims: jws.TokenClaims) -> VerificationKey | Rejection:
        issuer = self.issuers[claims.issuer]
        key = issuer.keys.get(claims.kid)
        if key is None:
            if self.unknown_keys.is_final(issuer, claims.kid, now):
                return UNKNOWN_KEY
            return KEY_NOT_KNOWN_YET
        if key.algorithm != claims.algorithm:
            return _invalid_token("alg")
        return key


def _budget(policy: AuthenticationPolicy, now: int) -> SignatureBudget:
    return SignatureBudget(policy.signature_checks, policy.signature_checks_per_source, now)
