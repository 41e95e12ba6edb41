"""A change log that writes its lines in two pieces: a drain that is told must be kept."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
import standins
from standins import Record, Site

PAUSE_S = 0.6  # between the two pieces of an event's line
TOLD_S = 7.0  # "counts as told 7 s later at the latest, whether or not it arrived"
GRACE_S = 0.25  # `stop_sending_within` of the settings
SLACK_S = 0.05  # of each time limit on sockets
DRAIN_AT_S, END_S = 4.0, 24.0
RATE = 40


async def write_in_pieces(writer: asyncio.StreamWriter, line: bytes) -> None:
    """Writes a line in two pieces, the second after a pause."""
    middle = len(line) // 2
    writer.write(line[:middle])
    await writer.drain()
    await asyncio.sleep(PAUSE_S)
    writer.write(line[middle:])
    await writer.drain()


async def case(folder: Path, record: Record) -> list[str]:
    """Drains one of four cache hosts through a slow change log, under steady requests."""
    site = Site(folder, record)
    drained_at = 0.0
    try:
        await site.up()
        if standins.TROUBLE:
            site.log.write_line = write_in_pieces
        drained = site.caches[0]
        client = await site.client()
        began, count = time.monotonic(), 0
        while (now := time.monotonic() - began) < END_S:
            if not drained_at and now > DRAIN_AT_S:
                drained_at = time.time()
                site.list_change(drained, "draining")
            while count < RATE * now:
                count += 1
                client.send("station-page", f"{count:016x}")
            await asyncio.sleep(0.01)
        await asyncio.sleep(2.5)
        await client.close()
    finally:
        await site.dispatcher.stop()
    if sum(sent.status == 200 for sent in client.sent) < len(client.sent) // 4:
        raise standins.CouldNotRunError("too few requests were served")
    if not any(one.host == drained.uid and one.at < drained_at for one in site.arrivals):
        raise standins.CouldNotRunError("the host got no request before it drained")
    limit = drained_at + TOLD_S + GRACE_S + SLACK_S
    return [
        f"{one.request_id} reached {one.host} {one.at - drained_at:.2f} s after its drain was in the log"
        for one in site.arrivals
        if one.at > limit and drained.uid in (one.host, one.fields.get("parent"))
    ]


standins.play(case, Path(__file__).resolve().parent)
