"""The policies that a laboratory's dispatchers can run: the module, the module with one defence off, an
older text, and plain baselines.

The baselines know as much as the module does, but `seer`, which looks at the world itself: the best that
could be done, so that each figure reads as a share of the way from floor to top. They are of the lab only.
"""

from __future__ import annotations

import importlib
import importlib.util
import sys
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from pathlib import Path
from random import Random
from typing import Any, Protocol

import hoistplank
from hoistplank.decision.actions import FILL_RETENTION, Action, Fail, Reject, SendAttempt
from hoistplank.decision.concurrency import FillLimit
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
from hoistplank.decision.health import HealthTracker
from hoistplank.decision.herds import HerdTable
from hoistplank.decision.hosts import Host, HostTable
from hoistplank.decision.overload import OverloadGuard
from hoistplank.decision.parts import DEFAULT_TYPES, PartTypes
from hoistplank.decision.requests import Attempt, Herd, Request
from hoistplank.decision.retries import NEVER_RAN
from hoistplank.decision.router import Router
from hoistplank.decision.settings import IDEMPOTENT, NON_IDEMPOTENT, RouterSettings
from hoistplank.decision.slow_start import SlowStart
from hoistplank.decision.stalls import StallDetector
from hoistplank.lab.model.servers import UP, Server
from hoistplank.lab.model.world import World

MOST_PLAIN_ATTEMPTS = 2
PLAIN_ANSWER_MARGIN_US = 100_000
PLAIN_TIMEOUT_MARGIN_US = 50_000


class Policy(Protocol):
    """What a dispatcher asks of whoever decides: events in, actions out."""

    def handle(self, now_us: int, event: Event) -> None:
        """Takes in what has happened."""

    def next_action(self, now_us: int) -> Action | None:
        """The next thing to do, or None."""


Make = Callable[[RouterSettings, int, World | None], Policy]


class NoStallDetector(StallDetector):
    """Nothing that hangs is found: an attempt ends when its host says so or at its deadline."""

    def find_if_due(self, now_us: int, in_flight: Iterable[Attempt]) -> list[Attempt]:
        """None."""
        return []


class NoHerds(HerdTable):
    """Each request stands alone: nobody is held, joins, or knows where a copy was seen."""

    def join(self, now_us: int, request: Request) -> Herd:
        """A herd of one."""
        request.herd, request.in_herd = Herd(now_us), False
        return request.herd


class NoCooldown(HerdTable):
    """Where a copy was last seen counts for nothing."""

    def copy_holder(self, now_us: int, request: Request, herd: Herd) -> Host | None:
        """None."""
        return None


class NoSlowStart(SlowStart):
    """A cold host gets what a warm one gets. Breaks rule four, which is the point of it."""

    def fits_budget(self, now_us: int, host: Host, sending_time_us: float) -> bool:
        """Always."""
        return True


class NoFillLimit(FillLimit):
    """Fills are let go whatever the location's link has under way."""

    def has_capacity(self, now_us: int) -> bool:
        """Always."""
        return True


class NoEjection(HealthTracker):
    """Neither silence nor lost connections are held against a host."""

    def eject(self, now_us: int, host: Host, least_ejections: int = 1) -> None:
        """Does nothing."""

    def record_loss(self, now_us: int, host: Host, signs: int, sent_us: int) -> None:
        """Does nothing."""


def _one_attempt(settings: RouterSettings) -> RouterSettings:
    return replace(settings, rules=replace(settings.rules, max_attempts=1))


def _no_stale_copies(settings: RouterSettings) -> RouterSettings:
    """Copies past their fresh time are never asked for."""
    return replace(
        settings, traffic_classes=tuple(replace(row, stale_window_us=0) for row in settings.traffic_classes)
    )


