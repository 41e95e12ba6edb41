"""Concurrency limits: how many attempts a cache host, and how many fills a zone's link, takes from here."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from hoistplank.decision.health import HealthTracker
from hoistplank.decision.hosts import Host
from hoistplank.decision.requests import Attempt, TrafficClassState
from hoistplank.decision.settings import Degradation, RouterSettings

# Where no link is declared, 8 attempts to begin with, shared by the dispatchers: 6 to 8 are alike, 12 loses
# 0.02.
UNDECLARED_HOST_LIMIT = 8.0
MIN_SHARED_LIMIT = 2.0
# A hit that takes over twice its sending time lowers the limit, in larger steps where it is small; one within
# 1.4 of it raises the limit while it is used up.
SLOW_HIT_FACTOR, SLOW_HIT_MARGIN_US = 2, 10_000
QUICK_HIT_FACTOR, QUICK_HIT_MARGIN_US = 1.4, 5_000
SMALL_LIMIT = 4
SMALL_LIMIT_DECREASE, LIMIT_DECREASE = 0.9, 0.97
LIMIT_INCREASE = 0.3
USED_UP_MARGIN = 2

# Where no link is declared, 16 fills to begin with, shared by the dispatchers.
UNDECLARED_FILL_LIMIT = 16.0
# Half as many fills more than fill the link: 1.0 loses 0.05, 1.3 to 1.7 are alike.
FILLS_PER_LINK = 1.5
MIN_FILL_LIMIT_SHARE = 0.3
FILL_LIMIT_INCREASE = 0.3
FILL_LIMIT_DECREASE = 0.95
# Beyond the limit: up to three times as many, while load reports of the last second say that the link has
# capacity.
MAX_EXTENSION = 3.0
LOAD_REPORT_US = 1_000_000
MIN_LINK_LOAD = 0.1
IN_TIME_SHARE_FOR_EXTENSION = 0.85
# A class of which fewer fills than this come in time gets that share of the limit.
LATE_CLASS_SHARE = 0.5

LINK_LOAD_FIELD = "link_full"


class HostLimits:
    """The concurrency limit of each host, adapted to how long its hits take."""

    def __init__(self, settings: RouterSettings, health: HealthTracker) -> None:
        self.health = health
        self.links_declared = settings.links_declared
        self.sharers = settings.zone_sharers

    def register(self, host: Host) -> None:
        """The limit of a host that is new."""
        if not self.links_declared:
            host.concurrency_limit = max(MIN_SHARED_LIMIT, UNDECLARED_HOST_LIMIT / self.sharers)

    def apply_declared_link(self, host: Host) -> None:
        """Lowers the limit to what the list declares of the host's link."""
        if self.links_declared and host.units > 0:
            # Twice its link and two more: at twice its sending time a hit is in time at most objectives.
            host.concurrency_ceiling = max(MIN_SHARED_LIMIT, (2.0 + 2.0 * host.units) / self.sharers)
        host.concurrency_limit = min(host.concurrency_limit, host.concurrency_ceiling)

    def has_capacity(self, now_us: int, host: Host) -> bool:
        """Whether a cache host may be used and takes one more attempt from here.

        Answers a host whose link is full, where every answer comes late. Can harm by a second copy elsewhere.
        """
        if not self.health.is_usable(now_us, host):
            return False
        return host.attempts_in_flight < min(host.recovery_limit, host.concurrency_limit)

    def record_start(self, attempt: Attempt) -> None:
        """Counts an attempt at its host and, unless the host answers by itself, at its source."""
        attempt.host.attempts_in_flight += 1
        if attempt.source is not None and not attempt.answers_locally:
            attempt.source.attempts_in_flight += 1

    def record_end(self, attempt: Attempt) -> None:
        """Takes back what `record_start` counted."""
        attempt.host.attempts_in_flight -= 1
        if attempt.source is not None and not attempt.answers_locally:
            attempt.source.attempts_in_flight -= 1

    def adapt(self, host: Host, took_us: int, sending_time_us: float) -> None:
        """Adapts the limit to how long a hit of known size took."""
        limit = host.concurrency_limit
        if took_us > SLOW_HIT_FACTOR * sending_time_us + SLOW_HIT_MARGIN_US:
            factor = LIMIT_DECREASE if limit > SMALL_LIMIT else SMALL_LIMIT_DECREASE
            host.concurrency_limit = max(1.0, limit * factor)
            return
        quick = took_us < QUICK_HIT_FACTOR * sending_time_us + QUICK_HIT_MARGIN_US
        if quick and host.attempts_in_flight >= limit - USED_UP_MARGIN:
            host.concurrency_limit = min(host.concurrency_ceiling, limit + LIMIT_INCREASE)


class FillLimit:
    """The limit on fills in flight from here, this dispatcher's part of the zone's link."""

    def __init__(
        self,
        settings: RouterSettings,
        health: HealthTracker,
        class_states: Iterable[TrafficClassState],
    ) -> None:
        self.health = health
        self.class_states = tuple(class_states)
        self.load_report_fields = settings.load_report_fields
        self.fill_share = 1.0  # that the degradation in force leaves
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
        """Takes over the share of the limit that a level of degradation leaves."""
        self.fill_share = degradation.fill_share

    def record_start(self, class_state: TrafficClassState) -> None:
        """A fill was sent."""
        self.in_flight += 1
        class_state.fills_in_flight += 1

    def record_end(self, class_state: TrafficClassState) -> None:
        """A fill has ended, however it did."""
        self.in_flight -= 1
        class_state.fills_in_flight -= 1

    def adapt(self, in_time: bool) -> None:
        """Adapts the limit to whether a fill came in time.

        A crowded origin takes longer for each fill, the more are in flight: fewer come sooner.
        """
        crowded = self.in_flight >= self.limit - USED_UP_MARGIN
        if in_time and (crowded or self.ceiling < inf):
            self.limit = min(self.ceiling, self.limit + FILL_LIMIT_INCREASE)
        elif crowded and not in_time:
            self.limit = max(self.min_limit, self.limit * FILL_LIMIT_DECREASE)

    def record_load_report(self, now_us: int, report: list[float]) -> None:
        """Takes the load of the zone's link from a cache's load report."""
        for name, figure in zip(self.load_report_fields, report, strict=False):
            if name == LINK_LOAD_FIELD:
                self.link_load = (figure + self.link_load) / 2
                self.link_load_us = now_us

    def has_capacity(self, now_us: int) -> bool:
        """Whether the zone's link takes one more fill from here.

        Answers a link that is so full that all fills come late. Can harm where requests are held although
        others leave their part of the link unused.
        """
        limit = self.limit * self.fill_share
        if self.in_flight < limit:
            return True
        return self._may_be_extended(now_us) and self.in_flight < limit * min(
            MAX_EXTENSION, FILLS_PER_LINK / max(MIN_LINK_LOAD, self.link_load)
        )

    def _may_be_extended(self, now_us: int) -> bool:
        """Whether a link that is reported below 1.5 times full opens the limit: not while fills come late or
        parents are short. Can harm where reports are old.
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
        """Whether fills hold so much of the limit that it is worth a look whether a copy is there."""
        return self.in_flight * 2 >= self.limit

    def holds_back(self, class_state: TrafficClassState) -> bool:
        """Whether a class whose fills come late has its share of the limit, and one fill to learn better."""
        share = class_state.in_time_share
        return share < LATE_CLASS_SHARE and class_state.fills_in_flight >= 1 + self.limit * share
