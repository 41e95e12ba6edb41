"""The five rules, judged by what really happened in the world and never by a dispatcher's word.

Each checker hears events of the world; what breaks a rule is kept as a line with its time. `now` is whole
microseconds of the day. What a dispatcher can't be blamed for (it was killed; it had not been told) is let
pass.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from hoistplank.lab.model.world_settings import S, Shape

DRAIN_US, PURGE_US, SLACK_US = 250_000, 1_000_000, 50_000
MOST_LINES = 50
Tell = Callable[[int, int, str], None]  # rule, when (us), what was seen


@dataclass(slots=True)
class Breach:
    """One broken rule: which, when (us), and what was seen."""

    rule: int
    at: int
    what: str


@dataclass(slots=True)
class Taken:
    """A request that a dispatcher took."""

    seat: int
    until: int
    answers: int = 0
    left: bool = False
    excused: bool = False


class Answers:
    """Rule one: exactly one whole answer to each request taken, before its time is up."""

    def __init__(self, tell: Tell) -> None:
        self.tell, self.open = tell, dict[str, Taken]()
        self.slack_us = SLACK_US  # beyond its time that an answer may come; more on a shared machine
        self.blind: dict[int, int] = {}  # dispatchers not to blame for answers now, by how many causes

    def took(self, now: int, seat: int, request: str, until: int) -> None:
        self.open[request] = Taken(seat, until, excused=seat in self.blind)

    def refused(self, request: str) -> None:
        """Nobody took it after all."""
        self.open.pop(request, None)

    def blinded(self, seat: int) -> None:
        """From now on what a dispatcher answers can't come, or it stands still: that is not its fault."""
        self.blind[seat] = self.blind.get(seat, 0) + 1
        self.killed(seat)

    def seeing(self, seat: int) -> None:
        """One cause of that has ended; what is open still is excused."""
        self.killed(seat)
        self.blind[seat] -= 1
        if not self.blind[seat]:
            del self.blind[seat]

    def answered(self, now: int, request: str) -> None:
        row = self.open.get(request)
        if row is None:
            return self.tell(1, now, f"an answer to {request}, which nobody has open")
        row.answers += 1
        if row.answers > 1:
            self.tell(1, now, f"answer {row.answers} to {request}")
        elif now > row.until + self.slack_us and not (row.left or row.excused):
            self.tell(1, now, f"{request} answered {(now - row.until) // 1000} ms after its time was up")

    def left(self, now: int, request: str) -> None:
        """Its client went before the time was up; one that stays to the end is owed an answer."""
        row = self.open.get(request)
        if row is not None:
            row.left = now < row.until

    def killed(self, seat: int) -> None:
        """Its requests are nobody's fault but the killer's."""
        for row in self.open.values():
            row.excused |= row.seat == seat

    def sweep(self, now: int) -> None:
        """What is long past its time; done now and then, so that a day of millions of requests stays
        small."""
        past: list[str] = []
        for request, row in self.open.items():
            # In the order of their taking: none that comes later is past its time where this one has 5 s to
            # go.
            if row.until > now + 5 * S:
                break
            # Danger: what was held back by the rig, or stood still, may be answered long after its time.
            if row.until + S < now and (row.answers or not row.excused):
                past.append(request)
        for request in past:
            row = self.open.pop(request)
            if not (row.answers or row.left or row.excused):
                self.tell(1, now, f"no answer to {request} of dispatcher {row.seat}")


class Effects:
    """Rule two: no effect twice, but for a repeat of a keyed request at the same origin within its
    window.
    """

    def __init__(self, tell: Tell) -> None:
        self.tell, self.ran = tell, dict[str, int]()

    def run(self, now: int, key: str, window_us: int) -> bool:
        """An effect is asked for; whether it runs, and is not known as a repeat."""
        first = self.ran.get(key)
        if first is not None and now - first <= window_us:
            return False
        if first is not None:
            self.tell(2, now, f"the effect of {key} again after {(now - first) // 1000} ms")
        self.ran[key] = now
        return True


class Drains:
    """Rule three: nothing new to a drained or gone host 250 ms after the dispatcher was told, as
    source too.
    """

    def __init__(self, tell: Tell) -> None:
        self.tell, self.told_at = tell, dict[tuple[int, str], int]()
        self.heard: Callable[[int, int, str, str], None] | None = None  # of every attempt

    def told(self, now: int, seat: int, host: str, state: str) -> None:
        if state == "up":
            self.told_at.pop((seat, host), None)
        else:
            self.told_at.setdefault((seat, host), now)

    def forget(self, seat: int) -> None:
        for pair in [pair for pair in self.told_at if pair[0] == seat]:
            del self.told_at[pair]

    def attempt(self, now: int, seat: int, host: str, role: str) -> None:
        if self.heard is not None:
            self.heard(now, seat, host, role)
        at = self.told_at.get((seat, host))
        if at is not None and now - at > DRAIN_US:
            self.tell(
                3, now, f"{host} as {role} from dispatcher {seat} {(now - at) // 1000} ms after it was told"
            )


