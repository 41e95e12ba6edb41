"""Clients: arrivals drawn ahead of all answers, parts asked for in sequence, repeats, give-up times, and what
was earned.
"""

from __future__ import annotations

from array import array
from bisect import bisect_right
from collections import Counter, defaultdict
from itertools import accumulate
from typing import Protocol

from hoistplank.interface import Note
from hoistplank.lab.model.event_queue import EventQueue
from hoistplank.lab.model.objects import ObjectCatalog, object_key_of, purge_group_of
from hoistplank.lab.model.streams import RandomStreams
from hoistplank.lab.model.world_settings import S, Shape

SERVED, BACK, OFF, GONE = "served", "rejected", "failed", "nobody there"
LEFT = "left after a lost part"
GOES_ON_US = 50_000  # after a refused connection, to another dispatcher
LAST_US = 60_000  # beyond the deadline: what a dispatcher answers at its very end still arrives
WAITS_US = 150_000  # least time that a repeat is worth


class Request:
    """What a client wants, over all its tries. `id` names the try that is out."""

    __slots__ = (
        "asked_at",
        "done",
        "due_at",
        "group",
        "id",
        "key",
        "number",
        "part",
        "seat",
        "session",
        "size_us",
        "object_key",
        "class_index",
        "tries",
        "until",
        "zone",
    )

    def __init__(self, number: int, session: Session, part: int, now: int, size_us: float) -> None:
        self.number, self.session, self.part, self.asked_at = number, session, part, now
        self.due_at = now
        self.class_index, self.object_key, self.zone, self.group = (
            session.class_index,
            session.object_key,
            session.zone,
            session.group,
        )
        self.size_us, self.tries, self.done, self.seat, self.until = size_us, 0, False, -1, 0
        self.key, self.id = f"{number:032x}", ""


class Session:
    """One client: an object and its parts, one after another; `due` are the times of parts that have come."""

    __slots__ = ("at", "due", "group", "left", "lot", "out", "parts", "object_key", "class_index", "zone")

    def __init__(self, class_index: int, object_key: str, zone: int, group: int, parts: int) -> None:
        self.class_index, self.object_key, self.zone, self.group, self.parts = (
            class_index,
            object_key,
            zone,
            group,
            parts,
        )
        self.at, self.due, self.left = 0, list[int](), False  # at: the next part to ask for
        self.out: Request | None = None
        self.lot = -1.0  # which clients go elsewhere when their location is lost; drawn once it matters


class Ear(Protocol):
    """Hears of every first part's time, every try and every end, beside what the utility counts."""

    def asked(self, now: int, zone: int, class_index: int) -> None: ...

    def tried(self, now: int, request: Request) -> None:
        """A dispatcher's connection took it; `request.seat` names the dispatcher."""

    def answered(self, now: int, request: Request, how: str) -> None:
        """How that try ended; `LEFT` if its client went."""

    def ended(self, due_at: int, zone: int, class_index: int, share: float, cause: str) -> None: ...


class Front(Protocol):
    """Takes requests to dispatchers."""

    def deliver(self, request: Request) -> bool:
        """To a dispatcher of the request's location; False if nobody took the connection."""

    def abandon(self, request: Request) -> None:
        """The client has left."""


