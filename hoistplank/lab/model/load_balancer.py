"""The load balancer in front of the simulated dispatchers, and clients that move to another location."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hoistplank.lab.model.clients import Request
from hoistplank.lab.model.dispatcher import Dispatcher

if TYPE_CHECKING:
    from hoistplank.lab.model.world import World


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
        """Send a request to a dispatcher; False if nobody accepts the connection."""
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
        self.world.rules.answers.accepted(dispatcher.number, request.id, until)
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
        """The client of a request has left."""
        self.world.rules.answers.client_left(self.world.events.now, request.id)
        if request.dispatcher >= 0:
            self.world.dispatchers[request.dispatcher].client_left(request)

    def dispatcher_crashed(self, dispatcher: Dispatcher) -> None:
        """Send nothing more to a dispatcher, once its end is detected."""

        def noticed() -> None:
            if not dispatcher.alive and dispatcher in self._healthy_in(dispatcher.zone):
                self._healthy_in(dispatcher.zone).remove(dispatcher)

        self.world.events.schedule(self.world.events.now + self.world.settings.crash_detection_us, noticed)

    def dispatcher_restarted(self, dispatcher: Dispatcher) -> None:
        """Send to a dispatcher again."""
        if dispatcher not in self._healthy_in(dispatcher.zone):
            self._healthy_in(dispatcher.zone).append(dispatcher)
