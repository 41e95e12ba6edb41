"""The load balancer in front of the simulated dispatchers, and the migration of clients to another zone."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hoistplank.lab.model.clients import Request
from hoistplank.lab.model.dispatcher import Dispatcher

if TYPE_CHECKING:
    from hoistplank.lab.model.world import World


@dataclass(frozen=True, slots=True)
class ClientMigration:
    """A share of a zone's clients moves to another zone, from `since_us` on, spread over `spread_us`."""

    home: int
    destination: int
    share: float
    since_us: int
    spread_us: int


class LoadBalancer:
    """Spreads the requests of a zone over its dispatchers; detects a crashed one with a delay.

    `migrations` send clients to the dispatchers of another zone, as cached addresses at clients do. `weights`
    are relative to a dispatcher's siblings, for those that differ from 1.
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
        """Send a request to a dispatcher; False if no dispatcher accepts the connection."""
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
        # A dispatcher gets the traffic class's deadline, less the time that earlier tries took.
        deadline = request.asked_at + self.world.settings.classes[request.class_index].deadline_us
        now, paths = self.world.events.now, self.world.paths
        self.world.rules.answers.accepted(dispatcher.number, request.id, deadline)
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
        now, share_before = self.world.events.now, 0.0
        for migration in self.migrations:
            if migration.home != request.zone:
                continue
            # By a draw for each client: the same clients migrate, one after another over the spread.
            if share_before <= session.migration_draw < share_before + migration.share:
                delay_us = (session.migration_draw - share_before) / migration.share * migration.spread_us
                return migration.destination if now >= migration.since_us + delay_us else request.zone
            share_before += migration.share
        return request.zone

    def _weighted_choice(self, dispatchers: list[Dispatcher]) -> Dispatcher:
        weights = [self.weights.get(dispatcher.number, 1.0) for dispatcher in dispatchers]
        draw = self.random.uniform() * sum(weights)
        for dispatcher, weight in zip(dispatchers, weights, strict=True):
            draw -= weight
            if draw < 0:
                return dispatcher
        return dispatchers[-1]

    def abandon(self, request: Request) -> None:
        """Tell the dispatcher of a request that its client has left."""
        self.world.rules.answers.client_left(self.world.events.now, request.id)
        if request.dispatcher >= 0:
            self.world.dispatchers[request.dispatcher].client_left(request)

    def dispatcher_crashed(self, dispatcher: Dispatcher) -> None:
        """Stop sending to a dispatcher once its crash is detected."""

        def on_detected() -> None:
            if not dispatcher.alive and dispatcher in self._healthy_in(dispatcher.zone):
                self._healthy_in(dispatcher.zone).remove(dispatcher)

        self.world.events.schedule(
            self.world.events.now + self.world.settings.crash_detection_us, on_detected
        )

    def dispatcher_restarted(self, dispatcher: Dispatcher) -> None:
        """Send to a dispatcher again."""
        if dispatcher not in self._healthy_in(dispatcher.zone):
            self._healthy_in(dispatcher.zone).append(dispatcher)