class Utility:
    """By second of the day in which a request was first asked for; what comes before the first is not
    counted.
    """

    def __init__(self, shape: Shape) -> None:
        many = int(shape.seconds) + 2
        self.shape, self.start = shape, shape.start_us()
        self.asked, self.earned = [0.0] * many, [0.0] * many
        self.by_class: list[list[float]] = [[0.0, 0.0] for _ in shape.classes]  # asked, earned
        self.counts: list[list[int]] = [[0, 0] for _ in shape.classes]  # asked, served in time
        self.lost: defaultdict[str, float] = defaultdict(float)  # utility by cause
        self.times = [array("I") for _ in shape.classes]
        self.ends: Counter[str] = Counter()

    def ask(self, now: int, class_index: int) -> None:
        if now < self.start:
            return
        worth = self.shape.classes[class_index].utility
        self.asked[min((now - self.start) // S, len(self.asked) - 1)] += worth
        self.by_class[class_index][0] += worth
        self.counts[class_index][0] += 1

    def end(self, due_at: int, class_index: int, share: float, cause: str, took: int = 0) -> None:
        if due_at < self.start:
            return
        worth = self.shape.classes[class_index].utility
        if share:
            self.earned[min((due_at - self.start) // S, len(self.earned) - 1)] += worth * share
            self.by_class[class_index][1] += worth * share
        self.counts[class_index][1] += cause == "served"
        if share < 1:
            self.lost[cause] += worth * (1 - share)
        self.ends[cause] += 1
        if took:
            self.times[class_index].append(took)

    def score(self) -> float:
        return sum(self.earned) / max(1e-9, sum(self.asked))


class Clients:
    """All clients of a day. Arrivals end with the day's seconds; what is asked for then runs on."""

    def __init__(
        self, agenda: EventQueue, shape: Shape, streams: RandomStreams, library: ObjectCatalog, front: Front
    ) -> None:
        self.agenda, self.shape, self.library, self.front = agenda, shape, library, front
        self.utility, self.open = Utility(shape), dict[str, Request]()
        self.number, self.surge = 0, [1.0] * shape.zones
        self.ear: Ear | None = None
        self._arrivals = [streams.stream(f"arrivals of z{n}") for n in range(shape.zones)]
        self._what = [streams.stream(f"choices in z{n}") for n in range(shape.zones)]
        self._moods = streams.stream("moods")
        shares = list(accumulate(row.share for row in shape.classes))
        self._shares = [value / shares[-1] for value in shares]

    def begin(self) -> None:
        for zone in range(self.shape.zones):
            self._next(zone)

    def _next(self, zone: int) -> None:
        wait = self._arrivals[zone].exponential() * 1e6 / (self.shape.rate * self.surge[zone])
        at = self.agenda.now + max(1, int(wait))
        if at < self.shape.last_us():
            self.agenda.schedule(at, self._arrive, zone)

    def _arrive(self, zone: int) -> None:
        self._next(zone)
        what, now, shape = self._what[zone], self.agenda.now, self.shape
        class_index = min(bisect_right(self._shares, what.uniform()), len(shape.classes) - 1)
        row = shape.classes[class_index]
        parts = 1
        while parts < row.parts and what.uniform() < row.stay:
            parts += 1
        number = self.library.draw_object(now, class_index, zone)
        session = Session(class_index, object_key_of(number), zone, purge_group_of(number, shape), parts)
        size = self.library.size_kb(class_index, number) / shape.flow_kb_s * 1e6
        for part in range(parts):
            at = now + part * row.gap_us
            if part == 0:
                self._due(session, size)
            else:
                self.agenda.schedule(at, self._due, session, size)

    def _due(self, session: Session, size: float) -> None:
        """The time of a part has come: it is asked for once the one before has ended well."""
        self.utility.ask(self.agenda.now, session.class_index)
        if self.ear is not None:
            self.ear.asked(self.agenda.now, session.zone, session.class_index)
        if session.left:
            return self._left(session, self.agenda.now)
        session.due.append(self.agenda.now)
        if session.out is None:
            self._ask(session, size)

    def _ask(self, session: Session, size: float) -> None:
        self.number += 1
        request = session.out = Request(self.number, session, session.at, self.agenda.now, size)
        request.due_at = session.due[session.at]
        session.at += 1
        row, mood = self.shape.classes[request.class_index], self._moods.uniform()
        # Some leave long before their time is up.
        request.until = self.agenda.now + int(row.deadline_us * (1.0 if mood > 0.02 else 0.2 + 20 * mood))
        # An answer that is written as the time ends is on its way for a moment more.
        self.agenda.schedule(request.until + LAST_US, self._give_up, request)
        self._send(request)

    def _send(self, request: Request) -> None:
        if request.done:
            return
        request.tries += 1
        request.id = f"{request.number:012x}{request.tries:04x}"
        self.open[request.id] = request
        if not self.front.deliver(request):
            del self.open[request.id]
            self._nobody(request)

    def _nobody(self, request: Request) -> None:
        """Nobody took the connection: another dispatcher, a little later."""
        if request.tries > 8:
            return self._end(request, 0.0, GONE)
        self.agenda.schedule(self.agenda.now + GOES_ON_US, self._send, request)

    def refused(self, id: str) -> None:
        """A try whose connection was refused after all: no dispatcher has seen it."""
        request = self.open.pop(id, None)
        if request is not None and not request.done:
            if self.ear is not None:
                self.ear.answered(self.agenda.now, request, GONE)
            self._nobody(request)

    def answered(self, id: str, how: str, wait_us: int = 0, note: int = 0) -> None:
        """A dispatcher's answer to a try, or its connection's end."""
        request = self.open.pop(id, None)
        if request is None or request.done:
            return
        now, shape = self.agenda.now, self.shape
        row, took = shape.classes[request.class_index], now - request.asked_at
        if self.ear is not None:
            self.ear.answered(now, request, how)
        if how == SERVED:
            target = min(row.target_us + row.target_stretch * request.size_us, row.deadline_us)
            share = 1.0 if took <= target else row.late_share
            share *= row.old_share if note == Note.OLD else 1.0
            cause = "served old" if note == Note.OLD else "served" if took <= target else "served late"
            return self._end(request, share, cause, took)
        may = row.semantics != "at_most_once" or how == BACK
        # Danger: a repeat of what may have run elsewhere is the client's own risk; failed is not
        # repeated.
        if how != OFF and may and request.tries <= shape.retries:
            mood = self._moods.uniform()
            wait = wait_us if wait_us and mood < shape.honours else int(shape.backoff_us * (0.5 + mood))
            if now + wait + WAITS_US < request.until:
                return self.agenda.schedule(now + wait, self._send, request)
        self._end(request, 0.0, how)

    def _give_up(self, request: Request) -> None:
        if not request.done:
            if request.id in self.open:
                del self.open[request.id]
                self.front.abandon(request)
                if self.ear is not None:
                    self.ear.answered(self.agenda.now, request, LEFT)
            self._end(request, 0.0, "client gave up")

    def _end(self, request: Request, share: float, cause: str, took: int = 0) -> None:
        request.done = True
        session = request.session
        self.utility.end(request.due_at, request.class_index, share, cause, took)
        if self.ear is not None:
            self.ear.ended(request.due_at, request.zone, request.class_index, share, cause)
        session.out = None
        if not share and session.parts > 1:
            session.left = True
            for due in session.due[session.at :]:
                self._left(session, due)
        elif session.at < len(session.due):
            self._ask(session, request.size_us)

    def _left(self, session: Session, due_at: int) -> None:
        """A part that is not asked for any more, since one before it was lost."""
        self.utility.end(due_at, session.class_index, 0.0, LEFT)
        if self.ear is not None:
            self.ear.ended(due_at, session.zone, session.class_index, 0.0, LEFT)
