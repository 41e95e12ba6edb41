"""Limits of tenants: a request rate, open requests, and a weighted fair share while capacity is short.

No I/O, no clock: `now` is whole microseconds that never run back. The state of a tenant that was removed is
dropped once its requests have ended.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from hoistplank.authorization.rejection import TOO_MANY_REQUESTS, Rejection
from hoistplank.authorization.token_bucket import TokenBucket

# The half-life of rejected requests in a tenant's demand: long enough that a client that retries after a
# second is seen as the same demand, short enough that a herd that ended frees its share.
DEMAND_HALF_LIFE_US = 500_000
NEGLIGIBLE_DEMAND = (
    0.01  # rejected requests; below it a tenant without open requests takes no part in the shares
)
# An event loop this late is overloaded: new requests wait as long before they are handled.
OVERLOAD_LAG_US = 40_000
MIN_OPEN_LIMIT = 16
# Shares apply once this part of the limit is open, and divide this part. The rest is kept for tenants below
# their share, who would otherwise be rejected until a herd's requests end (85 of 3,025 such requests were).
SHARED_PART = 0.85
WATER_LEVEL_INTERVAL_US = 20_000  # between two computations of the level while capacity is short
NEVER_US = -1 << 60

# Their reasons appear in the answer's X-Refusal field and in the admin server's views.
OPEN_LIMIT_REACHED = Rejection(TOO_MANY_REQUESTS, "open visits", 100_000)
ABOVE_SHARE = Rejection(TOO_MANY_REQUESTS, "share", 200_000)
RATE_REASON = "rate"


def open_limit(cap: int, total_open: int, lag_us: int) -> int:
    """Returns the limit on open requests of all tenants, 0 if capacity is not short.

    `cap` is the configured cap on open requests (0: none), `total_open` the number of open requests, `lag_us`
    the lag of the event loop.
    """
    if lag_us >= OVERLOAD_LAG_US:
        return max(MIN_OPEN_LIMIT, min(total_open, cap or total_open))
    return cap if cap and total_open >= cap * SHARED_PART else 0


class Demand(NamedTuple):
    """The capacity that a tenant wants, and the weight of its share."""

    amount: float
    weight: float


def water_level(capacity: float, demands: Iterable[Demand]) -> float:
    """Returns the level of weighted max-min fair shares: each demand gets min(amount, weight * level),
    together `capacity`; infinity if the capacity covers all demands."""
    demands = list(demands)
    if sum(demand.amount for demand in demands) <= capacity:
        return float("inf")  # before any division: rounding would cut a demand that just fits
    rows = sorted((demand.amount / demand.weight, demand.weight) for demand in demands)
    total_weight, remaining = sum(weight for _, weight in rows), capacity
    for height, weight in rows:
        if height * total_weight >= remaining:
            return remaining / total_weight
        remaining -= height * weight
        total_weight -= weight
    return float("inf")


class TenantQuota(NamedTuple):
    """Limits of a tenant: requests a second, burst, open requests (0: no limit), and the weight of its
    share."""

    rate: float
    burst: int
    max_open: int
    weight: float


class TenantUsage:
    """Open requests and quota of one tenant; `admitted` counts its admitted requests since the start."""

    __slots__ = ("_rejected", "_rejected_at_us", "admitted", "bucket", "max_open", "open", "weight")

    def __init__(self) -> None:
        self.bucket: TokenBucket | None = None
        self.open, self.max_open, self.weight, self.admitted = 0, 0, 1.0, 0
        self._rejected, self._rejected_at_us = 0.0, 0

    def demand(self, now: int) -> float:
        """Returns its open requests plus its recently rejected ones, which decay over time."""
        elapsed = now - self._rejected_at_us
        if elapsed > 0:
            self._rejected *= 0.5 ** (elapsed / DEMAND_HALF_LIFE_US)
            self._rejected_at_us = now
        return self.open + self._rejected

    def is_active(self) -> bool:
        """Returns True if the tenant takes part in the shares."""
        return bool(self.open) or self._rejected > NEGLIGIBLE_DEMAND

    def record_rejection(self, now: int) -> None:
        """Counts a request that was rejected for its share."""
        self.demand(now)
        self._rejected += 1

    def apply(self, quota: TenantQuota, now: int) -> None:
        """Applies another quota; rate tokens that were used stay used."""
        self.max_open, self.weight = quota.max_open, quota.weight
        burst = float(quota.burst or max(1.0, quota.rate))
        if not quota.rate:
            self.bucket = None
        elif self.bucket is None:
            self.bucket = TokenBucket(quota.rate, burst, now)
        else:
            self.bucket.reconfigure(quota.rate, burst, now)


class TenantLimiter:
    """Holds the usage of all tenants, and the water level while capacity is short."""

    def __init__(self) -> None:
        self.usage: dict[str, TenantUsage] = {}
        self.configured: set[str] = set()
        self.total_open = 0
        self._level, self._level_at_us = float("inf"), NEVER_US

    def configure(self, quotas: Mapping[str, TenantQuota], now: int) -> None:
        """Replaces the quotas, by tenant name."""
        self.configured = set(quotas)
        for name, quota in quotas.items():
            self.usage.setdefault(name, TenantUsage()).apply(quota, now)
        for name in [name for name, row in self.usage.items() if name not in quotas and not row.open]:
            del self.usage[name]
        self._level_at_us = NEVER_US

    def acquire(self, name: str, now: int, limit: int) -> Rejection | None:
        """Counts one more open request of a tenant, or returns why it is rejected.

        `limit` is the result of `open_limit`: the limit on open requests of all tenants, 0 if capacity is not
        short.
        """
        usage = self.usage[name]
        if usage.max_open and usage.open >= usage.max_open:
            return OPEN_LIMIT_REACHED
        if limit and (self.total_open >= limit or not self._within_share(usage, now, limit)):
            usage.record_rejection(now)
            return ABOVE_SHARE
        wait_us = usage.bucket.take(now) if usage.bucket is not None else 0
        if wait_us:
            return Rejection(TOO_MANY_REQUESTS, RATE_REASON, wait_us)
        usage.open += 1
        usage.admitted += 1
        self.total_open += 1
        return None

    def _within_share(self, usage: TenantUsage, now: int, limit: int) -> bool:
        """Returns True if one more request stays within the tenant's share.

        Otherwise one tenant's herd would fill the cap, and the others' bookings would be rejected. A tenant
        above its share is rejected even while capacity is free for a moment.
        """
        if now - self._level_at_us >= WATER_LEVEL_INTERVAL_US or self._level_at_us > now:
            # The requesting tenant's demand includes this request.
            demands = [
                Demand(other.demand(now) + (other is usage), other.weight)
                for other in self.usage.values()
                if other.is_active() or other is usage
            ]
            self._level, self._level_at_us = water_level(limit * SHARED_PART, demands), now
        return usage.open + 1 <= max(1.0, usage.weight * self._level)

    def release(self, name: str) -> None:
        """Releases a request of a tenant that has ended."""
        usage = self.usage.get(name)
        if usage is not None and usage.open:
            usage.open -= 1
            self.total_open -= 1
            if not usage.open and name not in self.configured:
                del self.usage[name]
