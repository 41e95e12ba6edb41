"""What a router is given at its start: its place in the fleet, its traffic classes, the limits of the rules.

Nothing here changes after the start, but for `Degradation`, of which a new value arrives as an event.
"""

from __future__ import annotations

from dataclasses import dataclass

# What may happen to a request whose attempt may have run (RFC 9110, section 9.2.2).
IDEMPOTENT = "idempotent"  # may run any number of times
KEYED = "keyed"  # carries an idempotency key: a repeat is dropped within the class's deduplication window
NON_IDEMPOTENT = "non-idempotent"  # may run once

# Among which hosts the repeats of a keyed request are dropped; any other value means the cell alone.
DEDUPLICATED_EVERYWHERE = "all"
DEDUPLICATED_IN_ZONE = "zone"

CLOCK_MARGIN_US = 1_000_000


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """The figures of one traffic class.

    The latency objective of a request is `latency_objective_us` and `objective_stretch` times its sending
    time. `priority_weight`: how much one of its requests counts against others. `stale_window_us`: for how
    long past `fresh_us` a copy may be served stale, at `stale_value_share` of the value of a fresh one.
    """

    name: str
    latency_objective_us: int
    objective_stretch: float
    deadline_us: int
    priority_weight: float
    late_value_share: float
    semantics: str
    deduplication_scope: str
    deduplication_window_us: int
    fresh_us: int
    stale_window_us: int
    stale_value_share: float
    uncached: bool
    streamed: bool


@dataclass(frozen=True, slots=True)
class RuleLimits:
    """The figures of the rules, and what the deployment allows.

    A host that is warming up may carry `warm_up_initial_share` of its capacity at its start and all of it
    after `warm_up_us`; within any `overload_window_us` it is pushed over by `overload_multiple` times that.
    """

    drain_grace_us: int
    warm_up_initial_share: float
    warm_up_us: int
    overload_window_us: int
    overload_multiple: float
    parent_warm_up_initial_share: float
    parent_warm_up_us: int
    parent_overload_multiple: float
    purge_delay_us: int
    answer_slack_us: int
    connect_timeout_us: int
    max_attempts: int
    may_hedge: bool
    may_cancel: bool
    may_health_check: bool
    may_bypass_caches: bool
    may_send_retry_after: bool
    max_retry_after_us: int
    must_watch_endpoints: bool
    poll_interval_us: int


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """A dispatcher's place in the fleet and what is known of its surroundings.

    `links_declared`: whether endpoints state their link as a number of transfers. `cache_status_complete`:
    whether every answer carries a cache status.
    """

    rules: RuleLimits
    traffic_classes: tuple[TrafficClass, ...]
    zone: str
    dispatcher_index: int
    dispatchers: int
    dispatchers_in_zone: int
    zone_link_kb_per_s: float
    stream_kb_per_s: float
    links_declared: bool
    caches_join_fills: bool
    cache_status_complete: bool
    sideways_sources: str
    parent_kind: str
    origin_kind: str
    load_report_fields: tuple[str, ...]
    load_reports_in_answers: bool
    tick_us: int

    @property
    def purge_hold_us(self) -> int:
        """For how long after a purge a copy from before it may still be asked for.

        Twice the time in which purges are carried out, or the longest fresh and stale time, and a second.
        """
        oldest_us = max((row.fresh_us + row.stale_window_us for row in self.traffic_classes), default=0)
        return max(2 * self.rules.purge_delay_us, oldest_us) + CLOCK_MARGIN_US

    @property
    def longest_deadline_us(self) -> int:
        """The longest time that a client of any class waits for its answer."""
        return max((row.deadline_us for row in self.traffic_classes), default=0)

    @property
    def zone_sharers(self) -> int:
        """The dispatchers that share what the zone has, this one included."""
        return max(1, self.dispatchers_in_zone)


@dataclass(frozen=True, slots=True)
class Degradation:
    """What graceful degradation asks of the router, by class name; the rules hold at every level.

    `reject`: classes whose new requests (first parts) are rejected at once; `every_part`: of those, the ones
    whose later parts are rejected, too; `stale_first`: classes that take a stale copy within its window
    before they wait for a fill; `fill_share`: of the limit on fills, above 0 and up to 1; `max_attempts`:
    attempts a request at most, 0 where the settings decide; `retry_share`: attempts beyond the first, over
    the last 10 s, as a share of first attempts, by class and by cache host; 0 for no such budget.
    Raises ValueError where a figure is out of its range.
    """

    level: str = "full"
    reject: tuple[str, ...] = ()
    every_part: tuple[str, ...] = ()
    stale_first: tuple[str, ...] = ()
    fill_share: float = 1.0
    max_attempts: int = 0
    retry_share: float = 0.0

    def __post_init__(self) -> None:
        if not 0.0 < self.fill_share <= 1.0:
            raise ValueError(f"fill_share {self.fill_share} is not above 0 and up to 1")
        if self.max_attempts < 0 or not 0.0 <= self.retry_share <= 16.0:
            figures = f"max_attempts {self.max_attempts} or retry_share {self.retry_share}"
            raise ValueError(f"{figures} out of range")
        if not set(self.every_part) <= set(self.reject):
            raise ValueError("every_part names a class that reject does not")

    def joined(self, other: Degradation) -> Degradation:
        """Both at once: the stricter of each figure, the union of each list, the level of `other`."""
        attempts = [figure for figure in (self.max_attempts, other.max_attempts) if figure]
        retry_shares = [figure for figure in (self.retry_share, other.retry_share) if figure]
        return Degradation(
            level=other.level,
            reject=_union(self.reject, other.reject),
            every_part=_union(self.every_part, other.every_part),
            stale_first=_union(self.stale_first, other.stale_first),
            fill_share=min(self.fill_share, other.fill_share),
            max_attempts=min(attempts, default=0),
            retry_share=min(retry_shares, default=0.0),
        )


def _union(first: tuple[str, ...], second: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(sorted({*first, *second}))
