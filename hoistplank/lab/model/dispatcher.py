"""What the simulated world asks of a dispatcher and of the paths to it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from hoistplank.decision.events import Endpoint
from hoistplank.lab.model.clients import Request


class Dispatcher(Protocol):
    """A dispatcher as the world knows it."""

    number: int
    zone: int
    alive: bool

    def update_hosts(self, form: str, entries: list[Endpoint]) -> None:
        """The change log reaches it: kept, whole, changes or failed."""

    def purge(self, object_key: str, group: int, made: int) -> None:
        """So does a purge that was made at a time."""

    def accept(self, request: Request) -> None:
        """A try of a request, over a connection that it accepts."""

    def client_left(self, request: Request) -> None:
        """Its client has left."""

    def kill(self) -> None:
        """Its process ends at once."""

    def restart(self) -> None:
        """A new process starts under the same name."""

    def step_clock(self, step_us: int) -> None:
        """Its wall clock jumps; what it measures by its steady one goes on."""

    def freeze(self, length_us: int) -> None:
        """Its process stands still for so long, and goes on as if nothing were."""


class PathModel(Protocol):
    """The paths between parties, in virtual time; on sockets the relays stand there themselves."""

    def send(self, name: str, back: bool, at: int, call: Callable[..., None], *args: Any) -> None:
        """`call(*args)` once something that is sent at a time has come through."""
