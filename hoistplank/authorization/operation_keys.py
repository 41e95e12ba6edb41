"""The tenant that each idempotency key (operation key) belongs to while attempts with it may run. No I/O, no
clock.

Without this, the origin would drop a booking that uses another tenant's key as a repeat of that tenant's
booking, or the other way round.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from hoistplank.authorization.permissions import Tenant, TenantDirectory
from hoistplank.authorization.rejection import FORBIDDEN, TOO_MANY_REQUESTS, UNAVAILABLE, Rejection

MAX_KEYS = 65_536  # enough for ten thousand bookings a second
RETRY_WHEN_FULL_US = 300_000

RESERVED_PREFIX = Rejection(FORBIDDEN, "operation key")
TABLE_FULL = Rejection(UNAVAILABLE, "operation keys full", RETRY_WHEN_FULL_US)
IN_USE_REASON = "operation key in use"


class KeyHold(NamedTuple):
    """The tenant that holds a key, and the time at which the hold ends."""

    tenant: str
    until_us: int


class OperationKeys:
    """The keys held at present, in the order of their latest hold; at most MAX_KEYS."""

    def __init__(self) -> None:
        self._holds: OrderedDict[str, KeyHold] = OrderedDict()

    def check(self, now: int, tenants: TenantDirectory, tenant: Tenant, key: str) -> Rejection | None:
        """Returns why a tenant may not use a key now, or None. `key` is in lower case."""
        owner = tenants.key_owner(key)
        if owner and owner != tenant.name:
            return RESERVED_PREFIX
        hold = self._holds.get(key)
        if hold is not None and hold.until_us > now and hold.tenant != tenant.name:
            return Rejection(TOO_MANY_REQUESTS, IN_USE_REASON, hold.until_us - now)
        self._expire(now)
        if len(self._holds) >= MAX_KEYS and key not in self._holds:
            return TABLE_FULL
        return None

    def hold(self, key: str, tenant: Tenant, until_us: int) -> None:
        """Reserves a key for a tenant until no attempt with it can run or be detected as a repeat."""
        self._holds[key] = KeyHold(tenant.name, until_us)
        self._holds.move_to_end(key)

    def _expire(self, now: int) -> None:
        while self._holds:
            oldest = next(iter(self._holds))
            if self._holds[oldest].until_us > now:
                break
            del self._holds[oldest]
