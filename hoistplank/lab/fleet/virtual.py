"""A scene in virtual time: the same world, faults and metrics over Routers whose clock jumps."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from hoistplank.lab.backends.virtual import VirtualSeat
from hoistplank.lab.fleet.fault_injector import Direction, FleetTroubles
from hoistplank.lab.fleet.metrics import FleetMetrics
from hoistplank.lab.fleet.path_conditions import UNIMPAIRED, StreamDirection, chance
from hoistplank.lab.fleet.scene import Scene
from hoistplank.lab.model.world import Seat, World
from hoistplank.lab.policies import Make

Call = tuple[Callable[..., None], tuple[Any, ...]]
SAMPLE_US = 50_000


class OnlyProcesses(Exception):
    """A fault that virtual time has not; scenes that name one play on processes alone."""


class VirtualPaths:
    """All paths on the world's agenda. Each direction keeps its order, as one connection would."""

    def __init__(self, world: World) -> None:
        self.world, self.streams = world, dict[Direction, StreamDirection[Call]]()

    def _stream(self, direction: Direction) -> StreamDirection[Call]:
        found = self.streams.get(direction)
        if found is None:
            name = f"{direction[0]}/{'back' if direction[1] else 'there'}"
            found = self.streams[direction] = StreamDirection(
                UNIMPAIRED, chance(self.world.streams.seed, name)
            )
        return found

    def send(self, name: str, back: bool, at: int, call: Callable[..., None], *args: Any) -> None:
        stream = self.streams.get((name, back))
        if stream is None or stream.idle(at):
            # Nothing is set on this path, and nothing is under way there that this could overtake.
            return self.world.agenda.at(at, call, *args)
        if at > self.world.agenda.now:
            return self.world.agenda.at(at, self._arrive, (name, back), (call, args))
        self._arrive((name, back), (call, args))

    def _arrive(self, direction: Direction, item: Call) -> None:
        self._on(self._stream(direction).push(self.world.agenda.now, 1, item))

    def _on(self, items: list[tuple[int, Call]]) -> None:
        for at, (call, args) in items:
            self.world.agenda.at(at, call, *args)

    # What troubles do.

    def set_conditions(self, directions: list[Direction], **conditions: Any) -> None:
        for direction in directions:
            stream = self._stream(direction)
            self._on(stream.set_conditions(self.world.agenda.now, stream.conditions.changed(**conditions)))

    def tell(self, paths: list[str], do: str) -> None:
        raise OnlyProcesses(do)

    def older(self, seat: Seat, file: str, down_us: int) -> None:
        raise OnlyProcesses("older")

    def starve(self, seat: Seat, share: float, length_us: int) -> None:
        raise OnlyProcesses("starve")


def watched(world: World, metrics: FleetMetrics) -> None:
    """Has the metrics hear of everything, and sample what is shared, to the day's end."""
    world.clients.ear, world.truth.drains.heard = metrics, metrics.attempt

    def sample() -> None:
        now = world.agenda.now
        if now >= world.shape.start_us():
            for zone, link in enumerate(world.zone_links):
                metrics.sample(f"link z{zone}", link.room * link.share, [float(link.open)])
            for one in world.parents:
                metrics.sample(f"link {one.uid}", one.link.room * one.link.share, [float(one.link.open)])
            metrics.sample("cold hosts", 1.0, [world.truth.colds.fullest(now)])
            metrics.sample("origin", float(len(world.origin.free)), [float(len(world.origin.open))])
        if now < world.shape.last_us():
            world.agenda.at(now + SAMPLE_US, sample)

    world.agenda.at(0, sample)


def built(
    scene: Scene, seed: int, make: Make, ear: type[FleetMetrics] = FleetMetrics
) -> tuple[World, FleetMetrics]:
    """A scene's world and metrics, ready for `run`. Raises OnlyProcesses."""
    if "virtual" not in scene.drives:
        raise OnlyProcesses(scene.name)
    world = World(scene.shape(), seed)
    paths = world.paths = VirtualPaths(world)
    zones = [number % scene.locations for number in range(scene.locations * scene.dispatchers)]
    metrics = ear(world.shape, zones)
    world.seats.extend(VirtualSeat(world, number, zone, make) for number, zone in enumerate(zones))
    FleetTroubles(world, scene.rows(), paths, metrics).begin()
    watched(world, metrics)
    return world, metrics
