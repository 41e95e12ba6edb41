"""The hosts that the endpoint list names, and the tiers that they belong to.

A `Host` carries the figures of all concerns; each group of them is changed by the module named beside it.
A host that is removed and comes back is a new record: a late answer of the old one can't count for it.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import inf

from hoistplank.decision.events import Endpoint, EndpointListForm, EndpointState
from hoistplank.decision.hashing import hash_key
from hoistplank.decision.settings import RouterSettings

# Tiers; integers rather than an enum, since they are compared for every candidate of every attempt.
NO_TIER = 0  # of another zone, or removed
CACHE = 1
PARENT = 2
ORIGIN = 3

WARM = -1  # the value of `warming_since_us` for a host that is not warming up


@dataclass(slots=True)
class AttemptCounts:
    """First attempts and retries, fading over the window of the retry budget."""

    counted_us: int
    first_attempts: float = 0.0
    retries: float = 0.0


@dataclass(slots=True, eq=False)
class Host:
    """One host from its registration to its removal."""

    # What the endpoint list says of it (hosts.py).
    name: str
    salt: int
    zone: str = ""
    cell: int = 0
    tier: int = NO_TIER
    is_up: bool = False  # neither draining nor removed
    state: str = EndpointState.REMOVED
    started_us: int = 0
    incarnation: int = 0  # counts the starts of its process, seen or suspected
    units: float = 1.0
    hash_weight: float = 1.0
    # Its outliers' history (health.py).
    answered_us: int = 0
    ejected_until_us: int = 0
    ejections: int = 0
    recovery_limit: float = inf
    loss_signs: int = 0
    last_loss_us: int = 0
    suspected_us: int = 0  # since when its process may have started anew, 0 for no such suspicion
    # Its slow start (slow_start.py).
    warming_since_us: int = WARM
    warm_up_work: deque[tuple[int, float]] = field(default_factory=deque)  # when sent, sending time
    carried_transfers: float = 0.0
    carried_us: int = 0
    # Its concurrency limit (concurrency.py).
    attempts_in_flight: int = 0
    concurrency_limit: float = inf
    concurrency_ceiling: float = inf
    # Its fills' slowness, of a parent (sources.py).
    fills_seen: int = 0
    usual_slowness: float = 0.0
    recent_slowness: float = 0.0
    slow_trial_us: int = 0
    # Its retry budget (retries.py).
    attempt_counts: AttemptCounts | None = None

    def describes_new_process(self, endpoint: Endpoint) -> bool:
        """Whether the endpoint is a process that was not known before."""
        if endpoint.state != EndpointState.UP:
            return False
        return self.state == EndpointState.REMOVED or endpoint.started_us != self.started_us

    def begin_incarnation(self) -> None:
        """What was known of copies at the host no longer holds."""
        self.incarnation += 1


class HostTable:
    """All hosts by name, and each tier in the order in which its hosts were registered."""

    def __init__(self, settings: RouterSettings) -> None:
        self.settings = settings
        self.by_name: dict[str, Host] = {}
        self.caches: list[Host] = []
        self.parents: list[Host] = []
        self.origin: Host | None = None
        self.max_caches = 1  # that were ever listed at once
        self.version = 0  # of the tiers: kept orders of hosts hold for one version

    @property
    def was_listed(self) -> bool:
        """Whether any list has come yet."""
        return self.version > 0

    def usable_origin(self) -> Host | None:
        """The origin, where it is listed up."""
        origin = self.origin
        return origin if origin is not None and origin.is_up else None

    def tier_of(self, host: Host) -> list[Host]:
        """The hosts of the same tier; none for the origin and for a host that was removed."""
        if host.tier == PARENT:
            return self.parents
        return self.caches if host.tier == CACHE else []

    def register(self, now_us: int, name: str, kind: str, zone: str) -> Host:
        """A host that is not known yet; it has no state until it is described."""
        host = Host(name, hash_key(name), answered_us=now_us, carried_us=now_us)
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
        """Takes over what the list says of a registered host."""
        host.zone = endpoint.zone
        host.cell = endpoint.cell
        host.started_us = endpoint.started_us
        host.units = endpoint.units
        host.state = endpoint.state
        host.is_up = endpoint.state == EndpointState.UP
        weighted = self.settings.links_declared and endpoint.units > 0
        host.hash_weight = endpoint.units if weighted else 1.0

    def finish_update(self, form: EndpointListForm, endpoints: list[Endpoint]) -> None:
        """Removes the hosts that are gone or that a complete list does not name.

        Danger: hosts that are replaced all day would fill the memory and every order.
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
