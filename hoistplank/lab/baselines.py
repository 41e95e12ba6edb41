"""Baseline policies: plain choices of a host, with what the rules demand and nothing more."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from random import Random

from hoistplank.decision.actions import FILL_RETENTION, Action, Fail, Reject, SendAttempt
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
PLAIN_ANSWER_MARGIN_US = 100_000
PLAIN_TIMEOUT_MARGIN_US = 50_000


@dataclass(slots=True)
class PlainRequest:
    """A request that a plain dispatcher has open."""

    arrived: RequestArrived
    attempts: int = 0
    host: str = ""
    may_have_run: bool = False


class PlainDispatcher:
    """A textbook dispatcher: one choice of host, one retry, no waiting; keeps to drains, purges and rule two.

    Knows of a host what the endpoint list says, and how many of its own attempts are in flight.
    """

    def __init__(self, site: RouterSettings, seed: int) -> None:
        self.site, self.chance = site, Random(seed)
        self.classes = {row.name: row for row in site.traffic_classes}
        self.hosts: dict[str, Endpoint] = {}
        self.caches: list[str] = []
        self.parents: list[str] = []
        self.origin = ""
        self.in_flight: dict[str, int] = {}
        self.requests: dict[str, PlainRequest] = {}
        self.purged_us: dict[str | int, int] = {}
        self.actions: deque[Action] = deque()

    def handle(self, now_us: int, event: Event) -> None:
        """Takes in what has happened, and decides at once."""
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
        """The next thing to do, or None."""
        return self.actions.popleft() if self.actions else None

    def endpoints_updated(self, event: EndpointsUpdated) -> None:
        """Take over the endpoint list."""
        if event.form != EndpointListForm.CHANGES:
            self.hosts = {}
        self.hosts.update({row.host: row for row in event.endpoints})
        good = [row for row in self.hosts.values() if row.state == EndpointState.UP]
        site = self.site
        self.origin = next((row.host for row in good if row.kind == site.origin_kind), "")
        self.parents = sorted(row.host for row in good if row.kind == site.parent_kind)
        kinds = (site.parent_kind, site.origin_kind)
        self.caches = sorted(row.host for row in good if row.zone == site.zone and row.kind not in kinds)

    def choose(self, object_key: str, part: int, hosts: list[str]) -> str:
        """The cache host for an object's part."""
        raise NotImplementedError

    def source(self, object_key: str, part: int) -> str:  # noqa: ARG002 (overrides)
        """The host that a fill comes from."""
        return self.parents[hash_key(object_key) % len(self.parents)] if self.parents else self.origin

    def place(self, now_us: int, request: PlainRequest) -> None:
        """Sends an attempt, or gives the request up."""
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
        """The oldest copy that no purge has made void; 0 for the usual one."""
        purged_us = max(self.purged_us.get(arrived.object_key, 0), self.purged_us.get(arrived.purge_group, 0))
        if not purged_us:
            return 0
        age_us = now_us - purged_us
        return max(1, min(age_us, self.classes[arrived.class_name].fresh_us or age_us))

    def give_up(self, request: PlainRequest) -> None:
        """The final answer of a request that may not be attempted any more."""
        request_id = request.arrived.request_id
        del self.requests[request_id]
        idempotent = self.classes[request.arrived.class_name].semantics == IDEMPOTENT
        self.actions.append(
            Reject(request_id, 0) if idempotent or not request.may_have_run else Fail(request_id)
        )

    def attempt_ended(self, now_us: int, event: AttemptEnded) -> None:
        """Forgets the request, repeats it or gives it up."""
        request = self.requests.get(event.request_id)
        if request is None:
            return
        self.in_flight[request.host] = max(0, self.in_flight.get(request.host, 0) - 1)
        if event.request_closed or event.outcome == Outcome.SUCCEEDED:
            del self.requests[event.request_id]
            return
        request.may_have_run |= event.outcome not in NEVER_RAN
        if self.may_repeat(request):
            self.place(now_us, request)
        else:
            self.give_up(request)

    def may_repeat(self, request: PlainRequest) -> bool:
        """Rule two, for a request whose last attempt has failed."""
        semantics = self.classes[request.arrived.class_name].semantics
        return not request.may_have_run or semantics != NON_IDEMPOTENT


class RandomChoice(PlainDispatcher):
    """Any host."""

    def choose(self, object_key: str, part: int, hosts: list[str]) -> str:  # noqa: ARG002 (overrides)
        """The cache host for an object\'s part."""
        return self.chance.choice(hosts)


class RendezvousHash(PlainDispatcher):
    """Rendezvous by object and part, nothing else."""

    def choose(self, object_key: str, part: int, hosts: list[str]) -> str:
        """The cache host for an object\'s part."""
        key = f"{object_key}/{part}"
        return max(hosts, key=lambda host: hash_key(key + host))


class LeastInFlight(PlainDispatcher):
    """The host with the fewest of this dispatcher's attempts in flight."""

    def choose(self, object_key: str, part: int, hosts: list[str]) -> str:  # noqa: ARG002 (overrides)
        """The cache host for an object\'s part."""
        return min(hosts, key=lambda host: (self.in_flight.get(host, 0), self.chance.random()))


class TwoChoices(PlainDispatcher):
    """Two hosts by hash, the one with fewer of this dispatcher's attempts in flight."""

    def choose(self, object_key: str, part: int, hosts: list[str]) -> str:
        """The cache host for an object\'s part."""
        key = f"{object_key}/{part}"
        pair = sorted(hosts, key=lambda host: hash_key(key + host))[-2:]
        return min(pair, key=lambda host: self.in_flight.get(host, 0))


BASELINES: dict[str, type[PlainDispatcher]] = {
    "random": RandomChoice,
    "hash": RendezvousHash,
    "fewest": LeastInFlight,
    "two": TwoChoices,
}
