"""A world: servers, locations, change log, purges and clients under one clock, with all that can be done to
it.
"""

from __future__ import annotations

import gc
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from hoistplank.decision.events import Endpoint
from hoistplank.lab.model.clients import UNREACHABLE, Clients, Request
from hoistplank.lab.model.event_queue import EventQueue
from hoistplank.lab.model.links import Link
from hoistplank.lab.model.objects import ObjectCatalog
from hoistplank.lab.model.rule_checker import RuleChecker
from hoistplank.lab.model.servers import DOWN, SILENT, UP, CachingServer, Origin, Server, ServerEnvironment
from hoistplank.lab.model.streams import RandomStream, RandomStreams
from hoistplank.lab.model.world_settings import CACHE_HOST, HUB, PARENT, SECOND_US, WorldSettings

MONITORED_CACHES = 48  # cache hosts whose load is kept by second
LOG_TIMEOUT_US = 2_200_000  # a change log that says nothing for so long counts as lost


class Dispatcher(Protocol):
    """A dispatcher as the world knows it."""

    number: int
    zone: int
    alive: bool

    def update_hosts(self, form: str, entries: list[Endpoint]) -> None:
        """The change log reaches it: kept, whole, changes or failed."""

    def purge(self, object_key: str, group: int, made: int) -> None:
        """So does a purge that was made at a time."""

    def accept(self, request: Request) -> None:
        """A try of a request, over a connection that it accepts."""

    def client_left(self, request: Request) -> None:
        """Its client has left."""

    def kill(self) -> None: ...

    def restart(self) -> None: ...

    def step_clock(self, step_us: int) -> None:
        """Its wall clock jumps; what it measures by its steady one goes on."""

    def freeze(self, length_us: int) -> None:
        """Its process stands still for so long, and goes on as if nothing were."""


class PathModel(Protocol):
    """The paths between parties, in virtual time; on sockets the relays stand there themselves."""

    def send(self, name: str, back: bool, at: int, call: Callable[..., None], *args: Any) -> None:
        """`call(*args)` once something that is sent at a time has come through."""


class SimulatedChangeLog:
    """Tells each dispatcher of hosts and purges, late by chance but in order; may stop, skip and come
    back.
    """

    def __init__(self, world: World) -> None:
        self.world, self.random = world, world.stream("change log")
        self.is_up, self.stopped_at = True, 0
        self.held: list[Callable[[Dispatcher], None]] = []
        self.last_delivery_at: dict[int, int] = {}
        self.delay_factor = 1.0

    def set_delay_factor(self, factor: float) -> None:
        """Make deliveries take this many times as long."""
        self.delay_factor = factor

    def publish(self, what: Callable[[Dispatcher], None]) -> None:
        """Something that all are to hear; kept while the log is stopped."""
        if not self.is_up:
            self.held.append(what)
            return
        for dispatcher in self.world.dispatchers:
            self._send(dispatcher, what)

    def _send(self, dispatcher: Dispatcher, what: Callable[[Dispatcher], None]) -> None:
        low, high = self.world.settings.log_delay_us
        now = self.world.events.now
        at = max(
            self.last_delivery_at.get(dispatcher.number, 0),
            now + int(self.delay_factor * self.random.between(low, high)),
        )
        self.last_delivery_at[dispatcher.number] = at
        if self.world.paths is None:
            self.world.events.schedule(at, self._deliver, dispatcher, what)
        else:
            self.world.events.schedule(at, self._send_over_path, dispatcher, what)

    def _send_over_path(self, dispatcher: Dispatcher, what: Callable[[Dispatcher], None]) -> None:
        assert self.world.paths is not None
        self.world.paths.send(
            f"d{dispatcher.number}>log", True, self.world.events.now, self._deliver, dispatcher, what
        )

    def _deliver(self, dispatcher: Dispatcher, what: Callable[[Dispatcher], None]) -> None:
        if dispatcher.alive:
            what(dispatcher)

    def publish_hosts(self, rows: list[Endpoint], form: str = "changes") -> None:
        def told(dispatcher: Dispatcher) -> None:
            self.world.notify_hosts(dispatcher, form, rows)

        self.publish(told)

    def stop(self) -> None:
        if self.is_up:
            self.is_up, self.stopped_at = False, self.world.events.now
            self.world.events.schedule(self.stopped_at + LOG_TIMEOUT_US, self._lost, self.stopped_at)

    def _lost(self, stopped_at: int) -> None:
        if not self.is_up and self.stopped_at == stopped_at:
            for dispatcher in self.world.dispatchers:
                if dispatcher.alive:
                    dispatcher.update_hosts("failed", [])

    def start(self, whole: bool = False) -> None:
        """It is back, with what it held, or with nothing but a whole list (a gap)."""
        self.is_up = True
        held, self.held = self.held, []
        if whole:
            self.publish_hosts(self.world.host_entries(), "whole")
            return
        for what in held:
            self.publish(what)


