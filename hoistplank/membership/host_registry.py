"""The registry of known cache hosts: their records, trust states and probe schedule. No I/O, no clock.

`host_states` has the table of state transitions. Until the change log has sent its list, only hosts that
have answered a probe are usable. Each gets that moment as its start time, so that it counts as cold. The
first list of the change log replaces all of them. `now` is in whole microseconds.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from hoistplank.membership import list_staleness
from hoistplank.membership.host_states import TRANSITIONS, USABLE_STATES, Evidence, HostState
from hoistplank.membership.probe_schedule import ProbeSchedule
from hoistplank.store.schemas import PersistedHost, RemovalHistory

# States of a host in the change log's events.
READY, GONE = "ready", "gone"

# Backoff between probes of a host that did not answer as expected, with jitter on each delay.
INITIAL_BACKOFF_US, MAX_BACKOFF_US = 400_000, 10_000_000
MAX_BACKOFF_DOUBLINGS = 6
MIN_JITTER = 0.5  # factor of a delay; the factor is drawn from here up to 1 more
# Interval between probes of a host that did answer: it may still drain or end without a change log to report
# it. With many hosts the interval grows, so that the total stays at RECHECKS_PER_S.
RECHECK_INTERVAL_US = 2_000_000
RECHECKS_PER_S = 50
# An unlisted host counts as drained once this many and this share of its latest requests failed.
RECENT_RESULTS = 20
MIN_FAILURES, FAILURE_SHARE = 6, 0.7
PROVEN_AFTER_REQUESTS = 3


def _always_relevant(_host: PersistedHost) -> bool:
    return True


@dataclass(slots=True)
class RegisteredHost:
    """One host of the registry with its state, probe results and recent request results."""

    host: PersistedHost
    state: HostState
    first_answered_us: int = 0  # when it became tentative; published as its start time
    unanswered_probes: int = 0  # in a row
    probe_rank: int = 0
    served_requests: int = 0
    recent_results: deque[bool] = field(default_factory=lambda: deque(maxlen=RECENT_RESULTS))

    def requests_are_failing(self) -> bool:
        """Returns True if enough of its latest requests failed for it to count as drained."""
        results = self.recent_results
        return len(results) >= MIN_FAILURES and results.count(False) >= FAILURE_SHARE * len(results)


class UsableHost(NamedTuple):
    """A host that may be used without the change log; it counts as cold from `started_us` on."""

    host: PersistedHost
    started_us: int


class HostRegistry:
    """All known hosts and their probes. `random` gives each dispatcher its own probe order; `dispatchers` is
    how many may start at the same time."""

    def __init__(self, random: Random, dispatchers: int = 1) -> None:
        self.hosts: dict[str, RegisteredHost] = {}
        self.survival_probability = 1.0
        self.max_probe_attempts = list_staleness.MAX_ATTEMPTS
        self.is_synced = False  # True once the change log has sent its list
        self.usable_changed = False  # True if the usable hosts changed since the last `usable_hosts` call
        self.carried_start_times: dict[str, int] = {}  # by host: the start time in use before the sync, in us
        self._random = random
        self._dispatchers = dispatchers
        self._schedule = ProbeSchedule()
        self._probes_in_flight = 0

    def load_persisted(
        self,
        now: int,
        hosts: Iterable[PersistedHost],
        last_contact_us: int,
        history: RemovalHistory,
        is_relevant: Callable[[PersistedHost], bool] = _always_relevant,
    ) -> None:
        """Adds the hosts of an earlier list, without those that were draining. A host that is not relevant to
        this dispatcher (a cache host of another zone) is never probed."""
        # If the clock was set back, the list appears to be from the future; it counts as new then.
        age_s = max(0.0, (now - last_contact_us) / 1e6)
        self.survival_probability = list_staleness.survival_probability(history, age_s)
        self.max_probe_attempts = list_staleness.max_probe_attempts(self.survival_probability)
        for host in hosts:
            if host.uid not in self.hosts and host.state == READY:
                self.hosts[host.uid] = RegisteredHost(host, HostState.PERSISTED)
        order = sorted(uid for uid, entry in self.hosts.items() if is_relevant(entry.host))
        # Shuffled, or dispatchers that start together from one list would all probe the same hosts first.
        self._random.shuffle(order)
        # The rarest kinds, the parents and origins, come first: without one no cache host can fill anything,
        # and non-idempotent requests can't be sent anywhere.
        host_count_by_kind = Counter(self.hosts[uid].host.kind for uid in order)
        order.sort(key=lambda uid: host_count_by_kind[self.hosts[uid].host.kind])
        for rank, uid in enumerate(order):
            self.hosts[uid].probe_rank = rank
            self._schedule_probe(self.hosts[uid], now)

    def next_probes(self, now: int) -> list[PersistedHost]:
        """Returns the hosts to probe now. The probe of each counts as in flight until `probe_completed`; the
        host is not returned again before."""
        if self.is_synced:
            return []
        limit = list_staleness.probe_concurrency(self.survival_probability, self._dispatchers)
        found = list[PersistedHost]()
        while self._probes_in_flight < limit:
            uid = self._schedule.pop_due(now)
            if uid is None:
                break
            entry = self.hosts.get(uid)
            if entry is not None and entry.state is not HostState.WITHDRAWN:
                self._probes_in_flight += 1
                found.append(entry.host)
        return found

    def probe_completed(self, now: int, uid: str, evidence: Evidence) -> None:
        """Records the result of a probe: healthy, draining, no response or an unexpected one."""
        self._probes_in_flight = max(0, self._probes_in_flight - 1)
        self.record(now, uid, evidence)

    def record(self, now: int, uid: str, evidence: Evidence) -> None:
        """Records evidence on a host, from a probe or a request; without a transition its state stays."""
        entry = self.hosts.get(uid)
        if entry is None:
            return
        match evidence:
            case Evidence.HEALTHY:
                self._record_healthy(now, entry)
            case Evidence.NO_RESPONSE | Evidence.DRAINING:
                self._record_unavailable(now, entry, evidence)
            case Evidence.REQUEST_SERVED:
                self._record_served(now, entry)
            case Evidence.REQUEST_FAILED:
                self._record_failed(now, entry)
            case _:
                self._transition(now, entry, evidence)

    def _record_healthy(self, now: int, entry: RegisteredHost) -> None:
        entry.unanswered_probes = 0
        interval = max(RECHECK_INTERVAL_US, len(self._schedule) * 1_000_000 // RECHECKS_PER_S)
        self._schedule_probe(entry, now + interval)
        self._transition(now, entry, Evidence.HEALTHY)

    def _record_unavailable(self, now: int, entry: RegisteredHost, evidence: Evidence) -> None:
        if evidence is Evidence.NO_RESPONSE:
            entry.unanswered_probes += 1
        doublings = min(entry.unanswered_probes, MAX_BACKOFF_DOUBLINGS)
        backoff = min(MAX_BACKOFF_US, INITIAL_BACKOFF_US * 2**doublings)
        self._schedule_probe(entry, now + int(backoff * (MIN_JITTER + self._random.random())))
        self._transition(now, entry, evidence)
        if entry.unanswered_probes >= self.max_probe_attempts and entry.served_requests == 0:
            self._transition(now, entry, Evidence.PROBES_EXHAUSTED)

    def _record_served(self, now: int, entry: RegisteredHost) -> None:
        entry.served_requests += 1
        entry.recent_results.append(True)
        if entry.served_requests >= PROVEN_AFTER_REQUESTS:
            self._transition(now, entry, Evidence.REQUEST_SERVED)

    def _record_failed(self, now: int, entry: RegisteredHost) -> None:
        entry.recent_results.append(False)
        if entry.requests_are_failing():
            entry.recent_results.clear()
            self._schedule_probe(entry, now + INITIAL_BACKOFF_US)
            self._transition(now, entry, Evidence.REQUESTS_FAILING)

    def _schedule_probe(self, entry: RegisteredHost, due_us: int) -> None:
        self._schedule.schedule(entry.host.uid, due_us, entry.probe_rank)

    def _transition(self, now: int, entry: RegisteredHost, evidence: Evidence) -> None:
        state = TRANSITIONS.get((entry.state, evidence))
        if state is None or state is entry.state:
            return
        self.usable_changed |= (state in USABLE_STATES) != (entry.state in USABLE_STATES)
        if state is HostState.TENTATIVE:
            entry.first_answered_us = now
        entry.state = state

    def update_listed(self, now: int, hosts: Iterable[PersistedHost], *, whole: bool) -> None:
        """Applies the change log's hosts: a whole list replaces all others in one step, a change updates the
        hosts that it names."""
        if not self.is_synced:
            self.carried_start_times = {row.host.uid: row.first_answered_us for row in self._usable_entries()}
        self.is_synced = True
        named = set[str]()
        for host in hosts:
            named.add(host.uid)
            self._update_listed_host(now, host)
        if whole:
            for uid, entry in self.hosts.items():
                if uid not in named:
                    self._transition(now, entry, Evidence.UNLISTED)
        for uid in [uid for uid, entry in self.hosts.items() if entry.state is HostState.WITHDRAWN]:
            del self.hosts[uid]
            self.carried_start_times.pop(uid, None)
        self.usable_changed = False  # hosts are published by the change log from now on

    def _update_listed_host(self, now: int, host: PersistedHost) -> None:
        entry = self.hosts.get(host.uid)
        if host.state == GONE:
            if entry is not None:
                self._transition(now, entry, Evidence.UNLISTED)
        elif entry is None:
            self.hosts[host.uid] = RegisteredHost(host, HostState.LISTED)
        else:
            entry.host = host
            self._transition(now, entry, Evidence.LISTED)

    def _usable_entries(self) -> list[RegisteredHost]:
        return [entry for entry in self.hosts.values() if entry.state in USABLE_STATES]

    def usable_hosts(self) -> list[UsableHost]:
        """Returns all hosts that may be used while the change log is silent; clears `usable_changed`."""
        self.usable_changed = False
        return [UsableHost(entry.host, entry.first_answered_us) for entry in self._usable_entries()]

    def start_time_of(self, uid: str, boot_us: int) -> int:
        """Returns the start time in us of a listed host: that of its first answer, unless the change log has
        a later one.

        With a different start time the router would take a host already in use for a new process, close its
        connections with requests on them, and restart its warm-up.
        """
        return max(boot_us, self.carried_start_times.get(uid, 0))

    def count_by_state(self) -> dict[str, int]:
        """Returns the number of hosts in each state that has any, in the order of `HostState`."""
        counts = Counter(entry.state for entry in self.hosts.values())
        return {state.value: counts[state] for state in HostState if counts[state]}
