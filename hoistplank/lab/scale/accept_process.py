"""A cache host's door in a process of its own: takes connections and keeps them, answers nothing.

`python -m hoistplank.lab.scale.accept_process`; it speaks with its owner as `log_process` does. What it
tells is what kept connections cost a small asyncio server; a real cache host is another program.
"""

from __future__ import annotations

import asyncio
import contextlib

import msgspec
import uvloop

from hoistplank.fakes.wire import serve
from hoistplank.lab.scale.log_process import read_commands, usage


async def keep(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Reads until the other side ends."""
    with contextlib.suppress(OSError):
        while await reader.read(4_096):
            pass
    writer.close()


async def main() -> None:
    """Serves until standard input ends."""
    port = await serve(keep)
    commands = await read_commands()
    print(msgspec.json.encode(usage(port, 0)).decode(), flush=True)
    while await commands.readline():
        print(msgspec.json.encode(usage(port, 0)).decode(), flush=True)


if __name__ == "__main__":
    uvloop.run(main())
