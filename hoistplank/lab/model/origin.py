"""The simulated origin: holds all objects, slows down as its queue grows and crashes when overloaded."""

from __future__ import annotations

from collections import deque

from hoistplank.decision.events import CacheStatus, Outcome
from hoistplank.lab.model.server_request import ServerRequest
from hoistplank.lab.model.servers import Server, ServerEnvironment
from hoistplank.lab.model.world_settings import ORIGIN


class Origin(Server):
    """Holds all objects; slows down as its queue grows and crashes on overload. Effects run only here."""

    kind = ORIGIN

    def __init__(self, world: ServerEnvironment, uid: str, zone: str, capacity: float, workers: int) -> None:
        super().__init__(world, uid, zone, 0, capacity, workers)
        self.arrivals: deque[int] = deque()
        self.crashes = 0

    def _work_us(self) -> float:
        settings = self.settings
        queued = max(0, self.core_free_at[0] - self.events.now)
        return settings.origin_us * (
            1 + settings.origin_slowdown * min(1.0, queued / max(1, settings.origin_queue_us))
        )

    def _overloads(self, request: ServerRequest) -> bool:
        settings, now = self.settings, self.events.now
        arrivals = self.arrivals
        arrivals.append(now)
        while arrivals[0] <= now - settings.origin_overload_window_us:
            arrivals.popleft()
        capacity = len(self.core_free_at) / settings.origin_us * settings.origin_overload_window_us
        if len(arrivals) <= settings.origin_overload_multiple * capacity or self.crashes >= 2:
            return False
        self.crashes += 1
        arrivals.clear()
        self._complete(request, Outcome.CONNECTION_LOST, 0, -1)
        self.world.server_overloaded(self)
        return True

    def process(self, request: ServerRequest) -> None:
        """Respond; a request of an uncached class takes effect here."""
        traffic_class = self.settings.classes[request.class_index]
        if traffic_class.uncached:
            self.world.rules.effects.run(self.events.now, request.idempotency_key, traffic_class.window_us)
        self.respond(request, request.size_us, CacheStatus.FROM_ORIGIN, self.events.now)
