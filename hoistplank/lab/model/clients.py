"""Clients: arrivals drawn ahead of all answers, parts asked for in sequence, repeats, give-up times, and what
was earned.
"""

from __future__ import annotations

from array import array
from bisect import bisect_right
from collections import Counter, defaultdict
from itertools import accumulate
from typing import Protocol

from hoistplank.decision.events import CacheStatus
from hoistplank.lab.model.event_queue import EventQueue
from hoistplank.lab.model.objects import ObjectCatalog, object_key_of, purge_group_of
from hoistplank.lab.model.streams import RandomStreams
from hoistplank.lab.model.world_settings import SECOND_US, WorldSettings

SERVED, REJECTED, FAILED, UNREACHABLE = "served", "rejected", "failed", "nobody there"
ABANDONED = "left after a lost part"
RECONNECT_DELAY_US = 50_000  # after a refused connection, to another dispatcher
ANSWER_GRACE_US = 60_000  # beyond the deadline: what a dispatcher answers at its very end still arrives
MIN_RETRY_TIME_US = 150_000  # least time that a repeat is worth


class Request:
    """What a client wants, over all its tries. `id` names the try that is out."""

    __slots__ = (
        "asked_at",
        "class_index",
        "dispatcher",
        "done",
        "due_at",
        "give_up_at",
        "group",
        "id",
        "key",
        "number",
        "object_key",
        "part",
        "session",
        "size_us",
        "tries",
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
        self.size_us, self.tries, self.done, self.dispatcher, self.give_up_at = size_us, 0, False, -1, 0
        self.key, self.id = f"{number:032x}", ""


class Session:
    """One client: an object and its parts, one after another; `due` are the times of parts that have come."""

    __slots__ = (
        "abandoned",
        "class_index",
        "due_times",
        "group",
        "migration_draw",
        "next_part",
        "object_key",
        "open_request",
        "parts",
        "zone",
    )

    def __init__(self, class_index: int, object_key: str, zone: int, group: int, parts: int) -> None:
        self.class_index, self.object_key, self.zone, self.group, self.parts = (
            class_index,
            object_key,
            zone,
            group,
            parts,
        )
        self.next_part, self.due_times, self.abandoned = 0, list[int](), False  # at: the next part to ask for
        self.open_request: Request | None = None
        self.migration_draw = (
            -1.0
        )  # which clients go elsewhere when their location is lost; drawn once it matters


class ClientObserver(Protocol):
    """Hears of every first part's time, every try and every end, beside what the utility counts."""

    def asked(self, now: int, zone: int, class_index: int) -> None:
        """A part is wanted by a client of a location."""

    def tried(self, now: int, request: Request) -> None:
        """A dispatcher's connection took it; `request.seat` names the dispatcher."""

    def answered(self, now: int, request: Request, how: str) -> None:
        """How that try ended; `LEFT` if its client went."""

    def ended(self, due_at: int, zone: int, class_index: int, share: float, cause: str) -> None:
        """A part has ended, with the share of its utility that was earned."""


class RequestSink(Protocol):
    """Takes requests to dispatchers."""

    def deliver(self, request: Request) -> bool:
        """To a dispatcher of the request's location; False if nobody took the connection."""

    def abandon(self, request: Request) -> None:
        """The client has left."""


class Utility:
    """By second of the day in which a request was first asked for; what comes before the first is not
    counted.
    """

    def __init__(self, settings: WorldSettings) -> None:
        many = int(settings.seconds) + 2
        self.settings, self.start_us = settings, settings.start_us()
        self.asked, self.earned = [0.0] * many, [0.0] * many
        self.by_class: list[list[float]] = [[0.0, 0.0] for _ in settings.classes]  # asked, earned
        self.counts: list[list[int]] = [[0, 0] for _ in settings.classes]  # asked, served in time
        self.lost_by_cause: defaultdict[str, float] = defaultdict(float)  # utility by cause
        self.latencies_us = [array("I") for _ in settings.classes]
        self.outcomes: Counter[str] = Counter()

    def part_requested(self, now: int, class_index: int) -> None:
        """Count the utility of a part that is asked for."""
        if now < self.start_us:
            return
        worth = self.settings.classes[class_index].utility
        self.asked[min((now - self.start_us) // SECOND_US, len(self.asked) - 1)] += worth
        self.by_class[class_index][0] += worth
        self.counts[class_index][0] += 1

    def part_ended(self, due_at: int, class_index: int, share: float, cause: str, took: int = 0) -> None:
        """Count what was earned of a part that was due at `due_at`; `took` in microseconds."""
        if due_at < self.start_us:
            return
        worth = self.settings.classes[class_index].utility
        if share:
            self.earned[min((due_at - self.start_us) // SECOND_US, len(self.earned) - 1)] += worth * share
            self.by_class[class_index][1] += worth * share
        self.counts[class_index][1] += cause == "served"
        if share < 1:
            self.lost_by_cause[cause] += worth * (1 - share)
        self.outcomes[cause] += 1
        if took:
            self.latencies_us[class_index].append(took)

    def score(self) -> float:
        """The utility earned as a share of all asked for."""
        return sum(self.earned) / max(1e-9, sum(self.asked))


class Clients:
    """All clients of a day. Arrivals end with the day's seconds; what is asked for then runs on."""

    def __init__(
        self,
        agenda: EventQueue,
        settings: WorldSettings,
        streams: RandomStreams,
        library: ObjectCatalog,
        front: RequestSink,
    ) -> None:
        self.events, self.settings, self.catalog, self.sink = agenda, settings, library, front
        self.utility, self.open = Utility(settings), dict[str, Request]()
        self.number, self.arrival_factor = 0, [1.0] * settings.zones
        self.observer: ClientObserver | None = None
        self._arrivals = [streams.stream(f"arrivals of z{n}") for n in range(settings.zones)]
        self._choices = [streams.stream(f"choices in z{n}") for n in range(settings.zones)]
        self._behaviour = streams.stream("moods")
        shares = list(accumulate(row.share for row in settings.classes))
        self._shares = [value / shares[-1] for value in shares]

    def begin(self) -> None:
        """Schedule the first client of each location."""
        for zone in range(self.settings.zones):
            self._next(zone)

    def _next(self, zone: int) -> None:
        wait = self._arrivals[zone].exponential() * 1e6 / (self.settings.rate * self.arrival_factor[zone])
        at = self.events.now + max(1, int(wait))
        if at < self.settings.end_of_arrivals_us():
            self.events.schedule(at, self._arrive, zone)

    def _arrive(self, zone: int) -> None:
        self._next(zone)
        what, now, settings = self._choices[zone], self.events.now, self.settings
        class_index = min(bisect_right(self._shares, what.uniform()), len(settings.classes) - 1)
        row = settings.classes[class_index]
        parts = 1
        while parts < row.parts and what.uniform() < row.next_part_chance:
            parts += 1
        number = self.catalog.draw_object(now, class_index, zone)
        session = Session(class_index, object_key_of(number), zone, purge_group_of(number, settings), parts)
        size = self.catalog.size_kb(class_index, number) / settings.transfer_kb_s * 1e6
        for part in range(parts):
            at = now + part * row.part_interval_us
            if part == 0:
                self._part_due(session, size)
            else:
                self.events.schedule(at, self._part_due, session, size)

    def _part_due(self, session: Session, size: float) -> None:
        """The time of a part has come: it is asked for once the one before has ended well."""
        self.utility.part_requested(self.events.now, session.class_index)
        if self.observer is not None:
            self.observer.asked(self.events.now, session.zone, session.class_index)
        if session.abandoned:
            self._abandon_part(session, self.events.now)
            return
        session.due_times.append(self.events.now)
        if session.open_request is None:
            self._request_part(session, size)

    def _request_part(self, session: Session, size: float) -> None:
        self.number += 1
        request = session.open_request = Request(
            self.number, session, session.next_part, self.events.now, size
        )
        request.due_at = session.due_times[session.next_part]
        session.next_part += 1
        row, mood = self.settings.classes[request.class_index], self._behaviour.uniform()
        # Some leave long before their time is up.
        request.give_up_at = self.events.now + int(
            row.deadline_us * (1.0 if mood > 0.02 else 0.2 + 20 * mood)
        )
        # An answer that is written as the time ends is on its way for a moment more.
        self.events.schedule(request.give_up_at + ANSWER_GRACE_US, self._give_up, request)
        self._send(request)

    def _send(self, request: Request) -> None:
        if request.done:
            return
        request.tries += 1
        request.id = f"{request.number:012x}{request.tries:04x}"
        self.open[request.id] = request
        if not self.sink.deliver(request):
            del self.open[request.id]
            self._retry_elsewhere(request)

    def _retry_elsewhere(self, request: Request) -> None:
        """Nobody took the connection: another dispatcher, a little later."""
        if request.tries > 8:
            self._end(request, 0.0, UNREACHABLE)
            return
        self.events.schedule(self.events.now + RECONNECT_DELAY_US, self._send, request)

    def connection_refused(self, request_id: str) -> None:
        """A try whose connection was refused after all: no dispatcher has seen it."""
        request = self.open.pop(request_id, None)
        if request is not None and not request.done:
            if self.observer is not None:
                self.observer.answered(self.events.now, request, UNREACHABLE)
            self._retry_elsewhere(request)

    def answered(self, request_id: str, how: str, wait_us: int = 0, note: int = 0) -> None:
        """A dispatcher's answer to a try, or its connection's end."""
        request = self.open.pop(request_id, None)
        if request is None or request.done:
            return
        now, settings = self.events.now, self.settings
        row, took = settings.classes[request.class_index], now - request.asked_at
        if self.observer is not None:
            self.observer.answered(now, request, how)
        if how == SERVED:
            target = min(row.target_us + row.target_stretch * request.size_us, row.deadline_us)
            share = 1.0 if took <= target else row.late_value
            share *= row.stale_value if note == CacheStatus.STALE else 1.0
            cause = (
                "served old" if note == CacheStatus.STALE else "served" if took <= target else "served late"
            )
            self._end(request, share, cause, took)
            return
        may = row.semantics != "at_most_once" or how == REJECTED
        # Danger: a repeat of what may have run elsewhere is the client's own risk; failed is not
        # repeated.
        if how != FAILED and may and request.tries <= settings.retries:
            mood = self._behaviour.uniform()
            wait = (
                wait_us
                if wait_us and mood < settings.honours_retry_after
                else int(settings.backoff_us * (0.5 + mood))
            )
            if now + wait + MIN_RETRY_TIME_US < request.give_up_at:
                self.events.schedule(now + wait, self._send, request)
                return
        self._end(request, 0.0, how)

    def _give_up(self, request: Request) -> None:
        if not request.done:
            if request.id in self.open:
                del self.open[request.id]
                self.sink.abandon(request)
                if self.observer is not None:
                    self.observer.answered(self.events.now, request, ABANDONED)
            self._end(request, 0.0, "client gave up")

    def _end(self, request: Request, share: float, cause: str, took: int = 0) -> None:
        request.done = True
        session = request.session
        self.utility.part_ended(request.due_at, request.class_index, share, cause, took)
        if self.observer is not None:
            self.observer.ended(request.due_at, request.zone, request.class_index, share, cause)
        session.open_request = None
        if not share and session.parts > 1:
            session.abandoned = True
            for due in session.due_times[session.next_part :]:
                self._abandon_part(session, due)
        elif session.next_part < len(session.due_times):
            self._request_part(session, request.size_us)

    def _abandon_part(self, session: Session, due_at: int) -> None:
        """A part that is not asked for any more, since one before it was lost."""
        self.utility.part_ended(due_at, session.class_index, 0.0, ABANDONED)
        if self.observer is not None:
            self.observer.ended(due_at, session.zone, session.class_index, 0.0, ABANDONED)
