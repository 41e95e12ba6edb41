"""Simulated clients: arrivals independent of responses, sessions of parts, retries, deadlines, utility."""

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
ANSWER_GRACE_US = 60_000  # after the deadline: a response sent just before it may still arrive
MIN_RETRY_TIME_US = 150_000  # a retry with less time left than this is not sent


class Request:
    """A request of a client with all its tries; `id` is that of the latest try."""

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
    """A client's session: the parts of one object in sequence; `due_times`: of the parts due so far."""

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
        self.next_part, self.due_times, self.abandoned = 0, list[int](), False
        self.open_request: Request | None = None
        self.migration_draw = (
            -1.0
        )  # decides if this client migrates when its location is lost; drawn when first needed, -1 before


class ClientObserver(Protocol):
    """Observes each part that becomes due, each try and each end, besides what `Utility` counts."""

    def asked(self, now: int, zone: int, class_index: int) -> None:
        """A part is due for a client of a zone."""

    def tried(self, now: int, request: Request) -> None:
        """A try was sent to the dispatcher `request.dispatcher`."""

    def answered(self, now: int, request: Request, how: str) -> None:
        """A try ended with the result `how`; `ABANDONED` if its client left."""

    def ended(self, due_at: int, zone: int, class_index: int, share: float, cause: str) -> None:
        """A part has ended and earned this share of its utility."""


class RequestSink(Protocol):
    """Delivers requests to dispatchers."""

    def deliver(self, request: Request) -> bool:
        """Deliver to a dispatcher of the request's zone; False if the connection was refused."""

    def abandon(self, request: Request) -> None:
        """The client has left."""


