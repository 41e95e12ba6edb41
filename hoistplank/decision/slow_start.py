"""Slow start: what a host that is warming up may be sent from here (rule four)."""

from __future__ import annotations

from collections.abc import Iterable
from math import exp
from typing import NamedTuple

from hoistplank.decision.hosts import PARENT, WARM, Host, HostTable
from hoistplank.decision.requests import TrafficClassState
from hoistplank.decision.settings import RouterSettings

# What is left is for sending times that turn out longer than their class's mean.
BUDGET_MARGIN = 0.7
# Multiples of it modulo 1 fall evenly for neighbouring and for spread dispatcher indexes alike.
GOLDEN_RATIO_FRACTION = 0.6180339887
# What a host carries is averaged over some 5 s.
CARRIED_WINDOW_US = 5e6


class WarmUpRule(NamedTuple):
    """How the hosts of one tier warm up, and among how many dispatchers their budget is shared."""

    initial_share: float
    warm_up_us: int
    overload_multiple: float
    sharers: int


class SlowStart:
    """Which hosts are warming up, what each was sent meanwhile, and what each host usually carries."""

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
        """The host's process has started, or may have: it is warming up since then."""
        host.warming_since_us = since_us

    def end(self, host: Host) -> None:
        """The host is warm."""
        host.warming_since_us = WARM

    def record_attempt(self, now_us: int, host: Host, sending_time_us: float) -> None:
        """Counts an attempt against the budget of a host that is warming up."""
        if host.warming_since_us >= 0:
            host.warm_up_work.append((now_us, sending_time_us))

    def record_carried(self, now_us: int, host: Host, sending_time_us: float) -> None:
        """Takes an answer into what a host carries for this dispatcher, in transfers."""
        kept = host.carried_transfers * exp((host.carried_us - now_us) / CARRIED_WINDOW_US)
        host.carried_transfers = kept + sending_time_us / CARRIED_WINDOW_US
        host.carried_us = now_us

    def fits_budget(self, now_us: int, host: Host, sending_time_us: float) -> bool:
        """Rule four: whether an attempt fits what the host may be sent from here within any window.

        Answers a host that starts empty and is pushed over by its full load. Can harm by sending requests to
        the next cache, at the price of a second copy.
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
        """What all dispatchers together may send the host in a window, as at the window's beginning."""
        warm_us = max(0, now_us - self.window_us - host.warming_since_us)
        share = rule.initial_share + (1 - rule.initial_share) * warm_us / rule.warm_up_us
        link = self._link_transfers(host)
        return BUDGET_MARGIN * rule.overload_multiple * link * share * self.window_us

    def _quota_holders(self, budget_us: float, rule: WarmUpRule) -> float:
        """Among how many dispatchers the budget is split.

        Where an even quota holds no transfer of the class with the longest sending time, as many dispatchers
        have a quota as there are transfers.
        """
        longest_us = max(
            0.0 if state.traffic_class.uncached else state.sending_time_us for state in self.class_states
        )
        return min(rule.sharers, budget_us // max(1.0, longest_us))

    def _rank_among_sharers(self, host: Host) -> float:
        """This dispatcher's place among those that share the host, from 0 to 1, evenly spread."""
        return (self.settings.dispatcher_index * GOLDEN_RATIO_FRACTION + host.salt / 2**64) % 1.0

    def _link_transfers(self, host: Host) -> float:
        """A host's link in transfers: as declared, else its part of the zone's or what its tier carries."""
        settings = self.settings
        if settings.links_declared:
            return host.units
        part = settings.zone_link_kb_per_s / max(1.0, settings.stream_kb_per_s)
        if host.tier == PARENT:
            tier, sharers = self.hosts.parents, settings.dispatchers
        else:
            tier, sharers = self.hosts.caches, settings.dispatchers_in_zone
            part = part / self.hosts.max_caches
        # The mean, not the most: of few requests the most is mostly chance, a multiple of what is carried.
        carried = sum(neighbour.carried_transfers for neighbour in tier)
        return max(1.0, part, sharers * carried / max(1, len(tier)))