class World(ServerEnvironment):
    """`seats` are put in by the drive, in order of their numbers, before `begin`."""

    def __init__(self, settings: WorldSettings, seed: int) -> None:
        self.events, self.settings, self.streams = EventQueue(), settings, RandomStreams(seed)
        self.rules, self.catalog = RuleChecker(settings), ObjectCatalog(settings, self.streams)
        self.purge_times: dict[str | int, int] = {}
        self.zone_links = [
            Link(self.events, settings.zone_link, settings.overload_loss) for _ in range(settings.zones)
        ]
        self.origin = Origin(self, "origin", HUB, settings.origin_link, settings.origin_workers)
        self.caches = [
            CachingServer(
                self,
                f"c{zone}-{n}",
                f"z{zone}",
                CACHE_HOST,
                zone * 64 + n // 4,
                settings.cache_link,
                settings.cache_kb,
            )
            for zone in range(settings.zones)
            for n in range(settings.caches)
        ]
        self.parents = [
            CachingServer(self, f"p{n}", HUB, PARENT, n, settings.parent_link, settings.parent_cache_kb)
            for n in range(settings.parents)
        ]
        self.servers: dict[str, Server] = {
            server.uid: server for server in (*self.caches, *self.parents, self.origin)
        }
        self.dispatchers: list[Dispatcher] = []
        self.load_balancer = LoadBalancer(self)
        self.clients = Clients(self.events, settings, self.streams, self.catalog, self.load_balancer)
        self.change_log = SimulatedChangeLog(self)
        self.cut_zones: set[frozenset[str]] = set()
        self.paths: PathModel | None = None
        self.fault_log: list[tuple[int, str]] = []
        # Who is watched for reports, and by second how full its link was.
        self.monitored = [*self.caches[:MONITORED_CACHES], *self.parents[:4], self.origin]
        self.monitored_loads: list[list[float]] = []
        self._carried = [0.0] * len(self.monitored)

    def stream(self, name: str) -> RandomStream:
        return self.streams.stream(name)

    def record_fault(self, what: str) -> None:
        """What was done to the world, for reports."""
        self.fault_log.append((self.events.now, what))

    # Hosts.

    def host_entries(self) -> list[Endpoint]:
        return [self.host_entry(server) for server in self.servers.values() if server.listed_state != "gone"]

    def host_entry(self, server: Server) -> Endpoint:
        return Endpoint(
            server.uid,
            server.zone,
            server.kind,
            server.cell,
            server.capacity,
            server.started_us,
            server.listed_state,
        )

    def notify_hosts(self, dispatcher: Dispatcher, form: str, rows: list[Endpoint]) -> None:
        """A dispatcher hears of hosts; the checkers know of it before it does."""
        now = self.events.now
        for row in rows:
            self.rules.drains.dispatcher_notified(now, dispatcher.number, row.host, row.state)
            if row.state == "up":
                self.rules.colds.dispatcher_notified(dispatcher.number, row.host, row.started_us)
        if form in ("whole", "kept"):
            named = {row.host for row in rows}
            for uid in self.servers:
                if uid not in named:
                    self.rules.drains.dispatcher_notified(now, dispatcher.number, uid, "gone")
        dispatcher.update_hosts(form, rows)

    def set_listed_state(self, servers: list[Server], state: str) -> None:
        for server in servers:
            server.listed_state = state
        self.change_log.publish_hosts([self.host_entry(server) for server in servers])

    def server_overloaded(self, server: Server) -> None:
        """Pushed over: its process is gone, and comes back by itself."""
        self.record_fault(f"{server.uid} was pushed over")
        self.crash_server(
            server, self.settings.origin_restart_us if server is self.origin else self.settings.restart_us
        )

    def crash_server(self, server: Server, back_after: int, phase: str = DOWN, warm: bool = False) -> None:
        """Its process ends (or its machine is silent) and a new one starts later, cold unless it is the
        origin.
        """
        server.stop(phase)
        incarnation = server.incarnation
        self.events.schedule(
            self.events.now + back_after,
            self.restart_server,
            server,
            incarnation,
            warm or server is self.origin,
        )

    def restart_server(self, server: Server, incarnation: int, warm: bool) -> None:
        if server.incarnation != incarnation:
            return
        if warm:
            server.phase, server.incarnation = UP, server.incarnation + 1
            server.core_free_at = [self.events.now] * len(server.core_free_at)
            return
        server.start()
        self.set_listed_state([server], "up")

    def silence_server(self, server: Server, length: int, noticed_after: int) -> None:
        """Its machine goes silent; the list says so late, if it is not back by then."""
        self.crash_server(server, length, SILENT)
        incarnation = server.incarnation

        def noticed() -> None:
            if server.incarnation == incarnation:
                self.set_listed_state([server], "gone")

        self.events.schedule(self.events.now + noticed_after, noticed)

    def is_cut(self, server: str, other: str) -> bool:
        return bool(self.cut_zones) and frozenset((server, other)) in self.cut_zones

    # Purges.

    def purge(self, object_key: str, group: int) -> None:
        """Of an object, or with none of all objects of a group; told to all dispatchers."""
        made = self.events.now
        what: str | int = object_key or group
        self.purge_times[what] = made

        def told(dispatcher: Dispatcher) -> None:
            self.rules.purges.dispatcher_notified(self.events.now, dispatcher.number, what, made)
            dispatcher.purge(object_key, group if not object_key else 0, made)

        self.change_log.publish(told)

    # The day.

    def begin(self) -> None:
        for dispatcher in self.dispatchers:
            self.notify_hosts(dispatcher, "kept", self.host_entries())
        self.clients.begin()
        self.events.schedule(SECOND_US, self._sweep)

    def _sweep(self) -> None:
        row = []
        for n, server in enumerate(self.monitored):
            carried = server.link.carried_us
            row.append((carried - self._carried[n]) / SECOND_US / server.capacity)
            self._carried[n] = carried
        self.monitored_loads.append(row)
        self.rules.answers.sweep(self.events.now)
        if self.events.now < self.end_us() + 2 * SECOND_US:
            self.events.schedule(self.events.now + SECOND_US, self._sweep)

    def end_us(self) -> int:
        """When all that was asked for has ended one way or another."""
        longest = max(row.deadline_us for row in self.settings.classes)
        parts = max((row.parts - 1) * row.part_interval_us for row in self.settings.classes)
        return self.settings.end_of_arrivals_us() + parts + longest + 2 * SECOND_US

    def last_end_us(self) -> int:
        """When the last part of the last session has ended, however long each of its parts took."""
        return (
            self.settings.end_of_arrivals_us()
            + max(row.parts * row.deadline_us for row in self.settings.classes)
            + 2 * SECOND_US
        )

    def run(self) -> None:
        """The whole day at once: virtual time."""
        self.begin()
        # A day makes and drops millions of small objects with few cycles: the collector finds next to
        # nothing.
        collects = gc.isenabled()
        gc.disable()
        try:
            self.events.run_until(self.end_us())
            # Parts are asked one after another: a session whose parts each took long is still on its way.
            while self.clients.open and self.events.now < self.last_end_us():
                self.events.run_until(self.events.now + SECOND_US // 10)
        finally:
            if collects:
                gc.enable()

    def crash_dispatcher(self, dispatcher: Dispatcher, back_after: int) -> None:
        """A dispatcher's process is killed; its clients learn it at once, the front only later."""
        if not dispatcher.alive:
            return
        self.rules.dispatcher_killed(dispatcher.number)
        dispatcher.kill()
        lost = [request for request in self.clients.open.values() if request.dispatcher == dispatcher.number]
        for request in lost:
            self.clients.answered(request.id, UNREACHABLE)
        self.load_balancer.dispatcher_crashed(dispatcher)

        def again() -> None:
            dispatcher.restart()
            for what, made in self.purge_times.items():
                if self.events.now - made < self.settings.purge_delay_us:
                    object_key, group = (what, 0) if isinstance(what, str) else ("", what)
                    self.rules.purges.dispatcher_notified(self.events.now, dispatcher.number, what, made)
                    dispatcher.purge(object_key, group, made)
            self.notify_hosts(dispatcher, "kept", self.host_entries())
            self.load_balancer.dispatcher_restarted(dispatcher)

        self.events.schedule(self.events.now + back_after, again)


@dataclass(frozen=True, slots=True)
class ClientMigration:
    """From `since` on, spread over `spread` (us), this share of a location's clients asks in another one."""

    home: int
    destination: int
    share: float
    since_us: int
    spread_us: int


class LoadBalancer:
    """Spreads the requests of a location over its dispatchers; learns late that one is gone.

    `moves`: clients that go to another location's dispatchers, as addresses at clients do. `weights`: of a
    dispatcher against its siblings, where they are not all alike.
    """

    def __init__(self, world: World) -> None:
        self.world, self.random = world, world.stream("front")
        self.migrations: list[ClientMigration] = []
        self.weights: dict[int, float] = {}
        self._healthy: list[list[Dispatcher]] = []

    def _healthy_in(self, zone: int) -> list[Dispatcher]:
        if not self._healthy:
            self._healthy = [[] for _ in range(self.world.settings.zones)]
            for dispatcher in self.world.dispatchers:
                self._healthy[dispatcher.zone].append(dispatcher)
        return self._healthy[zone]

    def deliver(self, request: Request) -> bool:
        dispatchers = self._healthy_in(self._zone_of(request) if self.migrations else request.zone)
        if not dispatchers:
            return False
        dispatcher = (
            self._weighted_choice(dispatchers)
            if self.weights
            else dispatchers[self.random.below(len(dispatchers))]
        )
        if not dispatcher.alive:
            return False
        request.dispatcher = dispatcher.number
        # The deadline that a dispatcher is given is the traffic class's, less what earlier tries took.
        until = request.asked_at + self.world.settings.classes[request.class_index].deadline_us
        now, paths = self.world.events.now, self.world.paths
        self.world.rules.answers.accepted(now, dispatcher.number, request.id, until)
        if self.world.clients.observer is not None:
            self.world.clients.observer.tried(now, request)
        if paths is None:
            dispatcher.accept(request)
        else:
            paths.send(f"clients>d{dispatcher.number}", False, now, dispatcher.accept, request)
        return True

    def _zone_of(self, request: Request) -> int:
        session = request.session
        if session.migration_draw < 0:
            session.migration_draw = self.random.uniform()
        now, below = self.world.events.now, 0.0
        for move in self.migrations:
            if move.home != request.zone:
                continue
            # Each client by its own lot: the same ones go, one after the other over the spread.
            if below <= session.migration_draw < below + move.share:
                late = (session.migration_draw - below) / move.share * move.spread_us
                return move.destination if now >= move.since_us + late else request.zone
            below += move.share
        return request.zone

    def _weighted_choice(self, dispatchers: list[Dispatcher]) -> Dispatcher:
        weights = [self.weights.get(dispatcher.number, 1.0) for dispatcher in dispatchers]
        spot = self.random.uniform() * sum(weights)
        for dispatcher, weight in zip(dispatchers, weights, strict=True):
            spot -= weight
            if spot < 0:
                return dispatcher
        return dispatchers[-1]

    def abandon(self, request: Request) -> None:
        self.world.rules.answers.client_left(self.world.events.now, request.id)
        if request.dispatcher >= 0:
            self.world.dispatchers[request.dispatcher].client_left(request)

    def dispatcher_crashed(self, dispatcher: Dispatcher) -> None:
        def noticed() -> None:
            if not dispatcher.alive and dispatcher in self._healthy_in(dispatcher.zone):
                self._healthy_in(dispatcher.zone).remove(dispatcher)

        self.world.events.schedule(self.world.events.now + self.world.settings.crash_detection_us, noticed)

    def dispatcher_restarted(self, dispatcher: Dispatcher) -> None:
        if dispatcher not in self._healthy_in(dispatcher.zone):
            self._healthy_in(dispatcher.zone).append(dispatcher)
