"""What the program knows of its optional parts, which the operator's file asks for."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Sequence
from typing import Any, Protocol

from hoistplank.routing.request_intake import Authorizer


class Extension(Protocol):
    """One optional part of a dispatcher."""

    def attach(self, host: Any, /) -> list[tuple[str, Coroutine[Any, Any, None]]]:
        """Its tasks by name, to be run beside the program's own; `host` is the `Service`."""

    def close(self) -> None:
        """The program ends: files and sockets are given back."""


class Extensions(Protocol):
    """All of them, and the file that asks for them."""

    form: str  # of the log

    @property
    def authorizer(self) -> Authorizer | None:
        """The one that decides whose requests are accepted."""

    @property
    def each(self) -> Sequence[Extension]:
        """In the order in which they are attached."""

    def read_again(self) -> Callable[[], None]:
        """At a reload: reads and checks all anew; the call returned puts it in force. Raises
        DispatcherConfigurationError."""
