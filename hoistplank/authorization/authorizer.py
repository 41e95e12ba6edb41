"""The gate: who a caller is, and whether a request of its may be taken. No I/O, no clock, nothing awaited.

One call a request (`admit`); `accounts.give` at its end. What it refuses never reaches the Router or a cache
host. What it admits is the Router's to decide like any other request. `now` is whole microseconds of the Unix
clock.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from hoistplank.authorization import jws
from hoistplank.authorization.limits import Accounts, Checks
from hoistplank.authorization.permissions import ALL_GROUPS, BOOK, OPERATE, PURGE, READ, Tenant, Tenants
from hoistplank.authorization.revocations import Revoked
from hoistplank.authorization.token_cache import Issuer, Proof, Proofs, Unknown, proof_of

ANYONE = "anyone"
ASK_AGAIN_US = 300_000  # for a token whose key may be on its way: the key set is read within this time
MOST_KEYS = 65_536  # operation keys in hand: those of ten thousand bookings a second
MOST_THINGS = 32_768
MOST_RECENT = 512


class Asked(Protocol):
    """What the gate reads of a request; whoever holds one hands it over as it is."""

    @property
    def class_name(self) -> str: ...
    @property
    def object_key(self) -> str: ...
    @property
    def group(self) -> int: ...
    @property
    def key(self) -> str: ...  # the operation key, or nothing


class Caller(NamedTuple):
    """Who a request belongs to, from its taking to its end: what is retired or revoked in between does not
    strike it."""

    tenant: Tenant
    name: str  # the subject, or the certificate's name


class Refusal(NamedTuple):
    """Status 401, 403, 429 or 503, a short cause, and how long to stay away (0: not told)."""

    status: int
    cause: str
    wait_us: int = 0


NO_TENANT = Refusal(
    401, "no tenant"
)  # of a certificate: a token beside it may still say whose the request is


@dataclass(slots=True, eq=False)
class Identity:
    """A client certificate that a handshake proved: issuer (RFC 4514), serial in hex, names `uri:…` and
    `dns:…`.

    `caller` is whose it was found to be, and stands while `epoch` is the gate's.
    """

    issuer: str
    serial: str
    names: tuple[str, ...]
    epoch: int = -1
    caller: Caller | Refusal | None = None


@dataclass(frozen=True, slots=True)
class Terms:
    """The figures of the operator's file that the gate goes by; times in microseconds, rates a second."""

    strangers: bool = False
    skew_us: int = 30_000_000
    longest_us: int = 86_400_000_000
    token_bytes: int = 4_096
    kept: int = 20_000
    checks: float = 600.0
    checks_each: float = 60.0


