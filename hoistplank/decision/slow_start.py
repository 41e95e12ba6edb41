"""Slow start: the limit on the load that this dispatcher sends to a host that is warming up (rule four)."""

from __future__ import annotations

from collections.abc import Iterable
from math import exp
from typing import NamedTuple

from hoistplank.decision.hosts import PARENT, WARM, Host, HostTable
from hoistplank.decision.requests import TrafficClassState
from hoistplank.decision.settings import RouterSettings

# The rest of the budget is a reserve for sending times above the mean of their class.
BUDGET_MARGIN = 0.7
# Its multiples modulo 1 are evenly distributed, for consecutive and for scattered dispatcher indexes alike.
GOLDEN_RATIO_FRACTION = 0.6180339887
# The decay time, 5 s, of the average load of a host.
LOAD_WINDOW_US = 5e6


class WarmUpRule(NamedTuple):
    """The warm-up limits of the hosts of one tier; `sharers` dispatchers share the budget of a host."""

    initial_share: float
    warm_up_us: int
    overload_multiple: float
    sharers: int


class SlowStart:
    """Tracks the hosts that are warming up, the load sent to them, and the usual load of each host."""

    def __init__(
        self, settings: RouterSettings, hosts: HostTable, class_states: Iterable[TrafficClassState]
    ) -> None:
        self.settings = settings
        self.hosts = hosts
        self.class_states = tuple(class_states)
        self.window_us = settings.rules.overload_window_us
        rules = settings.rules
        self.cache_rule = WarmUpRule(
            rules.warm_up_initial_share, rules.warm_up_us, rules.overload_multiple, settings.zone_sharers
        )
        self.parent_rule = WarmUpRule(
            rules.parent_warm_up_initial_share,
            rules.parent_warm_up_us,
            rules.parent_overload_multiple,
            settings.dispatchers,
        )

    def begin(self, host: Host, since_us: int) -> None:
        """Starts the warm-up of a host whose process has started, or may have, at `since_us`."""
        host.warming_since_us = since_us

    def end(self, host: Host) -> None:
        """Ends the warm-up of a host."""
        host.warming_since_us = WARM

    def record_attempt(self, now_us: int, host: Host, sending_time_us: float) -> None:
        """Counts an attempt against the budget of a host that is warming up."""
        if host.warming_since_us >= 0:
            host.warm_up_work.append((now_us, sending_time_us))

    def record_load(self, now_us: int, host: Host, sending_time_us: float) -> None:
        """Adds an answer to the average load of a host from this dispatcher, in concurrent transfers."""
        decayed = host.mean_transfers * exp((host.mean_updated_us - now_us) / LOAD_WINDOW_US)
        host.mean_transfers = decayed + sending_time_us / LOAD_WINDOW_US
        host.mean_updated_us = now_us

    def fits_budget(self, now_us: int, host: Host, sending_time_us: float) -> bool:
        """Returns True if an attempt is within the budget of a host for any window (rule four).

        Prevents the full load from overloading a host that starts with an empty cache. The cost: requests go
        to the next cache, which then holds a second copy.
        """
        since_us = host.warming_since_us
        if since_us < 0:
            return True
        rule = self.parent_rule if host.tier == PARENT else self.cache_rule
        if now_us - since_us >= rule.warm_up_us:
            self.end(host)
            host.warm_up_work.clear()
            return True
        work = host.warm_up_work
        while work and work[0][0] <= now_us - self.window_us:
            work.popleft()
        budget_us = self._budget_us(now_us, host, rule)
        quota_holders = self._quota_holders(budget_us, rule)
        if not self._rank_among_sharers(host) * rule.sharers < quota_holders:
            return False
        return sum(sent_us for _, sent_us in work) + sending_time_us <= budget_us / quota_holders

    def _budget_us(self, now_us: int, host: Host, rule: WarmUpRule) -> float:
        """Returns the budget of a host for one window, as of the beginning of the window.

        It is the total sending time of the attempts that all dispatchers together may send to the host.
        """
        warm_us = max(0, now_us - self.window_us - host.warming_since_us)
        share = rule.initial_share + (1 - rule.initial_share) * warm_us / rule.warm_up_us
        link = self._link_transfers(host)
        return BUDGET_MARGIN * rule.overload_multiple * link * share * self.window_us

    def _quota_holders(self, budget_us: float, rule: WarmUpRule) -> float:
        """Returns the number of dispatchers among which the budget is split.

        If an even quota is too small for a transfer of the class with the longest sending time, only as many
        dispatchers get a quota as such transfers fit into the budget.
        """
        longest_us = max(
            0.0 if state.traffic_class.uncached else state.sending_time_us for state in self.class_states
        )
        return min(rule.sharers, budget_us // max(1.0, longest_us))

    def _rank_among_sharers(self, host: Host) -> float:
        """Returns this dispatcher's rank among those that share the host, evenly distributed from 0 to 1."""
        return (self.settings.dispatcher_index * GOLDEN_RATIO_FRACTION + host.salt / 2**64) % 1.0

    def _link_transfers(self, host: Host) -> float:
        """Returns the link capacity of a host in concurrent transfers.

        As declared, or else the larger of its share of the zone's link and the mean load of its tier.
        """
        settings = self.settings
        if settings.links_declared:
            return host.units
        part = settings.zone_link_kb_per_s / max(1.0, settings.stream_kb_per_s)
        if host.tier == PARENT:
            tier, sharers = self.hosts.parents, settings.dispatchers
        else:
            tier, sharers = self.hosts.caches, settings.dispatchers_in_zone
            part = part / self.hosts.max_caches
        # The mean, not the maximum: with few requests, the maximum is mostly chance, a multiple of the load.
        total_transfers = sum(neighbour.mean_transfers for neighbour in tier)
        return max(1.0, part, sharers * total_transfers / max(1, len(tier)))