@dataclass(slots=True)
class Warming:
    started: int
    room: float
    work: deque[tuple[int, float, bool]] = field(default_factory=deque)
    asked: float = 0.0
    by_told: float = 0.0
    said: bool = False


class Colds:
    """Rule four: no cold host pushed over by all dispatchers together, fills at parents counted.

    The budget of any window is multiple x what the host can carry now x the window; broken where at least two
    thirds of the work came from dispatchers that had been told of its start.
    """

    def __init__(self, shape: Shape, tell: Tell) -> None:
        self.shape, self.tell = shape, tell
        self.cold, self.starts = dict[str, Warming](), dict[tuple[int, str], int]()
        self.worst = 0.0

    def started(self, now: int, host: str, room: float) -> None:
        self.cold[host] = Warming(now, room)

    def told(self, seat: int, host: str, started_us: int) -> None:
        self.starts[seat, host] = max(self.starts.get((seat, host), 0), started_us)

    def forget(self, seat: int) -> None:
        for pair in [pair for pair in self.starts if pair[0] == seat]:
            del self.starts[pair]

    def fullest(self, now: int) -> float:
        """The most that a cold host is asked for now, as a share of what it can bear."""
        most, shape = 0.0, self.shape
        for row in self.cold.values():
            if now - row.started < shape.cold_us:
                asked = sum(work for at, work, _ in row.work if at > now - shape.tip_us)
                most = max(most, asked / self._budget(now, row))
        return most

    def _budget(self, now: int, row: Warming) -> float:
        shape = self.shape
        can = shape.cold_from + (1 - shape.cold_from) * (now - row.started) / shape.cold_us
        return shape.tip_multiple * can * row.room * shape.tip_us

    def asked(self, now: int, seat: int, host: str, work_us: float) -> bool:
        """Work of a dispatcher that reached a host; whether it was more than the host can bear."""
        row = self.cold.get(host)
        if row is None:
            return False
        shape = self.shape
        if now - row.started >= shape.cold_us:
            del self.cold[host]
            return False
        told = self.starts.get((seat, host), -1) >= row.started
        row.work.append((now, work_us, told))
        row.asked += work_us
        row.by_told += work_us * told
        while row.work[0][0] <= now - shape.tip_us:
            _, work, by_told = row.work.popleft()
            row.asked -= work
            row.by_told -= work * by_told
        budget = self._budget(now, row)
        # Danger: of few transfers a window holds one more or less by chance; one more is let pass.
        over = row.asked > budget + work_us
        self.worst = max(self.worst, row.asked / budget)
        if over and not row.said and row.by_told >= row.asked * 2 / 3:
            row.said = True
            self.tell(4, now, f"{host}, cold, was sent {row.asked / budget:.2f} of what it can bear")
        return over


class Purges:
    """Rule five: nothing older than a purge in answer to what was sent 1 s after the dispatcher was told."""

    def __init__(self, tell: Tell) -> None:
        self.tell, self.floors = tell, dict[tuple[int, str | int], deque[tuple[int, int]]]()

    def told(self, now: int, seat: int, what: str | int, made: int) -> None:
        row = self.floors.setdefault((seat, what), deque(maxlen=8))
        row.append((now, made))

    def forget(self, seat: int) -> None:
        for pair in [pair for pair in self.floors if pair[0] == seat]:
            del self.floors[pair]

    def served(
        self, now: int, seat: int, request: str, object_key: str, group: int, sent: int, born: int
    ) -> None:
        for what in (object_key, group):
            for told, made in self.floors.get((seat, what), ()):
                if sent > told + PURGE_US and born < made:
                    self.tell(
                        5,
                        now,
                        f"{request} answered by a copy {(made - born) // 1000} ms older than its purge",
                    )


class Truth:
    """All five, and what they found."""

    def __init__(self, shape: Shape) -> None:
        self.breaches: list[Breach] = []
        self.counts = dict.fromkeys((1, 2, 3, 4, 5), 0)
        self.answers, self.effects, self.drains = Answers(self._tell), Effects(self._tell), Drains(self._tell)
        self.colds, self.purges = Colds(shape, self._tell), Purges(self._tell)

    def _tell(self, rule: int, at: int, what: str) -> None:
        self.counts[rule] += 1
        if len(self.breaches) < MOST_LINES:
            self.breaches.append(Breach(rule, at, what))

    def killed(self, seat: int) -> None:
        """A dispatcher's process is gone: it knows nothing any more, and what it had open is excused."""
        self.answers.killed(seat)
        self.drains.forget(seat)
        self.colds.forget(seat)
        self.purges.forget(seat)