class Gate:
    def __init__(
        self,
        tenants: Tenants,
        issuers: Mapping[str, Issuer],
        terms: Terms,
        now: int,
        ask_keys: Callable[[], None] = lambda: None,
    ) -> None:
        self.revoked, self.accounts, self.unknown = Revoked(), Accounts(), Unknown()
        self.ask_keys, self.issuers = ask_keys, dict(issuers)
        self.counts: dict[tuple[str, str], int] = {}
        self.keeps_things = False  # whether an object's group is asked for: where there is a control front
        self._epoch = 0
        # What came a moment ago comes again: a look-up by the field itself saves its digest, a third of the
        # cost. Few
        # and let go together, since these are tokens as they came, not digests.
        self._recent: dict[str, Proof] = {}
        self.keys: OrderedDict[str, tuple[str, int]] = OrderedDict()  # operation key: tenant, until when
        self.object_keys: OrderedDict[str, int] = OrderedDict()  # object: the group its requests named
        self.proofs, self.checks = Proofs(terms.kept), Checks(terms.checks, terms.checks_each, now)
        self.terms = terms
        self.renew(tenants, terms, now)

    def renew(self, tenants: Tenants, terms: Terms, now: int) -> None:
        """Other tenants and figures, from the next request on; requests in hand keep what they were taken
        for."""
        if terms != self.terms:
            self.proofs.most = terms.kept
            self.checks = Checks(terms.checks, terms.checks_each, now)
        self.tenants, self.terms = tenants, terms
        self._epoch += 1
        self.accounts.renew(
            {row.name: (row.rate, row.burst, row.most_open, row.weight) for row in tenants.rows.values()}, now
        )
        for place in [place for place in self.counts if place[0] and place[0] not in tenants.rows]:
            del self.counts[place]

    def renew_issuers(self, issuers: Mapping[str, Issuer]) -> None:
        if {name: row.generation for name, row in issuers.items()} != {
            name: row.generation for name, row in self.issuers.items()
        }:
            self._epoch += 1
        self.issuers = dict(issuers)
        for issuer in issuers.values():
            self.unknown.found(issuer)

    @property
    def epoch(self) -> int:
        """Grows with every change of tenants, terms, keys or revocations: what was found before is looked at
        anew."""
        return self._epoch + self.revoked.generation

    # A request.

    def admit(
        self,
        now: int,
        identity: Identity | None,
        authorization: str,
        source: str,
        asked: Asked,
        books: bool,
        hold_us: int,
        most_open: int,
    ) -> Caller | Refusal:
        """Counts a request in and says whose it is, or why it is not taken.

        `authorization` is the field of that name; `source` whom its failing checks count against; `books`
        whether its
        traffic class has effects, `hold_us` how long an attempt of it may run or be remembered as having run;
        `most_open` as
        `limits.room` told it.
        """
        found = self._who(now, identity, authorization, source)
        if isinstance(found, Refusal):
            return self._refused("", found)
        tenant = found.tenant
        cause = tenant.refuses(BOOK if books else READ, asked.class_name, asked.group)
        if cause:
            return self._refused(tenant.name, Refusal(403, cause))
        key = asked.key.lower() if asked.key else ""
        if key:
            refusal = self._own_key(now, tenant, key)
            if refusal is not None:
                return self._refused(tenant.name, refusal)
        cause, wait = self.accounts.take(tenant.name, now, most_open)
        if cause:
            return self._refused(tenant.name, Refusal(429, cause, wait))
        if key:
            self.keys[key] = (tenant.name, now + hold_us)
            self.keys.move_to_end(key)
        if self.keeps_things and self.object_keys.get(asked.object_key) != asked.group:
            self.object_keys[asked.object_key] = asked.group
            if len(self.object_keys) > MOST_THINGS:
                self.object_keys.popitem(last=False)
        return found

    def _refused(self, tenant: str, refusal: Refusal) -> Refusal:
        place = (tenant, refusal.cause)
        self.counts[place] = self.counts.get(place, 0) + 1
        return refusal

    def _own_key(self, now: int, tenant: Tenant, key: str) -> Refusal | None:
        """Danger: a booking under another tenant's key would be dropped as a repeat of that one's, or drop
        it."""
        owner = self.tenants.key_owner(key)
        if owner and owner != tenant.name:
            return Refusal(403, "operation key")
        held = self.keys.get(key)
        if held is not None and held[1] > now and held[0] != tenant.name:
            return Refusal(429, "operation key in use", held[1] - now)
        while self.keys:
            oldest = next(iter(self.keys))
            if self.keys[oldest][1] > now:
                break
            del self.keys[oldest]
        if len(self.keys) >= MOST_KEYS and key not in self.keys:
            return Refusal(503, "operation keys full", ASK_AGAIN_US)
        return None

    # A caller.

    def certificate(self, identity: Identity) -> Refusal | None:
        """Why a certificate that a handshake has proven says nothing for its holder, or None."""
        struck = self.revoked.strikes_certificate(identity.issuer, identity.serial, identity.names)
        return self._refused("", Refusal(401, f"revoked {struck}")) if struck else None

    def _who(self, now: int, identity: Identity | None, authorization: str, source: str) -> Caller | Refusal:
        of_certificate = self._holder(identity) if identity is not None else None
        if isinstance(of_certificate, Refusal) and (not authorization or of_certificate is not NO_TENANT):
            return of_certificate
        if authorization:
            proof = self._recent.get(authorization)
            if proof is not None and proof.epoch == self.epoch and proof.from_us <= now < proof.until_us:
                found = proof.caller
                assert isinstance(found, Caller | Refusal)
            else:
                found = self._bearer(now, authorization, source)
            if (
                isinstance(found, Caller)
                and isinstance(of_certificate, Caller)
                and found.tenant is not of_certificate.tenant
            ):
                # Danger: a token that leaked to another member works from that member's machines.
                return Refusal(403, "token of another tenant")
            return found
        if isinstance(of_certificate, Caller):
            return of_certificate
        anyone = self.tenants.rows.get(ANYONE) if self.terms.strangers else None
        return Caller(anyone, ANYONE) if anyone is not None else Refusal(401, "no credentials")

    def _holder(self, identity: Identity) -> Caller | Refusal:
        epoch = self.epoch
        if identity.epoch != epoch or identity.caller is None:
            identity.epoch, identity.caller = epoch, self._found_holder(identity)
        return identity.caller

    def _found_holder(self, identity: Identity) -> Caller | Refusal:
        struck = self.revoked.strikes_certificate(identity.issuer, identity.serial, identity.names)
        if struck:
            return Refusal(401, f"revoked {struck}")
        tenant, name = self.tenants.of_names(identity.names)
        if tenant is not None:
            return Caller(tenant, name)
        return Refusal(401, name) if name == "two tenants" else NO_TENANT

    def _bearer(self, now: int, authorization: str, source: str) -> Caller | Refusal:
        scheme, _, token = authorization.partition(" ")
        if not token or (scheme != "Bearer" and scheme.lower() != "bearer"):
            return Refusal(401, "scheme")
        if len(token) > self.terms.token_bytes:
            return Refusal(401, "token size")
        digest = self.proofs.digest(token)
        proof = self.proofs.get(digest)
        if isinstance(proof, Proof):
            if proof.epoch == self.epoch and proof.from_us <= now < proof.until_us:
                if len(self._recent) >= MOST_RECENT:
                    self._recent.clear()
                self._recent[authorization] = proof
                assert isinstance(proof.caller, Caller | Refusal)
                return proof.caller
            issuer = self.issuers.get(proof.issuer)
            if issuer is not None and issuer.keys.get(proof.key.kid) is proof.key:
                return self._proven(now, proof)
            self.proofs.drop(digest)  # its key was retired or replaced: it is judged anew
        elif proof is None:
            return Refusal(401, "token signature")
        return self._unproven(now, token, digest, source)

    def _proven(self, now: int, proof: Proof) -> Caller | Refusal:
        terms = self.terms
        cause = jws.in_time(proof.expires_us, proof.not_before_us, now, terms.skew_us, terms.longest_us)
        if cause:
            return Refusal(401, f"token {cause}")
        proof.until_us = proof.expires_us + terms.skew_us
        proof.from_us = max(proof.not_before_us, proof.expires_us - terms.longest_us) - terms.skew_us
        proof.epoch, found = self.epoch, self._bearer_of(proof)
        proof.caller = found
        return found

    def _bearer_of(self, proof: Proof) -> Caller | Refusal:
        struck = self.revoked.strikes_token(proof.issuer, proof.key.kid, proof.subject, proof.jti)
        if struck:
            return Refusal(401, f"revoked {struck}")
        tenant = self.tenants.of_subject(proof.issuer, proof.subject)
        return Caller(tenant, proof.subject) if tenant is not None else Refusal(403, "no tenant")

    def _unproven(self, now: int, token: str, digest: bytes, source: str) -> Caller | Refusal:
        """All that is cheap is told before a signature is checked, and checks are counted."""
        try:
            claims = jws.parse(token, self.terms.token_bytes)
        except jws.BadToken as wrong:
            return Refusal(401, f"token {wrong.cause}")
        issuer = self.issuers.get(claims.issuer)
        if issuer is None:
            return Refusal(401, "token iss")
        if issuer.audience not in claims.audiences:
            return Refusal(401, "token aud")
        cause = jws.in_time(
            claims.expires_us, claims.not_before_us, now, self.terms.skew_us, self.terms.longest_us
        )
        if cause:
            return Refusal(401, f"token {cause}")
        struck = self.revoked.strikes_token(claims.issuer, claims.kid, claims.subject, claims.jti)
        if struck:
            return Refusal(401, f"revoked {struck}")
        key = issuer.keys.get(claims.kid)
        if key is None:
            if self.unknown.is_final(issuer, claims.kid, now):
                return Refusal(401, "token key")
            self.ask_keys()
            return Refusal(503, "key not known yet", ASK_AGAIN_US)
        if key.algorithm != claims.algorithm:
            return Refusal(401, "token alg")
        wait = self.checks.take(source, now)
        if wait:
            return Refusal(429, "checks", wait)
        proof = proof_of(claims, key)
        self.proofs.put(digest, proof)
        if proof is None:
            return Refusal(401, "token signature")
        self.checks.proven(source)
        return self._proven(now, proof)

    # What operators may look at and do.

    def operator(self, identity: Identity) -> Caller | Refusal:
        """Who a caller of the control front is: by certificate alone."""
        return self._holder(identity)

    def may_purge(self, caller: Caller, object_key: str, group: int | None) -> Refusal | None:
        """Why a purge is refused; `object_key` '' is the whole group."""
        tenant = caller.tenant
        if not tenant.rights & (PURGE | OPERATE):
            return self._refused(tenant.name, Refusal(403, "right"))
        owned = group
        if object_key and not tenant.rights & OPERATE and tenant.groups != ALL_GROUPS:
            # Danger: the purger's word for an object's group would let it purge what is not its own.
            owned = self.object_keys.get(object_key)
            if owned is None:
                return self._refused(tenant.name, Refusal(403, "object's group not known"))
        if owned is not None and not tenant.rights & OPERATE and not tenant.owns(owned):
            return self._refused(tenant.name, Refusal(403, "group"))
        return None
