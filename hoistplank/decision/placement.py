"""Placement: chooses a host and a source for a waiting request, or holds it, or gives it up.

This module only decides; the router carries the decision out. Every planned attempt is checked by
`_attempt_if_permitted`.
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

# A request that is held for its herd's leader gets an attempt of its own this long before its latest start.
HOLD_MARGIN_US = 40_000
# A cache with a recovery limit above this counts as reachable, even if it has no capacity now.
REACHABLE_RECOVERY_LIMIT = 8
# To so many caches a connection is kept while the list's source can't be reached.
MIN_VERIFIED_CACHES = 8

# Factors of the order of waiting requests: repeats come later, and so do classes whose fills are late. The
# lower bounds keep their weight above 0.
REPEAT_WEIGHT = 0.2
MIN_IN_TIME_SHARE = 0.02
MIN_PRIORITY_WEIGHT = 0.001


class PlannedAttempt(NamedTuple):
    """An attempt that every rule permits now; without a source, the host gets a plain request."""

    host: Host
    source: Host | None
    is_fill: bool = False
    joins_fill: bool = False
    answers_locally: bool = False


class NoAttempt(Enum):
    """The decision for a request that gets no attempt now."""

    HOLD = "hold"
    GIVE_UP = "give up"


HOLD = NoAttempt.HOLD
GIVE_UP = NoAttempt.GIVE_UP

PlacementResult = PlannedAttempt | NoAttempt


class Placement:
    """Places one waiting request at a time, based on the state of the other parts."""

    def __init__(self, settings: RouterSettings, parts: Parts) -> None:
        self.hosts = parts.hosts
        self.list_confirmation = parts.list_confirmation
        self.identity = parts.process_identity
        self.dispatcher_index = settings.dispatcher_index
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
        self.purges_unknown = False  # True while the hosts are known only from an unconfirmed list

    def apply_degradation(self, degradation: Degradation) -> None:
        """Sets the classes that are served a stale copy before they wait for a fill."""
        self.stale_first = degradation.stale_first

    def apply_list_form(self, form: EndpointListForm) -> None:
        """Disallows stale copies while purges are unknown, as after an unconfirmed list."""
        self.purges_unknown = form in (EndpointListForm.UNCONFIRMED, EndpointListForm.PROBED)
        self.identity.is_list_probed = form == EndpointListForm.PROBED

    def cost_per_weight(self, request: Request) -> float:
        """Returns the sort key of waiting requests: expected time per priority weight, lowest first."""
        state = request.class_state
        weight = max(MIN_PRIORITY_WEIGHT, state.traffic_class.priority_weight)
        in_time = state.in_time_share + MIN_IN_TIME_SHARE
        weight_in_time = weight * in_time * (REPEAT_WEIGHT if request.is_repeat else 1.0)
        return (request.sending_time_us() + state.fill_excess_us) / weight_in_time

    def place(self, now_us: int, request: Request) -> PlacementResult:
        """Returns an attempt for the request, or that it is held or given up."""
        if not self.list_confirmation.permits_attempts(now_us):
            # Drains and purges from before the answer of the list's source count as received. An attempt by
            # the current list could go to a host that was drained or ask for a purged copy (rules three and
            # five).
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
        """Returns the reason for which a request is given up now."""
        if not self.list_confirmation.permits_attempts(now_us):
            return EndReason.LIST_UNCONFIRMED
        if now_us > request.latest_start_us:
            return EndReason.TOO_LATE
        if not self._any_host_identified(now_us):
            return EndReason.LIST_UNCONFIRMED
        return EndReason.NO_HOST if self._may_attempt_again(now_us, request) else EndReason.NO_ATTEMPT_LEFT

    def _may_attempt_again(self, now_us: int, request: Request) -> bool:
        """Returns True if a further attempt is allowed where the first may have run, or at a cache that knows
        of it."""
        first_run = request.first_run
        hosts = (None,) if first_run is None else (first_run.host, *self.hosts.caches)
        if not any(self.retries.may_attempt(now_us, request, host) for host in hosts):
            return False
        return self.retries.fits_budget(now_us, request)

    def _stale_copy(self, now_us: int, request: Request) -> PlannedAttempt | None:
        """Allows a stale copy if it is worth more than a late fill, and asks the host that missed for it.

        A stale copy is allowed at once if the share of fills in time is below its value or if the degradation
        level says so, else only when the request is out of time, and never while purges are unknown.
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
        """Goes directly to the origin, whose refusal proves that nothing ran, or through a cache."""
        origin = self.hosts.usable_origin()
        if origin is None:
            return GIVE_UP
        if self.may_bypass_caches and self.identity.permits_host(now_us, origin.name):
            planned = PlannedAttempt(origin, None)
        else:
            cache = self._first_cache(now_us, request)
            if cache is None:
                return HOLD if self._any_host_identified(now_us) else GIVE_UP
            planned = PlannedAttempt(cache, origin)
        return self._attempt_if_permitted(now_us, request, planned) or HOLD

    def _place_cached(self, now_us: int, request: Request) -> PlacementResult:
        """Places a request at the holder of a copy, behind its herd's leader, or at the first cache."""
        herd = request.herd or self.herds.join(now_us, request)
        holder = self.herds.copy_holder(now_us, request, herd)
        if holder is None and request.in_herd:
            joined = self._follow_leader(now_us, request, herd)
            if joined is not None:
                return joined
        if (
            holder is not None
            and self.host_limits.has_capacity(now_us, holder)
            and self.identity.permits_host(now_us, holder.name)
        ):
            host: Host | None = holder
        else:
            host = self._first_cache(now_us, request)
        if host is None:
            return self._bypass_caches(now_us, request)
        return self._place_at(now_us, request, host, host is holder)

    def _follow_leader(self, now_us: int, request: Request, herd: Herd) -> PlacementResult | None:
        """Joins the leader's fill at its cache, or holds the request until just before it is too late.

        Prevents a thundering herd in which each request starts a fill. The cost: a slow leader delays all.
        """
        leader = herd.leader
        if leader is None or not self.health.is_usable(now_us, leader.host):
            return None
        if self.caches_join_fills:
            joined = PlannedAttempt(leader.host, leader.source, joins_fill=True)
            return self._attempt_if_permitted(now_us, request, joined)
        return HOLD if now_us < request.latest_start_us - HOLD_MARGIN_US else None

    def _place_at(self, now_us: int, request: Request, host: Host, has_copy: bool) -> PlacementResult:
        """Plans an attempt at a cache: for its copy, to check for a copy, or for a fill."""
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
        """Returns True if a cache is first asked without a fill, for a copy that it may already have.

        Saves link capacity: such a check takes a millisecond and separates hits, which need no fill, from
        misses. The cost is that millisecond.
        """
        if request.missed_host is host or host.warming_since_us >= 0:
            return False
        if source is not None and source.warming_since_us >= 0:
            return False
        return request.stale_allowed or self.fills.is_half_used()

    def _may_fill(self, now_us: int, request: Request) -> bool:
        return self.fills.has_capacity(now_us) and not self.fills.is_class_limited(request.class_state)

    def _bypass_caches(self, now_us: int, request: Request) -> PlacementResult:
        """Goes directly to a parent if all caches are gone, silent or out of their warm-up budget.

        Protects against lost zones, releases and mass restarts. It loads the zone's link, so it is not done
        if the caches are merely full.
        """
        if self._any_cache_reachable(now_us, request):
            return HOLD
        parent = self.sources.choose(now_us, request, None) if self.may_bypass_caches else None
        if parent is None:
            return HOLD if self._any_cache_identified(now_us) else GIVE_UP
        if not self.fills.has_capacity(now_us):
            return HOLD
        planned = PlannedAttempt(parent, self.hosts.usable_origin() or parent, is_fill=True)
        return self._attempt_if_permitted(now_us, request, planned) or HOLD

    def _any_cache_reachable(self, now_us: int, request: Request) -> bool:
        sending_time_us = request.class_state.sending_time_us
        return any(
            cache.recovery_limit > REACHABLE_RECOVERY_LIMIT
            and self.identity.permits_host(now_us, cache.name)
            and self.health.is_usable(now_us, cache)
            and self.slow_start.fits_budget(now_us, cache, sending_time_us)
            for cache in self.hosts.caches
        )

    def _first_cache(self, now_us: int, request: Request) -> Host | None:
        """Returns the first cache with capacity in the object's order.

        The caches that failed this request come last.
        """
        order = self.ranking.order(request).caches
        if request.failed_hosts:
            order = sorted(order, key=request.failed_hosts.__contains__)
        sending_time_us = request.class_state.sending_time_us
        for cache in order:
            if (
                self.host_limits.has_capacity(now_us, cache)
                and self.identity.permits_host(now_us, cache.name)
                and self.slow_start.fits_budget(now_us, cache, sending_time_us)
                and (request.first_run is None or self.retries.may_attempt(now_us, request, cache))
            ):
                return cache
        return None

    def _any_cache_identified(self, now_us: int) -> bool:
        return any(
            cache.is_up and self.identity.permits_host(now_us, cache.name) for cache in self.hosts.caches
        )

    def _any_host_identified(self, now_us: int) -> bool:
        """Returns True if any host may get attempts as far as its process is concerned."""
        if self.identity.vouches_for_addresses(now_us):
            return True
        origin = self.hosts.usable_origin()
        direct = [*self.hosts.parents, origin] if self.may_bypass_caches else []
        return any(
            host is not None and host.is_up and self.identity.permits_host(now_us, host.name)
            for host in (*self.hosts.caches, *direct)
        )

    def hosts_to_connect(self, now_us: int) -> list[str]:
        """Returns some hosts without a verified connection, while a new connection is still verified by the
        list: without any, nothing could be served later in an outage of the list's source.

        Each dispatcher begins at another cache, so that they don't all use the same few.
        """
        if not self.identity.may_still_verify(now_us):
            return []
        caches = self.hosts.caches
        start = self.dispatcher_index * MIN_VERIFIED_CACHES % max(1, len(caches))
        origin = self.hosts.usable_origin() if self.may_bypass_caches else None
        wanted = [*caches[start:], *caches[:start]][:MIN_VERIFIED_CACHES]
        candidates = [*wanted, origin] if origin is not None else wanted
        return [
            host.name
            for host in candidates
            if self.health.is_usable(now_us, host) and not self.identity.is_host_verified(host.name)
        ]

    def _attempt_if_permitted(
        self, now_us: int, request: Request, planned: PlannedAttempt
    ) -> PlannedAttempt | None:
        """Checks an attempt against the rules: drains (three), slow start (four) and repeats (two)."""
        host, source = planned.host, planned.source
        if not self._takes_attempt(now_us, request, host):
            return None
        if not self.identity.permits_host(now_us, host.name):
            return None
        if source is not None and source is not host and not self._takes_attempt(now_us, request, source):
            return None
        return planned if self.retries.may_attempt(now_us, request, host) else None

    def _takes_attempt(self, now_us: int, request: Request, host: Host) -> bool:
        """Returns True if a target or source is neither draining nor beyond its warm-up budget."""
        return host.is_up and self.slow_start.fits_budget(now_us, host, request.class_state.sending_time_us)
