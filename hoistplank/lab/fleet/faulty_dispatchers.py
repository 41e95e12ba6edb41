"""Dispatchers and rigs that each break what only a fleet can break, to show that its checker fires."""

from __future__ import annotations

import msgspec

from hoistplank.decision.actions import SendAttempt
from hoistplank.decision.events import AttemptEnded, EndpointsUpdated
from hoistplank.lab.baselines import PlainDispatcher, PlainRequest, RendezvousHash
from hoistplank.lab.faulty_dispatchers import with_every_host_up
from hoistplank.lab.fleet.metrics import FleetMetrics
from hoistplank.lab.fleet.scene import Scene
from hoistplank.lab.fleet.scene_reader import read_scene
from hoistplank.lab.fleet.virtual import build_world
from hoistplank.lab.model.clients import Request
from hoistplank.lab.policies import policy
from hoistplank.lab.policy import PolicyFactory

EXTRA = (5, 6, 7)  # the numbers of attempts that nobody waits for


class Stingy(RendezvousHash):
    """Fairness: the first dispatcher of each location turns most of its clients away."""

    def place(self, now_us: int, request: PlainRequest) -> None:
        """Gives most requests up at the first dispatcher."""
        zones = self.settings.dispatchers // max(1, self.settings.dispatchers_in_zone)
        if self.settings.dispatcher_index < zones and self.rng.random() < 0.8:
            return self.give_up(request)
        return super().place(now_us, request)


class Eager(RendezvousHash):
    """Amplification: every request of a kept traffic class is sent to four hosts at once."""

    def place(self, now_us: int, request: PlainRequest) -> None:
        """Sends the attempt to three hosts more."""
        super().place(now_us, request)
        first = self.actions[-1] if self.actions else None
        if isinstance(first, SendAttempt) and first.request_id == request.arrived.request_id and first.source:
            others = [host for host in self.caches if host != first.host]
            for number, host in zip(EXTRA, others, strict=False):
                self.actions.append(msgspec.structs.replace(first, host=host, attempt=number))

    def attempt_ended(self, now_us: int, event: AttemptEnded) -> None:
        """Passes over the ends that nobody waits for."""
        if event.attempt not in EXTRA:
            super().attempt_ended(now_us, event)


class Grabs(RendezvousHash):
    """What is shared: everything comes from the hub, whatever the location's link carries."""

    def choose(self, object_key: str, part: int, hosts: list[str]) -> str:  # noqa: ARG002 (overrides)
        """The hub's host in place of the location's."""
        return super().source(object_key, part)

    def source(self, object_key: str, part: int) -> str:  # noqa: ARG002 (overrides)
        """The origin."""
        return self.origin


class Stays(RendezvousHash):
    """Wrong choices: a host that the log told to be gone is asked all the same."""

    def endpoints_updated(self, event: EndpointsUpdated) -> None:
        """Takes every listed host for up."""
        super().endpoints_updated(with_every_host_up(event))


class Forgetful(FleetMetrics):
    """A rig that loses the end of one displaced try in three."""

    def answered(self, now: int, request: Request, how: str) -> None:
        """Drop the end of one displaced try in three."""
        if request.zone != self.zones[request.dispatcher] and request.number % 3 == 0:
            self.out.pop(request.id, None)
            return
        super().answered(now, request, how)


TEXT = """
(scene {name} (seconds 6s) (warm 3s)
  (at 1s (gone z0 caches for 3s noticed 500ms) (move z1 z2 0.5 after 100ms spread 100ms for 3s))
  (expect {bound}))
"""
# The bound that the module keeps on this scene and the broken dispatcher does not.
FLEET: dict[str, tuple[str, type[PlainDispatcher]]] = {
    "stingy": ("fair above 0.93", Stingy),
    "eager": ("amplified below 2.2", Eager),
    "grabs": ("link below 3.0", Grabs),
    "stays": ("wrong below 1.8", Stays),
}


def _made(kind: type[PlainDispatcher]) -> PolicyFactory:
    return lambda site, seed, _world: kind(site, seed)


def _holds(scene: Scene, metrics: FleetMetrics) -> bool:
    bound = scene.bounds[0]
    figure = metrics.measure(bound.measure, bound.place, bound.low, bound.high)
    return figure > bound.value if bound.above else figure < bound.value


def fires(seed: int = 1) -> dict[str, tuple[bool, bool]]:
    """By checker: whether the module's run is let pass, and whether the broken one's is told."""
    found = {}
    for name, (bound, kind) in FLEET.items():
        scene = read_scene(TEXT.format(name=name, bound=bound).encode(), name)
        world, metrics = build_world(scene, seed, policy("module"))
        world.run()
        broken, its = build_world(scene, seed, _made(kind))
        broken.run()
        found[name] = _holds(scene, metrics), not _holds(scene, its)
    scene = read_scene(TEXT.format(name="forgetful", bound="earned above 0").encode(), "forgetful")
    world, metrics = build_world(scene, seed, policy("module"))
    world.run()
    lossy, losing = build_world(scene, seed, policy("module"), Forgetful)
    lossy.run()
    found["forgetful"] = not metrics.unaccounted(), bool(losing.unaccounted())
    return found
