"""Thundering herds: a token bucket, a leader and the location of the last copy, by object part and class."""

from __future__ import annotations

from collections import OrderedDict

from hoistplank.decision.health import HealthTracker
from hoistplank.decision.hosts import Host
from hoistplank.decision.purges import PurgeWatermarks
from hoistplank.decision.requests import BUCKET_SIZE, Attempt, Herd, Request

# A bucket is refilled with 8 tokens a second, the initial rate of the published design.
REFILL_PER_US = 8e-6
# The time for which a host should still hold a copy after it was last seen there.
COOLDOWN_US = 8_000_000
# A herd without requests for longer than the cooldown holds nothing of use.
HERD_EXPIRY_US = 10_000_000
# The memory of a herd without its order of hosts, and of each host in that.
HERD_BYTES, ORDERED_HOST_BYTES = 960, 8


class HerdTable:
    """The herds by object, part and class, in the order of their last request."""

    def __init__(self, purges: PurgeWatermarks, health: HealthTracker) -> None:
        self.purges = purges
        self.health = health
        self.by_fingerprint: OrderedDict[tuple[str, int, str], Herd] = OrderedDict()
        self.max_bytes: int | None = None  # None: no bound but the expiry

    def join(self, now_us: int, request: Request) -> Herd:
        """Adds a request to its herd; `in_herd` is set if the token bucket is empty."""
        herds = self.by_fingerprint
        fingerprint = (request.object_key, request.part, request.traffic_class.name)
        herd = herds.get(fingerprint)
        if herd is None:
            herd = herds[fingerprint] = Herd(now_us)
        # No refill while the leader's fill is in flight, however long it takes.
        if herd.leader is None:
            elapsed_us = now_us - herd.last_request_us
            herd.tokens = min(BUCKET_SIZE, herd.tokens + elapsed_us * REFILL_PER_US)
        herd.last_request_us = now_us
        herds.move_to_end(fingerprint)
        while next(iter(herds.values())).last_request_us < now_us - HERD_EXPIRY_US:
            herds.popitem(last=False)
        if self.max_bytes is not None and len(herds) > self._max_herds(self.max_bytes):
            # Clients that ask for ever new objects must not fill the memory within the expiry.
            herds.popitem(last=False)
        request.herd = herd
        request.in_herd = herd.tokens < 1
        if not request.in_herd:
            herd.tokens -= 1
        return herd

    def _max_herds(self, max_bytes: int) -> int:
        hosts = self.health.hosts
        ordered_hosts = len(hosts.caches) + len(hosts.parents)
        return max(1, max_bytes // (HERD_BYTES + ORDERED_HOST_BYTES * ordered_hosts))

    def make_leader(self, attempt: Attempt) -> None:
        """Makes a fill the leader of its herd if the herd has none."""
        herd = attempt.request.herd
        if herd is not None and herd.leader is None:
            herd.leader = attempt

    def clear_leader(self, attempt: Attempt) -> None:
        """Removes a leader, whatever the outcome of its attempt, so that no herd waits for a lost leader."""
        herd = attempt.request.herd
        if herd is not None and herd.leader is attempt:
            herd.leader = None

    def record_copy(self, now_us: int, attempt: Attempt, fetched: bool, hit: bool) -> None:
        """Records a copy at the attempt's host; `fetched`: for this attempt, or for a fill that it joined."""
        herd, host = attempt.request.herd, attempt.host
        if herd is None:
            return
        if fetched or herd.host is not host or not herd.fetched_us:
            # The age of a hit is unknown: assume the mean, half its fresh time.
            half_fresh_us = attempt.request.traffic_class.fresh_us // 2
            herd.fetched_us = now_us - half_fresh_us if hit else attempt.sent_us
        herd.host = host
        herd.host_incarnation = host.incarnation
        herd.seen_us = now_us

    def copy_holder(self, now_us: int, request: Request, herd: Herd) -> Host | None:
        """Returns the host that should still hold a valid copy, since it had one within the cooldown.

        Avoids second copies and attempts that cost a fill. The cost: an attempt at a host that has dropped
        its copy in the meantime is a miss.
        """
        host = herd.host
        if host is None or host.incarnation != herd.host_incarnation:
            return None
        if now_us - herd.seen_us > COOLDOWN_US or request.missed_host is host:
            return None
        if 0 < request.traffic_class.fresh_us <= now_us - herd.fetched_us:
            return None
        if herd.fetched_us <= self.purges.watermark_us(now_us, request):
            return None
        return host if self.health.is_usable(now_us, host) else None
