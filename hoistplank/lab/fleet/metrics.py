"""Metrics of a whole fleet, from the simulated world's own events and samples.

Utility by location, the outcome of displaced requests, use of shared resources, fairness, attempts for each
first try, and how long wrong choices lasted. No dispatcher reports any of it. No I/O, no clock; times are
whole microseconds of the world.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any

from hoistplank.lab.model.clients import ABANDONED, FAILED, REJECTED, SERVED, UNREACHABLE, Request
from hoistplank.lab.model.world_settings import SECOND_US, WorldSettings

BIN = 100_000  # of utility and refusals over time
OUTCOMES = (SERVED, REJECTED, FAILED, UNREACHABLE, ABANDONED)
RIGHT_CHOICE_WINDOW = 5  # attempts by which a choice counts as right
SENT_BEFORE_US = 2_000  # what was on its way when a fault began is no choice of after it


def jain_index(values: list[float]) -> float:
    """Jain's index of fairness: 1 where all are alike, 1 / n where one has all; 1 of nothing."""
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 1.0


@dataclass(slots=True)
class FaultMark:
    """A fault that makes hosts a wrong choice, from when to when, and for which dispatchers (None: all)."""

    begin: int
    end: int
    hosts: frozenset[str]
    dispatchers: frozenset[int] | None
    text: str
    choices: dict[int, list[tuple[int, bool]]] = field(default_factory=dict)  # when, whether wrong
    attempts: int = 0  # at what it struck

    def first_right_choice_us(self, dispatcher: int) -> int:
        """The time from the fault's beginning to a dispatcher's first right choice.

        That is the first attempt elsewhere after which `RIGHT_CHOICE_WINDOW` attempts have one wrong at most,
        since an attempt now and then at a lost host is how its return is found. Where there is none, it is
        the fault's whole length.
        """
        trail = self.choices.get(dispatcher, [])
        for n, (at, wrong) in enumerate(trail):
            row = trail[n : n + RIGHT_CHOICE_WINDOW]
            if not wrong and sum(bad for _, bad in row) <= 1:
                return at - self.begin
        return (self.end - self.begin) if any(wrong for _, wrong in trail) else 0

    def slowest_us(self) -> int:
        """Of the slowest dispatcher."""
        return max(map(self.first_right_choice_us, self.choices), default=0)

    def figures(self) -> dict[str, Any]:
        """What a report shows of it."""
        return {
            "what": self.text,
            "attempts": self.attempts,
            "slowest_s": round(self.slowest_us() / SECOND_US, 3),
            "by_dispatcher": {
                str(dispatcher): round(self.first_right_choice_us(dispatcher) / SECOND_US, 3)
                for dispatcher in sorted(self.choices)
            },
        }


@dataclass(slots=True)
class SharedResource:
    """A shared resource: the most that was in use of it, and how many samples were over the whole."""

    whole: float
    most: float = 0.0
    samples: int = 0
    over: int = 0
    by_time: list[float] = field(default_factory=list)

    def sample(self, parts: list[float]) -> None:
        """Take one sample of the parts in use."""
        in_use = sum(parts)
        self.samples += 1
        self.over += in_use > self.whole
        self.most = max(self.most, in_use / self.whole if self.whole else 0.0)
        self.by_time.append(round(in_use / self.whole, 3) if self.whole else 0.0)

    def figures(self) -> dict[str, Any]:
        """What a report shows of it."""
        return {
            "most": round(self.most, 3),
            "over": self.over,
            "samples": self.samples,
            "by_time": self.by_time,
        }


