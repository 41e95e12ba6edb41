"""Runs a dispatcher whose clock, sockets and disk calls fail as a plan says.

`python -m hoistplank.fakes.faulty_system` takes the place of `python -m hoistplank`.
`HOISTPLANK_FAULTS` names the plan, a JSON file; it is read at the start and again at each SIGUSR1. Only this
process is touched: its Python functions are replaced, the system's clock and files are left alone.
"""

from __future__ import annotations

import errno
import os
import signal
import socket
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

PLAN_VARIABLE = "HOISTPLANK_FAULTS"
COMMAND = ("-m", "hoistplank.fakes.faulty_system")


class FaultPlan(msgspec.Struct):
    """`failures`: by call (`accept`, `socket`, `connect`, `send`, `recv_into`, `write`, `fsync`), the names
    of the errors that its next calls raise, in their order. `clock_step_s`: what the wall clock is ahead.
    `max_io_bytes`: the most that one read or write of a socket takes; 0: no bound."""

    clock_step_s: float = 0.0
    max_io_bytes: int = 0
    failures: dict[str, list[str]] = {}


class FaultySystem:
    """The calls in place of the system's own."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self.plan = FaultPlan()
        self._time, self._time_ns = time.time, time.time_ns

    def read_plan(self) -> None:
        """Takes the plan up as it stands in its file now."""
        self.plan = msgspec.json.decode(self._path.read_bytes(), type=FaultPlan)

    def install(self) -> None:
        """Replaces the calls, and follows SIGUSR1."""
        self.read_plan()
        signal.signal(signal.SIGUSR1, lambda *_: self.read_plan())
        time.time = lambda: self._time() + self.plan.clock_step_s
        time.time_ns = lambda: self._time_ns() + int(self.plan.clock_step_s * 1e9)
        for name in ("accept", "connect", "recv_into", "send"):
            setattr(socket.socket, name, self._failing(name, getattr(socket.socket, name)))
        socket.socket.__init__ = self._failing("socket", socket.socket.__init__)  # type: ignore[method-assign]
        os.write = self._failing("write", os.write)
        os.fsync = self._failing("fsync", os.fsync)

    def _failing(self, name: str, call: Callable[..., Any]) -> Callable[..., Any]:
        def replaced(*words: Any, **named: Any) -> Any:
            # An object for a descriptor that is there, as `accept` makes one, asks the system for nothing.
            wraps_descriptor = name == "socket" and (len(words) > 4 or named.get("fileno") is not None)
            planned = self.plan.failures.get(name)
            if planned and not wraps_descriptor:
                number = getattr(errno, planned.pop(0))
                raise OSError(number, os.strerror(number))
            if self.plan.max_io_bytes and name in ("send", "recv_into"):
                sock, data = words[:2]
                return call(sock, memoryview(data)[: self.plan.max_io_bytes], *words[2:], **named)
            return call(*words, **named)

        return replaced


def main() -> int:
    """Runs the dispatcher; returns its exit code."""
    FaultySystem(Path(os.environ[PLAN_VARIABLE])).install()
    from hoistplank.__main__ import main as run_dispatcher

    return run_dispatcher()


if __name__ == "__main__":
    sys.exit(main())
