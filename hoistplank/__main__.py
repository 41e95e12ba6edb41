"""Runs one dispatcher: python -m hoistplank, with EDGE_CONFIG naming its configuration."""

from __future__ import annotations

import signal
import sys


def main() -> int:
    # Danger: a SIGHUP that comes before there is a handler for it ends the program. Those that come while it
    # starts are kept and looked at once it runs.
    early: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: early.append(number))

    import asyncio
    import os

    import structlog
    import uvloop

    from hoistplank.program.berth import BadConfiguration, read, read_again
    from hoistplank.program.journal import open_log
    from hoistplank.program.service import Service

    try:
        berth = read(os.environ)
    except BadConfiguration as wrong:
        print(f"hoistplank: {wrong}", file=sys.stderr)
        return 2
    open_log(berth.name)

    async def serve() -> int:
        return await Service(berth, lambda: read_again(os.environ), early).run()

    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(serve())
    except OSError as wrong:
        structlog.get_logger().error("can't listen", address=berth.listen, wrong=str(wrong))
        return 1


if __name__ == "__main__":
    sys.exit(main())
