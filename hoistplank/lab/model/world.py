"""A simulated world: servers, locations, change log, purges and clients under one clock."""

from __future__ import annotations

import gc

from hoistplank.decision.events import Endpoint
from hoistplank.lab.model.caching_server import CachingServer
from hoistplank.lab.model.change_log import SimulatedChangeLog
from hoistplank.lab.model.clients import UNREACHABLE, Clients
from hoistplank.lab.model.dispatcher import Dispatcher, PathModel
from hoistplank.lab.model.event_queue import EventQueue
from hoistplank.lab.model.links import Link
from hoistplank.lab.model.load_balancer import LoadBalancer
from hoistplank.lab.model.objects import ObjectCatalog
from hoistplank.lab.model.origin import Origin
from hoistplank.lab.model.rule_checker import RuleChecker
from hoistplank.lab.model.servers import DOWN, SILENT, UP, Server, ServerEnvironment
from hoistplank.lab.model.streams import RandomStream, RandomStreams
from hoistplank.lab.model.world_settings import CACHE_HOST, HUB, PARENT, SECOND_US, WorldSettings

MONITORED_CACHES = 48  # cache hosts whose load is kept by second


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
        """The random stream of that name."""
        return self.streams.stream(name)

    def record_fault(self, what: str) -> None:
        """What was done to the world, for reports."""
        self.fault_log.append((self.events.now, what))

    # Hosts.

    def host_entries(self) -> list[Endpoint]:
        """All hosts that the change log lists."""
        return [self.host_entry(server) for server in self.servers.values() if server.listed_state != "gone"]

    def host_entry(self, server: Server) -> Endpoint:
        """A host as the change log lists it."""
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
        """List hosts as up, draining or gone, and publish it."""
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
        """Start a server again, unless another incarnation of it has started meanwhile."""
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

    def is_cut(self, one: str, other: str) -> bool:
        """Whether the path between two zones is cut."""
        return bool(self.cut_zones) and frozenset((one, other)) in self.cut_zones

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
        """Give all dispatchers their first list, and let the clients come."""
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
