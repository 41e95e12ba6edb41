"""The interface between a policy and a simulated dispatcher, and the factory that creates a policy."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from hoistplank.decision.actions import Action
from hoistplank.decision.events import Event
from hoistplank.decision.settings import RouterSettings
from hoistplank.lab.model.world import World


class Policy(Protocol):
    """The decision logic of a dispatcher: events in, actions out."""

    def handle(self, now_us: int, event: Event) -> None:
        """Handles an event."""

    def next_action(self, now_us: int) -> Action | None:
        """Returns the next action, or None."""


PolicyFactory = Callable[[RouterSettings, int, World | None], Policy]


class UnknownPolicyError(ValueError):
    """The requested policy is not known or can't run here; the message names it and what is available."""
