"""The child processes of a scale run: started, told, read, and always ended, each by its own id."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from collections.abc import Callable
from typing import Any, Generic, TypeVar

import msgspec

from hoistplank.lab.backends.parent_death import kill_on_parent_death_preexec
from hoistplank.lab.scale.hollow_messages import (
    AskLogUsage,
    AskUsage,
    Command,
    Doors,
    HollowPlan,
    LogCommand,
    LogReport,
    LogUsage,
    OpenDoors,
    Ready,
    Report,
    Tell,
    Usage,
)

ANSWER_S = 60.0  # at the peak of a catch-up a process answers late
END_S = 5.0
MOST_LINE = 1 << 26
Message = TypeVar("Message")


class ChildLostError(Exception):
    """A child process has ended or answers no more: the run proves nothing."""


class Child(Generic[Message]):
    """One child process that reads and writes a JSON message a line. Messages of the types in `answers` go to
    who asked, all others to `heard`."""

    def __init__(
        self, module: str, arguments: list[str], reports: Any, heard: Callable[[Message], None]
    ) -> None:
        self.module, self.arguments, self.heard = module, arguments, heard
        self.decoder: msgspec.json.Decoder[Message] = msgspec.json.Decoder(reports)
        self.answers: dict[type, asyncio.Future[Any]] = {}
        self.process: asyncio.subprocess.Process | None = None
        self.reading: asyncio.Task[None] | None = None

    async def start(self) -> None:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            self.module,
            *self.arguments,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=MOST_LINE,
            preexec_fn=kill_on_parent_death_preexec(),
            start_new_session=True,  # an interrupt at the terminal is the run's to answer
        )
        self.reading = asyncio.create_task(self._read(), name=self.module)

    async def _read(self) -> None:
        assert self.process is not None and self.process.stdout is not None
        async for line in self.process.stdout:
            message = self.decoder.decode(line)
            waiting = self.answers.pop(type(message), None)
            if waiting is None:
                self.heard(message)
            elif not waiting.done():
                waiting.set_result(message)
        for waiting in self.answers.values():
            if not waiting.done():
                waiting.set_exception(ChildLostError(f"a process of {self.module} has ended"))

    def tell(self, message: msgspec.Struct) -> None:
        assert self.process is not None and self.process.stdin is not None
        if not self.process.stdin.is_closing():
            self.process.stdin.write(msgspec.json.encode(message) + b"\n")

    def expect(self, kind: type) -> asyncio.Future[Any]:
        """The next message of a type. To be called before what causes it is told."""
        if self.reading is None or self.reading.done():
            raise ChildLostError(f"a process of {self.module} has ended")
        waiting = self.answers[kind] = asyncio.get_running_loop().create_future()
        return waiting

    async def answered(self, waiting: asyncio.Future[Any]) -> Any:
        """Raises ChildLostError."""
        try:
            async with asyncio.timeout(ANSWER_S):
                return await waiting
        except TimeoutError:
            raise ChildLostError(f"a process of {self.module} answers no more") from None

    async def ask(self, message: msgspec.Struct, kind: type) -> Any:
        waiting = self.expect(kind)
        self.tell(message)
        return await self.answered(waiting)

    def freeze(self, frozen: bool) -> None:
        """Stops this process by a signal, or lets it go on."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGSTOP if frozen else signal.SIGCONT)

    async def stop(self) -> None:
        """It ends with its standard input; one that does not is killed."""
        process = self.process
        if process is None:
            return
        self.freeze(False)  # Danger: one that stands still never sees the end that it is asked for.
        if process.stdin is not None:
            process.stdin.close()
        try:
            async with asyncio.timeout(END_S):
                await process.wait()
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
        if self.reading is not None:
            self.reading.cancel()
            await asyncio.gather(self.reading, return_exceptions=True)


class HollowChild(Child[Report]):
    """A process of hollow dispatchers."""

    def __init__(self, plan: HollowPlan, heard: Callable[[Report], None]) -> None:
        super().__init__("hoistplank.lab.scale.hollow_process", [], Report, heard)
        self.plan = plan
        self.numbers = [seat.number for seat in plan.seats]
        self.empty_rss_kb = 0

    async def begin(self) -> None:
        """Starts the process; its dispatchers are not started yet. Raises ChildLostError."""
        await self.start()
        ready = await self.ask(self.plan, Ready)
        self.empty_rss_kb = ready.rss_kb

    def command(self, command: Command) -> None:
        self.tell(command)

    async def usage(self) -> Usage:
        found = await self.ask(AskUsage(), Usage)
        assert isinstance(found, Usage)
        return found


class LogChild(Child[LogReport]):
    """The process of the change log."""

    def __init__(self, broken: str = "") -> None:
        super().__init__("hoistplank.lab.scale.run_log", [broken] if broken else [], LogReport, _nothing)

    async def doors(self, names: list[str]) -> dict[str, int]:
        found = await self.ask(OpenDoors(names), Doors)
        assert isinstance(found, Doors)
        return found.ports

    def command(self, command: LogCommand) -> None:
        self.tell(command)

    def events(self, events: list[dict[str, Any]]) -> None:
        self.tell(Tell(events))

    async def usage(self) -> LogUsage:
        found = await self.ask(AskLogUsage(), LogUsage)
        assert isinstance(found, LogUsage)
        return found


def _nothing(message: LogReport) -> None:
    """The log's process says nothing of itself."""
