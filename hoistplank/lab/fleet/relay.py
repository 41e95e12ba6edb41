"""A relay process: `python -m hoistplank.lab.fleet.relay SEED`, driven by commands on standard input.

Each path between two parties has a name. Of streams, the near party connects to the path's port and the relay
connects to the far one; of datagrams both parties have a port of the relay for each other. The process ends
with its standard input, so that nothing is left when the rig is gone.
"""

from __future__ import annotations

import asyncio
import os
import sys
import time

import msgspec
import uvloop

from hoistplank.lab.fleet.relay_counters import RelayCounters
from hoistplank.lab.fleet.relay_messages import (
    ApplyAction,
    DatagramPathOpened,
    OpenDatagramPath,
    OpenStreamPath,
    ReadStatistics,
    RelayAnswer,
    RelayCommand,
    RelayStatistics,
    Retarget,
    SetConditions,
    StreamPathOpened,
)
from hoistplank.lab.fleet.relayed_paths import DatagramPath, StreamPath, TaskOwner

TICK_S = 0.02  # how often the event loop's own lateness is sampled
MAX_LINE = 1 << 22  # bytes of a command
STDOUT = 1


class RelayProcess:
    """All paths of this process, and the commands that act on them."""

    def __init__(self, seed: int, tasks: TaskOwner) -> None:
        self.seed = seed
        self.tasks = tasks
        self.counters = RelayCounters()
        self.stream_paths: dict[str, StreamPath] = {}
        self.datagram_paths: dict[str, DatagramPath] = {}

    async def execute(self, command: RelayCommand) -> RelayAnswer | None:
        """Carry one command out; return its answer, or None for a command that has none."""
        match command:
            case OpenStreamPath():
                return await self._open_stream_path(command)
            case OpenDatagramPath():
                return await self._open_datagram_path(command)
            case ReadStatistics():
                return self._statistics()
            case Retarget():
                self.stream_paths[command.name].target = command.target
            case ApplyAction():
                for path in self._streams(command.paths):
                    await path.apply(command.action)
            case SetConditions():
                self._set_conditions(command)
        return None

    def _streams(self, names: list[str]) -> list[StreamPath]:
        return [self.stream_paths[name] for name in names if name in self.stream_paths]

    async def _open_stream_path(self, command: OpenStreamPath) -> StreamPathOpened:
        path = StreamPath(command.name, command.target, self.seed, self.counters, self.tasks)
        self.stream_paths[path.name] = path
        return StreamPathOpened(await path.open())

    async def _open_datagram_path(self, command: OpenDatagramPath) -> DatagramPathOpened:
        path = DatagramPath(command.name, command.near, command.far, self.seed, self.counters)
        self.datagram_paths[path.name] = path
        near_endpoint_port, far_endpoint_port = await path.open()
        return DatagramPathOpened(far_port=near_endpoint_port, near_port=far_endpoint_port)

    def _set_conditions(self, command: SetConditions) -> None:
        for path in self._streams(command.paths):
            path.set_conditions(command.conditions, backward=command.backward)
        for name in command.paths:
            if name in self.datagram_paths:
                self.datagram_paths[name].set_conditions(command.conditions, backward=command.backward)

    def _statistics(self) -> RelayStatistics:
        return RelayStatistics(
            chunks=self.counters.chunks,
            bytes=self.counters.bytes,
            cpu_s=time.process_time(),
            late_us=self.counters.lateness_us(),
            connections=sum(len(path.connections) for path in self.stream_paths.values()),
        )

    async def sample_lateness(self) -> None:
        """Count the event loop's own lateness: what comes in waits as long as this timer does."""
        while True:
            began = time.monotonic()
            await asyncio.sleep(TICK_S)
            self.counters.record_lateness(int((time.monotonic() - began - TICK_S) * 1e6))


async def serve(seed: int) -> None:
    """Carry out commands from standard input until it ends."""
    loop, tasks = asyncio.get_running_loop(), TaskOwner()
    process = RelayProcess(seed, tasks)
    reader = asyncio.StreamReader(limit=MAX_LINE)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    tasks.spawn(process.sample_lateness(), "relay lateness")
    decoder = msgspec.json.Decoder(RelayCommand)
    while line := await reader.readline():
        answer = await process.execute(decoder.decode(line))
        if answer is not None:
            os.write(STDOUT, msgspec.json.encode(answer) + b"\n")
    await tasks.cancel_all()


def main() -> int:
    """Run the process until its standard input ends."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(int(sys.argv[1])))
    return 0


if __name__ == "__main__":
    sys.exit(main())
