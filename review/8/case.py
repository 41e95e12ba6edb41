"""A dispatcher was told of a drain by its configuration; the control replica that it follows is older."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
import standins
from standins import Record, Site, free_port, send_steadily

GRACE_S = 0.25  # `stop_sending_within` of the settings
SLACK_S = 0.05  # of each time limit on sockets
DEAD_AFTER_S = 2.0  # after the drain; the site: 2 to 5 s
SUCCESSOR_AFTER_S = 6.0  # after the drain, under another id at the address of the one that has gone
BEFORE_S, AFTER_S = 3.0, 12.0
OUTAGE_S = 14.0  # of the change log, for the replica
RATE = 40


async def start_replica(folder: Path, configuration: Path, port: int) -> asyncio.subprocess.Process:
    """Starts the project's control replica and waits until it listens."""
    own = standins.plain_environment()
    with (folder / "replica.log").open("ab") as log:
        process = await asyncio.create_subprocess_exec(
            str(standins.ROOT / ".venv" / "bin" / "python"),
            *(
                "-m",
                "hoistplank.cli.main",
                "control",
                "replica",
                "--name",
                "c1",
                "--listen",
                f"127.0.0.1:{port}",
            ),
            cwd=standins.ROOT,
            env=own | {"EDGE_CONFIG": str(configuration)},
            stdout=log,
            stderr=log,
        )
    until = time.monotonic() + 15
    while time.monotonic() < until and process.returncode is None:
        if "change log event applied" in (folder / "replica.log").read_text():
            return process
        await asyncio.sleep(0.05)
    with contextlib.suppress(ProcessLookupError):
        process.kill()
    raise standins.CouldNotRunError(f"the replica has no list: {(folder / 'replica.log').read_text()[-500:]}")


async def case(folder: Path, record: Record) -> list[str]:
    """Cuts the replica off from the change log, takes a cache host away, and restarts the dispatcher."""
    port = free_port()
    operator = folder / "operator.sexp"
    operator.write_text(f"(distribution (replica c1 (endpoint 127.0.0.1:{port})))\n")
    site = Site(folder, record, environment={"HOISTPLANK_OPERATOR": str(operator)})
    replica = outage = None
    try:
        await site.stand_ins_up()
        replica = await start_replica(folder, site.dispatcher.configuration, port)
        await site.dispatcher.start()
        client = await site.client()
        following = await send_steadily(client, RATE, BEFORE_S)
        if standins.TROUBLE:
            outage = site.log.outage(OUTAGE_S)
        leaving = site.caches[0]
        await site.release(leaving, DEAD_AFTER_S, SUCCESSOR_AFTER_S)
        site.dispatcher.signal(signal.SIGTERM)
        assert site.dispatcher.process is not None
        await asyncio.wait_for(site.dispatcher.process.wait(), 8)
        await client.close()
        site.dispatcher.configure(site.log.port, list(site.log.events), settings=site.settings)
        told_at = time.time()
        record.write("configuration with the drain under known")
        await site.dispatcher.start()
        client = await site.client()
        await send_steadily(client, RATE, AFTER_S, following)
        if outage is not None:
            await outage
        await asyncio.sleep(2.5)
        await client.close()
    finally:
        await site.dispatcher.stop()
        if replica is not None:
            with contextlib.suppress(ProcessLookupError):
                replica.terminate()
            await replica.wait()
    if not any(one.host == leaving.uid and one.at < site.drained_at for one in site.arrivals):
        raise standins.CouldNotRunError("the host got no request before it drained")
    return [
        f"{one.request_id}, as to {leaving.uid}, reached {one.host} {one.at - told_at:.2f} s after the start"
        for one in site.arrivals
        if one.at > told_at + GRACE_S + SLACK_S and one.host in (leaving.uid, site.successor.uid)
    ]


standins.play(case, Path(__file__).resolve().parent)
