"""Thundering herds: a token bucket, a leader and the place of the last copy, by object part and class."""

from __future__ import annotations

from collections import OrderedDict

from hoistplank.decision.health import HealthTracker
from hoistplank.decision.hosts import Host
from hoistplank.decision.purges import PurgeWatermarks
from hoistplank.decision.requests import BUCKET_SIZE, Attempt, Herd, Request

# A bucket is refilled at 8 a second, as the published design begins.
REFILL_PER_US = 8e-6
# For so long after a copy was last seen it should still be there.
COOLDOWN_US = 8_000_000
# Past the cooldown, a herd that was not asked for teaches nothing.
HERD_EXPIRY_US = 10_000_000


class HerdTable:
    """The herds by object, part and class, in the order of their last request."""

    def __init__(self, purges: PurgeWatermarks, health: HealthTracker) -> None:
        self.purges = purges
        self.health = health
        self.by_fingerprint: OrderedDict[tuple[str, int, str], Herd] = OrderedDict()

    def join(self, now_us: int, request: Request) -> Herd:
        """Takes a request into its herd; one that finds the bucket empty is marked as part of a herd."""
        herds = self.by_fingerprint
        fingerprint = (request.object_key, request.part, request.traffic_class.name)
        herd = herds.get(fingerprint)
        if herd is None:
            herd = herds[fingerprint] = Herd(now_us)
        # No refill while a fill of any length is in flight.
        if herd.leader is None:
            elapsed_us = now_us - herd.last_request_us
            herd.tokens = min(BUCKET_SIZE, herd.tokens + elapsed_us * REFILL_PER_US)
        herd.last_request_us = now_us
        herds.move_to_end(fingerprint)
        while next(iter(herds.values())).last_request_us < now_us - HERD_EXPIRY_US:
            herds.popitem(last=False)
        request.herd = herd
        request.in_herd = herd.tokens < 1
        if not request.in_herd:
            herd.tokens -= 1
        return herd

    def lead(self, attempt: Attempt) -> None:
        """A fill leads its herd where there is no leader."""
        herd = attempt.request.herd
        if herd is not None and herd.leader is None:
            herd.leader = attempt

    def end_lead(self, attempt: Attempt) -> None:
        """Any end of the leader counts as its end, so that no herd waits for one that hangs."""
        herd = attempt.request.herd
        if herd is not None and herd.leader is attempt:
            herd.leader = None

    def record_copy(self, now_us: int, attempt: Attempt, fetched: bool, hit: bool) -> None:
        """A copy was seen at the attempt's host; `fetched`: for this attempt, or for one that it joined."""
        herd, host = attempt.request.herd, attempt.host
        if herd is None:
            return
        if fetched or herd.host is not host or not herd.fetched_us:
            # Of a hit the age is not known: half its fresh time is the mean.
            half_fresh_us = attempt.request.traffic_class.fresh_us // 2
            herd.fetched_us = now_us - half_fresh_us if hit else attempt.sent_us
        herd.host = host
        herd.host_incarnation = host.incarnation
        herd.seen_us = now_us

    def copy_holder(self, now_us: int, request: Request, herd: Herd) -> Host | None:
        """The cooldown: the host where a copy that will do was seen so lately that it should still be there.

        Answers second copies and looks that cost a fill. Can harm where the host dropped the copy since: then
        one look misses.
        """
        host = herd.host
        if host is None or host.incarnation != herd.host_incarnation:
            return None
        if now_us - herd.seen_us > COOLDOWN_US or request.missed_host is host:
            return None
        if 0 < request.traffic_class.fresh_us <= now_us - herd.fetched_us:
            return None
        if herd.fetched_us <= self.purges.watermark_us(request):
            return None
        return host if self.health.is_usable(now_us, host) else None
