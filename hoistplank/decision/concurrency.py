"""Concurrency limits of this dispatcher: attempts in flight at a cache host, and fills over a zone's link."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from hoistplank.decision.health import HealthTracker
from hoistplank.decision.hosts import Host
from hoistplank.decision.requests import Attempt, TrafficClassState
from hoistplank.decision.settings import Degradation, RouterSettings

# The initial limit of a host without a declared link, shared by the dispatchers.
UNDECLARED_HOST_LIMIT = 8.0
MIN_SHARED_LIMIT = 2.0
# A hit that takes more than twice its sending time lowers the limit, in larger steps while the limit is
# small; one that takes less than 1.4 times its sending time raises the limit while it is nearly reached.
SLOW_HIT_FACTOR, SLOW_HIT_MARGIN_US = 2, 10_000
QUICK_HIT_FACTOR, QUICK_HIT_MARGIN_US = 1.4, 5_000
SMALL_LIMIT = 4
SMALL_LIMIT_DECREASE, LIMIT_DECREASE = 0.9, 0.97
LIMIT_INCREASE = 0.3
USED_UP_MARGIN = 2

# The initial limit on fills without a declared link, shared by the dispatchers.
UNDECLARED_FILL_LIMIT = 16.0
# Half as many fills again as the link carries at full speed.
FILLS_PER_LINK = 1.5
MIN_FILL_LIMIT_SHARE = 0.3
FILL_LIMIT_INCREASE = 0.3
FILL_LIMIT_DECREASE = 0.95
# The limit is extended up to three times while load reports of the last second show spare link capacity.
MAX_EXTENSION = 3.0
LOAD_REPORT_US = 1_000_000
MIN_LINK_LOAD = 0.1
IN_TIME_SHARE_FOR_EXTENSION = 0.85
# A class whose share of fills in time is below this gets only that share of the limit.
LATE_CLASS_SHARE = 0.5

LINK_LOAD_FIELD = "link_full"


class HostLimits:
    """The concurrency limit of each host, adapted to the duration of its hits."""

    def __init__(self, settings: RouterSettings, health: HealthTracker) -> None:
        self.health = health
        self.links_declared = settings.links_declared
        self.sharers = settings.zone_sharers

    def register(self, host: Host) -> None:
        """Sets the initial limit of a new host."""
        if not self.links_declared:
            host.concurrency_limit = max(MIN_SHARED_LIMIT, UNDECLARED_HOST_LIMIT / self.sharers)

    def apply_declared_link(self, host: Host) -> None:
        """Lowers the limit to the capacity of the host's link that the list declares."""
        if self.links_declared and host.units > 0:
            # Twice its link plus two: a hit that takes twice its sending time still meets most objectives.
            host.concurrency_ceiling = max(MIN_SHARED_LIMIT, (2.0 + 2.0 * host.units) / self.sharers)
        host.concurrency_limit = min(host.concurrency_limit, host.concurrency_ceiling)

    def has_capacity(self, now_us: int, host: Host) -> bool:
        """Returns True if a cache host is usable and below its limit for this dispatcher.

        Protects a host whose link is full, at which every answer would be late. The cost is a second copy at
        another host.
        """
        if not self.health.is_usable(now_us, host):
            return False
        return host.attempts_in_flight < min(host.recovery_limit, host.concurrency_limit)

    def record_start(self, attempt: Attempt) -> None:
        """Counts an attempt at its host and, unless the host answers without a fill, at its source."""
        attempt.host.attempts_in_flight += 1
        if attempt.source is not None and not attempt.answers_locally:
            attempt.source.attempts_in_flight += 1

    def record_end(self, attempt: Attempt) -> None:
        """Reverts what `record_start` counted."""
        attempt.host.attempts_in_flight -= 1
        if attempt.source is not None and not attempt.answers_locally:
            attempt.source.attempts_in_flight -= 1

    def adapt(self, host: Host, took_us: int, sending_time_us: float) -> None:
        """Adapts the limit to the duration of a hit of known size."""
        limit = host.concurrency_limit
        if took_us > SLOW_HIT_FACTOR * sending_time_us + SLOW_HIT_MARGIN_US:
            factor = LIMIT_DECREASE if limit > SMALL_LIMIT else SMALL_LIMIT_DECREASE
            host.concurrency_limit = max(1.0, limit * factor)
            return
        quick = took_us < QUICK_HIT_FACTOR * sending_time_us + QUICK_HIT_MARGIN_US
        if quick and host.attempts_in_flight >= limit - USED_UP_MARGIN:
            host.concurrency_limit = min(host.concurrency_ceiling, limit + LIMIT_INCREASE)


