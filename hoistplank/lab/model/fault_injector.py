"""Carries a script's faults out on a simulated world."""

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
    """Carries a script out on a world. `chance` chooses who is struck: the same for every policy."""

    kinds: FaultWords = KINDS

    def __init__(self, world: World, rows: list[ScheduledFault]) -> None:
        self.world, self.events, self.rows = world, world.events, rows
        self.random = world.stream("faults")
        self.classes = {row.name: n for n, row in enumerate(world.settings.classes)}

    def begin(self) -> None:
        """Choose the targets of all faults, and schedule them."""
        start = self.world.settings.start_us()
        for row in self.rows:
            # Chosen now, before anything has happened, so that no policy can change the choice.
            kinds = [word for word in self.kinds[row.kind] if not isinstance(word, str)]
            pairs = zip(kinds, row.values, strict=True)
            struck = tuple(self._resolve(kind, value) for kind, value in pairs)
            self.events.schedule(start + row.at, self._inject, row, struck)

    def _resolve(self, kind: ValueType, value: Any) -> Any:
        """What a word of a fault stands for in this world."""
        return self._targets(value) if kind is TARGET else value

    def _inject(self, row: ScheduledFault, values: tuple[Any, ...]) -> None:
        self.world.record_fault(row.text)
        getattr(self, f"_{row.kind}")(*values)

    def _later(self, wait: int, call: Callable[..., None], *args: Any) -> None:
        self.events.schedule(self.events.now + wait, call, *args)

    def _targets(self, text: str) -> list[Server]:
        name, _, share = text.partition(":")
        world = self.world
        many: list[Server]
        if name in ("caches", "parents"):
            many = [*(world.caches if name == "caches" else world.parents)]
        elif name.startswith("z"):
            many = [one for one in world.caches if one.zone == name]
        elif name.startswith("cell-"):
            many = [one for one in world.caches if one.cell == int(name[5:])]
        else:
            many = [world.servers[name]] if name in world.servers else []
        if share:
            order = self.random.shuffled(len(many))
            many = [many[n] for n in sorted(order[: max(1, round(float(share) * len(many)))])]
        return many

    def _some_dispatchers(self, share: float) -> list[Dispatcher]:
        dispatchers = self.world.dispatchers
        order = self.random.shuffled(len(dispatchers))
        return [dispatchers[n] for n in sorted(order[: max(1, round(share * len(dispatchers)))])]

    # Hosts.

    def _drain(self, hosts: list[Server], length: int) -> None:
        self.world.set_listed_state(hosts, "draining")
        self._later(length, self.world.set_listed_state, hosts, "up")

    def _deploy(self, hosts: list[Server], batch: float, drain: int) -> None:
        size = max(1, round(batch * len(hosts)))
        step = drain + self.world.settings.restart_us
        for n, at in enumerate(range(0, len(hosts), size)):
            self._later(n * step, self._renew, hosts[at : at + size], drain)

    def _renew(self, hosts: list[Server], drain: int) -> None:
        self.world.set_listed_state(hosts, "draining")
        for host in hosts:
            self._later(drain, self.world.crash_server, host, self.world.settings.restart_us)

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
                self._later(length, self._woken, host, host.incarnation)

    def _woken(self, host: Server, incarnation: int) -> None:
        if host.incarnation == incarnation:
            host.phase = UP
            # What it took meanwhile is worked off now, late.
            for request in list(host.open_requests):
                if not request.transfers and not request.pending_parts:
                    host.process(request)

    def _halfopen(self, hosts: list[Server], length: int) -> None:
        self._stall(hosts, length, SILENT)

    def _pause(self, hosts: list[Server], pause: int, every: int, length: int) -> None:
        until = self.events.now + length

        def once(host: Server) -> None:
            host.paused_until = self.events.now + pause
            if self.events.now + every < until:
                self._later(every, once, host)

        for host in hosts:
            self._later(int(every * self.random.uniform()), once, host)

    def _slow(self, hosts: list[Server], times: float, length: int) -> None:
        for host in hosts:
            host.slow_down(times)
            self._later(length, host.slow_down, 1.0)

    def _age(self, hosts: list[Server], times: float, over: int, length: int) -> None:
        steps = 10
        for host in hosts:
            for n in range(1, steps + 1):
                self._later(over * n // steps, host.slow_down, 1 + (times - 1) * n / steps)
            self._later(max(length, over) + 1, host.slow_down, 1.0)

    def _link(self, hosts: list[Server], times: float, length: int) -> None:
        for host in hosts:
            self._widen(host, times)
            self._later(length, self._widen, host, 1 / times)

    def _widen(self, host: Server, times: float) -> None:
        host.link.resize(capacity=host.link.capacity * times)

    def _shrink(self, hosts: list[Server], times: float, length: int) -> None:
        for host in hosts:
            if isinstance(host, CachingServer):
                whole, host.storage.capacity_kb = host.storage.capacity_kb, host.storage.capacity_kb * times
                self._later(length, host.storage.set_capacity, whole)

    def _set_share(
        self, set_share: Callable[[Server, float], None], hosts: list[Server], share: float, length: int
    ) -> None:
        for host in hosts:
            set_share(host, share)
            self._later(length, set_share, host, 0.0)

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
        self._later(length, self.world.cut_zones.discard, pair)

    def _loglate(self, times: float, length: int) -> None:
        self.world.change_log.set_delay_factor(times)
        self._later(length, self.world.change_log.set_delay_factor, 1.0)

    def _logstop(self, length: int) -> None:
        self.world.change_log.stop()
        self._later(length, self.world.change_log.start)

    def _loggap(self, length: int) -> None:
        self.world.change_log.stop()
        self._later(length, self.world.change_log.start, True)

    def _purge(self, group: int) -> None:
        self.world.purge("", group % self.world.settings.groups + 1)

    def _flush(self, share: float) -> None:
        groups = self.world.settings.groups
        for n in self.random.shuffled(groups)[: max(1, round(share * groups))]:
            self.world.purge("", n + 1)

    # Clients and dispatchers.

    def _herd(self, class_name: str, share: float, objects: int, length: int) -> None:
        hot = self.world.catalog.add_hot_objects(self.classes.get(class_name, 0), share, max(1, objects))
        self._later(length, self._cool, hot)

    def _cool(self, hot: HotObjects) -> None:
        self.world.catalog.hot.remove(hot)

    def _scan(self, share: float, length: int) -> None:
        self.world.catalog.set_scan_share(share)
        self._later(length, self.world.catalog.set_scan_share, 0.0)

    def _surge(self, zone: str, times: float, length: int) -> None:
        number = int(zone[1:]) if zone[1:].isdecimal() else 0
        surge = self.world.clients.arrival_factor
        if zone[0] == "z" and number < len(surge):
            surge[number] = times
            self._later(length, self._calm, number)

    def _calm(self, zone: int) -> None:
        self.world.clients.arrival_factor[zone] = 1.0

    def _tail(self, class_name: str, share: float, times: float, length: int) -> None:
        number = self.classes.get(class_name, 0)
        self.world.catalog.enlarged[number] = (share, times)
        self._later(length, self._light, number)

    def _light(self, number: int) -> None:
        self.world.catalog.enlarged.pop(number, None)

    def _kill(self, share: float, length: int) -> None:
        for dispatcher in self._some_dispatchers(share):
            self.world.crash_dispatcher(dispatcher, length)

    def _clock(self, share: float, step: int) -> None:
        for dispatcher in self._some_dispatchers(share):
            dispatcher.step_clock(step)
