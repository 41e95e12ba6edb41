"""Settings of a simulated world and of its dispatchers, the same for both backends."""

from __future__ import annotations

from math import exp
from typing import Any

import msgspec

from hoistplank.decision.settings import RouterSettings
from hoistplank.settings_reader import read_settings
from hoistplank.wire_fields import Fields, flatten

SECOND_US = 1_000_000
CACHE_HOST, PARENT, ORIGIN = "box", "parent", "origin"
HUB = "hub"


class TrafficClass(msgspec.Struct, frozen=True, kw_only=True):
    """A traffic class and the objects that its requests ask for. Times in microseconds, sizes in kB."""

    name: str
    share: float  # of all first parts requested
    kb: float
    utility: float = 1.0
    target_us: int = 300_000
    target_stretch: float = 2.0
    deadline_us: int = 2_500_000
    late_value: float = 0.2
    semantics: str = "idempotent"
    group: str = "all"
    window_us: int = 0
    size_sigma: float = 0.7  # sigma of the logarithm of sizes
    objects: int = 4_000
    zipf: float = 1.0
    parts: int = 1
    part_interval_us: int = 400_000
    next_part_chance: float = 0.9  # probability that a client requests a next part
    fresh_us: int = 0
    stale_us: int = 0
    stale_value: float = 0.0
    uncached: bool = False


PAGE = TrafficClass(
    name="page",
    share=0.55,
    kb=40.0,
    fresh_us=20 * SECOND_US,
    stale_us=20 * SECOND_US,
    stale_value=0.7,
    objects=800,
    zipf=1.15,
)
VIDEO = TrafficClass(
    name="video",
    share=0.18,
    kb=300.0,
    utility=1.5,
    target_us=500_000,
    deadline_us=4 * SECOND_US,
    objects=100,
    zipf=1.2,
    parts=6,
)
TILE = TrafficClass(name="tile", share=0.17, kb=15.0, utility=0.5, target_us=250_000, objects=1_000, zipf=1.1)
BOOKING = TrafficClass(
    name="booking",
    share=0.07,
    kb=2.0,
    utility=4.0,
    target_us=600_000,
    target_stretch=0.0,
    deadline_us=3 * SECOND_US,
    semantics="deduplicated",
    window_us=5 * SECOND_US,
    uncached=True,
    size_sigma=0.3,
)
PAYMENT = TrafficClass(
    name="payment",
    share=0.03,
    kb=2.0,
    utility=6.0,
    target_us=800_000,
    target_stretch=0.0,
    deadline_us=3 * SECOND_US,
    semantics="at_most_once",
    uncached=True,
    size_sigma=0.3,
)
CLASSES = (PAGE, VIDEO, TILE, BOOKING, PAYMENT)


class WorldSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The size of a world and its machines; capacities of links are in transfers at full rate."""

    seconds: float = 20.0
    warm_up_s: float = 6.0  # before the start of the day: caches fill and nothing is counted
    zones: int = 1
    caches: int = 6  # of each zone
    parents: int = 2
    dispatchers: int = 2  # of each zone
    rate: float = 120.0  # first parts a second of each zone
    classes: tuple[TrafficClass, ...] = CLASSES
    transfer_kb_s: float = 1_000.0
    cache_link: float = 8.0
    parent_link: float = 16.0
    zone_link: float = 20.0
    origin_link: float = 40.0
    overload_loss: float = 0.04  # share of a link's capacity lost per multiple of overload
    cores: int = 4
    work_us: int = 400  # CPU time of a core for each attempt
    max_queue_us: int = 250_000
    cache_kb: float = 80_000.0
    parent_cache_kb: float = 400_000.0
    max_fills: int = 32
    fill_timeout_us: int = 2 * SECOND_US
    fill_attempts: int = 2
    origin_workers: int = 16
    origin_us: int = 25_000
    origin_queue_us: int = SECOND_US
    origin_slowdown: float = 1.0  # relative slowdown of the origin when its queue is full
    origin_overload_multiple: float = 2.5
    origin_overload_window_us: int = 3 * SECOND_US
    origin_restart_us: int = 4 * SECOND_US
    cold_start_share: float = 0.2
    warm_up_us: int = 10 * SECOND_US
    overload_window_us: int = 1_500_000
    overload_multiple: float = 2.5
    restart_us: int = 3 * SECOND_US  # downtime of a host that crashed from overload
    zone_delay_us: int = 300
    hub_delay_us: int = 12_000
    log_delay_us: tuple[int, int] = (30_000, 300_000)
    purge_delay_us: int = 3 * SECOND_US
    groups: int = 32
    local_share: float = 0.15  # of requests: for objects requested in one zone only
    drift: float = 2.0  # ranks a second by which popularity shifts
    retries: int = 1
    backoff_us: int = 60_000
    honours_retry_after: float = 0.8  # share of clients that wait as long as Retry-After says
    crash_detection_us: int = SECOND_US  # until the load balancer stops sending to a crashed dispatcher
    tick_us: int = 1_000
    event_cpu_us: int = 0  # CPU time of a dispatcher's core for each event; 0: not counted

    def start_us(self) -> int:
        """Return the start of the day on the world's clock; faults and measures count from it."""
        return int(self.warm_up_s * SECOND_US)

    def end_of_arrivals_us(self) -> int:
        """Return the time after which no client arrives."""
        return int((self.warm_up_s + self.seconds) * SECOND_US)

    def mean_kb(self) -> float:
        """Return the mean size of a transfer in kB, over all parts of all traffic classes."""
        kb = requests = 0.0
        for traffic_class in self.classes:
            parts = sum(traffic_class.next_part_chance**n for n in range(traffic_class.parts))
            kb += (
                traffic_class.share
                * parts
                * traffic_class.kb
                * exp(traffic_class.size_sigma * traffic_class.size_sigma / 2)
            )
            requests += traffic_class.share * parts
        return kb / requests

    def requests_per_session(self) -> float:
        """Return the mean number of requests of a session."""
        return sum(row.share * sum(row.next_part_chance**n for n in range(row.parts)) for row in self.classes)

    def dispatcher_settings(self, zone: int, index: int) -> dict[str, Any]:
        """Return the settings that a dispatcher gets at its start, with the platform's names and units."""
        return {
            "areas": [HUB, *(f"z{n}" for n in range(self.zones))],
            "models": [CACHE_HOST, PARENT, ORIGIN],
            "zone": f"z{zone}",
            "group_size": self.zones * self.dispatchers,
            "index": index,
            "classes": [_class_settings(row) for row in self.classes],
            "family_info": self._family_settings(),
            "limits": {
                "connect_timeout": 0.4,
                "max_attempts": 4,
                "may_cancel": True,
                "retry_after": True,
                "max_retry_after": 1.0,
                "open_cap": 4_000,
                "streams_per_conn": 50,
                "idle_close": 30.0,
            },
            "rules": {
                "stop_sending_within": 0.25,
                "cold_from": self.cold_start_share,
                "cold": self.warm_up_us / SECOND_US,
                "fall_multiple": self.overload_multiple,
                "tip_after": self.overload_window_us / SECOND_US,
                "answer_slack": 0.01,
            },
            "discovery": "automatic",
            "weights": "nominal",
            "round": self.tick_us / SECOND_US,
        }

    def _family_settings(self) -> dict[str, Any]:
        return {
            "second_tier_kind": 1,
            "master_kind": 2,
            "uncached": [row.uncached for row in self.classes],
            "lifetime_by_class": [row.fresh_us / SECOND_US for row in self.classes],
            "class_grace": [row.stale_us / SECOND_US for row in self.classes],
            "worth_when_old": [row.stale_value for row in self.classes],
            "may_pass_by": True,
            "joins": True,
            "notes_given": "all",
            "stream_kb_per_s": self.transfer_kb_s,
            "zone_link_kb_per_s": [0.0, *([self.zone_link * self.transfer_kb_s] * self.zones)],
            "instances_by_zone": [0, *([self.dispatchers] * self.zones)],
            "parent_starts_at": self.cold_start_share,
            "parent_ramp": self.warm_up_us / SECOND_US,
            "parent_fall_multiple": self.overload_multiple,
            "purge_takes": self.purge_delay_us / SECOND_US,
        }

    def site(self, zone: int, index: int) -> RouterSettings:
        """Return the router settings of a dispatcher, parsed as a dispatcher does."""
        fields = Fields([])
        fields.pairs = flatten(self.dispatcher_settings(zone, index))
        return read_settings(fields)


def _class_settings(row: TrafficClass) -> dict[str, Any]:
    return {
        "name": row.name,
        "target": row.target_us / SECOND_US,
        "aim_stretch": row.target_stretch,
        "give_up": row.deadline_us / SECOND_US,
        "semantics": row.semantics,
        "group": row.group,
        "dedup_window": row.window_us / SECOND_US,
        "gain": row.utility,
        "late_value": row.late_value,
    }


def scaled_settings(
    caches: int, dispatchers: int, zones: int, rate: float, load: float = 0.6, seconds: float = 20.0
) -> WorldSettings:
    """Return settings of a world of this total size, its links sized for a load (0.6: usual, 1: full).

    Of all bytes that the clients of a zone request at full load, the zone's link carries 28 %. A parent's
    link carries 30 % of the parent's share of all bytes, and the origin's link 20 % of all bytes; the links
    of caches have 1.3 times the needed capacity. With these values the zone's link is the first bottleneck,
    as it is on the benchmark platform. With the caches' or the origin's link first, two random choices would
    beat plain hashing, which they don't on that platform. A host has capacity for at least two transfers,
    whatever the rate.
    """
    base = WorldSettings()
    caches_per_zone, rate_per_zone = max(1, caches // zones), rate / zones
    transfers = (
        rate_per_zone * base.requests_per_session() * base.mean_kb() / base.transfer_kb_s
    )  # concurrent transfers of a zone, at full rate
    parents = max(2, zones // 2)
    classes = tuple(
        msgspec.structs.replace(row, objects=max(200, int(row.objects * min(4.0, rate_per_zone / base.rate))))
        for row in base.classes
    )
    uncached = sum(row.share for row in base.classes if row.uncached)
    return msgspec.structs.replace(
        base,
        seconds=seconds,
        zones=zones,
        caches=caches_per_zone,
        dispatchers=max(1, dispatchers // zones),
        parents=parents,
        rate=rate_per_zone,
        classes=classes,
        cache_link=max(2.0, 1.3 * transfers / caches_per_zone / load),
        zone_link=max(4.0, 0.28 * transfers / load),
        parent_link=max(4.0, 0.3 * transfers * zones / parents / load),
        origin_link=max(8.0, 0.2 * transfers * zones / load),
        cache_kb=max(4_000.0, base.cache_kb * base.caches * (rate_per_zone / base.rate) / caches_per_zone),
        parent_cache_kb=max(20_000.0, base.parent_cache_kb * base.parents * (rate / base.rate) / parents),
        origin_workers=max(8, int(2.2 * rate * (uncached + 0.12) * base.origin_us / SECOND_US / load)),
    )
