"""The events that wait for the router task's next turn."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

from hoistplank.routing.events import Event, RequestArrived

FIRST_IN_ORDER = -1e18  # before any request, by `_urgency`


class EventQueue:
    """In the order in which they came; by urgency while the loop is late."""

    def __init__(self, priority_weights: Mapping[str, float]) -> None:
        self._priority_weights = priority_weights
        self._events: deque[Event] = deque()

    def __len__(self) -> int:
        return len(self._events)

    def append(self, event: Event) -> None:
        """Adds one at the end."""
        self._events.append(event)

    def take(self, *, is_late: bool) -> list[Event]:
        """All that wait. Late: what ends attempts first, then new requests, those of the largest weight
        first, so that answers are not left lying while cheap requests are taken."""
        events, self._events = self._events, deque()
        return sorted(events, key=self._urgency) if is_late else list(events)

    def _urgency(self, event: Event) -> float:
        if isinstance(event, RequestArrived):
            return -self._priority_weights[event.request.class_name]
        return FIRST_IN_ORDER