# The module with one defence off: by other parts, or by other settings.
WITHOUT_PART: dict[str, PartTypes] = {
    "silence": replace(DEFAULT_TYPES, stalls=NoStallDetector),
    "herds": replace(DEFAULT_TYPES, herds=NoHerds),
    "cooldown": replace(DEFAULT_TYPES, herds=NoCooldown),
    "colds": replace(DEFAULT_TYPES, slow_start=NoSlowStart),
    "room": replace(DEFAULT_TYPES, fills=NoFillLimit),
    "doubt": replace(DEFAULT_TYPES, health=NoEjection),
}
WITHOUT_SETTING: dict[str, Callable[[RouterSettings], RouterSettings]] = {
    "repeats": _one_attempt,
    "old": _no_stale_copies,
}


@dataclass(slots=True)
class PlainRequest:
    """A request as a plain dispatcher holds it."""

    arrived: RequestArrived
    attempts: int = 0
    host: str = ""
    may_have_run: bool = False


class Plain:
    """A textbook dispatcher: one choice of host, one repeat, no waiting; keeps to drains, purges and rule
    two.

    Knows of a host what the list says, and how many of its own attempts are out there.
    """

    def __init__(self, site: RouterSettings, seed: int) -> None:
        self.site, self.chance = site, Random(seed)
        self.classes = {row.name: row for row in site.traffic_classes}
        self.hosts: dict[str, Endpoint] = {}
        self.caches: list[str] = []
        self.parents: list[str] = []
        self.origin = ""
        self.out: dict[str, int] = {}
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

    def next_action(self, now_us: int) -> Action | None:
        """The next thing to do, or None."""
        return self.actions.popleft() if self.actions else None

    def endpoints_updated(self, event: EndpointsUpdated) -> None:
        """Takes the list over."""
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

    def source(self, object_key: str, part: int) -> str:
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
        if not host or request.attempts >= MOST_PLAIN_ATTEMPTS or too_late:
            return self.give_up(request)
        number = request.attempts
        request.attempts, request.host = number + 1, host
        self.out[host] = self.out.get(host, 0) + 1
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
        id = request.arrived.request_id
        del self.requests[id]
        idempotent = self.classes[request.arrived.class_name].semantics == IDEMPOTENT
        self.actions.append(Reject(id, 0) if idempotent or not request.may_have_run else Fail(id))

    def attempt_ended(self, now_us: int, event: AttemptEnded) -> None:
        """Forgets the request, repeats it or gives it up."""
        request = self.requests.get(event.request_id)
        if request is None:
            return
        self.out[request.host] = max(0, self.out.get(request.host, 0) - 1)
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


class ByChance(Plain):
    def choose(self, object_key: str, part: int, hosts: list[str]) -> str:
        return self.chance.choice(hosts)


class ByHash(Plain):
    """Rendezvous by object and part, nothing else."""

    def choose(self, object_key: str, part: int, hosts: list[str]) -> str:
        key = f"{object_key}/{part}"
        return max(hosts, key=lambda host: hash_key(key + host))


class FewestOut(Plain):
    def choose(self, object_key: str, part: int, hosts: list[str]) -> str:
        return min(hosts, key=lambda host: (self.out.get(host, 0), self.chance.random()))


class BestOfTwo(Plain):
    """Two hosts by hash, the one with fewer of this dispatcher's attempts out."""

    def choose(self, object_key: str, part: int, hosts: list[str]) -> str:
        key = f"{object_key}/{part}"
        pair = sorted(hosts, key=lambda host: hash_key(key + host))[-2:]
        return min(pair, key=lambda host: self.out.get(host, 0))


def _serves(world: World, host: Host) -> bool:
    """Whether a host is up and quick, as the world knows it."""
    server: Server | None = world.servers.get(host.name)
    if server is None or server.phase != UP or server.paused_until > world.events.now:
        return False
    return server.slowdown < 2 and server.link.capacity > 0.5 * server.capacity and server.loss_share < 0.3


class TrueHealth(NoEjection):
    """A host may be used while it truly serves."""

    def __init__(self, hosts: HostTable, slow_start: SlowStart, world: World) -> None:
        super().__init__(hosts, slow_start)
        self.world = world

    def is_usable(self, now_us: int, host: Host) -> bool:
        """Whether it is listed up and truly serves."""
        return host.is_up and _serves(self.world, host)


