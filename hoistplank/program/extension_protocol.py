"""The interfaces between the program and the optional subsystems that the operator file enables."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Sequence
from typing import Any, Protocol

from hoistplank.routing.request_intake import Authorizer


class Extension(Protocol):
    """One optional subsystem of a dispatcher."""

    def attach(self, service: Any, /) -> list[tuple[str, Coroutine[Any, Any, None]]]:
        """Connects the subsystem to the `Service`; returns the coroutines, each with its task name, that the
        program runs beside its own tasks."""

    def close(self) -> None:
        """Closes files and sockets when the program ends."""


class Extensions(Protocol):
    """The enabled subsystems and the operator file that enables them."""

    log_format: str  # "lines" or "json"

    @property
    def authorizer(self) -> Authorizer | None:
        """The subsystem that decides which clients' requests are accepted; None accepts all."""

    @property
    def enabled(self) -> Sequence[Extension]:
        """The enabled subsystems, in the order in which they are attached."""

    def prepare_reload(self) -> Callable[[], None]:
        """Reads and checks the operator file and the files it names; the function returned applies them.
        Raises DispatcherConfigurationError."""
