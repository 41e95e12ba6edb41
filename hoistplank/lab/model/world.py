"""A simulated world: servers, zones, change log, purges and clients under one clock."""

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

MONITORED_CACHES = 48  # cache hosts whose load is recorded each second


class World(ServerEnvironment):
    """A simulated world; a backend adds `dispatchers`, in the order of their numbers, before `begin`."""

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
        # Servers monitored for reports, and the load of their links by second.
        self.monitored = [*self.caches[:MONITORED_CACHES], *self.parents[:4], self.origin]
        self.monitored_loads: list[list[float]] = []
        self._carried = [0.0] * len(self.monitored)

    def stream(self, name: str) -> RandomStream:
        """Return a new random stream for a name."""
        return self.streams.stream(name)

    def record_fault(self, description: str) -> None:
        """Record an injected fault or a crash for reports."""
        self.fault_log.append((self.events.now, description))

    # Hosts.

    def host_entries(self) -> list[Endpoint]:
        """Return all hosts that the change log lists."""
        return [self.host_entry(server) for server in self.servers.values() if server.listed_state != "gone"]

    def host_entry(self, server: Server) -> Endpoint:
        """Return a host as the change log lists it."""
        return Endpoint(
            server.uid,
            server.zone,
            server.kind,
            server.cell,
            server.capacity,
            server.started_us,
            server.listed_state,
        )

    def notify_hosts(self, dispatcher: Dispatcher, form: str, hosts: list[Endpoint]) -> None:
        """Notify a dispatcher of hosts, after the rule checkers."""
        now = self.events.now
        for host in hosts:
            self.rules.drains.dispatcher_notified(now, dispatcher.number, host.host, host.state)
            if host.state == "up":
                self.rules.colds.dispatcher_notified(dispatcher.number, host.host, host.started_us)
        if form in ("whole", "kept"):
            listed = {host.host for host in hosts}
            for uid in self.servers:
                if uid not in listed:
                    self.rules.drains.dispatcher_notified(now, dispatcher.number, uid, "gone")
        dispatcher.update_hosts(form, hosts)

    def set_listed_state(self, servers: list[Server], state: str) -> None:
        """List hosts as up, draining or gone, and publish it."""
        for server in servers:
            server.listed_state = state
        self.change_log.publish_hosts([self.host_entry(server) for server in servers])

    def server_overloaded(self, server: Server) -> None:
        """Crash an overloaded server; it restarts after a delay."""
        self.record_fault(f"{server.uid} was pushed over")
        self.crash_server(
            server, self.settings.origin_restart_us if server is self.origin else self.settings.restart_us
        )

    def crash_server(self, server: Server, restart_after: int, phase: str = DOWN, warm: bool = False) -> None:
        """End a server's process (or silence its machine) and start a new one later.

        It starts cold, unless it is the origin or `warm` is set.
        """
        server.stop(phase)
        incarnation = server.incarnation
        self.events.schedule(
            self.events.now + restart_after,
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
        """Silence a server's machine; list it as gone after `noticed_after` unless it is back by then."""
        self.crash_server(server, length, SILENT)
        incarnation = server.incarnation

        def on_detected() -> None:
            if server.incarnation == incarnation:
                self.set_listed_state([server], "gone")

        self.events.schedule(self.events.now + noticed_after, on_detected)

    def is_cut(self, one: str, other: str) -> bool:
        """Return True if the path between two zones is cut."""
        return bool(self.cut_zones) and frozenset((one, other)) in self.cut_zones

    # Purges.

    def purge(self, object_key: str, group: int) -> None:
        """Publish a purge of an object, or of all objects of a group if `object_key` is empty."""
        purged_at = self.events.now
        purge_key: str | int = object_key or group
        self.purge_times[purge_key] = purged_at

        def notify(dispatcher: Dispatcher) -> None:
            self.rules.purges.dispatcher_notified(self.events.now, dispatcher.number, purge_key, purged_at)
            dispatcher.purge(object_key, group if not object_key else 0, purged_at)

        self.change_log.publish(notify)

    # The day.

    def begin(self) -> None:
        """Send all dispatchers their first host list, and start the clients."""
        for dispatcher in self.dispatchers:
            self.notify_hosts(dispatcher, "kept", self.host_entries())
        self.clients.begin()
        self.events.schedule(SECOND_US, self._sweep)

    def _sweep(self) -> None:
        loads = []
        for n, server in enumerate(self.monitored):
            carried = server.link.carried_us
            loads.append((carried - self._carried[n]) / SECOND_US / server.capacity)
            self._carried[n] = carried
        self.monitored_loads.append(loads)
        self.rules.answers.sweep(self.events.now)
        if self.events.now < self.end_us() + 2 * SECOND_US:
            self.events.schedule(self.events.now + SECOND_US, self._sweep)

    def end_us(self) -> int:
        """Return the time at which all requests have ended if no part delayed the next."""
        longest = max(row.deadline_us for row in self.settings.classes)
        parts = max((row.parts - 1) * row.part_interval_us for row in self.settings.classes)
        return self.settings.end_of_arrivals_us() + parts + longest + 2 * SECOND_US

    def last_end_us(self) -> int:
        """Return the time at which the last part of the last session has ended, whatever each part took."""
        return (
            self.settings.end_of_arrivals_us()
            + max(row.parts * row.deadline_us for row in self.settings.classes)
            + 2 * SECOND_US
        )

    def run(self) -> None:
        """Run the whole day in virtual time."""
        self.begin()
        # A day creates and drops millions of small objects with few cycles, so collections would free little.
        was_collecting = gc.isenabled()
        gc.disable()
        try:
            self.events.run_until(self.end_us())
            # Parts are requested one after another: a session whose parts took long may still be open.
            while self.clients.open and self.events.now < self.last_end_us():
                self.events.run_until(self.events.now + SECOND_US // 10)
        finally:
            if was_collecting:
                gc.enable()

    def crash_dispatcher(self, dispatcher: Dispatcher, restart_after: int) -> None:
        """Kill a dispatcher's process; its clients detect it at once, the load balancer later."""
        if not dispatcher.alive:
            return
        self.rules.dispatcher_killed(dispatcher.number)
        dispatcher.kill()
        lost = [request for request in self.clients.open.values() if request.dispatcher == dispatcher.number]
        for request in lost:
            self.clients.answered(request.id, UNREACHABLE)
        self.load_balancer.dispatcher_crashed(dispatcher)

        def restart() -> None:
            dispatcher.restart()
            for purge_key, purged_at in self.purge_times.items():
                if self.events.now - purged_at < self.settings.purge_delay_us:
                    object_key, group = (purge_key, 0) if isinstance(purge_key, str) else ("", purge_key)
                    self.rules.purges.dispatcher_notified(
                        self.events.now, dispatcher.number, purge_key, purged_at
                    )
                    dispatcher.purge(object_key, group, purged_at)
            self.notify_hosts(dispatcher, "kept", self.host_entries())
            self.load_balancer.dispatcher_restarted(dispatcher)

        self.events.schedule(self.events.now + restart_after, restart)
