"""Carries a scene's faults out on a world and on the backend that drives it: processes or virtual time."""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol

from hoistplank.lab.fleet.metrics import FleetMetrics
from hoistplank.lab.fleet.relay_messages import ConditionValue, PathAction
from hoistplank.lab.fleet.scene_faults import DATAGRAMS, KINDS, PARTY, WHO
from hoistplank.lab.model.dispatcher import Dispatcher
from hoistplank.lab.model.fault_injector import FaultInjector
from hoistplank.lab.model.faults import ScheduledFault
from hoistplank.lab.model.load_balancer import ClientMigration
from hoistplank.lab.model.world import World
from hoistplank.lab.model.world_settings import HUB
from hoistplank.operator_configuration.values import ValueType

CLIENT_PATH = "clients>d"


class PathDirection(NamedTuple):
    """One direction of a path by the path's name; `backward` leads from the far party to the near one."""

    path: str
    backward: bool


class FaultBackend(Protocol):
    """What a backend does to paths and processes."""

    def set_conditions(self, directions: list[PathDirection], **conditions: ConditionValue) -> None:
        """Change these conditions (fields of `PathConditions`) of directions."""

    def apply_to_paths(self, paths: list[str], action: PathAction) -> None:
        """Apply an action to both directions of paths. Processes only."""

    def restart_with_file(self, dispatcher: Dispatcher, file: str, down_us: int) -> None:
        """Restart a dispatcher with another operator's file. Processes only."""

    def starve(self, dispatcher: Dispatcher, share: float, length_us: int) -> None:
        """Take a share of a dispatcher's core away for a time. Processes only."""


