"""A long outage of the change log at the start of a release: drains that count as told must be kept."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
import standins
from standins import Record, Site, send_steadily

OUTAGE_S = 14.0
TOLD_S = 7.0  # "counts as told 7 s later at the latest, whether or not it arrived"
GRACE_S = 0.25  # `stop_sending_within` of the settings
SLACK_S = 0.05  # of each time limit on sockets
DEAD_AFTER_S = 2.0  # after the drain; the site: 2 to 5 s
SUCCESSOR_AFTER_S = 6.0  # after the drain, under another id at the address of the one that has gone
BEFORE_S, AFTER_S = 4.0, 20.0
RATE = 40


async def case(folder: Path, record: Record) -> list[str]:
    """Takes one of four cache hosts away during the outage, under steady requests."""
    site = Site(folder, record)
    try:
        await site.up()
        leaving = site.caches[0]
        client = await site.client()
        following = await send_steadily(client, RATE, BEFORE_S)
        tasks = [site.log.outage(OUTAGE_S)] if standins.TROUBLE else []
        tasks.append(asyncio.create_task(site.release(leaving, DEAD_AFTER_S, SUCCESSOR_AFTER_S)))
        record.write("release begins", at=time.time())
        await send_steadily(client, RATE, AFTER_S, following)
        await asyncio.gather(*tasks)
        await asyncio.sleep(2.5)
        await client.close()
    finally:
        await site.dispatcher.stop()
    if not any(one.host == leaving.uid and one.at < site.drained_at for one in site.arrivals):
        raise standins.CouldNotRunError("the host got no request before it drained")
    limit = site.gone_at + TOLD_S + GRACE_S + SLACK_S
    return [
        f"{one.request_id}, as to {leaving.uid}, gone for {one.at - site.gone_at:.2f} s, reached {one.host}"
        for one in site.arrivals
        if one.host == site.successor.uid and one.at > limit
    ]


standins.play(case, Path(__file__).resolve().parent)
