"""The change log breaks off in the middle of a purge and answers late when asked: who gets old copies?"""

from __future__ import annotations

import asyncio
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from rig import (
    CacheHost,
    ChangeLog,
    Dispatcher,
    Record,
    Sent,
    WebServerConnection,
    content,
    request_bytes,
    run_case,
    settings,
)

GROUP = 17
OBJECTS = 40
WARM_S = 4.0
ANSWER_DELAY_S = 0.9  # of the log, after it was asked
AFTER_S = 5.0
TOLD_AFTER_BREAK_S = 2.0
GRACE_S = 0.3  # `family_info.purge_grace`
DRAIN_GRACE_S = 2.0  # `rules.stop_sending_within`
SLACK_S = 0.05 + 0.05  # of the platform's sockets, and for the way to the stand-in
GAP_S = 0.02  # between requests


async def send_requests(connection: WebServerConnection, record: Record, seconds: float) -> list[Sent]:
    """Send requests for the objects of the group in turn; return them."""
    chance, requests = random.Random(48), list[Sent]()
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        number = connection.free_number()
        if number:
            sent = Sent(f"{chance.getrandbits(64):016x}", number, time.time())
            connection.open[number] = sent
            requests.append(sent)
            fields = {
                "HTTP_X_CORRELATION_ID": sent.id,
                "HTTP_X_DEADLINE_MS": "5000",
                "HTTP_X_SUBJECT": f"{len(requests) % OBJECTS:016x}",
                "HTTP_X_CHUNK": "0",
                "HTTP_X_TAG": str(GROUP),
            }
            connection.writer.write(request_bytes(number, "/api/v2/video", fields))
        await asyncio.sleep(GAP_S)
    record.write(f"client sent {len(requests)} requests")
    return requests


def stale_answers(
    hosts: list[CacheHost], requests: list[Sent], purged_at: float, told_at: float, record: Record
) -> int:
    """Return how many clients got a copy older than the purge for a request sent after its grace."""
    sent_by_id, count = {sent.id: sent for sent in requests}, 0
    for host in hosts:
        for get in host.gets:
            if get.at <= told_at + GRACE_S + SLACK_S or not 0 < get.dated < int(purged_at * 1000):
                continue
            sent = sent_by_id[get.id]
            if sent.status != 200 or sent.body != content(get.fields["path"], get.fields["blk"], get.dated):
                continue
            count += 1
            text = (
                f"{host.uid} got GET {get.id} {get.at - told_at:.3f} s after the purge counted as told,"
                f" accept={get.fields.get('accept', '-')}; its client got a copy"
                f" {purged_at * 1000 - get.dated:.0f} ms older than the purge"
            )
            if count <= 3:
                record.say(text)
            else:
                record.write(text)
    return count


async def play(dispatcher: Dispatcher, log: ChangeLog, hosts: list[CacheHost], trouble: bool) -> list[float]:
    """Purge the group, with the disruption if there is one; return when it was made and counts as told."""
    await asyncio.sleep(WARM_S)
    purged_at = time.time()
    for host in hosts:
        host.purge(purged_at, lambda _path: True)
    event = {"invalidate": {"bucket": GROUP, "time": int(purged_at * 1000)}}
    dispatcher.record.write(f"purge of group {GROUP} at {int(purged_at * 1000)}")
    if not trouble:
        log.add(**event)
        await asyncio.sleep(AFTER_S)
        return [purged_at, purged_at]
    log.answer_delay_s, asked = ANSWER_DELAY_S, len(log.asked_at)
    await log.break_off(**event)
    broke_at = time.time()
    dispatcher.record.write("change log broke off in the middle of the purge")
    await asyncio.sleep(AFTER_S)
    asked_at = log.asked_at[asked] if len(log.asked_at) > asked else broke_at + 1000.0
    return [purged_at, min(broke_at + TOLD_AFTER_BREAK_S, asked_at)]


async def main() -> int:
    """Run the case; return its exit code."""
    folder = Path(__file__).resolve().parent
    record, trouble = Record(folder), os.environ.get("TROUBLE", "1") != "0"
    log = ChangeLog(record)
    hosts = [CacheHost(f"c-{n}", "small-box", "s1", record) for n in range(3)]
    hosts += [CacheHost("p-0", "parent", "east-hub", record), CacheHost("o-0", "origin", "east-hub", record)]
    for host in hosts:
        await host.start()
    await log.start()
    log.add(fleet={"rev": 1, "all": True, "targets": [host.row() for host in hosts]})
    site = settings(family_info__purge_grace=GRACE_S, rules__stop_sending_within=DRAIN_GRACE_S)
    dispatcher = Dispatcher(record, site, log)
    try:
        if not await dispatcher.start():
            record.say("the dispatcher was not ready")
            return 2
        connection = await dispatcher.connect()
        sending = asyncio.create_task(send_requests(connection, record, WARM_S + AFTER_S))
        purged_at, told_at = await play(dispatcher, log, hosts, trouble)
        requests = await sending
        await asyncio.sleep(1.0)
    finally:
        await dispatcher.stop()
    served = sum(sent.status == 200 for sent in requests)
    record.say(f"{len(requests)} requests, {served} served; told {told_at - purged_at:.3f} s after the purge")
    if served < len(requests) // 4:
        record.say("too few were served to tell")
        return 2
    stale = stale_answers(hosts, requests, purged_at, told_at, record)
    record.say(f"clients that got a copy older than the purge, after its grace: {stale}")
    return 1 if stale else 0


if __name__ == "__main__":
    sys.exit(run_case(main))
