"""Interfaces through which the simulated world uses a dispatcher and the network paths to it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from hoistplank.decision.events import Endpoint
from hoistplank.lab.model.clients import Request


class Dispatcher(Protocol):
    """A dispatcher as the world sees it."""

    number: int
    zone: int
    alive: bool

    def update_hosts(self, form: str, entries: list[Endpoint]) -> None:
        """Receive hosts from the change log; `form` is kept, whole, changes or failed."""

    def purge(self, object_key: str, group: int, made: int) -> None:
        """Receive a purge of an object or a group, made at the time `made` (us)."""

    def accept(self, request: Request) -> None:
        """Accept a connection with a try of a request."""

    def client_left(self, request: Request) -> None:
        """Handle the departure of a request's client."""

    def kill(self) -> None:
        """End the process at once."""

    def restart(self) -> None:
        """Start a new process under the same name."""

    def step_clock(self, step_us: int) -> None:
        """Step the wall clock; the monotonic clock is unaffected."""

    def freeze(self, length_us: int) -> None:
        """Suspend the process for `length_us`, then resume it."""


class PathModel(Protocol):
    """The network paths between parties in virtual time; on sockets, relays take this role."""

    def send(self, name: str, back: bool, at: int, call: Callable[..., None], *args: Any) -> None:
        """Run `call(*args)` once a message sent at the time `at` has arrived."""
