"""Checks acknowledgements of hollow dispatchers against the truth: what their Routers hold. No I/O."""

from __future__ import annotations

from hoistplank.choice import ALL_OBJECTS, Router
from hoistplank.lab.scale.hollow import Position
from hoistplank.lab.scale.hollow_messages import Expect

STATES = {"ready": "up", "draining": "draining", "gone": "gone"}
Key = tuple[int, int]


class Auditor:
    """Knows every event that the source told, and finds in a Router whether it is in force.

    Danger: an acknowledgement may come before the event itself is known here, over another way; such a one
    waits in `early`.
    """

    def __init__(self) -> None:
        self.expected: dict[Key, Expect] = {}
        self.newest: dict[int, int] = {}  # the last number known here, by epoch
        self.audited = 0

    def expect(self, event: Expect) -> None:
        self.expected[event.epoch, event.number] = event
        self.newest[event.epoch] = max(event.number, self.newest.get(event.epoch, 0))

    def knows(self, position: Position) -> bool:
        return position.number <= self.newest.get(position.epoch, 0)

    def missing(self, router: Router, before: Position, now: Position) -> list[tuple[int, str]]:
        """Of the events after `before` up to `now`, those that are not in force: number and what is wrong.

        Where several events speak of one host, the last one counts.
        """
        first = before.number + 1 if before.epoch == now.epoch else 1
        rows = [self.expected.get((now.epoch, number)) for number in range(first, now.number + 1)]
        events = [row for row in rows if row is not None]
        self.audited += len(events)
        latest = {state.host: event.number for event in events for state in event.hosts}
        wrong: list[tuple[int, str]] = []
        for event in events:
            if event.purged and not self._purge_in_force(router, event):
                wrong.append((event.number, f"purge of {event.purged}"))
            for state in event.hosts:
                if latest[state.host] != event.number:
                    continue
                if self._host_in_force(router, state.host, state.state, state.started_us, state.units):
                    continue
                wrong.append((event.number, f"host {state.host} {state.state}"))
        return wrong

    def _purge_in_force(self, router: Router, event: Expect) -> bool:
        floors = [router.floors.get(key, (0, 0)) for key in (event.purged, ALL_OBJECTS)]
        return max(made for made, _ in floors) >= event.made_us

    def _host_in_force(self, router: Router, host: str, state: str, started_us: int, units: float) -> bool:
        index = router.index.get(host)
        if index is None:
            return state == "gone"
        held = (router.states[index], router.started[index], router.units[index])
        return held == (STATES[state], started_us, units)
