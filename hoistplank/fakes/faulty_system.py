"""Runs a dispatcher with planned faults of its clock, sockets and disk calls.

Run `python -m hoistplank.fakes.faulty_system` instead of `python -m hoistplank`.
`HOISTPLANK_FAULTS` names the plan, a JSON file; it is read at the start and again at each SIGUSR1. Only this
process is affected: its Python functions are replaced, the system's clock and files are not changed.
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
    """The faults to inject.

    `failures`: by call (`accept`, `socket`, `connect`, `send`, `recv_into`, `write`, `fsync`), the names of
    the errors that its next calls raise, in order. `clock_step_s`: added to the wall clock. `max_io_bytes`:
    limit of one read or write of a socket; 0: no limit.
    """

    clock_step_s: float = 0.0
    max_io_bytes: int = 0
    failures: dict[str, list[str]] = {}

    def write(self, path: Path) -> None:
        """Writes the plan to its file, as a whole: a process may read the file at any moment."""
        written = path.with_name(path.name + ".new")
        written.write_bytes(msgspec.json.encode(self))
        written.replace(path)


class FaultySystem:
    """Replacements of system calls, which fail as planned."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self.plan = FaultPlan()
        self._time, self._time_ns = time.time, time.time_ns

    def read_plan(self) -> None:
        """Reads the plan from its file."""
        self.plan = msgspec.json.decode(self._path.read_bytes(), type=FaultPlan)

    def install(self) -> None:
        """Replaces the calls, and reads the plan again at each SIGUSR1."""
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
        def replaced(*arguments: Any, **keywords: Any) -> Any:
            # A socket object for an existing descriptor, as `accept` makes one, needs no system call.
            wraps_descriptor = name == "socket" and (len(arguments) > 4 or keywords.get("fileno") is not None)
            planned = self.plan.failures.get(name)
            if planned and not wraps_descriptor:
                number = getattr(errno, planned.pop(0))
                raise OSError(number, os.strerror(number))
            if self.plan.max_io_bytes and name in ("send", "recv_into"):
                sock, data = arguments[:2]
                return call(sock, memoryview(data)[: self.plan.max_io_bytes], *arguments[2:], **keywords)
            return call(*arguments, **keywords)

        return replaced


def main() -> int:
    """Runs the dispatcher; returns its exit code."""
    FaultySystem(Path(os.environ[PLAN_VARIABLE])).install()
    from hoistplank.__main__ import main as run_dispatcher

    try:
        return run_dispatcher()
    finally:
        # At its end the interpreter restores the default of handled signals, which would end the process.
        signal.signal(signal.SIGUSR1, signal.SIG_IGN)


if __name__ == "__main__":
    sys.exit(main())