class FleetFaultInjector(FaultInjector):
    """Faults of processes, paths, places and clients; `backend` carries out what the model has not."""

    kinds = KINDS

    def __init__(
        self, world: World, rows: list[ScheduledFault], backend: FaultBackend, metrics: FleetMetrics
    ) -> None:
        super().__init__(world, rows)
        self.backend = backend
        self.metrics = metrics

    def _resolve(self, kind: ValueType, value: Any) -> Any:
        return self._who(value) if kind is WHO else super()._resolve(kind, value)

    def _who(self, text: str) -> list[Dispatcher]:
        name, _, share = text.partition(":")
        dispatchers = self.world.dispatchers
        if name.startswith("z"):
            return [dispatcher for dispatcher in dispatchers if dispatcher.zone == int(name[1:])]
        if name == "dispatchers":
            return self._choose_dispatchers(float(share)) if share else list(dispatchers)
        return [dispatchers[int(name[1:])]]

    # Paths.

    def _dispatchers(self, party: str) -> list[int] | None:
        """The numbers of the dispatchers that a party stands for; None where it is something else."""
        dispatchers = self.world.dispatchers
        if party == "dispatchers":
            return [dispatcher.number for dispatcher in dispatchers]
        if party.startswith("dz"):
            return [dispatcher.number for dispatcher in dispatchers if dispatcher.zone == int(party[2:])]
        return [int(party[1:])] if party.startswith("d") else None

    def _servers(self, party: str) -> list[str]:
        world = self.world
        if party == HUB:
            return [one.uid for one in world.servers.values() if one.zone == HUB]
        if party == "caches":
            return [one.uid for one in world.caches]
        if party.startswith("z"):
            return [one.uid for one in world.caches if one.zone == party]
        return [party]  # a host, the origin or the log

    def directions(self, one: str, other: str) -> list[PathDirection]:
        """The directions that lead from one party to another."""
        ours, theirs = self._dispatchers(one), self._dispatchers(other)
        if ours is not None and theirs is not None:
            return [PathDirection(sibling_path(a, b), a > b) for a in ours for b in theirs if a != b]
        backward = theirs is not None
        numbers, party = (theirs, one) if backward else (ours, other)
        assert numbers is not None  # the scene was checked
        if party == "clients":
            return [PathDirection(client_path(n), not backward) for n in numbers]
        return [PathDirection(host_path(n, uid), backward) for n in numbers for uid in self._servers(party)]

    def _set(self, one: str, other: str, length: int, **conditions: ConditionValue) -> None:
        directions = self.directions(one, other)
        self._excuse_held_answers([direction.path for direction in directions], length)
        self.backend.set_conditions(directions, **conditions)
        unimpaired = {name: type(value)() for name, value in conditions.items()}

        def restore() -> None:
            self.backend.set_conditions(directions, **unimpaired)

        self._schedule_after(length, restore)

    def _hush(self, one: str, other: str, length: int) -> None:
        self._mark_unreachable(one, other, length, f"hush {one} {other}")
        self._set(one, other, length, silent=True)

    def _delay(self, one: str, other: str, delay: int, spread: int, length: int) -> None:
        self._set(one, other, length, delay_us=delay, spread_us=spread)

    def _pace(self, one: str, other: str, rate: float, length: int) -> None:
        self._set(one, other, length, rate=rate * 1_000.0)

    def _break(self, one: str, other: str, length: int) -> None:
        self._mark_unreachable(one, other, length, f"break {one} {other}")
        names = [direction.path for direction in self.directions(one, other)]
        self._excuse_held_answers(names, length)
        self.backend.apply_to_paths(names, PathAction.SHUT)
        self._schedule_after(length, self.backend.apply_to_paths, names, PathAction.OPEN)

    def _halfway(self, one: str, other: str) -> None:
        names = [direction.path for direction in self.directions(one, other)]
        self._excuse_held_answers(names, 1)
        self.backend.apply_to_paths(names, PathAction.DEADEN)

    def _excuse_held_answers(self, names: list[str], length: int) -> None:
        """Danger: an answer that the rig itself holds back would count as a rule that a dispatcher broke."""
        for name in names:
            if name.startswith(CLIENT_PATH):
                self._excuse(int(name.removeprefix(CLIENT_PATH)), length)

    def _excuse(self, dispatcher: int, length: int) -> None:
        answers = self.world.rules.answers
        answers.begin_excuse(dispatcher)
        self._schedule_after(length, answers.end_excuse, dispatcher)

    def _loss(self, one: str, other: str, share: float, length: int) -> None:
        self._set(one, other, length, loss=share)

    def _double(self, one: str, other: str, share: float, length: int) -> None:
        self._set(one, other, length, double=share)

    def _jumble(self, one: str, other: str, share: float, late: int, length: int) -> None:
        self._set(one, other, length, jumble=share, jumble_us=late)

    def _tardy(self, one: str, other: str, share: float, late: int, length: int) -> None:
        self._set(one, other, length, tardy=share, tardy_us=late)

    def _flip(self, one: str, other: str, share: float, length: int) -> None:
        self._set(one, other, length, flip=share)

    def _mark_unreachable(self, one: str, other: str, length: int, text: str) -> None:
        """Hosts that a dispatcher can't reach, or not hear, are a wrong choice for it."""
        for party, rest in ((one, other), (other, one)):
            dispatchers = self._dispatchers(party)
            if dispatchers is not None and rest not in ("clients", "log") and self._dispatchers(rest) is None:
                self.metrics.mark_fault(self.events.now, length, self._servers(rest), text, dispatchers)

    def _cut(self, one: str, other: str, length: int) -> None:
        super()._cut(one, other, length)
        # The model cuts what flows between hosts; what dispatchers of the one zone send to the other is here.
        for zone, far in ((one, other), (other, one)):
            if zone.startswith("z"):
                party = f"d{zone}"
                for pair in ((party, far), (far, party)):
                    self._set(*pair, length, silent=True)
                dispatchers = self._dispatchers(party)
                self.metrics.mark_fault(
                    self.events.now, length, self._servers(far), f"cut {one} {other}", dispatchers
                )

    # Dispatcher processes.

    def _down(self, dispatchers: list[Dispatcher], length: int) -> None:
        for dispatcher in dispatchers:
            self.world.crash_dispatcher(dispatcher, length)

    def _freeze(self, dispatchers: list[Dispatcher], length: int) -> None:
        for dispatcher in dispatchers:
            self._excuse(dispatcher.number, length)
            dispatcher.freeze(length)

    def _restart(self, dispatchers: list[Dispatcher], within: int, down: int) -> None:
        for dispatcher in dispatchers:
            self._schedule_after(
                int(within * self.random.uniform()), self.world.crash_dispatcher, dispatcher, down
            )

    def _older(self, dispatchers: list[Dispatcher], file: str, down: int) -> None:
        for dispatcher in dispatchers:
            self.backend.restart_with_file(dispatcher, file, down)

    def _starve(self, dispatchers: list[Dispatcher], share: float, length: int) -> None:
        for dispatcher in dispatchers:
            self.backend.starve(dispatcher, share, length)

    def _skew(self, dispatchers: list[Dispatcher], step: int, length: int) -> None:
        for dispatcher in dispatchers:
            dispatcher.step_clock(step)
            self._schedule_after(length, dispatcher.step_clock, -step)

    # Places.

    def _gone(self, place: str, what: str, length: int, noticed: int) -> None:
        world, hosts = self.world, self._targets(place)
        if what == "view":
            # The log tells that they are gone; they are well.
            world.set_listed_state(hosts, "gone")
            self._schedule_after(length, world.set_listed_state, hosts, "up")
        if what == "link":
            self._cut(place, HUB, length)
        if what in ("caches", "all"):
            self.metrics.mark_fault(
                self.events.now, length, [host.uid for host in hosts], f"gone {place} {what}"
            )
            self._vanish(hosts, length, noticed)
        if what in ("dispatchers", "all"):
            self._down(self._who(place), length)

    def _hub(self, name: str, length: int, noticed: int) -> None:
        parents, half = self.world.parents, (len(self.world.parents) + 1) // 2
        hosts = parents[:half] if name == "h0" else parents[half:]
        self.metrics.mark_fault(self.events.now, length, [host.uid for host in hosts], f"hub {name}")
        self._vanish([*hosts], length, noticed)

    def _flap(self, place: str, what: str, on: int, off: int, length: int) -> None:
        for at in range(0, length, on + off):
            # Noticed by the log half way through, if at all: it comes late to what comes and goes.
            self._schedule_after(at, self._gone, place, what, min(on, length - at), on // 2)

    # Clients.

    def _move(self, home: str, to: str, share: float, after: int, spread: int, length: int) -> None:
        front, begin = self.world.load_balancer, self.events.now
        move = ClientMigration(int(home[1:]), int(to[1:]), share, begin + after, spread)
        self._schedule_after(after, front.migrations.append, move)

        def back() -> None:
            if move in front.migrations:
                front.migrations.remove(move)

        self._schedule_after(max(length, after + 1), back)

    def _uneven(self, place: str, times: float, length: int) -> None:
        front, first = self.world.load_balancer, self._who(place)[0]
        front.weights[first.number] = times

        def even() -> None:
            front.weights.pop(first.number, None)

        self._schedule_after(length, even)


def client_path(number: int) -> str:
    """The name of the path from clients to a dispatcher."""
    return f"{CLIENT_PATH}{number}"


def host_path(number: int, uid: str) -> str:
    """The name of the path from a dispatcher to a host, or to the change log (`log`)."""
    return f"d{number}>{uid}"


def sibling_path(one: int, other: int) -> str:
    """The name of the datagram path between two dispatchers; the lower number is the near party."""
    return f"d{min(one, other)}~d{max(one, other)}"


def needs_sibling_paths(rows: list[ScheduledFault]) -> bool:
    """Whether a script has faults between dispatchers, so that paths between them are to be opened."""
    return any(
        row.kind in DATAGRAMS or all(str(value).startswith("d") for value in row.values[:2])
        for row in rows
        if KINDS[row.kind][:2] == (PARTY, PARTY)
    )
