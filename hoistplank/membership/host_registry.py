"""The roster: what is known of each cache host, from whom, and what the Router may be told of it. No I/O, no
clock.

One table says which evidence moves a host from which state to which; it is drawn in `docs/discovery.md`.
Until the
change log speaks, the Router is told only of hosts that have answered, each as started at that moment, so
that it
counts as cold; once the log speaks, its whole list replaces all else. `now` is whole microseconds.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

from hoistplank.membership import list_staleness
from hoistplank.store.schemas import PersistedHost, RemovalHistory

KEPT, TENTATIVE, PROVEN, DOUBTFUL, LISTED, WITHDRAWN = (
    "kept",
    "tentative",
    "proven",
    "doubtful",
    "listed",
    "withdrawn",
)
STATES = (KEPT, TENTATIVE, PROVEN, DOUBTFUL, LISTED, WITHDRAWN)

# Evidence: `good` a probe was answered as it should be; `red` it said that it takes nothing new; `mute` no
# connection
# or no answer; `stranger` what answered is no cache host; `served` a request was; `failed` too many of its
# last requests
# were refused or failed; `spent` no more probes are worth it; `listed` and `unlisted` are the log's words.
MOVES = {
    (KEPT, "good"): TENTATIVE,
    (KEPT, "red"): DOUBTFUL,
    (KEPT, "mute"): DOUBTFUL,
    (KEPT, "stranger"): WITHDRAWN,
    (KEPT, "spent"): WITHDRAWN,
    (TENTATIVE, "served"): PROVEN,
    (TENTATIVE, "red"): DOUBTFUL,
    (TENTATIVE, "mute"): DOUBTFUL,
    (TENTATIVE, "failed"): DOUBTFUL,
    (TENTATIVE, "stranger"): WITHDRAWN,
    (PROVEN, "red"): DOUBTFUL,
    (PROVEN, "mute"): DOUBTFUL,
    (PROVEN, "failed"): DOUBTFUL,
    (PROVEN, "stranger"): WITHDRAWN,
    (DOUBTFUL, "good"): TENTATIVE,
    (DOUBTFUL, "stranger"): WITHDRAWN,
    (DOUBTFUL, "spent"): WITHDRAWN,
    **{(state, "listed"): LISTED for state in STATES},
    **{(state, "unlisted"): WITHDRAWN for state in STATES if state != WITHDRAWN},
}
TOLD = (TENTATIVE, PROVEN)  # what the Router is told of while the log is silent

FIRST_REST_US, LONGEST_REST_US = 400_000, 10_000_000  # between probes of a host that did not answer
LOOKS_A_SECOND = 50
LOOK_AGAIN_US = 2_000_000  # between probes of one that did: a drain or an end that no log tells
# Of the last requests of a host that is not listed, so many and this share refused or failed: it is as good
# as drained.
FAILS_LEAST, FAILS_SHARE, FAILS_KEPT = 6, 0.7, 20
PROVEN_AFTER = 3


class Evidence(NamedTuple):
    """What the state of a host rests on."""

    what: str
    at: int


@dataclass(slots=True)
class Entry:
    """One host of the roster."""

    host: PersistedHost
    state: str
    why: Evidence
    since: int  # when it came into its state
    felt_at: int = 0  # when it last answered a probe for the first time: the start that the Router is told
    mute: int = 0  # probes in a row without an answer
    due: int = 0  # when it is felt out next; 0: a probe is out, or it is of no use here
    place: int = 0
    served: int = 0
    last: deque[bool] = field(default_factory=lambda: deque(maxlen=FAILS_KEPT))


class Told(NamedTuple):
    """One host as the Router is told of it; `started_us` makes it cold from then on."""

    host: PersistedHost
    started_us: int


class Roster:
    """`dispatchers` start together at worst; `chance` gives each an order of its own to feel hosts out in."""

    def __init__(self, chance: Random, dispatchers: int = 1) -> None:
        self.chance, self.dispatchers = chance, dispatchers
        self.rows: dict[str, Entry] = {}
        self._agenda: list[
            tuple[int, int, str]
        ] = []  # when, in this dispatcher's own order, whom to feel out
        self.alive, self.tries, self.live = 1.0, 8, False
        self.changed = False  # whether the Router is to be told anew
        self.out = 0  # probes that are under way
        self.starts: dict[str, int] = {}  # by host: the start that it was told with before the log spoke

    # What is heard.

    def keep(
        self,
        now: int,
        hosts: Iterable[PersistedHost],
        heard_us: int,
        history: RemovalHistory,
        useful: Callable[[PersistedHost], bool] = lambda host: True,
    ) -> None:
        """A list of another time: its hosts may be there. One that was draining then is not felt out at all,
        nor one
        that is of no use here (a cache host of another location)."""
        age_s = max(
            0.0, (now - heard_us) / 1e6
        )  # danger: set back, the clock is before the list: it counts as new
        self.alive = list_staleness.alive(history, age_s)
        self.tries = list_staleness.tries(self.alive)
        for host in hosts:
            if host.uid not in self.rows and host.state == "ready":
                self.rows[host.uid] = Entry(host, KEPT, Evidence("kept", heard_us), now)
        order = sorted(uid for uid, entry in self.rows.items() if useful(entry.host))
        # Danger: dispatchers that start together from one list would all feel out the same hosts first.
        self.chance.shuffle(order)
        # Sources first: without one no cache host can fill anything, and bookings have nowhere to go.
        kinds = Counter(self.rows[uid].host.kind for uid in order)
        order.sort(key=lambda uid: kinds[self.rows[uid].host.kind])
        for place, uid in enumerate(order):
            self.rows[uid].place = place
            self._plan(self.rows[uid], now)

    def _plan(self, entry: Entry, at: int) -> None:
        entry.due = at
        heappush(self._agenda, (at, entry.place, entry.host.uid))

    def note(self, now: int, uid: str, what: str) -> None:
        """Evidence on a host; what does not fit its state changes nothing."""
        entry = self.rows.get(uid)
        if entry is None:
            return
        if what == "good":
            entry.mute = 0
            # Of many hosts each is looked at more seldom: so many probes a second in all.
            told = max(LOOK_AGAIN_US, len(self._agenda) * 1_000_000 // LOOKS_A_SECOND)
            self._plan(entry, now + told)
        elif what in ("mute", "red"):
            entry.mute += what == "mute"
            rest = min(LONGEST_REST_US, FIRST_REST_US * 2 ** min(entry.mute, 6))
            self._plan(entry, now + int(rest * (0.5 + self.chance.random())))
            if entry.mute >= self.tries and entry.served == 0:
                self._move(now, entry, what)
                what = "spent"
        elif what == "served":
            entry.served += 1
            entry.last.append(True)
            if entry.served < PROVEN_AFTER:
                return
        elif what == "refused":
            entry.last.append(False)
            bad = entry.last.count(False)
            if len(entry.last) < FAILS_LEAST or bad < FAILS_SHARE * len(entry.last):
                return
            entry.last.clear()
            what = "failed"
            self._plan(entry, now + FIRST_REST_US)
        self._move(now, entry, what)

    def _move(self, now: int, entry: Entry, what: str) -> None:
        state = MOVES.get((entry.state, what))
        if state is None or state == entry.state:
            return
        self.changed |= (state in TOLD) != (entry.state in TOLD)
        if state == TENTATIVE:
            entry.felt_at = now
        entry.state, entry.since, entry.why = state, now, Evidence(what, now)

    def listed(self, now: int, hosts: Iterable[PersistedHost], whole: bool) -> None:
        """The log speaks: a whole list replaces all else in one step, a change moves those it names."""
        named = set()
        if not self.live:
            self.starts = {uid: entry.felt_at for uid, entry in self.rows.items() if entry.state in TOLD}
        self.live, self.changed = True, False
        for host in hosts:
            named.add(host.uid)
            entry = self.rows.get(host.uid)
            if host.state == "gone":
                if entry is not None:
                    self._move(now, entry, "unlisted")
            elif entry is None:
                self.rows[host.uid] = Entry(host, LISTED, Evidence("listed", now), now)
            else:
                entry.host = host
                self._move(now, entry, "listed")
        if whole:
            for uid, entry in self.rows.items():
                if uid not in named:
                    self._move(now, entry, "unlisted")
        for uid in [uid for uid, entry in self.rows.items() if entry.state == WITHDRAWN]:
            del self.rows[uid]
            self.starts.pop(uid, None)

    # What follows.

    def due(self, now: int) -> list[PersistedHost]:
        """Whom to feel out now; each counts as under way until `felt`. Never one with a probe out."""
        if self.live:
            return []
        most = list_staleness.wave(self.alive, self.dispatchers)
        found = []
        while self.out < most and self._agenda and self._agenda[0][0] <= now:
            at, _, uid = heappop(self._agenda)
            entry = self.rows.get(uid)
            # What was planned anew meanwhile, or is under way, stands in the agenda once more or not at all.
            if entry is not None and entry.state != WITHDRAWN and entry.due == at:
                entry.due = 0
                self.out += 1
                found.append(entry.host)
        return found

    def felt(self, now: int, uid: str, what: str) -> None:
        """A probe's end: good, red, mute or stranger."""
        self.out = max(0, self.out - 1)
        self.note(now, uid, what)

    def told(self) -> list[Told]:
        """All that the Router may know while the log is silent."""
        self.changed = False
        return [Told(entry.host, entry.felt_at) for entry in self.rows.values() if entry.state in TOLD]

    def start_of(self, uid: str, boot_us: int) -> int:
        """The start that a listed host goes on with: that of its proof, unless the log knows of a later one.

        Danger: with another start the Router would take a host that it has just got to know for a new
        process, close
        its connections with requests on them, and begin its cold time anew.
        """
        told = self.starts.get(uid, 0)
        return boot_us if boot_us >= told else told

    def counts(self) -> dict[str, int]:
        out = dict.fromkeys(STATES, 0)
        for entry in self.rows.values():
            out[entry.state] += 1
        return {state: count for state, count in out.items() if count}
