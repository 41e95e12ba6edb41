"""Injects the faults of a script into a simulated world."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from hoistplank.lab.model.caching_server import CachingServer
from hoistplank.lab.model.dispatcher import Dispatcher
from hoistplank.lab.model.faults import KINDS, TARGET, FaultWords, ScheduledFault
from hoistplank.lab.model.objects import HotObjects
from hoistplank.lab.model.servers import HUNG, SILENT, UP, Server
from hoistplank.lab.model.world import World
from hoistplank.operator_configuration.values import ValueType


class FaultInjector:
    """Injects scheduled faults; draws targets from its own stream, so that every policy gets the same."""

    kinds: FaultWords = KINDS

    def __init__(self, world: World, rows: list[ScheduledFault]) -> None:
        self.world, self.events, self.rows = world, world.events, rows
        self.random = world.stream("faults")
        self.classes = {row.name: n for n, row in enumerate(world.settings.classes)}

    def begin(self) -> None:
        """Choose the targets of all faults, and schedule them."""
        start = self.world.settings.start_us()
        for row in self.rows:
            # Chosen before the day starts, so that no policy can influence the choice.
            kinds = [word for word in self.kinds[row.kind] if not isinstance(word, str)]
            pairs = zip(kinds, row.values, strict=True)
            values = tuple(self._resolve(kind, value) for kind, value in pairs)
            self.events.schedule(start + row.at, self._inject, row, values)

    def _resolve(self, kind: ValueType, value: Any) -> Any:
        """Return the servers that a target refers to; any other value as it is."""
        return self._targets(value) if kind is TARGET else value

    def _inject(self, row: ScheduledFault, values: tuple[Any, ...]) -> None:
        self.world.record_fault(row.text)
        getattr(self, f"_{row.kind}")(*values)

    def _schedule_after(self, wait: int, call: Callable[..., None], *args: Any) -> None:
        self.events.schedule(self.events.now + wait, call, *args)

    def _targets(self, text: str) -> list[Server]:
        name, _, share = text.partition(":")
        world = self.world
        servers: list[Server]
        if name in ("caches", "parents"):
            servers = [*(world.caches if name == "caches" else world.parents)]
        elif name.startswith("z"):
            servers = [server for server in world.caches if server.zone == name]
        elif name.startswith("cell-"):
            servers = [server for server in world.caches if server.cell == int(name[5:])]
        else:
            servers = [world.servers[name]] if name in world.servers else []
        if share:
            order = self.random.shuffled(len(servers))
            servers = [servers[n] for n in sorted(order[: max(1, round(float(share) * len(servers)))])]
        return servers

    def _choose_dispatchers(self, share: float) -> list[Dispatcher]:
        dispatchers = self.world.dispatchers
        order = self.random.shuffled(len(dispatchers))
        return [dispatchers[n] for n in sorted(order[: max(1, round(share * len(dispatchers)))])]

    # Hosts.

    def _drain(self, hosts: list[Server], length: int) -> None:
        self.world.set_listed_state(hosts, "draining")
        self._schedule_after(length, self.world.set_listed_state, hosts, "up")

    def _deploy(self, hosts: list[Server], batch: float, drain: int) -> None:
        size = max(1, round(batch * len(hosts)))
        step = drain + self.world.settings.restart_us
        for n, at in enumerate(range(0, len(hosts), size)):
            self._schedule_after(n * step, self._drain_and_restart, hosts[at : at + size], drain)

    def _drain_and_restart(self, hosts: list[Server], drain: int) -> None:
        self.world.set_listed_state(hosts, "draining")
        for host in hosts:
            self._schedule_after(drain, self.world.crash_server, host, self.world.settings.restart_us)

    def _vanish(self, hosts: list[Server], length: int, noticed: int) -> None:
        for host in hosts:
            self.world.silence_server(host, length, noticed)

    def _crash(self, hosts: list[Server], length: int) -> None:
        for host in hosts:
            self.world.crash_server(host, length)

    def _stall(self, hosts: list[Server], length: int, phase: str = HUNG) -> None:
        for host in hosts:
            if host.phase == UP:
                host.phase = phase
                self._schedule_after(length, self._resume, host, host.incarnation)

    def _resume(self, host: Server, incarnation: int) -> None:
        if host.incarnation == incarnation:
            host.phase = UP
            # Requests accepted while it was hung are processed now.
            for request in list(host.open_requests):
                if not request.transfers and not request.pending_parts:
                    host.process(request)

    def _halfopen(self, hosts: list[Server], length: int) -> None:
        self._stall(hosts, length, SILENT)

    def _pause(self, hosts: list[Server], pause: int, every: int, length: int) -> None:
        until = self.events.now + length

        def pause_once(host: Server) -> None:
            host.paused_until = self.events.now + pause
            if self.events.now + every < until:
                self._schedule_after(every, pause_once, host)

        for host in hosts:
            self._schedule_after(int(every * self.random.uniform()), pause_once, host)

    def _slow(self, hosts: list[Server], times: float, length: int) -> None:
        for host in hosts:
            host.slow_down(times)
            self._schedule_after(length, host.slow_down, 1.0)

    def _age(self, hosts: list[Server], times: float, over: int, length: int) -> None:
        steps = 10
        for host in hosts:
            for n in range(1, steps + 1):
                self._schedule_after(over * n // steps, host.slow_down, 1 + (times - 1) * n / steps)
            self._schedule_after(max(length, over) + 1, host.slow_down, 1.0)

    def _link(self, hosts: list[Server], times: float, length: int) -> None:
        for host in hosts:
            self._scale_link(host, times)
            self._schedule_after(length, self._scale_link, host, 1 / times)

    def _scale_link(self, host: Server, times: float) -> None:
        host.link.resize(capacity=host.link.capacity * times)

    def _shrink(self, hosts: list[Server], times: float, length: int) -> None:
        for host in hosts:
            if isinstance(host, CachingServer):
                full_capacity_kb, host.storage.capacity_kb = (
                    host.storage.capacity_kb,
                    host.storage.capacity_kb * times,
                )
                self._schedule_after(length, host.storage.set_capacity, full_capacity_kb)

    def _set_share(
        self, set_share: Callable[[Server, float], None], hosts: list[Server], share: float, length: int
    ) -> None:
        for host in hosts:
            set_share(host, share)
            self._schedule_after(length, set_share, host, 0.0)

    def _reset(self, hosts: list[Server], share: float, length: int) -> None:
        self._set_share(Server.set_reset_share, hosts, share, length)

    def _spoil(self, hosts: list[Server], share: float, length: int) -> None:
        self._set_share(Server.set_corrupt_share, hosts, share, length)

    def _lose(self, hosts: list[Server], share: float, length: int) -> None:
        self._set_share(Server.set_loss_share, hosts, share, length)

    def _refuse(self, hosts: list[Server], share: float, length: int) -> None:
        self._set_share(Server.set_reject_share, hosts, share, length)

    # Paths, log, purges.

    def _cut(self, one: str, other: str, length: int) -> None:
        pair = frozenset((one, other))
        self.world.cut_zones.add(pair)
        self._schedule_after(length, self.world.cut_zones.discard, pair)

    def _loglate(self, times: float, length: int) -> None:
        self.world.change_log.set_delay_factor(times)
        self._schedule_after(length, self.world.change_log.set_delay_factor, 1.0)

    def _logstop(self, length: int) -> None:
        self.world.change_log.stop()
        self._schedule_after(length, self.world.change_log.start)

    def _loggap(self, length: int) -> None:
        self.world.change_log.stop()
        self._schedule_after(length, self.world.change_log.start, True)

    def _purge(self, group: int) -> None:
        self.world.purge("", group % self.world.settings.groups + 1)

    def _flush(self, share: float) -> None:
        groups = self.world.settings.groups
        for n in self.random.shuffled(groups)[: max(1, round(share * groups))]:
            self.world.purge("", n + 1)

    # Clients and dispatchers.

    def _herd(self, class_name: str, share: float, objects: int, length: int) -> None:
        hot = self.world.catalog.add_hot_objects(self.classes.get(class_name, 0), share, max(1, objects))
        self._schedule_after(length, self._remove_hot_objects, hot)

    def _remove_hot_objects(self, hot: HotObjects) -> None:
        self.world.catalog.hot.remove(hot)

    def _scan(self, share: float, length: int) -> None:
        self.world.catalog.set_scan_share(share)
        self._schedule_after(length, self.world.catalog.set_scan_share, 0.0)

    def _surge(self, zone: str, times: float, length: int) -> None:
        number = int(zone[1:]) if zone[1:].isdecimal() else 0
        arrival_factor = self.world.clients.arrival_factor
        if zone[0] == "z" and number < len(arrival_factor):
            arrival_factor[number] = times
            self._schedule_after(length, self._end_surge, number)

    def _end_surge(self, zone: int) -> None:
        self.world.clients.arrival_factor[zone] = 1.0

    def _tail(self, class_name: str, share: float, times: float, length: int) -> None:
        number = self.classes.get(class_name, 0)
        self.world.catalog.enlarged[number] = (share, times)
        self._schedule_after(length, self._restore_sizes, number)

    def _restore_sizes(self, number: int) -> None:
        self.world.catalog.enlarged.pop(number, None)

    def _kill(self, share: float, length: int) -> None:
        for dispatcher in self._choose_dispatchers(share):
            self.world.crash_dispatcher(dispatcher, length)

    def _clock(self, share: float, step: int) -> None:
        for dispatcher in self._choose_dispatchers(share):
            dispatcher.step_clock(step)
