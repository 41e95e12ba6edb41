"""What a tenant may have at once: a rate, open requests, and a weighted share while there is not enough for
all.

No I/O, no clock: `now` is whole microseconds that never run back. State is let go with tenants that are gone.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from hoistplank.authorization.rejection import TOO_MANY_REQUESTS, Rejection
from hoistplank.authorization.token_bucket import TokenBucket

# Half of what a tenant asked for in vain counts as asked for still after this time: long enough that a client
# that comes again after a second is seen as the same demand, short enough that a herd that ended frees its
# share.
DEMAND_HALF_LIFE_US = 500_000
NEGLIGIBLE_DEMAND = 0.01  # rejected requests below which a tenant without open ones takes no part
# A loop that is so late has more than it can carry: new requests wait as long before they are looked at.
OVERLOAD_LAG_US = 40_000
MIN_OPEN_LIMIT = 16
# From this part of the limit on, places are given by shares, and shares are of this part: what lies above it
# is for those below theirs, who would else find it full until a herd's requests end (of 3,025 such requests
# 85 did).
SHARED_PART = 0.85
WATER_LEVEL_INTERVAL_US = 20_000  # how often the level is worked out anew while there is not enough
NEVER_US = -1 << 60

# The reasons as they stand in the answer's X-Refusal field and on the operators' page.
OPEN_LIMIT_REACHED = Rejection(TOO_MANY_REQUESTS, "open visits", 100_000)
ABOVE_SHARE = Rejection(TOO_MANY_REQUESTS, "share", 200_000)
RATE_REASON = "rate"


def open_limit(cap: int, total_open: int, lag_us: int) -> int:
    """How many requests may be open in all now, 0 where there is enough for everyone.

    `cap` is the configured cap on open requests (0: none), `total_open` how many are open, `lag_us` how late
    the event loop is.
    """
    if lag_us >= OVERLOAD_LAG_US:
        return max(MIN_OPEN_LIMIT, min(total_open, cap or total_open))
    return cap if cap and total_open >= cap * SHARED_PART else 0


class Demand(NamedTuple):
    """How much someone wants, and the weight of its share."""

    amount: float
    weight: float


def water_level(capacity: float, demands: Iterable[Demand]) -> float:
    """The level of weighted max-min fair shares: each gets min(amount, weight * level), and all together
    `capacity`, or all that is wanted (infinity)."""
    demands = list(demands)
    if sum(demand.amount for demand in demands) <= capacity:
        return float("inf")  # said before dividing: a demand that just fits would lose its last bit
    rows = sorted((demand.amount / demand.weight, demand.weight) for demand in demands)
    total_weight, remaining = sum(weight for _, weight in rows), capacity
    for height, weight in rows:
        if height * total_weight >= remaining:
            return remaining / total_weight
        remaining -= height * weight
        total_weight -= weight
    return float("inf")


class TenantQuota(NamedTuple):
    """Requests a second, burst and open requests at most (0: no limit each), and the weight of the share."""

    rate: float
    burst: int
    max_open: int
    weight: float


class TenantUsage:
    """What one tenant has open, and its quota. `admitted` counts from the start."""

    __slots__ = ("_rejected", "_rejected_at_us", "admitted", "bucket", "max_open", "open", "weight")

    def __init__(self) -> None:
        self.bucket: TokenBucket | None = None
        self.open, self.max_open, self.weight, self.admitted = 0, 0, 1.0, 0
        self._rejected, self._rejected_at_us = 0.0, 0

    def demand(self, now: int) -> float:
        """Its open requests, and those that it was lately denied."""
        elapsed = now - self._rejected_at_us
        if elapsed > 0:
            self._rejected *= 0.5 ** (elapsed / DEMAND_HALF_LIFE_US)
            self._rejected_at_us = now
        return self.open + self._rejected

    def is_active(self) -> bool:
        """Whether it takes part in the shares."""
        return bool(self.open) or self._rejected > NEGLIGIBLE_DEMAND

    def record_rejection(self, now: int) -> None:
        """One more request that found no place."""
        self.demand(now)
        self._rejected += 1

    def apply(self, quota: TenantQuota, now: int) -> None:
        """Takes up another quota; what was used up of the rate stays used up."""
        self.max_open, self.weight = quota.max_open, quota.weight
        burst = float(quota.burst or max(1.0, quota.rate))
        if not quota.rate:
            self.bucket = None
        elif self.bucket is None:
            self.bucket = TokenBucket(quota.rate, burst, now)
        else:
            self.bucket.reconfigure(quota.rate, burst, now)


class TenantLimiter:
    """All tenants' usage, and the water level while the core or the open cap is full."""

    def __init__(self) -> None:
        self.usage: dict[str, TenantUsage] = {}
        self.configured: set[str] = set()
        self.total_open = 0
        self._level, self._level_at_us = float("inf"), NEVER_US

    def configure(self, quotas: Mapping[str, TenantQuota], now: int) -> None:
        """Other tenants or quotas, by the tenant's name."""
        self.configured = set(quotas)
        for name, quota in quotas.items():
            self.usage.setdefault(name, TenantUsage()).apply(quota, now)
        for name in [name for name, row in self.usage.items() if name not in quotas and not row.open]:
            del self.usage[name]
        self._level_at_us = NEVER_US

    def acquire(self, name: str, now: int, limit: int) -> Rejection | None:
        """Counts one more open request of a tenant, or says why not.

        `limit` is how many requests may be open in all while there is not enough, 0 while there is.
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
        """Danger: one tenant's herd fills the cap, and the others' bookings find no place: who is below its
        share gets in, who is above waits, also where that leaves a place free for a moment."""
        if now - self._level_at_us >= WATER_LEVEL_INTERVAL_US or self._level_at_us > now:
            # The one that asks wants one more than it has.
            demands = [
                Demand(other.demand(now) + (other is usage), other.weight)
                for other in self.usage.values()
                if other.is_active() or other is usage
            ]
            self._level, self._level_at_us = water_level(limit * SHARED_PART, demands), now
        return usage.open + 1 <= max(1.0, usage.weight * self._level)

    def release(self, name: str) -> None:
        """A request of a tenant has ended."""
        usage = self.usage.get(name)
        if usage is not None and usage.open:
            usage.open -= 1
            self.total_open -= 1
            if not usage.open and name not in self.configured:
                del self.usage[name]