class Utility:
    """Utility by the second in which a part was due; parts of the warm-up before the day are not counted."""

    def __init__(self, settings: WorldSettings) -> None:
        seconds = int(settings.seconds) + 2
        self.settings, self.start_us = settings, settings.start_us()
        self.asked, self.earned = [0.0] * seconds, [0.0] * seconds
        self.by_class: list[list[float]] = [[0.0, 0.0] for _ in settings.classes]  # asked, earned
        self.counts: list[list[int]] = [[0, 0] for _ in settings.classes]  # asked, served in time
        self.lost_by_cause: defaultdict[str, float] = defaultdict(float)  # utility by cause
        self.latencies_us = [array("I") for _ in settings.classes]
        self.outcomes: Counter[str] = Counter()

    def part_requested(self, now: int, class_index: int) -> None:
        """Count the utility of a requested part."""
        if now < self.start_us:
            return
        utility = self.settings.classes[class_index].utility
        self.asked[min((now - self.start_us) // SECOND_US, len(self.asked) - 1)] += utility
        self.by_class[class_index][0] += utility
        self.counts[class_index][0] += 1

    def part_ended(self, due_at: int, class_index: int, share: float, cause: str, took: int = 0) -> None:
        """Count the utility earned by a part due at `due_at`; `took` is its latency in microseconds."""
        if due_at < self.start_us:
            return
        utility = self.settings.classes[class_index].utility
        if share:
            self.earned[min((due_at - self.start_us) // SECOND_US, len(self.earned) - 1)] += utility * share
            self.by_class[class_index][1] += utility * share
        self.counts[class_index][1] += cause == "served"
        if share < 1:
            self.lost_by_cause[cause] += utility * (1 - share)
        self.outcomes[cause] += 1
        if took:
            self.latencies_us[class_index].append(took)

    def score(self) -> float:
        """Return the utility earned as a share of the utility requested."""
        return sum(self.earned) / max(1e-9, sum(self.asked))


class Clients:
    """All clients of a day. Arrivals stop at the end of the day; open sessions continue."""

    def __init__(
        self,
        events: EventQueue,
        settings: WorldSettings,
        streams: RandomStreams,
        catalog: ObjectCatalog,
        sink: RequestSink,
    ) -> None:
        self.events, self.settings, self.catalog, self.sink = events, settings, catalog, sink
        self.utility, self.open = Utility(settings), dict[str, Request]()
        self.number, self.arrival_factor = 0, [1.0] * settings.zones
        self.observer: ClientObserver | None = None
        self._arrivals = [streams.stream(f"arrivals of z{n}") for n in range(settings.zones)]
        self._choices = [streams.stream(f"choices in z{n}") for n in range(settings.zones)]
        self._behaviour = streams.stream("moods")
        shares = list(accumulate(row.share for row in settings.classes))
        self._shares = [value / shares[-1] for value in shares]

    def begin(self) -> None:
        """Schedule the first client of each zone."""
        for zone in range(self.settings.zones):
            self._next(zone)

    def _next(self, zone: int) -> None:
        wait = self._arrivals[zone].exponential() * 1e6 / (self.settings.rate * self.arrival_factor[zone])
        at = self.events.now + max(1, int(wait))
        if at < self.settings.end_of_arrivals_us():
            self.events.schedule(at, self._arrive, zone)

    def _arrive(self, zone: int) -> None:
        self._next(zone)
        choices, now, settings = self._choices[zone], self.events.now, self.settings
        class_index = min(bisect_right(self._shares, choices.uniform()), len(settings.classes) - 1)
        traffic_class = settings.classes[class_index]
        parts = 1
        while parts < traffic_class.parts and choices.uniform() < traffic_class.next_part_chance:
            parts += 1
        number = self.catalog.draw_object(now, class_index, zone)
        session = Session(class_index, object_key_of(number), zone, purge_group_of(number, settings), parts)
        size_us = self.catalog.size_kb(class_index, number) / settings.transfer_kb_s * 1e6
        for part in range(parts):
            at = now + part * traffic_class.part_interval_us
            if part == 0:
                self._part_due(session, size_us)
            else:
                self.events.schedule(at, self._part_due, session, size_us)

    def _part_due(self, session: Session, size_us: float) -> None:
        """A part is due; it is requested once the part before it has ended successfully."""
        self.utility.part_requested(self.events.now, session.class_index)
        if self.observer is not None:
            self.observer.asked(self.events.now, session.zone, session.class_index)
        if session.abandoned:
            self._abandon_part(session, self.events.now)
            return
        session.due_times.append(self.events.now)
        if session.open_request is None:
            self._request_part(session, size_us)

    def _request_part(self, session: Session, size_us: float) -> None:
        self.number += 1
        request = session.open_request = Request(
            self.number, session, session.next_part, self.events.now, size_us
        )
        request.due_at = session.due_times[session.next_part]
        session.next_part += 1
        traffic_class, draw = self.settings.classes[request.class_index], self._behaviour.uniform()
        # Clients give up 2 % of the requests early, after 20 % to 60 % of the deadline.
        request.give_up_at = self.events.now + int(
            traffic_class.deadline_us * (1.0 if draw > 0.02 else 0.2 + 20 * draw)
        )
        # A response sent just before the deadline still needs time to arrive.
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
        """Retry at another dispatcher after a refused connection, up to a number of tries."""
        if request.tries > 8:
            self._end(request, 0.0, UNREACHABLE)
            return
        self.events.schedule(self.events.now + RECONNECT_DELAY_US, self._send, request)

    def connection_refused(self, request_id: str) -> None:
        """Handle a try whose connection was refused after `deliver`; no dispatcher has received it."""
        request = self.open.pop(request_id, None)
        if request is not None and not request.done:
            if self.observer is not None:
                self.observer.answered(self.events.now, request, UNREACHABLE)
            self._retry_elsewhere(request)

    def answered(self, request_id: str, how: str, wait_us: int = 0, note: int = 0) -> None:
        """Handle a dispatcher's response to a try, or the loss of its connection."""
        request = self.open.pop(request_id, None)
        if request is None or request.done:
            return
        now, settings = self.events.now, self.settings
        traffic_class, took = settings.classes[request.class_index], now - request.asked_at
        if self.observer is not None:
            self.observer.answered(now, request, how)
        if how == SERVED:
            target = min(
                traffic_class.target_us + traffic_class.target_stretch * request.size_us,
                traffic_class.deadline_us,
            )
            share = 1.0 if took <= target else traffic_class.late_value
            share *= traffic_class.stale_value if note == CacheStatus.STALE else 1.0
            cause = (
                "served old" if note == CacheStatus.STALE else "served" if took <= target else "served late"
            )
            self._end(request, share, cause, took)
            return
        may_retry = traffic_class.semantics != "at_most_once" or how == REJECTED
        # A try of an at-most-once class may have taken effect, so it is only repeated after a rejection.
        # A failed try is never repeated.
        if how != FAILED and may_retry and request.tries <= settings.retries:
            draw = self._behaviour.uniform()
            retry_delay_us = (
                wait_us
                if wait_us and draw < settings.honours_retry_after
                else int(settings.backoff_us * (0.5 + draw))
            )
            if now + retry_delay_us + MIN_RETRY_TIME_US < request.give_up_at:
                self.events.schedule(now + retry_delay_us, self._send, request)
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
        """Count a part that is not requested because one before it was lost."""
        self.utility.part_ended(due_at, session.class_index, 0.0, ABANDONED)
        if self.observer is not None:
            self.observer.ended(due_at, session.zone, session.class_index, 0.0, ABANDONED)
