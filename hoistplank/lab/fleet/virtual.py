"""A scene in virtual time: the same world, faults and metrics over Routers whose clock jumps."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from hoistplank.lab.backends.virtual import VirtualDispatcher
from hoistplank.lab.fleet.fault_injector import FleetFaultInjector, PathDirection
from hoistplank.lab.fleet.metrics import FleetMetrics
from hoistplank.lab.fleet.path_conditions import UNIMPAIRED, StreamDirection, chance
from hoistplank.lab.fleet.relay_messages import ConditionValue, PathAction
from hoistplank.lab.fleet.scene import Scene
from hoistplank.lab.model.dispatcher import Dispatcher
from hoistplank.lab.model.world import World
from hoistplank.lab.policy import PolicyFactory

SAMPLE_US = 50_000  # between two samples of what is shared


class NeedsProcessesError(Exception):
    """A fault that virtual time does not have; scenes that name one play on processes alone."""

    def __init__(self, what: str) -> None:
        super().__init__(what)
        self.what = what


class Delivery(NamedTuple):
    """Something that is under way: `call(*args)` once it has come through."""

    call: Callable[..., None]
    args: tuple[Any, ...]


class VirtualPaths:
    """All paths in virtual time. Each direction keeps its order, as one connection would."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.streams: dict[PathDirection, StreamDirection[Delivery]] = {}

    def _stream(self, direction: PathDirection) -> StreamDirection[Delivery]:
        stream = self.streams.get(direction)
        if stream is None:
            name = f"{direction.path}/{'back' if direction.backward else 'there'}"
            stream = StreamDirection(UNIMPAIRED, chance(self.world.streams.seed, name))
            self.streams[direction] = stream
        return stream

    def send(self, name: str, back: bool, at: int, call: Callable[..., None], *args: Any) -> None:
        """Call `call(*args)` once something sent at `at` (us) has come through a direction of a path."""
        direction = PathDirection(name, back)
        stream = self.streams.get(direction)
        if stream is None or stream.idle(at):
            # Nothing is set on this path, and nothing is under way there that this could overtake.
            self.world.events.schedule(at, call, *args)
        elif at > self.world.events.now:
            self.world.events.schedule(at, self._enter, direction, Delivery(call, args))
        else:
            self._enter(direction, Delivery(call, args))

    def _enter(self, direction: PathDirection, delivery: Delivery) -> None:
        self._schedule(self._stream(direction).push(self.world.events.now, 1, delivery))

    def _schedule(self, deliveries: list[tuple[int, Delivery]]) -> None:
        for at, delivery in deliveries:
            self.world.events.schedule(at, delivery.call, *delivery.args)

    # What faults do.

    def set_conditions(self, directions: list[PathDirection], **conditions: ConditionValue) -> None:
        """Change conditions of directions; what they no longer hold back goes on."""
        for direction in directions:
            stream = self._stream(direction)
            changed = stream.conditions.changed(**conditions)
            self._schedule(stream.set_conditions(self.world.events.now, changed))

    def apply_to_paths(self, _paths: list[str], action: PathAction) -> None:
        """Raises NeedsProcessesError."""
        raise NeedsProcessesError(action.value)

    def restart_with_file(self, _seat: Dispatcher, _file: str, _down_us: int) -> None:
        """Raises NeedsProcessesError."""
        raise NeedsProcessesError("older")

    def starve(self, _seat: Dispatcher, _share: float, _length_us: int) -> None:
        """Raises NeedsProcessesError."""
        raise NeedsProcessesError("starve")


def observe(world: World, metrics: FleetMetrics) -> None:
    """Feed the world's events to the metrics, and sample what is shared until the day's end."""
    world.clients.observer, world.rules.drains.on_attempt = metrics, metrics.attempt

    def sample() -> None:
        now = world.events.now
        if now >= world.settings.start_us():
            for zone, link in enumerate(world.zone_links):
                metrics.sample(f"link z{zone}", link.capacity * link.capacity_share, [float(link.active)])
            for one in world.parents:
                metrics.sample(
                    f"link {one.uid}", one.link.capacity * one.link.capacity_share, [float(one.link.active)]
                )
            metrics.sample("cold hosts", 1.0, [world.rules.colds.highest_load(now)])
            metrics.sample(
                "origin", float(len(world.origin.core_free_at)), [float(len(world.origin.open_requests))]
            )
        if now < world.settings.end_of_arrivals_us():
            world.events.schedule(now + SAMPLE_US, sample)

    world.events.schedule(0, sample)


def build_world(
    scene: Scene, seed: int, make: PolicyFactory, metrics_type: type[FleetMetrics] = FleetMetrics
) -> tuple[World, FleetMetrics]:
    """A scene's world and metrics, ready for `World.run`. Raises NeedsProcessesError."""
    if "virtual" not in scene.drives:
        raise NeedsProcessesError(scene.name)
    world = World(scene.world_settings(), seed)
    paths = world.paths = VirtualPaths(world)
    zones = [number % scene.locations for number in range(scene.locations * scene.dispatchers)]
    metrics = metrics_type(world.settings, zones)
    world.dispatchers.extend(
        VirtualDispatcher(world, number, zone, make) for number, zone in enumerate(zones)
    )
    FleetFaultInjector(world, scene.faults(), paths, metrics).begin()
    observe(world, metrics)
    return world, metrics
