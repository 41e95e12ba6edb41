"""Placement: what a waiting request gets now, a host and a source, a longer wait, or its end.

Decides only; the router carries out what is decided. All attempts are made by `_attempt_if_permitted`.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from hoistplank.decision.actions import EndReason
from hoistplank.decision.events import EndpointListForm
from hoistplank.decision.hosts import Host
from hoistplank.decision.parts import Parts
from hoistplank.decision.requests import Herd, Request
from hoistplank.decision.settings import Degradation, RouterSettings

# A request that is held for its herd's leader goes by itself this much before its latest start.
HOLD_MARGIN_US = 40_000
# The caches are merely full, not out of reach, while one is past so much of its recovery.
REACHABLE_RECOVERY_LIMIT = 8

# The order of waiting requests: repeats yield, and so do classes whose fills come late, but never wholly.
REPEAT_WEIGHT = 0.2
MIN_IN_TIME_SHARE = 0.02
MIN_PRIORITY_WEIGHT = 0.001


class PlannedAttempt(NamedTuple):
    """An attempt that every rule permits now; without a source the host is asked as it is."""

    host: Host
    source: Host | None
    is_fill: bool = False
    joins_fill: bool = False
    answers_locally: bool = False


class Verdict(Enum):
    """What a request gets that gets no attempt now."""

    HOLD = "hold"
    GIVE_UP = "give up"


HOLD = Verdict.HOLD
GIVE_UP = Verdict.GIVE_UP

PlacementResult = PlannedAttempt | Verdict


class Placement:
    """Chooses for one waiting request at a time, from what the other parts know."""

    def __init__(self, settings: RouterSettings, parts: Parts) -> None:
        self.hosts = parts.hosts
        self.list_confirmation = parts.list_confirmation
        self.health = parts.health
        self.slow_start = parts.slow_start
        self.host_limits = parts.host_limits
        self.fills = parts.fills
        self.herds = parts.herds
        self.retries = parts.retries
        self.ranking = parts.ranking
        self.sources = parts.sources
        self.caches_join_fills = settings.caches_join_fills
        self.may_bypass_caches = settings.rules.may_bypass_caches
        self.stale_first: tuple[str, ...] = ()
        self.purges_unknown = False  # while hosts are known from a list of another time alone

    def apply_degradation(self, degradation: Degradation) -> None:
        """Takes over the classes that take a stale copy before they wait."""
        self.stale_first = degradation.stale_first

    def apply_list_form(self, form: EndpointListForm) -> None:
        """No stale copy may be asked for while nobody can tell what was purged."""
        self.purges_unknown = form == EndpointListForm.UNCONFIRMED

    def cost_per_weight(self, request: Request) -> float:
        """The key by which waiting requests are ordered: most weight in time for the time first."""
        state = request.class_state
        weight = max(MIN_PRIORITY_WEIGHT, state.traffic_class.priority_weight)
        in_time = state.in_time_share + MIN_IN_TIME_SHARE
        weight_in_time = weight * in_time * (REPEAT_WEIGHT if request.is_repeat else 1.0)
        return (request.sending_time_us() + state.fill_excess_us) / weight_in_time

    def place(self, now_us: int, request: Request) -> PlacementResult:
        """An attempt for the request, or whether it is held or given up."""
        if not self.list_confirmation.permits_attempts(now_us):
            # Danger: drains and purges from before the list's source has answered count as received, and
            # whatever is sent by the list as it is may go to a host that left (rules three and five).
            return GIVE_UP if now_us > request.latest_start_us else HOLD
        if request.traffic_class.stale_window_us and not request.stale_allowed:
            stale = self._stale_copy(now_us, request)
            if stale is not None:
                return stale
        if now_us > request.latest_start_us or not self._may_attempt_again(now_us, request):
            return GIVE_UP
        if now_us < request.not_before_us:
            return HOLD
        if request.traffic_class.uncached:
            return self._place_uncached(now_us, request)
        return self._place_cached(now_us, request)

    def end_reason(self, now_us: int, request: Request) -> EndReason:
        """Why a request that is given up now is given up."""
        if not self.list_confirmation.permits_attempts(now_us):
            return EndReason.LIST_UNCONFIRMED
        if now_us > request.latest_start_us:
            return EndReason.TOO_LATE
        return EndReason.NO_HOST if self._may_attempt_again(now_us, request) else EndReason.NO_ATTEMPT_LEFT

    def _may_attempt_again(self, now_us: int, request: Request) -> bool:
        """Whether any further attempt is allowed, at the host where the first may have run at least."""
        if not self.retries.may_attempt(now_us, request, request.first_run_host):
            return False
        return self.retries.fits_budget(now_us, request)

    def _stale_copy(self, now_us: int, request: Request) -> PlannedAttempt | None:
        """Allows a stale copy where it earns more than a fill that is late, and asks for one that was seen.

        At once where fills of the class come in time more seldom than a stale copy earns, or where the level
        of degradation says so, or else at the very last. Never while purges are not known.
        """
        traffic_class = request.traffic_class
        if self.purges_unknown or self.list_confirmation.may_miss_purges():
            return None
        if not (
            request.class_state.in_time_share < traffic_class.stale_value_share
            or (request.missed_host is not None and now_us > request.latest_start_us)
            or traffic_class.name in self.stale_first
        ):
            return None
        request.stale_allowed = True
        missed = request.missed_host
        if missed is None:
            return None
        return self._attempt_if_permitted(now_us, request, PlannedAttempt(missed, missed))

    def _place_uncached(self, now_us: int, request: Request) -> PlacementResult:
        """Straight to the origin, where a refusal proves that nothing ran, or else through a cache."""
        origin = self.hosts.usable_origin()
        if origin is None:
            return GIVE_UP
        if self.may_bypass_caches:
            planned = PlannedAttempt(origin, None)
        else:
            cache = self._first_cache(now_us, request)
            if cache is None:
                return HOLD
            planned = PlannedAttempt(cache, origin)
        return self._attempt_if_permitted(now_us, request, planned) or HOLD

    def _place_cached(self, now_us: int, request: Request) -> PlacementResult:
        """At the copy's holder, behind the herd's leader, or at the first cache in the object's order."""
        herd = request.herd or self.herds.join(now_us, request)
        holder = self.herds.copy_holder(now_us, request, herd)
        if holder is None and request.in_herd:
            joined = self._follow_leader(now_us, request, herd)
            if joined is not None:
                return joined
        if holder is not None and self.host_limits.has_capacity(now_us, holder):
            host: Host | None = holder
        else:
            host = self._first_cache(now_us, request)
        if host is None:
            return self._bypass_caches(now_us, request)
        return self._place_at(now_us, request, host, host is holder)

    def _follow_leader(self, now_us: int, request: Request, herd: Herd) -> PlacementResult | None:
        """Behind the leader's fill: joined to it at its cache, or held until just before it is too late.

        Answers a thundering herd, of which each request would fill. Can harm by the wait for a slow leader.
        """
        leader = herd.leader
        if leader is None or not self.health.is_usable(now_us, leader.host):
            return None
        if self.caches_join_fills:
            joined = PlannedAttempt(leader.host, leader.source, joins_fill=True)
            return self._attempt_if_permitted(now_us, request, joined)
        return HOLD if now_us < request.latest_start_us - HOLD_MARGIN_US else None

    def _place_at(self, now_us: int, request: Request, host: Host, has_copy: bool) -> PlacementResult:
        """At a cache: for its copy, for a look whether there is one, or for a fill."""
        source = self.sources.choose(now_us, request, host)
        if not has_copy and self._checks_for_copy_first(request, host, source):
            return self._attempt_if_permitted(now_us, request, PlannedAttempt(host, host)) or HOLD
        if not has_copy and not self._may_fill(now_us, request):
            return HOLD
        joins_fill = self.caches_join_fills and not request.failed_hosts
        planned = PlannedAttempt(
            host, source, is_fill=not has_copy, joins_fill=joins_fill, answers_locally=has_copy
        )
        return self._attempt_if_permitted(now_us, request, planned) or HOLD

    def _checks_for_copy_first(self, request: Request, host: Host, source: Host | None) -> bool:
        """Whether a cache is first asked only for what it has.

        Answers a link that is short: a look costs a millisecond and tells hits, which go on freely, from
        misses. Can harm by that millisecond.
        """
        if request.missed_host is host or host.warming_since_us >= 0:
            return False
        if source is not None and source.warming_since_us >= 0:
            return False
        return request.stale_allowed or self.fills.is_half_used()

    def _may_fill(self, now_us: int, request: Request) -> bool:
        return self.fills.has_capacity(now_us) and not self.fills.holds_back(request.class_state)

    def _bypass_caches(self, now_us: int, request: Request) -> PlacementResult:
        """Straight to a parent where all caches are gone, silent or out of their warm-up budget.

        Answers lost zones, releases and mass restarts. Can harm the zone's link, so not where the caches are
        merely full.
        """
        if self._any_cache_reachable(now_us, request):
            return HOLD
        parent = self.sources.choose(now_us, request, None) if self.may_bypass_caches else None
        if parent is None:
            return HOLD if any(cache.is_up for cache in self.hosts.caches) else GIVE_UP
        if not self.fills.has_capacity(now_us):
            return HOLD
        planned = PlannedAttempt(parent, self.hosts.usable_origin() or parent, is_fill=True)
        return self._attempt_if_permitted(now_us, request, planned) or HOLD

    def _any_cache_reachable(self, now_us: int, request: Request) -> bool:
        sending_time_us = request.class_state.sending_time_us
        return any(
            cache.recovery_limit > REACHABLE_RECOVERY_LIMIT
            and self.health.is_usable(now_us, cache)
            and self.slow_start.fits_budget(now_us, cache, sending_time_us)
            for cache in self.hosts.caches
        )

    def _first_cache(self, now_us: int, request: Request) -> Host | None:
        """The first cache in the object's order with capacity; those that failed the request come last."""
        order = self.ranking.order(request).caches
        if request.failed_hosts:
            order = sorted(order, key=request.failed_hosts.__contains__)
        sending_time_us = request.class_state.sending_time_us
        for cache in order:
            if self.host_limits.has_capacity(now_us, cache) and self.slow_start.fits_budget(
                now_us, cache, sending_time_us
            ):
                return cache
        return None

    def _attempt_if_permitted(
        self, now_us: int, request: Request, planned: PlannedAttempt
    ) -> PlannedAttempt | None:
        """The one way to an attempt: drains (rule three), slow start (rule four) and repeats (rule two)."""
        host, source = planned.host, planned.source
        if not self._takes_attempt(now_us, request, host):
            return None
        if source is not None and source is not host and not self._takes_attempt(now_us, request, source):
            return None
        return planned if self.retries.may_attempt(now_us, request, host) else None

    def _takes_attempt(self, now_us: int, request: Request, host: Host) -> bool:
        """Whether a host, as target or as source, is neither draining nor beyond its warm-up budget."""
        return host.is_up and self.slow_start.fits_budget(now_us, host, request.class_state.sending_time_us)
