"""Overload of the dispatcher's own core: how late its loop runs, and which requests are shed for it."""

from __future__ import annotations

from hoistplank.decision.events import EventLoopMeasured
from hoistplank.decision.requests import Request
from hoistplank.decision.settings import Degradation, RouterSettings, TrafficClass

# 10 ms of lag are within the margins of every deadline; one standstill is no rule, so 0.1 s is the most.
IGNORED_LAG_US = 10_000
MAX_LAG_US = 100_000
# An event takes 0.2 ms of the core; what lies unread while it lags is not seen otherwise.
EVENT_COST_US = 200
# 250 waiting events are 50 ms of work; classes of a higher weight are kept for as many times more.
MAX_EVENTS_WAITING = 250

# The last attempt is over so much before the client leaves.
ANSWER_MARGIN_US = 100_000
MARGIN_TICKS = 2


class OverloadGuard:
    """Knows how the host program fares, and how late a new request may still be attempted."""

    def __init__(self, settings: RouterSettings) -> None:
        self.tick_us = settings.tick_us
        self.min_weight = min([row.priority_weight for row in settings.traffic_classes] or [0])
        self.degradation = Degradation()
        self.events_waiting = 0
        self.lag_us = 0

    def apply_degradation(self, degradation: Degradation) -> None:
        """Takes over which classes a level of degradation rejects."""
        self.degradation = degradation

    def measure(self, event: EventLoopMeasured) -> None:
        """Takes over how the host program fares."""
        self.lag_us = min(event.lag_us, MAX_LAG_US) if event.lag_us > IGNORED_LAG_US else 0
        self.events_waiting = event.events_waiting + self.lag_us // EVENT_COST_US

    def set_latest_start(self, now_us: int, request: Request) -> None:
        """Sets the last moment for an attempt that can still meet the request's latency objective.

        An unknown size counts as small. Danger: a class whose mean sending time fills its objective would be
        rejected unseen, and never learn better.
        """
        if self._sheds(request.traffic_class) or self._is_degraded(request):
            request.latest_start_us = now_us - 1
            return
        traffic_class = request.traffic_class
        unbounded = traffic_class.objective_stretch >= 1 or traffic_class.uncached
        likely_us = 0.0 if unbounded else request.class_state.sending_time_us
        sending_time_us = request.known_sending_time_us or min(
            likely_us, traffic_class.latency_objective_us / 2
        )
        objective_us = now_us + int(request.objective_us(sending_time_us)) - MARGIN_TICKS * self.tick_us
        # Danger: a loop that lags sees a request late, and carries out its answer late.
        client_deadline_us = request.deadline_us - self.lag_us
        request.latest_start_us = min(objective_us, client_deadline_us - ANSWER_MARGIN_US) - int(
            sending_time_us
        )

    def _sheds(self, traffic_class: TrafficClass) -> bool:
        """Whether a new request of the class is shed, since the core is full.

        Answers a core on which all answers come late. Can harm a lone burst.
        """
        return self.events_waiting * self.min_weight > MAX_EVENTS_WAITING * traffic_class.priority_weight

    def _is_degraded(self, request: Request) -> bool:
        """Whether the level of degradation rejects new requests of the class."""
        degradation, name = self.degradation, request.traffic_class.name
        return name in degradation.reject and (request.part == 0 or name in degradation.every_part)
