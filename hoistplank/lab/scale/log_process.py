"""The stand-in change log in a process of its own: `python -m hoistplank.lab.scale.log_process`.

Commands come as lines on standard input, answers go out as lines of JSON: `list N` tells a whole list of N
hosts, `fill N` puts N purges into the log before anyone is told, `tell N GAP` tells N purges so many seconds
apart, `configure N BYTES GAP` tells N configurations of such a length, `usage` only answers. Each answer is a
`Usage` of this process. It ends with its standard input.
"""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from hoistplank.fakes.change_log import FakeChangeLog
from hoistplank.fakes.settings import endpoint_entry, fleet_event
from hoistplank.fakes.wire import serve

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
COMMENT_LINE = "; a line of an operator's file\n"


class Usage(msgspec.Struct, frozen=True):
    """What a process uses: processor time so far (us), resident memory (bytes), descriptors, and the last
    event number."""

    port: int
    processor_us: float
    resident_bytes: int
    descriptors: int
    seq: int


def usage(port: int, seq: int) -> Usage:
    """This process's own use now."""
    resident = int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES
    return Usage(port, time.process_time_ns() / 1_000, resident, len(os.listdir("/proc/self/fd")), seq)


def configuration_text(length: int) -> str:
    """A text of such a length: a replica hands it on unread."""
    return COMMENT_LINE * (length // len(COMMENT_LINE))


class Served:
    """The log and the number of its last event."""

    def __init__(self) -> None:
        self.log = FakeChangeLog()
        self.seq = 0

    def purge(self) -> dict[str, Any]:
        """The next event."""
        self.seq += 1
        purge = {"object": f"{self.seq:016x}", "time": time.time() * 1_000}
        return {"seq": self.seq, "invalidate": purge}

    async def obey(self, words: list[str]) -> None:
        """Carries out one command."""
        if words[0] == "fill":
            for _ in range(int(words[1])):
                self.log.events.append(self.purge())
        elif words[0] == "list":
            self.seq += 1
            rows = [
                endpoint_entry(f"box-{number}", "box", 10_000 + number) for number in range(int(words[1]))
            ]
            self.log.publish(fleet_event(self.seq, rows, whole=True))
        elif words[0] == "configure":
            for _ in range(int(words[1])):
                self.seq += 1
                self.log.publish_configuration(self.seq, configuration_text(int(words[2])))
                await asyncio.sleep(float(words[3]))
        elif words[0] == "tell":
            for _ in range(int(words[1])):
                self.log.publish(self.purge())
                await asyncio.sleep(float(words[2]))


async def read_commands() -> asyncio.StreamReader:
    """Standard input as a stream of lines."""
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader


async def main() -> None:
    """Serves until standard input ends."""
    served = Served()
    port = await serve(served.log.serve_connection)
    commands = await read_commands()
    print(msgspec.json.encode(usage(port, served.seq)).decode(), flush=True)
    while words := (await commands.readline()).decode().split():
        await served.obey(words)
        print(msgspec.json.encode(usage(port, served.seq)).decode(), flush=True)


if __name__ == "__main__":
    uvloop.run(main())
