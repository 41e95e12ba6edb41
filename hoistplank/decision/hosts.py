"""The hosts of the endpoint list, and their tiers.

A `Host` holds the state that several modules keep for it; each group of fields is changed by the module
named above it. A host that is removed and listed again gets a new record, so that a late answer of the old
process isn't counted for the new one.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import inf

from hoistplank.decision.events import Endpoint, EndpointListForm, EndpointState
from hoistplank.decision.hashing import hash_key
from hoistplank.decision.settings import RouterSettings

# Tiers; integers rather than an enum, since they are compared for every candidate of every attempt.
NO_TIER = 0  # a cache host of another zone, or a removed host
CACHE = 1
PARENT = 2
ORIGIN = 3

WARM = -1  # the value of `warming_since_us` for a host that is not warming up


@dataclass(slots=True)
class AttemptCounts:
    """Counts of first attempts and retries, which decay over the window of the retry budget."""

    counted_us: int
    first_attempts: float = 0.0
    retries: float = 0.0


@dataclass(slots=True, eq=False)
class Host:
    """One host from its registration to its removal."""

    # From the endpoint list (hosts.py).
    name: str
    salt: int
    zone: str = ""
    cell: int = 0
    tier: int = NO_TIER
    is_up: bool = False  # neither draining nor removed
    state: str = EndpointState.REMOVED
    started_us: int = 0
    incarnation: int = 0  # number of starts of its process, known or suspected
    units: float = 1.0
    hash_weight: float = 1.0
    # Outlier detection (health.py).
    answered_us: int = 0
    ejected_until_us: int = 0
    ejections: int = 0
    recovery_limit: float = inf
    loss_signs: int = 0
    last_loss_us: int = 0
    suspected_us: int = 0  # time of a suspected restart of its process, 0 for none
    # Slow start (slow_start.py).
    warming_since_us: int = WARM
    warm_up_work: deque[tuple[int, float]] = field(default_factory=deque)  # time sent, sending time
    mean_transfers: float = 0.0  # average concurrent transfers for this dispatcher
    mean_updated_us: int = 0
    # Concurrency limit (concurrency.py).
    attempts_in_flight: int = 0
    concurrency_limit: float = inf
    concurrency_ceiling: float = inf
    # Slowness of the fills from a parent (sources.py).
    fills_seen: int = 0
    usual_slowness: float = 0.0
    recent_slowness: float = 0.0
    slow_trial_us: int = 0
    # Retry budget (retries.py).
    attempt_counts: AttemptCounts | None = None

    def describes_new_process(self, endpoint: Endpoint) -> bool:
        """Returns True if the endpoint is up and its process is not known yet."""
        if endpoint.state != EndpointState.UP:
            return False
        return self.state == EndpointState.REMOVED or endpoint.started_us != self.started_us

    def begin_incarnation(self) -> None:
        """Invalidates what is known of copies at the host, since its process may be a new one."""
        self.incarnation += 1


class HostTable:
    """All hosts by name, and each tier in the order in which its hosts were registered."""

    def __init__(self, settings: RouterSettings) -> None:
        self.settings = settings
        self.by_name: dict[str, Host] = {}
        self.caches: list[Host] = []
        self.parents: list[Host] = []
        self.origin: Host | None = None
        self.max_caches = 1  # the largest number of caches that were listed at once
        self.version = 0  # of the tiers; cached host orders are valid for one version

    @property
    def was_listed(self) -> bool:
        """True once a list has been received."""
        return self.version > 0

    def usable_origin(self) -> Host | None:
        """Returns the origin if it is listed as up."""
        origin = self.origin
        return origin if origin is not None and origin.is_up else None

    def tier_of(self, host: Host) -> list[Host]:
        """Returns the hosts of the same tier; none for the origin and for a removed host."""
        if host.tier == PARENT:
            return self.parents
        return self.caches if host.tier == CACHE else []

    def register(self, now_us: int, name: str, kind: str, zone: str) -> Host:
        """Adds a host that is not known yet; `describe` then sets its state."""
        host = Host(name, hash_key(name), answered_us=now_us, mean_updated_us=now_us)
        self.by_name[name] = host
        if kind == self.settings.origin_kind:
            host.tier, self.origin = ORIGIN, host
        elif kind == self.settings.parent_kind:
            host.tier = PARENT
            self.parents.append(host)
        elif zone == self.settings.zone:
            host.tier = CACHE
            self.caches.append(host)
        return host

    def describe(self, host: Host, endpoint: Endpoint) -> None:
        """Updates a registered host from its row of the list."""
        host.zone = endpoint.zone
        host.cell = endpoint.cell
        host.started_us = endpoint.started_us
        host.units = endpoint.units
        host.state = endpoint.state
        host.is_up = endpoint.state == EndpointState.UP
        weighted = self.settings.links_declared and endpoint.units > 0
        host.hash_weight = endpoint.units if weighted else 1.0

    def finish_update(self, form: EndpointListForm, endpoints: list[Endpoint]) -> None:
        """Removes the hosts whose state is removed or that a complete list does not name.

        Hosts that are replaced all day would otherwise accumulate in memory and in every host order.
        """
        named = {endpoint.host for endpoint in endpoints}
        for name, host in list(self.by_name.items()):
            missing = form != EndpointListForm.CHANGES and name not in named
            if missing or host.state == EndpointState.REMOVED:
                self._remove(host)
        self.caches = [host for host in self.caches if host.tier == CACHE]
        self.parents = [host for host in self.parents if host.tier == PARENT]
        self.max_caches = max(self.max_caches, len(self.caches))
        self.version += 1

    def _remove(self, host: Host) -> None:
        del self.by_name[host.name]
        host.state = EndpointState.REMOVED
        host.is_up = False
        host.tier = NO_TIER
        if host is self.origin:
            self.origin = None
