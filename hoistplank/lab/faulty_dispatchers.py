"""Dispatchers that each break one rule, to show that its checker fires: they are never anybody's policy."""

from __future__ import annotations

import msgspec

from hoistplank.decision.actions import Action, Reject, SendAttempt
from hoistplank.decision.events import Endpoint, EndpointState, EndpointsUpdated, Event, PurgeReceived
from hoistplank.decision.router import Router
from hoistplank.decision.settings import RouterSettings
from hoistplank.lab.baselines import PlainRequest, RendezvousHash


class Forgets(RendezvousHash):
    """Rule one: one request in forty is never answered."""

    def next_action(self, now_us: int) -> Action | None:
        """The next action, but for the forgotten ones."""
        action = super().next_action(now_us)
        while isinstance(action, SendAttempt) and self.chance.random() < 0.025:
            self.requests.pop(action.request_id, None)
            action = super().next_action(now_us)
        return action


class SaysTwice(RendezvousHash):
    """Rule one: each request that is rejected is rejected again."""

    def __init__(self, site: RouterSettings, seed: int) -> None:
        super().__init__(site, seed)
        self.again: Reject | None = None

    def next_action(self, now_us: int) -> Action | None:
        """The next action; after a rejection the same once more."""
        if self.again is not None:
            again, self.again = self.again, None
            return again
        action = super().next_action(now_us)
        if isinstance(action, Reject):
            self.again = action
        return action


class RunsAgain(RendezvousHash):
    """Rule two: what may have run is sent again, whatever its traffic class says."""

    def may_repeat(self, request: PlainRequest) -> bool:  # noqa: ARG002 (overrides)
        """Always."""
        return True


def all_up(event: EndpointsUpdated) -> EndpointsUpdated:
    """The same list with every host up."""
    up: list[Endpoint] = [
        msgspec.structs.replace(endpoint, state=EndpointState.UP) for endpoint in event.endpoints
    ]
    return EndpointsUpdated(event.form, up)


class SeesNoDrain(Router):
    """Rule three: a host that drains, or is gone, counts as up."""

    def handle(self, now_us: int, event: Event) -> None:
        """Takes every listed host for up."""
        super().handle(now_us, all_up(event) if isinstance(event, EndpointsUpdated) else event)


class LovesNew(RendezvousHash):
    """Rule four: whatever started last gets everything."""

    def choose(self, object_key: str, part: int, hosts: list[str]) -> str:  # noqa: ARG002 (overrides)
        """The host that started last."""
        return max(hosts, key=lambda host: self.hosts[host].started_us)


class HearsNoPurge(Router):
    """Rule five: purges count for nothing."""

    def handle(self, now_us: int, event: Event) -> None:
        """Passes over purges."""
        if not isinstance(event, PurgeReceived):
            super().handle(now_us, event)


BROKEN = {
    "forgets": (1, Forgets),
    "says-twice": (1, SaysTwice),
    "runs-again": (2, RunsAgain),
    "sees-no-drain": (3, SeesNoDrain),
    "loves-new": (4, LovesNew),
    "hears-no-purge": (5, HearsNoPurge),
}
