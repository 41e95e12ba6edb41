"""Overload protection of the dispatcher's own core: load shedding by queue length and event loop lag."""

from __future__ import annotations

from hoistplank.decision.events import EventLoopMeasured
from hoistplank.decision.requests import Request
from hoistplank.decision.settings import Degradation, RouterSettings, TrafficClass

# 10 ms of lag are within the margins of every deadline; a single long pause counts as 0.1 s at most.
IGNORED_LAG_US = 10_000
MAX_LAG_US = 100_000
# An event takes 0.2 ms of the core. Lag is converted to events at this rate, since events that are still
# unread while the loop lags are not counted otherwise.
EVENT_COST_US = 200
# 250 waiting events are 50 ms of work; the limit of a class grows in proportion to its priority weight.
MAX_EVENTS_WAITING = 250

# The time between the end of the last attempt and the client's deadline.
ANSWER_MARGIN_US = 100_000
MARGIN_TICKS = 2


class OverloadGuard:
    """Tracks the load of the event loop, and sets the latest start of each new request."""

    def __init__(self, settings: RouterSettings) -> None:
        self.tick_us = settings.tick_us
        self.min_weight = min([row.priority_weight for row in settings.traffic_classes] or [0])
        self.degradation = Degradation()
        self.events_waiting = 0
        self.lag_us = 0

    def apply_degradation(self, degradation: Degradation) -> None:
        """Sets the classes that a degradation level rejects."""
        self.degradation = degradation

    def measure(self, event: EventLoopMeasured) -> None:
        """Records a measurement of the event loop."""
        self.lag_us = min(event.lag_us, MAX_LAG_US) if event.lag_us > IGNORED_LAG_US else 0
        self.events_waiting = event.events_waiting + self.lag_us // EVENT_COST_US

    def set_latest_start(self, now_us: int, request: Request) -> None:
        """Sets the latest time at which an attempt can start and still meet the latency objective.

        An unknown size counts as small. Otherwise a class whose mean sending time uses up its objective would
        be rejected without any attempt, and its mean would never be updated.
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
        # A loop that lags reads a request late and sends its answer late: without the lag, answers would miss
        # the client's deadline.
        client_deadline_us = request.deadline_us - self.lag_us
        request.latest_start_us = min(objective_us, client_deadline_us - ANSWER_MARGIN_US) - int(
            sending_time_us
        )

    def _sheds(self, traffic_class: TrafficClass) -> bool:
        """Returns True if a new request of the class is shed, since the core is overloaded.

        Prevents an overload in which all answers are late. The cost: requests of a single short burst are
        shed, too.
        """
        return self.events_waiting * self.min_weight > MAX_EVENTS_WAITING * traffic_class.priority_weight

    def _is_degraded(self, request: Request) -> bool:
        """Returns True if the degradation level rejects this request."""
        degradation, name = self.degradation, request.traffic_class.name
        return name in degradation.reject and (request.part == 0 or name in degradation.every_part)
