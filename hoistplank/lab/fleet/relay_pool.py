"""The rig's side of the relays: their processes, and the paths by name that scenes set their faults on."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Iterable
from typing import TypeVar

import msgspec

from hoistplank.lab.backends.parent_death import kill_on_parent_death_preexec
from hoistplank.lab.fleet.relay_messages import (
    ApplyAction,
    ConditionValue,
    DatagramPathOpened,
    OpenDatagramPath,
    OpenStreamPath,
    PathAction,
    ReadStatistics,
    RelayCommand,
    RelayStatistics,
    Retarget,
    SetConditions,
    StreamPathOpened,
)

ANSWER_TIMEOUT_S = 10.0
STOP_TIMEOUT_S = 2.0

Answer = TypeVar("Answer", StreamPathOpened, DatagramPathOpened, RelayStatistics)


class RelayError(Exception):
    """A relay process has ended, or answers no more: the run proves nothing."""


class RelayClient:
    """One relay process, and the pipe of commands to it."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self._answer_lock = asyncio.Lock()

    def send(self, command: RelayCommand) -> None:
        """Send a command that has no answer; commands are carried out in the order of the calls."""
        assert self.process.stdin is not None
        if not self.process.stdin.is_closing():
            self.process.stdin.write(msgspec.json.encode(command) + b"\n")

    async def request(self, command: RelayCommand, answer_type: type[Answer]) -> Answer:
        """Send a command and return its answer. Raises RelayError."""
        assert self.process.stdout is not None
        async with self._answer_lock:
            self.send(command)
            try:
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    line = await self.process.stdout.readline()
            except TimeoutError as error:
                raise RelayError("a relay process answers no more") from error
        if not line:
            raise RelayError("a relay process has ended")
        return msgspec.json.decode(line, type=answer_type)

    async def statistics(self) -> RelayStatistics:
        """The counters of the process. Raises RelayError."""
        return await self.request(ReadStatistics(), RelayStatistics)

    async def wait_stopped(self) -> None:
        """Await the end of a process whose standard input was closed; kill it if it takes too long."""
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


class RelayPool:
    """Paths over several relay processes: all that concern one dispatcher go through one of them."""

    def __init__(self) -> None:
        self.relays: list[RelayClient] = []
        self._relay_by_path: dict[str, RelayClient] = {}

    def __contains__(self, path: str) -> bool:
        """Whether a path of that name is open."""
        return path in self._relay_by_path

    async def start(self, count: int, seed: int) -> None:
        """Start `count` processes; each direction's random numbers come from the seed and the path's name."""
        for _ in range(count):
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "hoistplank.lab.fleet.relay",
                str(seed),
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                preexec_fn=kill_on_parent_death_preexec(),
                start_new_session=True,  # an interrupt at the terminal is the runner's to answer
            )
            self.relays.append(RelayClient(process))

    def _assign(self, path: str, shard: int) -> RelayClient:
        relay = self._relay_by_path[path] = self.relays[shard % len(self.relays)]
        return relay

    async def open_stream_path(self, name: str, target: int, shard: int) -> int:
        """Open a path to a port; return the port at which the near party reaches it. Raises RelayError."""
        relay = self._assign(name, shard)
        return (await relay.request(OpenStreamPath(name, target), StreamPathOpened)).port

    async def open_datagram_path(self, name: str, near: int, far: int, shard: int) -> tuple[int, int]:
        """Open a datagram path between two ports. Raises RelayError.

        Returns the port that stands for the far party, then the one that stands for the near party.
        """
        relay = self._assign(name, shard)
        opened = await relay.request(OpenDatagramPath(name, near, far), DatagramPathOpened)
        return opened.far_port, opened.near_port

    def _by_relay(self, paths: Iterable[str]) -> dict[RelayClient, list[str]]:
        grouped: dict[RelayClient, list[str]] = {}
        for name in paths:
            if name in self._relay_by_path:
                grouped.setdefault(self._relay_by_path[name], []).append(name)
        return grouped

    def retarget(self, name: str, target: int) -> None:
        """Have new connections of a stream path go to another port."""
        self._relay_by_path[name].send(Retarget(name, target))

    def apply(self, paths: Iterable[str], action: PathAction) -> None:
        """Apply an action to stream paths; names that are not open are left out."""
        for relay, names in self._by_relay(paths).items():
            relay.send(ApplyAction(names, action))

    def set_conditions(self, paths: Iterable[str], backward: bool, **conditions: ConditionValue) -> None:
        """Change the conditions of one direction of paths; `backward` is from the far party to the near."""
        for relay, names in self._by_relay(paths).items():
            relay.send(SetConditions(names, backward, conditions))

    async def statistics(self) -> RelayStatistics:
        """Sums over all processes, and the greatest lateness of any at each percentile. Raises RelayError."""
        rows = [await relay.statistics() for relay in self.relays]
        percentiles = rows[0].late_us if rows else {}
        return RelayStatistics(
            chunks=sum(row.chunks for row in rows),
            bytes=sum(row.bytes for row in rows),
            cpu_s=sum(row.cpu_s for row in rows),
            late_us={p: max(row.late_us[p] for row in rows) for p in percentiles},
            connections=sum(row.connections for row in rows),
        )

    async def stop(self) -> None:
        """End all processes by closing their standard input."""
        for relay in self.relays:
            if relay.process.stdin is not None:
                relay.process.stdin.close()
        for relay in self.relays:
            await relay.wait_stopped()
