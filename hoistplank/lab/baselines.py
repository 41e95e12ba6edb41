"""Baseline policies: simple choices of a host, with only what the rules demand."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from random import Random

from hoistplank.decision.actions import FILL_RETENTION, Action, Fail, Reject, RejectionBasis, SendAttempt
from hoistplank.decision.events import (
    AttemptEnded,
    ClientDisconnected,
    Endpoint,
    EndpointListForm,
    EndpointState,
    EndpointsUpdated,
    Event,
    Outcome,
    PurgeReceived,
    RequestArrived,
)
from hoistplank.decision.hashing import hash_key
from hoistplank.decision.retries import NEVER_RAN
from hoistplank.decision.settings import IDEMPOTENT, NON_IDEMPOTENT, RouterSettings

MAX_PLAIN_ATTEMPTS = 2
PLAIN_ANSWER_MARGIN_US = 100_000  # no attempt starts this close to the deadline
PLAIN_TIMEOUT_MARGIN_US = 50_000  # from an attempt's timeout to the deadline


@dataclass(slots=True)
class PlainRequest:
    """An open request of a plain dispatcher."""

    arrived: RequestArrived
    attempts: int = 0
    host: str = ""
    may_have_run: bool = False


class PlainDispatcher:
    """A simple dispatcher: one choice of host, one retry, no waiting; respects drains, purges and rule two.

    Of a host it knows only its entry in the endpoint list and how many of its own attempts are in flight.
    """

    def __init__(self, settings: RouterSettings, seed: int) -> None:
        self.settings, self.rng = settings, Random(seed)
        self.classes = {row.name: row for row in settings.traffic_classes}
        self.hosts: dict[str, Endpoint] = {}
        self.caches: list[str] = []
        self.parents: list[str] = []
        self.origin = ""
        self.in_flight: dict[str, int] = {}
        self.requests: dict[str, PlainRequest] = {}
        self.purged_us: dict[str | int, int] = {}
        self.actions: deque[Action] = deque()

    def handle(self, now_us: int, event: Event) -> None:
        """Handles an event and queues the resulting actions."""
        if isinstance(event, RequestArrived):
            self.requests[event.request_id] = PlainRequest(event)
            self.place(now_us, self.requests[event.request_id])
        elif isinstance(event, AttemptEnded):
            self.attempt_ended(now_us, event)
        elif isinstance(event, EndpointsUpdated):
            self.endpoints_updated(event)
        elif isinstance(event, PurgeReceived):
            self.purged_us[event.object_key or event.purge_group] = now_us - event.age_us
        elif isinstance(event, ClientDisconnected):
            self.requests.pop(event.request_id, None)

    def next_action(self, now_us: int) -> Action | None:  # noqa: ARG002 (overrides)
        """Returns the next action, or None."""
        return self.actions.popleft() if self.actions else None

    def endpoints_updated(self, event: EndpointsUpdated) -> None:
        """Applies an update of the endpoint list."""
        if event.form != EndpointListForm.CHANGES:
            self.hosts = {}
        self.hosts.update({row.host: row for row in event.endpoints})
        usable = [row for row in self.hosts.values() if row.state == EndpointState.UP]
        settings = self.settings
        self.origin = next((row.host for row in usable if row.kind == settings.origin_kind), "")
        self.parents = sorted(row.host for row in usable if row.kind == settings.parent_kind)
        kinds = (settings.parent_kind, settings.origin_kind)
        self.caches = sorted(
            row.host for row in usable if row.zone == settings.zone and row.kind not in kinds
        )

    def choose(self, object_key: str, part: int, hosts: list[str]) -> str:
        """Returns the cache host for a part of an object."""
        raise NotImplementedError

    def source(self, object_key: str, part: int) -> str:  # noqa: ARG002 (overrides)
        """Returns the host from which a fill is taken."""
        return self.parents[hash_key(object_key) % len(self.parents)] if self.parents else self.origin

    def place(self, now_us: int, request: PlainRequest) -> None:
        """Sends an attempt; gives the request up if none is possible."""
        arrived = request.arrived
        if self.classes[arrived.class_name].uncached:
            host, source = self.origin, ""
        else:
            hosts = [host for host in self.caches if host != request.host] or self.caches
            host = self.choose(arrived.object_key, arrived.part, hosts) if hosts else ""
            source = self.source(arrived.object_key, arrived.part)
        too_late = now_us > arrived.deadline_us - PLAIN_ANSWER_MARGIN_US
        if not host or request.attempts >= MAX_PLAIN_ATTEMPTS or too_late:
            self.give_up(request)
            return
        number = request.attempts
        request.attempts, request.host = number + 1, host
        self.in_flight[host] = self.in_flight.get(host, 0) + 1
        action = SendAttempt(
            request_id=arrived.request_id,
            attempt=number,
            host=host,
            source=source,
            timeout_us=max(1, arrived.deadline_us - now_us - PLAIN_TIMEOUT_MARGIN_US),
            retention=FILL_RETENTION,
            max_age_us=self.max_age_us(now_us, arrived),
            join_fill=True,
        )
        self.actions.append(action)

    def max_age_us(self, now_us: int, arrived: RequestArrived) -> int:
        """Returns the age of the oldest copy that no purge invalidated; 0 means the class's own limit."""
        purged_us = max(self.purged_us.get(arrived.object_key, 0), self.purged_us.get(arrived.purge_group, 0))
        if not purged_us:
            return 0
        age_us = now_us - purged_us
        return max(1, min(age_us, self.classes[arrived.class_name].fresh_us or age_us))

    def give_up(self, request: PlainRequest) -> None:
        """Queues the final answer of a request that may not be attempted again."""
        request_id = request.arrived.request_id
        del self.requests[request_id]
        idempotent = self.classes[request.arrived.class_name].semantics == IDEMPOTENT
        self.actions.append(
            Reject(request_id, 0, _rejection_basis(request))
            if idempotent or not request.may_have_run
            else Fail(request_id)
        )

    def attempt_ended(self, now_us: int, event: AttemptEnded) -> None:
        """Closes the request, retries it or gives it up."""
        request = self.requests.get(event.request_id)
        if request is None:
            return
        self.in_flight[request.host] = max(0, self.in_flight.get(request.host, 0) - 1)
        if event.request_closed or event.outcome == Outcome.SUCCEEDED:
            del self.requests[event.request_id]
            return
        request.may_have_run |= event.outcome not in NEVER_RAN
        if self.may_retry(request):
            self.place(now_us, request)
        else:
            self.give_up(request)

    def may_retry(self, request: PlainRequest) -> bool:
        """Returns True if rule two allows another attempt after a failed one."""
        semantics = self.classes[request.arrived.class_name].semantics
        return not request.may_have_run or semantics != NON_IDEMPOTENT


