"""What every policy of the laboratory is to a simulated dispatcher, and how one is created."""

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
        """Handle an event."""

    def next_action(self, now_us: int) -> Action | None:
        """The next thing to do, or None."""


PolicyFactory = Callable[[RouterSettings, int, World | None], Policy]


class UnknownPolicyError(ValueError):
    """Its text names what was asked for and what there is."""
