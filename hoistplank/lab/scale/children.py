"""A child process that is asked a line at a time, and ends with its owner."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from collections.abc import AsyncIterator

import msgspec

from hoistplank.lab.scale.log_process import Usage

ANSWER_S = 120.0
END_S = 5.0


class ChildFailedError(Exception):
    """A child process that ended or did not answer; the text names it."""


class Child:
    """A module run as a process that answers each line with its `Usage`."""

    def __init__(self, module: str, process: asyncio.subprocess.Process) -> None:
        self.module = module
        self.process = process

    async def ask(self, command: str = "usage") -> Usage:
        """Sends a command and waits for the answer. Raises ChildFailedError."""
        assert self.process.stdin is not None
        self.process.stdin.write(command.encode() + b"\n")
        return await self.answer()

    async def answer(self) -> Usage:
        """The next answer. Raises ChildFailedError."""
        assert self.process.stdout is not None
        try:
            async with asyncio.timeout(ANSWER_S):
                told = await self.process.stdout.readline()
        except TimeoutError:
            raise ChildFailedError(f"{self.module} did not answer within {ANSWER_S:g} s") from None
        if not told:
            raise ChildFailedError(f"{self.module} ended")
        try:
            return msgspec.json.decode(told, type=Usage)
        except msgspec.MsgspecError as error:
            raise ChildFailedError(f"{self.module} answered {told[:80]!r}: {error}") from None

    async def end(self) -> None:
        """Ends the process; what doesn't go by itself is killed."""
        assert self.process.stdin is not None
        self.process.stdin.close()
        try:
            async with asyncio.timeout(END_S):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


@contextlib.asynccontextmanager
async def running(module: str, *arguments: str) -> AsyncIterator[tuple[Child, Usage]]:
    """The child and its first answer; it is gone at the end."""
    pipe = asyncio.subprocess.PIPE
    command = (sys.executable, "-m", module, *arguments)
    process = await asyncio.create_subprocess_exec(*command, stdin=pipe, stdout=pipe)
    child = Child(module, process)
    try:
        yield child, await child.answer()
    finally:
        await child.end()