class RandomChoice(PlainDispatcher):
    """Chooses a host at random."""

    def choose(self, object_key: str, part: int, hosts: list[str]) -> str:  # noqa: ARG002 (overrides)
        """Returns the cache host for a part of an object."""
        return self.rng.choice(hosts)


class RendezvousHash(PlainDispatcher):
    """Chooses a host by rendezvous hash of object and part alone."""

    def choose(self, object_key: str, part: int, hosts: list[str]) -> str:
        """Returns the cache host for a part of an object."""
        key = f"{object_key}/{part}"
        return max(hosts, key=lambda host: hash_key(key + host))


class LeastInFlight(PlainDispatcher):
    """Chooses the host with the fewest of this dispatcher's attempts in flight."""

    def choose(self, object_key: str, part: int, hosts: list[str]) -> str:  # noqa: ARG002 (overrides)
        """Returns the cache host for a part of an object."""
        return min(hosts, key=lambda host: (self.in_flight.get(host, 0), self.rng.random()))


class TwoChoices(PlainDispatcher):
    """Takes two hosts by hash and chooses the one with fewer of this dispatcher's attempts in flight."""

    def choose(self, object_key: str, part: int, hosts: list[str]) -> str:
        """Returns the cache host for a part of an object."""
        key = f"{object_key}/{part}"
        pair = sorted(hosts, key=lambda host: hash_key(key + host))[-2:]
        return min(pair, key=lambda host: self.in_flight.get(host, 0))


BASELINES: dict[str, type[PlainDispatcher]] = {
    "random": RandomChoice,
    "hash": RendezvousHash,
    "fewest": LeastInFlight,
    "two": TwoChoices,
}


def _rejection_basis(request: PlainRequest) -> RejectionBasis:
    return RejectionBasis.IDEMPOTENT if request.may_have_run else RejectionBasis.NEVER_RAN
