"""A change log that writes its lines in two pieces: drains that are told must be kept."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
import standins
from standins import Record, Site, send_steadily

PAUSE_S = 0.9  # between the two pieces of an event's line
TOLD_S = 7.0  # "counts as told 7 s later at the latest, whether or not it arrived"
GRACE_S = 0.25  # `stop_sending_within` of the settings
SLACK_S = 0.05  # of each time limit on sockets
DEAD_AFTER_S = 2.0  # after the drain; the site: 2 to 5 s
SUCCESSOR_AFTER_S = 6.0  # after the drain, under another id at the address of the one that has gone
BEFORE_S, AFTER_S = 4.0, 24.0
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
    """Takes one of four cache hosts away, told by a slow change log, under steady requests."""
    site = Site(folder, record)
    try:
        await site.up()
        if standins.TROUBLE:
            site.log.write_line = write_in_pieces
        leaving = site.caches[0]
        client = await site.client()
        following = await send_steadily(client, RATE, BEFORE_S)
        release = asyncio.create_task(site.release(leaving, DEAD_AFTER_S, SUCCESSOR_AFTER_S))
        await send_steadily(client, RATE, AFTER_S, following)
        await release
        await asyncio.sleep(2.5)
        await client.close()
    finally:
        await site.dispatcher.stop()
    if not any(one.host == leaving.uid and one.at < site.drained_at for one in site.arrivals):
        raise standins.CouldNotRunError("the host got no request before it drained")
    limit_s = TOLD_S + GRACE_S + SLACK_S
    breaches = []
    for one in site.arrivals:
        if one.host == leaving.uid and one.at > site.drained_at + limit_s:
            breaches.append(
                f"{one.request_id} reached {one.host}, {one.at - site.drained_at:.2f} s after its drain"
            )
        elif one.host == site.successor.uid and one.at > site.gone_at + limit_s:
            late_s = one.at - site.gone_at
            breaches.append(
                f"{one.request_id}, sent as to {leaving.uid}, gone for {late_s:.2f} s, reached {one.host}"
            )
    return breaches


standins.play(case, Path(__file__).resolve().parent)
