"""The change log's process: `python -m hoistplank.lab.scale.run_log [BROKEN]`.

It serves the stand-in change log at any number of ports ("doors"), so that what goes to each group of
followers is counted apart. Told what to do by a `LogCommand` a line; it ends with its standard input.
"""

from __future__ import annotations

import asyncio
import sys
import time
from typing import Any

import msgspec
import uvloop

from hoistplank.fakes.change_log import FakeChangeLog
from hoistplank.lab.scale.broken import LOGS
from hoistplank.lab.scale.hollow_messages import (
    AskLogUsage,
    BeginAnew,
    Doors,
    DoorUsage,
    LogCommand,
    LogReport,
    LogUsage,
    OpenDoors,
    Tell,
)
from hoistplank.lab.scale.hollow_process import MOST_LINE, resident_kb
from hoistplank.lab.scale.run_lateness import Lateness

BACKLOG = 2_048  # connections that may wait: a whole fleet comes back at once


class CountingWriter:
    """A stream's writer that counts what a door hands out."""

    def __init__(self, writer: asyncio.StreamWriter, door: Door) -> None:
        self.writer, self.door = writer, door

    def write(self, data: bytes) -> None:
        self.door.bytes_out += len(data)
        self.door.lines_out += data.count(b"\n")
        self.writer.write(data)

    async def drain(self) -> None:
        await self.writer.drain()

    def is_closing(self) -> bool:
        return self.writer.is_closing()


class CountingReader:
    """A stream's reader that counts what followers send."""

    def __init__(self, reader: asyncio.StreamReader, door: Door) -> None:
        self.reader, self.door = reader, door

    async def readline(self) -> bytes:
        line = await self.reader.readline()
        self.door.bytes_in += len(line)
        return line


class Door:
    """One listening port, and what went through it."""

    def __init__(self, log: LogProcess) -> None:
        self.log = log
        self.connections = self.bytes_in = self.bytes_out = self.lines_out = 0
        self.writers: dict[asyncio.StreamWriter, None] = {}

    async def open(self) -> int:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=BACKLOG)
        return int(server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers[writer] = None
        counted: Any = (CountingReader(reader, self), CountingWriter(writer, self))
        try:
            await self.log.changelog.serve_connection(*counted)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, IndexError, ValueError):
            pass  # the follower is gone, perhaps before it asked for anything
        finally:
            self.writers.pop(writer, None)
            writer.close()

    def break_off(self) -> None:
        for writer in list(self.writers):
            writer.transport.abort()

    def usage(self) -> DoorUsage:
        return DoorUsage(self.connections, len(self.writers), self.bytes_in, self.bytes_out, self.lines_out)


class LogProcess:
    """The log of this process with its doors."""

    def __init__(self, broken: str = "") -> None:
        self.make = LOGS[broken] if broken else FakeChangeLog
        self.changelog = self.make()
        self.doors: dict[str, Door] = {}
        self.lateness = Lateness()

    async def obey(self, command: LogCommand) -> LogReport | None:
        match command:
            case OpenDoors(names):
                ports = {}
                for name in names:
                    door = self.doors[name] = Door(self)
                    ports[name] = await door.open()
                return Doors(ports)
            case Tell(events):
                for event in events:
                    self.changelog.publish(event)
            case BeginAnew(epoch):
                self.changelog = self.make(epoch)
                for door in self.doors.values():
                    door.break_off()
            case AskLogUsage():
                used = {name: door.usage() for name, door in self.doors.items()}
                return LogUsage(time.process_time(), resident_kb(), self.lateness.taken(), used)
        return None


async def serve(broken: str) -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MOST_LINE)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    send, _ = await loop.connect_write_pipe(asyncio.BaseProtocol, sys.stdout)
    process, decoder = LogProcess(broken), msgspec.json.Decoder(LogCommand)
    late = asyncio.create_task(process.lateness.run())
    while line := await reader.readline():
        report = await process.obey(decoder.decode(line))
        if report is not None:
            send.write(msgspec.json.encode(report) + b"\n")
    late.cancel()
    for door in process.doors.values():
        door.break_off()


def main() -> int:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(sys.argv[1] if len(sys.argv) > 1 else ""))
    return 0


if __name__ == "__main__":
    sys.exit(main())
