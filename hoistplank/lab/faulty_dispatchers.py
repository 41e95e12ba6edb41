"""Dispatchers that each break one rule, to show that the checker fires. No experiment can select them."""

from __future__ import annotations

import msgspec

from hoistplank.decision.actions import Action, Reject, SendAttempt
from hoistplank.decision.events import Endpoint, EndpointState, EndpointsUpdated, Event, PurgeReceived
from hoistplank.decision.router import Router
from hoistplank.decision.settings import RouterSettings
from hoistplank.lab.baselines import PlainRequest, RendezvousHash


class DropsRequests(RendezvousHash):
    """Breaks rule one: drops one attempt in forty and never answers its request."""

    def next_action(self, now_us: int) -> Action | None:
        """Returns the next action that is not dropped."""
        action = super().next_action(now_us)
        while isinstance(action, SendAttempt) and self.rng.random() < 0.025:
            self.requests.pop(action.request_id, None)
            action = super().next_action(now_us)
        return action


class RejectsTwice(RendezvousHash):
    """Breaks rule one: rejects each rejected request a second time."""

    def __init__(self, settings: RouterSettings, seed: int) -> None:
        super().__init__(settings, seed)
        self.repeated: Reject | None = None

    def next_action(self, now_us: int) -> Action | None:
        """Returns the next action; a rejection is returned twice."""
        if self.repeated is not None:
            repeated, self.repeated = self.repeated, None
            return repeated
        action = super().next_action(now_us)
        if isinstance(action, Reject):
            self.repeated = action
        return action


class RetriesUnsafely(RendezvousHash):
    """Breaks rule two: retries requests that may have run, regardless of their traffic class."""

    def may_retry(self, request: PlainRequest) -> bool:  # noqa: ARG002 (overrides)
        """Returns True."""
        return True


def with_every_host_up(event: EndpointsUpdated) -> EndpointsUpdated:
    """Returns the same list with the state of every host set to up."""
    up: list[Endpoint] = [
        msgspec.structs.replace(endpoint, state=EndpointState.UP) for endpoint in event.endpoints
    ]
    return EndpointsUpdated(event.form, up)


class IgnoresDrains(Router):
    """Breaks rule three: treats draining and gone hosts as up."""

    def handle(self, now_us: int, event: Event) -> None:
        """Handles an event, with every listed host set to up."""
        super().handle(now_us, with_every_host_up(event) if isinstance(event, EndpointsUpdated) else event)


class PrefersNewest(RendezvousHash):
    """Breaks rule four: sends everything to the host that started last."""

    def choose(self, object_key: str, part: int, hosts: list[str]) -> str:  # noqa: ARG002 (overrides)
        """Returns the host that started last."""
        return max(hosts, key=lambda host: self.hosts[host].started_us)


class IgnoresPurges(Router):
    """Breaks rule five: ignores purges."""

    def handle(self, now_us: int, event: Event) -> None:
        """Handles all events but purges."""
        if not isinstance(event, PurgeReceived):
            super().handle(now_us, event)


# The number of the broken rule and the dispatcher, by name.
BROKEN = {
    "forgets": (1, DropsRequests),
    "says-twice": (1, RejectsTwice),
    "runs-again": (2, RetriesUnsafely),
    "sees-no-drain": (3, IgnoresDrains),
    "loves-new": (4, PrefersNewest),
    "hears-no-purge": (5, IgnoresPurges),
}
