"""The simulated origin: it holds everything, slows down when crowded and falls over when overloaded."""

from __future__ import annotations

from collections import deque

from hoistplank.decision.events import CacheStatus, Outcome
from hoistplank.lab.model.server_request import ServerRequest
from hoistplank.lab.model.servers import Server, ServerEnvironment
from hoistplank.lab.model.world_settings import ORIGIN


class Origin(Server):
    """Holds everything; slows when crowded and stops when pushed over. Effects run here and nowhere else."""

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
        came = self.arrivals
        came.append(now)
        while came[0] <= now - settings.origin_overload_window_us:
            came.popleft()
        can = len(self.core_free_at) / settings.origin_us * settings.origin_overload_window_us
        if len(came) <= settings.origin_overload_multiple * can or self.crashes >= 2:
            return False
        self.crashes += 1
        came.clear()
        self._complete(request, Outcome.CONNECTION_LOST, 0, -1)
        self.world.server_overloaded(self)
        return True

    def process(self, request: ServerRequest) -> None:
        """Answer; a request that is never cached has its effect here."""
        row = self.settings.classes[request.class_index]
        if row.uncached:
            self.world.rules.effects.run(self.events.now, request.idempotency_key, row.window_us)
        self.respond(request, request.size_us, CacheStatus.FROM_ORIGIN, self.events.now)
