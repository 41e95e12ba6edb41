"""Checks acknowledgements of hollow dispatchers against the truth: what their Routers hold. No I/O."""

from __future__ import annotations

from hoistplank.decision.purges import ALL_OBJECTS, NO_WATERMARK
from hoistplank.decision.router import Router
from hoistplank.lab.scale.hollow import Position
from hoistplank.lab.scale.hollow_messages import Expect, HostState

STATES = {"ready": "up", "draining": "draining"}


class Auditor:
    """Knows every event that the source told, and finds in a Router whether it is in force.

    Danger: an acknowledgement may come before the event itself is known here, over another way; such a one
    waits in `early`.
    """

    def __init__(self) -> None:
        self.events: dict[int, list[Expect]] = {}  # by epoch; each at the place of its number
        self.audited = 0

    def expect(self, event: Expect) -> None:
        """Events are told here in their order. Those before the first one known are never asked for."""
        known = self.events.setdefault(event.epoch, [])
        known += [Expect(event.epoch, number) for number in range(len(known), event.number)]
        known.append(event)

    def knows(self, position: Position) -> bool:
        return position.number < len(self.events.get(position.epoch, ()))

    def missing(
        self, router: Router, configured: Position, before: Position, now: Position
    ) -> list[tuple[int, str]]:
        """Of the events after `before` up to `now`, those that are not in force: number and what is wrong.
        `configured`: the configuration that was taken up last.

        Where several events speak of one host, the last one counts. Danger: this runs for each event at each
        dispatcher of the process: what it costs, it takes from them.
        """
        first = before.number + 1 if before.epoch == now.epoch else 1
        events = self.events[now.epoch][first : now.number + 1]
        self.audited += len(events)
        wrong: list[tuple[int, str]] = []
        latest: dict[str, tuple[int, HostState]] = {}
        watermarks = router.parts.purges.by_key
        for event in events:
            if event.purged:
                if watermarks.get(event.purged, NO_WATERMARK).purged_us < event.made_us:
                    wrong += self._under_all(router, event)
                continue
            if event.configures and configured < Position(event.epoch, event.number):
                wrong.append((event.number, f"configuration, {configured} is in force"))
            for state in event.hosts:
                latest[state.host] = event.number, state
        for number, state in latest.values():
            held = _held(router, state.host)
            if held != _wanted(state) and not self._is_ahead(now, state.host, held):
                wrong.append((number, f"{held} of {state}"))
        return wrong

    def _is_ahead(self, now: Position, host: str, held: Held) -> bool:
        """Whether a Router holds what a later event says of a host.

        Danger: parts of a catch-up are applied before its end moves the position, and a Router that is ahead
        of what its dispatcher says would count as one that lacks something.
        """
        later = self.events[now.epoch][now.number + 1 :]
        return any(state.host == host and _wanted(state) == held for event in later for state in event.hosts)

    def _under_all(self, router: Router, event: Expect) -> list[tuple[int, str]]:
        """A purge without a floor of its own: it may be under the one that all objects have."""
        if router.parts.purges.by_key.get(ALL_OBJECTS, NO_WATERMARK).purged_us >= event.made_us:
            return []
        return [(event.number, f"purge of {event.purged}")]


Held = tuple[str, int, float] | None


def _held(router: Router, host: str) -> Held:
    """A host's state, start and capacity as a Router has them; None where it knows none of this name."""
    held = router.parts.hosts.by_name.get(host)
    return None if held is None else (held.state, held.started_us, held.units)


def _wanted(state: HostState) -> Held:
    return None if state.state == "gone" else (STATES[state.state], state.started_us, state.units)
