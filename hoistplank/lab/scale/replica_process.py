"""A real control replica in a process of its own: `python -m hoistplank.lab.scale.replica_process LOG-PORT`.

It follows the change log at that port of loopback and speaks with its owner as `log_process` does; the
number in its answers is that of the last event it holds.
"""

from __future__ import annotations

import asyncio
import os
import sys
from typing import TextIO

import msgspec
import structlog
import uvloop

from hoistplank.distribution.replica import ControlReplica, ReplicaSettings
from hoistplank.lab.scale.log_process import read_commands, usage

HORIZON_US = 3_600_000_000


async def main(log_port: int, nowhere: TextIO) -> None:
    """Serves until standard input ends."""
    # Danger: a line of the replica's log on standard output would be taken for an answer. It is written, as a
    # part of what a change costs, but nowhere.
    structlog.configure(logger_factory=structlog.PrintLoggerFactory(nowhere))
    settings = ReplicaSettings("c1", ("127.0.0.1", 0), ("127.0.0.1", log_port), HORIZON_US)
    replica = ControlReplica(settings)
    running = asyncio.create_task(replica.run(), name="control replica")
    commands = await read_commands()
    port = replica.address[1]
    print(msgspec.json.encode(usage(port, replica.state.version.number)).decode(), flush=True)
    while await commands.readline():
        print(msgspec.json.encode(usage(port, replica.state.version.number)).decode(), flush=True)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)


if __name__ == "__main__":
    with open(os.devnull, "w") as nowhere:
        uvloop.run(main(int(sys.argv[1]), nowhere))
