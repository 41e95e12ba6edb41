"""The settings of a router: its place in the fleet, its traffic classes, and the limits of the rules.

Settings are fixed at the start. Only `Degradation` changes: a new value arrives as an event.
"""

from __future__ import annotations

from dataclasses import dataclass

# Retry semantics of a request whose attempt may have run (RFC 9110, section 9.2.2).
IDEMPOTENT = "idempotent"  # may run any number of times
KEYED = "keyed"  # carries an idempotency key: a repeat is dropped within the class's deduplication window
NON_IDEMPOTENT = "non-idempotent"  # may run at most once

# The hosts that drop repeats of a keyed request; any other value means the hosts of the same cell.
DEDUPLICATED_EVERYWHERE = "all"
DEDUPLICATED_IN_ZONE = "zone"

CLOCK_MARGIN_US = 1_000_000


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """The settings of one traffic class.

    The latency objective of a request is `latency_objective_us` plus `objective_stretch` times its sending
    time. `priority_weight`: the weight of one request against those of other classes. `stale_window_us`: the
    time after `fresh_us` in which a copy may be served stale, at `stale_value_share` of the value of a fresh
    copy.
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
    """The limits of the rules, and the features that the deployment allows.

    A host that is warming up can carry `warm_up_initial_share` of its capacity at its start and all of it
    after `warm_up_us`. It fails if it gets `overload_multiple` times that load within any
    `overload_window_us`.
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
    purge_grace_us: int | None = None  # None if the deployment states none

    @property
    def shortest_grace_us(self) -> int:
        """The time within which each change of the endpoint list or of the purges has to be received."""
        if self.purge_grace_us is None:
            return self.drain_grace_us
        return min(self.drain_grace_us, self.purge_grace_us)


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """A dispatcher's place in the fleet, and the properties of the fleet.

    `links_declared`: endpoints state the capacity of their link as a number of concurrent transfers.
    `cache_status_complete`: every answer carries a cache status.
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
    peer_sources: str
    parent_kind: str
    origin_kind: str
    load_report_fields: tuple[str, ...]
    load_reports_in_answers: bool
    tick_us: int

    @property
    def purge_hold_us(self) -> int:
        """The time for which a purge is kept: as long as a copy from before it may still be requested.

        Twice the time in which purges are carried out, or the longest fresh plus stale time if that is
        longer, plus `CLOCK_MARGIN_US`.
        """
        oldest_us = max((row.fresh_us + row.stale_window_us for row in self.traffic_classes), default=0)
        return max(2 * self.rules.purge_delay_us, oldest_us) + CLOCK_MARGIN_US

    @property
    def longest_deadline_us(self) -> int:
        """The longest time for which a client of any class waits for its answer."""
        return max((row.deadline_us for row in self.traffic_classes), default=0)

    @property
    def zone_sharers(self) -> int:
        """The number of dispatchers that share the capacity of the zone, this one included."""
        return max(1, self.dispatchers_in_zone)


@dataclass(frozen=True, slots=True)
class Degradation:
    """The limits that a degradation level sets for the router; the rules hold at every level.

    `reject`: names of the classes whose new requests (first parts) are rejected at once; `every_part`: those
    of them whose later parts are rejected, too; `stale_first`: names of the classes that are served a stale
    copy within its window before they wait for a fill; `fill_share`: the share of the limit on fills that
    may be used, above 0 and up to 1; `max_attempts`: the maximum number of attempts of a request, 0 for that
    of the settings; `retry_share`: the budget of attempts beyond the first, over the last 10 s, as a share
    of first attempts, by class and by cache host, 0 for no budget.
    Raises ValueError if a figure is out of its range.
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
            raise ValueError(f"fill_share {self.fill_share} must be above 0 and at most 1")
        if self.max_attempts < 0 or not 0.0 <= self.retry_share <= 16.0:
            figures = f"max_attempts {self.max_attempts} or retry_share {self.retry_share}"
            raise ValueError(
                f"{figures} is out of range: the first must be at least 0, the second from 0 to 16"
            )
        if not set(self.every_part) <= set(self.reject):
            raise ValueError("every_part names a class that reject does not name")

    def combined_with(self, other: Degradation) -> Degradation:
        """Returns the combination of both: the stricter figures, the unions of the lists, `other`'s level."""
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
