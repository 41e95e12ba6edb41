"""The rig's side of the relays: their processes, and the paths by name that scenes set their faults on."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Iterable
from typing import Any

import msgspec

from hoistplank.lab.backends.orphans import with_parent

ANSWER_S = 10.0


class RelayLost(Exception):
    """A relay process has ended, or answers no more: the run proves nothing."""


class Office:
    """One relay process."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.turn = asyncio.Lock()

    def tell(self, **command: Any) -> None:
        """Told, without an answer; in the order of the calls."""
        assert self.process.stdin is not None
        if not self.process.stdin.is_closing():
            self.process.stdin.write(msgspec.json.encode(command) + b"\n")

    async def ask(self, **command: Any) -> dict[str, Any]:
        """Raises RelayLost."""
        assert self.process.stdout is not None
        async with self.turn:
            self.tell(**command)
            try:
                line = await asyncio.wait_for(self.process.stdout.readline(), ANSWER_S)
            except TimeoutError:
                raise RelayLost("a relay process answers no more") from None
        if not line:
            raise RelayLost("a relay process has ended")
        found: dict[str, Any] = msgspec.json.decode(line)
        return found


class Relays:
    """Paths over several relay processes: all that concern one dispatcher go through one of them."""

    def __init__(self) -> None:
        self.offices: list[Office] = []
        self.where: dict[str, Office] = {}  # by the path's name

    async def start(self, many: int, seed: int) -> None:
        for _ in range(many):
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "hoistplank.lab.fleet.relay",
                str(seed),
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                preexec_fn=with_parent(),
                start_new_session=True,  # an interrupt at the terminal is the runner's to answer
            )
            self.offices.append(Office(process))

    async def stream(self, name: str, target: int, shard: int) -> int:
        """Opens a path to a port; returns the port at which the near party finds it. Raises RelayLost."""
        office = self.where[name] = self.offices[shard % len(self.offices)]
        return int((await office.ask(do="stream", paths=[name], target=target))["port"])

    async def datagrams(self, name: str, near: int, far: int, shard: int) -> tuple[int, int]:
        """Opens a datagram path between two ports; returns the far one's stand-in for the near one, and the
        near one's for the far one. Raises RelayLost."""
        office = self.where[name] = self.offices[shard % len(self.offices)]
        ports = (await office.ask(do="datagrams", paths=[name], near=near, target=far))["ports"]
        return int(ports[0]), int(ports[1])

    def tell(self, paths: Iterable[str], do: str, **values: Any) -> None:
        """The same to several paths: one line for each process that has some of them."""
        by: dict[Office, list[str]] = {}
        for name in paths:
            if name in self.where:
                by.setdefault(self.where[name], []).append(name)
        for office, names in by.items():
            office.tell(do=do, paths=names, **values)

    def set_conditions(self, paths: Iterable[str], back: bool, **conditions: Any) -> None:
        """Other conditions for one direction of paths; `back` is from the far party to the near one."""
        self.tell(paths, "set_conditions", back=back, conditions=conditions)

    async def stats(self) -> dict[str, Any]:
        """Over all processes: what was carried, processor time (s), own lateness (us). Raises RelayLost."""
        rows = [await office.ask(do="stats") for office in self.offices]
        return {
            "chunks": sum(row["chunks"] for row in rows),
            "bytes": sum(row["bytes"] for row in rows),
            "cpu_s": sum(row["cpu_s"] for row in rows),
            "late_us": {p: max((row["late_us"][p] for row in rows), default=0) for p in ("50", "99", "100")},
        }

    async def stop(self) -> None:
        """They end with their standard input; one that does not is killed."""
        for office in self.offices:
            if office.process.stdin is not None:
                office.process.stdin.close()
        for office in self.offices:
            try:
                await asyncio.wait_for(office.process.wait(), 2)
            except TimeoutError:
                office.process.kill()
                await office.process.wait()