class FleetMetrics:
    """Collects the metrics as an observer of the world; `zones` are the dispatchers', by their numbers."""

    def __init__(self, settings: WorldSettings, zones: list[int]) -> None:
        bins = int(settings.seconds * SECOND_US / BIN) + 1
        self.settings, self.zones, self.start = settings, zones, settings.start_us()
        self.origin = "origin"  # what is never kept goes there whatever is lost: no choice of a host
        self.asked_in = [[0.0] * bins for _ in range(settings.zones)]
        self.earned_in = [[0.0] * bins for _ in range(settings.zones)]
        self.refused_in = [[0] * bins for _ in settings.classes]
        self.lost = {zone: defaultdict[str, float](float) for zone in range(settings.zones)}
        self.given_up = defaultdict[str, float](float)  # utility rejected in the end, by traffic class
        self.firsts = self.tries = self.attempts = 0
        self.seen_requests: set[int] = set()  # requests, by their numbers
        self.by_dispatcher = [[0, 0] for _ in zones]  # tries, of these served
        self.answers: Counter[str] = Counter()
        self.out: dict[str, tuple[int, int]] = {}  # by try: home, where it went
        self.displaced: Counter[tuple[int, int]] = Counter()
        self.displaced_outcomes: Counter[tuple[int, int, str]] = Counter()
        self.stray_answers: list[str] = []
        self.marks: list[FaultMark] = []
        self.shared: defaultdict[str, SharedResource] = defaultdict(lambda: SharedResource(0.0))

    def _bin(self, at: int) -> int | None:
        return min((at - self.start) // BIN, len(self.asked_in[0]) - 1) if at >= self.start else None

    # Events of the clients.

    def asked(self, now: int, zone: int, class_index: int) -> None:
        """Count the utility of a part that a client wants."""
        bin_index = self._bin(now)
        if bin_index is not None:
            self.asked_in[zone][bin_index] += self.settings.classes[class_index].utility

    def tried(self, now: int, request: Request) -> None:
        """Count a try that a dispatcher has accepted."""
        zone = self.zones[request.dispatcher]
        self.out[request.id] = request.zone, zone
        if request.zone != zone:
            self.displaced[request.zone, zone] += 1
        if now >= self.start:
            self.tries += 1
            self.firsts += request.number not in self.seen_requests
            self.seen_requests.add(request.number)
            self.by_dispatcher[request.dispatcher][0] += 1

    def answered(self, now: int, request: Request, how: str) -> None:
        """Count how a try ended, one of `OUTCOMES`."""
        way = self.out.pop(request.id, None)
        if way is None:
            self.stray_answers.append(f"{request.id}: {how}, though nobody has it")
            return
        home, zone = way
        if home != zone:
            self.displaced_outcomes[home, zone, how] += 1
        bin_index = self._bin(now)
        if bin_index is not None:
            self.answers[how] += 1
            self.by_dispatcher[request.dispatcher][1] += how == SERVED
            if how == REJECTED:
                self.refused_in[request.class_index][bin_index] += 1

    def ended(self, due_at: int, zone: int, class_index: int, share: float, cause: str) -> None:
        """Count the share of a part's utility that was earned, and the cause of the rest."""
        bin_index = self._bin(due_at)
        if bin_index is None:
            return
        utility = self.settings.classes[class_index].utility
        self.earned_in[zone][bin_index] += utility * share
        if share < 1:
            self.lost[zone][cause] += utility * (1 - share)
        if cause == REJECTED:
            self.given_up[self.settings.classes[class_index].name] += utility

    # Events of the hosts.

    def attempt(self, now: int, dispatcher: int, host: str, role: str) -> None:
        """Count an attempt, and whether its host was a wrong choice under each fault."""
        if role == "host" and now >= self.start:
            self.attempts += 1
        for mark in self.marks:
            ours = (
                (mark.dispatchers is None or dispatcher in mark.dispatchers)
                and role == "host"
                and host != self.origin
            )
            if ours and mark.begin + SENT_BEFORE_US < now < mark.end:
                mark.attempts += host in mark.hosts
                mark.choices.setdefault(dispatcher, []).append((now, host in mark.hosts))

    def mark_fault(
        self, now: int, length: int, hosts: list[str], text: str, dispatchers: list[int] | None = None
    ) -> None:
        """From now on these hosts are a wrong choice for these dispatchers."""
        whose = frozenset(dispatchers) if dispatchers is not None else None
        self.marks.append(FaultMark(now, now + length, frozenset(hosts), whose, text))

    def sample(self, name: str, whole: float, parts: list[float]) -> None:
        """Sample the parts in use of a shared resource."""
        row = self.shared[name]
        row.whole = whole
        row.sample(parts)

    # Figures.

    def earned(self, zones: list[int], low: int = 0, high: int = 0) -> float:
        """Share of what clients of these locations asked for in a window (us from the first second)."""
        first, last = low // BIN, (high // BIN if high else len(self.asked_in[0]))
        asked = sum(sum(self.asked_in[zone][first:last]) for zone in zones)
        earned = sum(sum(self.earned_in[zone][first:last]) for zone in zones)
        return earned / asked if asked else 1.0

    def fair(self) -> float:
        """The worst location's index of the shares that its dispatchers served of what came to them."""
        worst = 1.0
        for zone in set(self.zones):
            rows = [row for row, where in zip(self.by_dispatcher, self.zones, strict=True) if where == zone]
            worst = min(worst, jain_index([served / tries for tries, served in rows if tries]))
        return worst

    def unaccounted(self) -> list[str]:
        """Displaced tries whose end nobody knows, and ends of tries that nobody made; a sentence each."""
        found = list(self.stray_answers)
        for (home, zone), many in sorted(self.displaced.items()):
            known = sum(self.displaced_outcomes[home, zone, how] for how in OUTCOMES)
            if known != many:
                found.append(f"{many - known} of {many} tries of z{home} at z{zone} have no end")
        return found

    def measure(self, name: str, place: str, low: int, high: int) -> float:
        """A figure by the name that a scene's bound gives it (see `scene.MEASURES`).

        `place` is a location as `z0`, or "" for all; of `lost`, a cause with '-' for its blanks. `low` and
        `high` are a window in us from the first second; 0, 0 for the whole day. Raises KeyError for a name
        that it does not know.
        """
        zones = [int(place[1:])] if place.startswith("z") else list(range(self.settings.zones))
        if name == "earned":
            return self.earned(zones, low, high)
        if name == "fair-places":
            return jain_index([self.earned([zone], low, high) for zone in zones])
        if name == "lost":
            return self._lost_share(place.replace("-", " "))
        if name == "link":
            links = [f"link z{zone}" for zone in zones]
            return max(resource.most for key, resource in self.shared.items() if key in links)
        return self._whole_scene_figures()[name]

    def _whole_scene_figures(self) -> dict[str, float]:
        served_elsewhere = sum(
            count for (_, _, outcome), count in self.displaced_outcomes.items() if outcome == SERVED
        )
        return {
            "displaced": served_elsewhere / max(1, sum(self.displaced.values())),
            "amplified": self.attempts / max(1, self.firsts),
            "asked-again": self.tries / max(1, self.firsts),
            "fair": self.fair(),
            "wrong": max((mark.slowest_us() for mark in self.marks), default=0) / SECOND_US,
            "refused": self.answers[REJECTED] / max(1, self.tries),
        }

    def _lost_share(self, cause: str) -> float:
        asked = sum(map(sum, self.asked_in))
        lost = sum(by_cause[cause] for by_cause in self.lost.values())
        return lost / asked if asked else 0.0

    def figures(self) -> dict[str, Any]:
        """All that a report needs, as JSON values by the names that results are stored under."""
        return {
            "asked_in": [_rounded(row) for row in self.asked_in],
            "earned_in": [_rounded(row) for row in self.earned_in],
            "refused_in": {
                row.name: counts for row, counts in zip(self.settings.classes, self.refused_in, strict=True)
            },
            "lost_by_place": {
                f"z{zone}": {cause: round(value, 3) for cause, value in rows.items()}
                for zone, rows in self.lost.items()
            },
            "given_up": {name: round(value, 3) for name, value in self.given_up.items()},
            "answers": dict(self.answers),
            "displaced": self._displaced_figures(),
            "amplified": round(self.measure("amplified", "", 0, 0), 4),
            "asked_again": round(self.measure("asked-again", "", 0, 0), 4),
            "fair": round(self.fair(), 4),
            "fair_places": round(self.measure("fair-places", "", 0, 0), 4),
            "shared": {name: resource.figures() for name, resource in self.shared.items()},
            "wrong": [mark.figures() for mark in self.marks],
        }

    def _displaced_figures(self) -> dict[str, dict[str, int]]:
        return {
            f"z{home} at z{zone}": {
                "tries": tries,
                **{outcome: self.displaced_outcomes[home, zone, outcome] for outcome in OUTCOMES},
            }
            for (home, zone), tries in sorted(self.displaced.items())
        }


def _rounded(values: list[float]) -> list[float]:
    return [round(value, 3) for value in values]
