"""Runs one dispatcher: python -m hoistplank, with EDGE_CONFIG naming its configuration."""

from __future__ import annotations

import asyncio
import os
import sys

import structlog
import uvloop

from hoistplank.program.berth import BadConfiguration, Berth, read
from hoistplank.program.journal import open_log
from hoistplank.program.service import Service


async def serve(berth: Berth) -> int:
    return await Service(berth).run()


def main() -> int:
    try:
        berth = read(os.environ)
    except BadConfiguration as wrong:
        print(f"hoistplank: {wrong}", file=sys.stderr)
        return 2
    open_log(berth.name)
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(serve(berth))
    except OSError as wrong:
        structlog.get_logger().error("can't listen", address=berth.listen, wrong=str(wrong))
        return 1


if __name__ == "__main__":
    sys.exit(main())
