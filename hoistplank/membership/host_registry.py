"""What is known of each cache host, how far it is trusted, and when it is probed. No I/O, no clock.

`host_states` has the table. Until the change log has sent its list, only hosts that have answered a probe are
usable, each as started at that moment, so that it counts as cold; then the whole list replaces all else.
`now` is whole microseconds.
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

# A host's own state, as the change log spells it.
READY, GONE = "ready", "gone"

# Between probes of a host that did not answer as it should: backoff, with jitter around each pause.
INITIAL_BACKOFF_US, MAX_BACKOFF_US = 400_000, 10_000_000
MAX_BACKOFF_DOUBLINGS = 6
MIN_JITTER = 0.5  # of a pause; it is at most this and 1
# Between probes of a host that did answer, as a drain or an end may follow that no change log reports; of
# many hosts each is probed more seldom, so that there are only so many probes a second in all.
RECHECK_INTERVAL_US = 2_000_000
RECHECKS_PER_S = 50
# Of the latest requests of a host that is not listed, so many and this share failed: it is as good as
# drained.
RECENT_RESULTS = 20
MIN_FAILURES, FAILURE_SHARE = 6, 0.7
PROVEN_AFTER_REQUESTS = 3


def _always_relevant(_host: PersistedHost) -> bool:
    return True


@dataclass(slots=True)
class RegisteredHost:
    """One host of the registry."""

    host: PersistedHost
    state: HostState
    first_answered_us: int = 0  # when it became tentative: the start that it is handed on with
    unanswered_probes: int = 0  # in a row
    probe_rank: int = 0
    served_requests: int = 0
    recent_results: deque[bool] = field(default_factory=lambda: deque(maxlen=RECENT_RESULTS))

    def requests_are_failing(self) -> bool:
        """Whether enough of its latest requests failed for it to count as drained."""
        results = self.recent_results
        return len(results) >= MIN_FAILURES and results.count(False) >= FAILURE_SHARE * len(results)


class UsableHost(NamedTuple):
    """A host that may be used without the change log; `started_us` makes it cold from then on."""

    host: PersistedHost
    started_us: int


class HostRegistry:
    """All known hosts. `random` gives each dispatcher a probe order of its own; `dispatchers` start together
    at worst."""

    def __init__(self, random: Random, dispatchers: int = 1) -> None:
        self.hosts: dict[str, RegisteredHost] = {}
        self.survival_probability = 1.0
        self.max_probe_attempts = list_staleness.MAX_ATTEMPTS
        self.is_synced = False  # whether the change log has sent its list
        self.usable_changed = False  # since `usable_hosts` was called last
        self.carried_starts: dict[str, int] = {}  # by host: its start as used before the sync
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
        """Adds the hosts of an earlier list. One that was draining then is left out; one that is not relevant
        here (a cache host of another location) is never probed."""
        # Danger: with the clock set back, the list would be from the future: it counts as new.
        age_s = max(0.0, (now - last_contact_us) / 1e6)
        self.survival_probability = list_staleness.survival_probability(history, age_s)
        self.max_probe_attempts = list_staleness.max_probe_attempts(self.survival_probability)
        for host in hosts:
            if host.uid not in self.hosts and host.state == READY:
                self.hosts[host.uid] = RegisteredHost(host, HostState.PERSISTED)
        order = sorted(uid for uid, entry in self.hosts.items() if is_relevant(entry.host))
        # Danger: dispatchers that start together from one list would all probe the same hosts first.
        self._random.shuffle(order)
        # The rarest kinds, the sources, go first: without one no cache host can fill anything, and
        # non-idempotent requests have nowhere to go.
        hosts_by_kind = Counter(self.hosts[uid].host.kind for uid in order)
        order.sort(key=lambda uid: hosts_by_kind[self.hosts[uid].host.kind])
        for rank, uid in enumerate(order):
            self.hosts[uid].probe_rank = rank
            self._schedule_probe(self.hosts[uid], now)

    def next_probes(self, now: int) -> list[PersistedHost]:
        """The hosts to probe now. Each counts as in flight until `probe_completed`, and is not returned again
        before."""
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
        """The end of a probe: healthy, draining, no response or an unexpected one."""
        self._probes_in_flight = max(0, self._probes_in_flight - 1)
        self.record(now, uid, evidence)

    def record(self, now: int, uid: str, evidence: Evidence) -> None:
        """Evidence on a host, from a probe or a request; what does not fit its state changes nothing."""
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
        """The change log's hosts: a whole list replaces all else in one step, a change updates those that it
        names."""
        if not self.is_synced:
            self.carried_starts = {row.host.uid: row.first_answered_us for row in self._usable_entries()}
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
            self.carried_starts.pop(uid, None)
        self.usable_changed = False  # nothing is handed on from here any more: the change log's list is

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
        """All hosts that may be used while the change log is silent."""
        self.usable_changed = False
        return [UsableHost(entry.host, entry.first_answered_us) for entry in self._usable_entries()]

    def start_of(self, uid: str, boot_us: int) -> int:
        """The start that a listed host goes on with: that of its first answer, unless the change log knows of
        a later one.

        Danger: with another start the router would take a host that is in use already for a new process,
        close its connections with requests on them, and begin its warm-up anew.
        """
        return max(boot_us, self.carried_starts.get(uid, 0))

    def count_by_state(self) -> dict[str, int]:
        """Hosts in each state that has any, in the order of the states."""
        counts = Counter(entry.state for entry in self.hosts.values())
        return {state.value: counts[state] for state in HostState if counts[state]}
