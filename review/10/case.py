"""An outage of the change log at the start of a release: a drain that counts as told must be kept."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))
import standins
from standins import Record, Site

OUTAGE_S = 8.0  # "discovery is down for 8 s, into the start of a release"
DOWN_AT_S, DRAIN_AFTER_S, END_S = 4.0, 0.05, 16.0
TOLD_S = 7.0  # "counts as told 7 s later at the latest, whether or not it arrived"
GRACE_S = 0.25  # `stop_sending_within` of the settings
SLACK_S = 0.05  # of each time limit on sockets
RATE = 80


async def case(folder: Path, record: Record) -> list[str]:
    """Takes the change log down, lets a host begin to drain, and brings the log back."""
    site = Site(folder, record)
    drained_at = back_at = 0.0
    try:
        await site.up()
        drained = site.caches[0]
        client = await site.client()
        began, count, is_down = time.monotonic(), 0, False
        while (now := time.monotonic() - began) < END_S:
            if standins.TROUBLE and not is_down and now > DOWN_AT_S:
                is_down = True
                site.log.down()
            if not drained_at and now > DOWN_AT_S + DRAIN_AFTER_S:
                drained_at = time.time()
                site.list_change(drained, "draining")
            if is_down and not back_at and now > DOWN_AT_S + OUTAGE_S:
                back_at = time.time()
                await site.log.up()
                record.write("change log up")
            while count < RATE * now:
                count += 1
                client.send("station-page", f"{count:016x}")
            await asyncio.sleep(0.01)
        await asyncio.sleep(2.5)
        await client.close()
    finally:
        await site.dispatcher.stop()
    if not any(one.host == drained.uid and one.at < drained_at for one in site.arrivals):
        raise standins.CouldNotRunError("the host got no request before it drained")
    limit = drained_at + TOLD_S + GRACE_S + SLACK_S
    return [
        f"{one.request_id} reached {one.host} {one.at - drained_at:.2f} s after its drain was in the log"
        for one in site.arrivals
        if one.at > limit and drained.uid in (one.host, one.fields.get("parent"))
    ]


standins.play(case, Path(__file__).resolve().parent)
