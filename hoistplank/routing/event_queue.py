"""Queue of the events for the router task's next turn."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

from hoistplank.routing.events import Event, RequestArrived

BEFORE_ALL_REQUESTS = -1e18  # sort key below that of any request


class EventQueue:
    """A queue in order of arrival that is sorted by urgency while the event loop is late."""

    def __init__(self, priority_weights: Mapping[str, float]) -> None:
        self._priority_weights = priority_weights
        self._events: deque[Event] = deque()

    def __len__(self) -> int:
        return len(self._events)

    def append(self, event: Event) -> None:
        """Adds an event at the end."""
        self._events.append(event)

    def take(self, *, is_late: bool) -> list[Event]:
        """Removes and returns all queued events.

        If the loop is late, all other events come before new requests, and requests are sorted by descending
        priority weight, so that answers don't wait while requests of low weight are processed.
        """
        events, self._events = self._events, deque()
        return sorted(events, key=self._urgency) if is_late else list(events)

    def _urgency(self, event: Event) -> float:
        if isinstance(event, RequestArrived):
            return -self._priority_weights[event.request.class_name]
        return BEFORE_ALL_REQUESTS
