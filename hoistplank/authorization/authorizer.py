"""Authorization: whether a request may be admitted. No I/O, no clock, nothing awaited.

One call a request (`admit`), and `release` at its end. What is rejected never reaches the Router or a cache
host. What is admitted is the Router's to decide like any other request. `now` is whole microseconds of the
Unix clock.
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
NO_TENANT_NAME = ""  # under which rejections are counted whose tenant is not known


class RequestAttributes(Protocol):
    """What authorization reads of a request; whoever holds one hands it over as it is."""

    @property
    def class_name(self) -> str:
        """The traffic class."""

    @property
    def object_key(self) -> str:
        """The object that is asked for."""

    @property
    def purge_group(self) -> int:
        """The object's purge group, as the request names it."""

    @property
    def idempotency_key(self) -> str:
        """The operation key, or an empty string."""


class ClassRules(NamedTuple):
    """What a traffic class asks of its callers: the right (a bit of `permissions`), and how long an attempt
    may run or be remembered as having run."""

    right: int
    key_hold_us: int


class RejectionCount(NamedTuple):
    """Whose requests were rejected and why; the tenant is empty where it was not known."""

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
        self.records_groups = False  # whether an object's group is asked for: where there is an admin server
        self._operation_keys = OperationKeys()
        self._object_groups = ObjectGroups()
        self.configure(tenants, policy, now)

    @property
    def tenants(self) -> TenantDirectory:
        """The tenants in force."""
        return self.authenticator.tenants

    def configure(self, tenants: TenantDirectory, policy: AuthenticationPolicy, now: int) -> None:
        """Other tenants and figures, from the next request on; requests in progress keep what they were
        admitted for."""
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
        """Counts a request as open and says whose it is, or why it is not admitted. `open_limit` as
        `fair_share.open_limit` gave it."""
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
        """An admitted request has ended."""
        self.limiter.release(caller.tenant.name)

    def check_certificate(self, identity: CertificateIdentity) -> Rejection | None:
        """Why a certificate that a handshake has proven is not accepted, or None."""
        rejection = self.authenticator.check_certificate(identity)
        return self._count(NO_TENANT_NAME, rejection) if rejection is not None else None

    def authenticate_operator(self, identity: CertificateIdentity) -> Caller | Rejection:
        """Who a caller of the admin server is: by certificate alone."""
        return self.authenticator.holder(identity)

    def check_purge(self, caller: Caller, object_key: str, group: int | None) -> Rejection | None:
        """Why a purge is rejected, or None; `object_key` '' is the whole group."""
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
            # Danger: the purger's own claim of an object's group would let it purge what is not its own.
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