class TrueStalls(StallDetector):
    """Finds at once what went to a host, or waits for a source, that does not serve."""

    def __init__(self, health: HealthTracker, overload: OverloadGuard, world: World) -> None:
        super().__init__(health, overload)
        self.world = world

    def is_stalled(self, now_us: int, attempt: Attempt) -> bool:
        """Whether the client has left, or the awaited host does not serve."""
        return attempt.request.closed or not _serves(self.world, attempt.awaited_host())


def seer(settings: RouterSettings, seed: int, world: World) -> Router:
    """The module with the truth in place of its guesses of who serves and who is slow.

    Tried before: a plain hash that avoids what is broken (0.91 for the hash's 0.98 where a fifth of the hosts
    reset answers, since whole ranges of objects move away), and the link's true fullness in place of the
    module's room for fills (0.953 for 0.977 on a calm day: the room also spares the parents' places for
    fills).
    """

    return Router(
        settings,
        seed,
        PartTypes(
            health=lambda hosts, slow_start: TrueHealth(hosts, slow_start, world),
            stalls=lambda health, overload: TrueStalls(health, overload, world),
        ),
    )


PLAIN: dict[str, type[Plain]] = {"random": ByChance, "hash": ByHash, "fewest": FewestOut, "two": BestOfTwo}


class UnknownPolicy(ValueError):
    """Its text names what was asked for and what there is."""


def names() -> list[str]:
    return ["module", *(f"without-{name}" for name in (*WITHOUT_PART, *WITHOUT_SETTING)), *PLAIN, "seer"]


# What passes between a dispatcher and whoever decides: an older text is played under today's.
INTERFACE = ("actions", "events", "settings")


def text_of(folder: Path, revision: str) -> type[Any]:
    """The Router of a checkout of this project's own history; its events and actions must be today's."""
    if revision in OLDER_TEXTS:
        return OLDER_TEXTS[revision]
    package = "hoistplank.decision"
    file = folder / "hoistplank" / "decision" / "__init__.py"
    if not file.exists():
        raise UnknownPolicy(f"revision {revision} has no hoistplank/decision")
    today = {
        name: module for name, module in sys.modules.items() if name.split(".")[:2] == package.split(".")
    }
    kept = {f"{package}.{name}" for name in INTERFACE}
    spec = importlib.util.spec_from_file_location(
        package, file, submodule_search_locations=[str(file.parent)]
    )
    assert spec is not None and spec.loader is not None
    try:
        for name in set(today) - kept:
            del sys.modules[name]
        sys.modules[package] = importlib.util.module_from_spec(spec)
        OLDER_TEXTS[revision] = importlib.import_module(f"{package}.router").Router
    finally:
        for name in [name for name in sys.modules if name.startswith(f"{package}.")]:
            del sys.modules[name]
        sys.modules.update(today)
        hoistplank.decision = today[package]
    return OLDER_TEXTS[revision]


OLDER_TEXTS: dict[str, type[Any]] = {}


def policy(name: str, texts: dict[str, Path] | None = None) -> Make:
    """By name: `module`, `without-DEFENCE`, `text-REVISION` (of `texts`), a baseline, or `seer`."""
    if name == "module":
        return lambda site, seed, world: Router(site, seed)
    if name.startswith("without-") and name[8:] in WITHOUT_PART:
        types = WITHOUT_PART[name[8:]]
        return lambda site, seed, world: Router(site, seed, types)
    if name.startswith("without-") and name[8:] in WITHOUT_SETTING:
        changed = WITHOUT_SETTING[name[8:]]
        return lambda site, seed, world: Router(changed(site), seed)
    if name.startswith("text-") and texts is not None and name[5:] in texts:
        old = text_of(texts[name[5:]], name[5:])
        return lambda site, seed, world: old(site, seed)
    if name in PLAIN:
        plain = PLAIN[name]
        return lambda site, seed, world: plain(site, seed)
    if name == "seer":

        def make(site: RouterSettings, seed: int, world: World | None) -> Policy:
            if world is None:
                raise UnknownPolicy("'seer' looks at the world itself: it has none on sockets")
            return seer(site, seed, world)

        return make
    raise UnknownPolicy(f"no policy '{name}'; there are {', '.join(names())} and text-REVISION")
