"""Authorization: decides if a request is admitted. No I/O, no clock, no await.

Each request calls `admit`, and `release` at its end. A rejected request never reaches the Router or a cache
host; the Router handles an admitted one like any other request. `now` is whole microseconds of the Unix
clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from hoistplank.authorization.authenticator import Authenticator
from hoistplank.authorization.fair_share import TenantLimiter, TenantQuota
from hoistplank.authorization.identity import Caller, CertificateIdentity, Credentials
from hoistplank.authorization.key_sets import Issuer
from hoistplank.authorization.object_groups import ObjectGroups
from hoistplank.authorization.operation_keys import OperationKeys
from hoistplank.authorization.permissions import ALL_GROUPS, OPERATE, PURGE, TenantDirectory
from hoistplank.authorization.policy import AuthenticationPolicy
from hoistplank.authorization.rejection import FORBIDDEN, Rejection

NO_PURGE_RIGHT = Rejection(FORBIDDEN, "right")
FOREIGN_GROUP = Rejection(FORBIDDEN, "group")
UNKNOWN_GROUP = Rejection(FORBIDDEN, "object's group not known")
NO_TENANT_NAME = ""  # counts rejections of requests without a known tenant


class RequestAttributes(Protocol):
    """The attributes of a request that authorization reads."""

    @property
    def class_name(self) -> str:
        """The traffic class."""

    @property
    def object_key(self) -> str:
        """Key of the requested object."""

    @property
    def purge_group(self) -> int:
        """Purge group of the object, as named in the request."""

    @property
    def idempotency_key(self) -> str:
        """The operation key, or an empty string."""


class ClassRules(NamedTuple):
    """Requirements of a traffic class: the right that callers need (a bit of `permissions`), and how long an
    operation key is held: the time that an attempt may run plus the window in which repeats are detected."""

    right: int
    key_hold_us: int


class RejectionCount(NamedTuple):
    """Key of the rejection counters; the tenant is empty if it was not known."""

    tenant: str
    reason: str


class Authorizer:
    """Admits requests; holds the state of authentication, limits and operation keys."""

    def __init__(
        self,
        tenants: TenantDirectory,
        issuers: Mapping[str, Issuer],
        policy: AuthenticationPolicy,
        now: int,
    ) -> None:
        self.authenticator = Authenticator(tenants, issuers, policy, now)
        self.limiter = TenantLimiter()
        self.rejections: dict[RejectionCount, int] = {}
        self.records_groups = False  # True if the admin server runs, whose purges need the objects' groups
        self._operation_keys = OperationKeys()
        self._object_groups = ObjectGroups()
        self.configure(tenants, policy, now)

    @property
    def tenants(self) -> TenantDirectory:
        """Tenants in force."""
        return self.authenticator.tenants

    def configure(self, tenants: TenantDirectory, policy: AuthenticationPolicy, now: int) -> None:
        """Applies new tenants and policy from the next request on; requests in progress keep the tenant that
        they were admitted for."""
        self.authenticator.configure(tenants, policy, now)
        quotas = {
            tenant.name: TenantQuota(tenant.rate, tenant.burst, tenant.max_open, tenant.weight)
            for tenant in tenants.by_name.values()
        }
        self.limiter.configure(quotas, now)
        for count in [count for count in self.rejections if count.tenant and count.tenant not in quotas]:
            del self.rejections[count]

    def admit(
        self,
        now: int,
        credentials: Credentials,
        request: RequestAttributes,
        rules: ClassRules,
        open_limit: int,
    ) -> Caller | Rejection:
        """Counts a request as open and returns its caller, or returns why it is not admitted. `open_limit` is
        the result of `fair_share.open_limit`."""
        caller = self.authenticator.authenticate(now, credentials)
        if isinstance(caller, Rejection):
            return self._count(NO_TENANT_NAME, caller)
        tenant = caller.tenant
        reason = tenant.denial_reason(rules.right, request.class_name, request.purge_group)
        if reason:
            return self._count(tenant.name, Rejection(FORBIDDEN, reason))
        key = request.idempotency_key.lower() if request.idempotency_key else ""
        rejection = self._operation_keys.check(now, self.tenants, tenant, key) if key else None
        if rejection is None:
            rejection = self.limiter.acquire(tenant.name, now, open_limit)
        if rejection is not None:
            return self._count(tenant.name, rejection)
        if key:
            self._operation_keys.hold(key, tenant, now + rules.key_hold_us)
        if self.records_groups:
            self._object_groups.record(request.object_key, request.purge_group)
        return caller

    def release(self, caller: Caller) -> None:
        """Releases an admitted request that has ended."""
        self.limiter.release(caller.tenant.name)

    def check_certificate(self, identity: CertificateIdentity) -> Rejection | None:
        """Returns why a certificate verified by a handshake is not accepted, or None; counts the
        rejection."""
        rejection = self.authenticator.check_certificate(identity)
        return self._count(NO_TENANT_NAME, rejection) if rejection is not None else None

    def authenticate_operator(self, identity: CertificateIdentity) -> Caller | Rejection:
        """Returns the caller of the admin server, identified by certificate alone."""
        return self.authenticator.holder(identity)

    def check_purge(self, caller: Caller, object_key: str, group: int | None) -> Rejection | None:
        """Returns why a purge is rejected, or None; an empty `object_key` means the whole group."""
        rejection = self._purge_problem(caller, object_key, group)
        return self._count(caller.tenant.name, rejection) if rejection is not None else None

    def _purge_problem(self, caller: Caller, object_key: str, group: int | None) -> Rejection | None:
        tenant = caller.tenant
        if tenant.rights & OPERATE:
            return None
        if not tenant.rights & PURGE:
            return NO_PURGE_RIGHT
        owned = group
        if object_key and tenant.groups != ALL_GROUPS:
            # The group that the caller claims for an object is not trusted: it could purge other tenants'
            # objects.
            owned = self._object_groups.get(object_key)
            if owned is None:
                return UNKNOWN_GROUP
        if owned is not None and not tenant.owns(owned):
            return FOREIGN_GROUP
        return None

    def _count(self, tenant: str, rejection: Rejection) -> Rejection:
        count = RejectionCount(tenant, rejection.reason)
        self.rejections[count] = self.rejections.get(count, 0) + 1
        return rejection