class FillLimit:
    """The limit on fills in flight, this dispatcher's share of the zone's link."""

    def __init__(
        self,
        settings: RouterSettings,
        health: HealthTracker,
        class_states: Iterable[TrafficClassState],
    ) -> None:
        self.health = health
        self.class_states = tuple(class_states)
        self.load_report_fields = settings.load_report_fields
        self.fill_share = 1.0  # share of the limit that the degradation level in force allows
        self.in_flight = 0
        self.link_load = FILLS_PER_LINK
        self.link_load_us = -LOAD_REPORT_US
        self.limit = UNDECLARED_FILL_LIMIT / settings.zone_sharers
        self.ceiling = inf
        self.min_limit = MIN_SHARED_LIMIT
        if settings.zone_link_kb_per_s > 0 and settings.stream_kb_per_s > 0:
            transfers = settings.zone_link_kb_per_s / settings.stream_kb_per_s / settings.zone_sharers
            self.limit = self.ceiling = max(MIN_SHARED_LIMIT, FILLS_PER_LINK * transfers)
            self.min_limit = MIN_FILL_LIMIT_SHARE * self.ceiling

    def apply_degradation(self, degradation: Degradation) -> None:
        """Sets the share of the limit that a degradation level allows."""
        self.fill_share = degradation.fill_share

    def record_start(self, class_state: TrafficClassState) -> None:
        """Counts a fill that was sent."""
        self.in_flight += 1
        class_state.fills_in_flight += 1

    def record_end(self, class_state: TrafficClassState) -> None:
        """Counts the end of a fill, whatever its outcome."""
        self.in_flight -= 1
        class_state.fills_in_flight -= 1

    def adapt(self, in_time: bool) -> None:
        """Raises the limit after a fill that was in time, and lowers it after a late one.

        An overloaded origin takes longer for each fill the more fills are in flight: fewer end sooner.
        """
        nearly_used_up = self.in_flight >= self.limit - USED_UP_MARGIN
        if in_time and (nearly_used_up or self.ceiling < inf):
            self.limit = min(self.ceiling, self.limit + FILL_LIMIT_INCREASE)
        elif nearly_used_up and not in_time:
            self.limit = max(self.min_limit, self.limit * FILL_LIMIT_DECREASE)

    def record_load_report(self, now_us: int, report: list[float]) -> None:
        """Reads the load of the zone's link from the load report of a cache host."""
        for name, figure in zip(self.load_report_fields, report, strict=False):
            if name == LINK_LOAD_FIELD:
                self.link_load = (figure + self.link_load) / 2
                self.link_load_us = now_us

    def has_capacity(self, now_us: int) -> bool:
        """Returns True if this dispatcher may send one more fill over the zone's link.

        Prevents a link so full that all fills are late. The cost: requests are held even if other
        dispatchers leave their share of the link unused.
        """
        limit = self.limit * self.fill_share
        if self.in_flight < limit:
            return True
        return self._may_be_extended(now_us) and self.in_flight < limit * min(
            MAX_EXTENSION, FILLS_PER_LINK / max(MIN_LINK_LOAD, self.link_load)
        )

    def _may_be_extended(self, now_us: int) -> bool:
        """Returns True if a link that is reported below 1.5 times full may extend the limit.

        It may not while fills are late or while any parent is warming up or unusable. Reports that lag
        behind the load can let too many fills through.
        """
        if now_us - self.link_load_us >= LOAD_REPORT_US:
            return False
        if not all(state.in_time_share > IN_TIME_SHARE_FOR_EXTENSION for state in self.class_states):
            return False
        usable = self.health.is_usable
        return all(
            parent.warming_since_us < 0 and usable(now_us, parent) for parent in self.health.hosts.parents
        )

    def is_half_used(self) -> bool:
        """Returns True if at least half the limit is used, so that fills should follow a check for a copy."""
        return self.in_flight * 2 >= self.limit

    def is_class_limited(self, class_state: TrafficClassState) -> bool:
        """Returns True if a class whose fills are late has used up its share of the limit.

        One fill more than the share is always allowed, so that the class can recover.
        """
        share = class_state.in_time_share
        return share < LATE_CLASS_SHARE and class_state.fills_in_flight >= 1 + self.limit * share
