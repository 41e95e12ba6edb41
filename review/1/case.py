"""Clients give up early over one connection of a web server; are the other requests on it answered?"""

from __future__ import annotations

import asyncio
import contextlib
import math
import os
import random
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from rig import (
    ABORT,
    CacheHost,
    ChangeLog,
    Dispatcher,
    Record,
    Sent,
    WebServerConnection,
    listening_socket,
    record_bytes,
    request_bytes,
    run_case,
    settings,
)

RUN_S = 95.0
WAY_S = 0.012  # between the web server and the dispatcher, each way; the site: 4.4 to 12 ms
TICK_S = 0.01  # the web server writes what its clients did in each tick: a request, and who left
PAGE_WORK_S = 0.04  # of a cache host for a page
VIDEO_WORK_S = 0.28  # and for a part of a video, the one in ten requests
IMPATIENT_SHARE = 0.25  # of the clients that ask for a page
LEAVES_AFTER_S = (0.02, 0.15)  # when one of them leaves, if it has no answer by then
SURELY_OPEN_S = 0.05  # a request that the dispatcher has had for longer is no crossing one


@dataclass
class Way:
    """One connection through the relay: what the dispatcher was handed and when, and when it ended it."""

    handed_over: list[tuple[float, bytes]] = field(default_factory=list)
    ended_at: float = 0.0

    def handed_over_at(self, request_id: str) -> float:
        """Return when the dispatcher was handed the bytes that name a request, 0 if it was not."""
        name = request_id.encode()
        return next((at for at, data in self.handed_over if name in data), 0.0)


class SlowWay:
    """Relays each connection to the dispatcher and back, each byte WAY_S later."""

    def __init__(self, port: int) -> None:
        self.target = port
        self.port = 0
        self.ways: list[Way] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        sock = listening_socket()
        self.port = int(sock.getsockname()[1])
        await asyncio.start_server(self._serve, sock=sock)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        way = Way()
        self.ways.append(way)
        there, back = await asyncio.open_connection("127.0.0.1", self.target)
        for source, target, to_dispatcher in ((reader, back, True), (there, writer, False)):
            task = asyncio.create_task(self._carry(source, target, way, to_dispatcher=to_dispatcher))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _carry(
        self, source: asyncio.StreamReader, target: asyncio.StreamWriter, way: Way, *, to_dispatcher: bool
    ) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        feeder = asyncio.create_task(self._feed(source, queue, None if to_dispatcher else way))
        while True:
            due, data = await queue.get()
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            if not data:
                break
            target.write(data)
            if to_dispatcher:
                way.handed_over.append((time.time(), data))
        await feeder
        # An orderly end: what crosses it is read for a while, so that it can't reset the connection.
        with contextlib.suppress(OSError, RuntimeError):
            target.write_eof()
        await asyncio.sleep(1.0)
        target.close()

    async def _feed(
        self, source: asyncio.StreamReader, queue: asyncio.Queue[tuple[float, bytes]], way: Way | None
    ) -> None:
        data = b"-"
        while data:
            try:
                data = await source.read(65_536)
            except OSError:
                data = b""
            queue.put_nowait((time.monotonic() + WAY_S, data))
        if way is not None:
            way.ended_at = time.time()


class WebServer:
    """Sends a request a tick over one connection, and ABORT_REQUEST for the clients that leave."""

    def __init__(self, dispatcher: Dispatcher, port: int, record: Record, trouble: bool) -> None:
        self.dispatcher, self.port, self.record = dispatcher, port, record
        self.share = IMPATIENT_SHARE if trouble else 0.0
        self.random = random.Random(48)
        self.sent: list[tuple[WebServerConnection, Sent]] = []
        self.leaves: dict[str, float] = {}
        self.connections: list[WebServerConnection] = []
        self.aborted_before: dict[
            str, list[Sent]
        ] = {}  # by request: whose abort stands before it in one write

    async def run(self, seconds: float) -> None:
        """Send until the time is over; a connection that ends is replaced."""
        connection = await self._connect()
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if connection.ended_at:
                self.record.say(f"the dispatcher ended the connection after {len(self.sent)} requests")
                connection = await self._connect()
            aborted = self._aborts(connection)
            data = b"".join(record_bytes(ABORT, one.number) for one in aborted)
            data += self._request(connection, aborted)
            if data:
                connection.writer.write(data)
            await asyncio.sleep(TICK_S)
        await asyncio.sleep(3.0)

    async def _connect(self) -> WebServerConnection:
        connection = await self.dispatcher.connect(self.port)
        self.connections.append(connection)
        return connection

    def _aborts(self, connection: WebServerConnection) -> list[Sent]:
        aborted = list[Sent]()
        for number, sent in connection.open.items():
            if not sent.aborted_at and self.leaves.get(sent.id, math.inf) < time.time():
                sent.aborted_at = time.time()
                self.record.write(f"client of {sent.id} leaves, ABORT_REQUEST {number}")
                aborted.append(sent)
        return aborted

    def _request(self, connection: WebServerConnection, aborted: list[Sent]) -> bytes:
        number = connection.free_number()
        if not number:
            return b""
        sent = Sent(f"{self.random.getrandbits(64):016x}", number, time.time())
        is_video = self.random.random() < 0.1
        if not is_video and self.random.random() < self.share:
            self.leaves[sent.id] = sent.written_at + self.random.uniform(*LEAVES_AFTER_S)
        connection.open[number] = sent
        self.sent.append((connection, sent))
        self.aborted_before[sent.id] = aborted
        self.record.write(f"client sends {sent.id} as request {number}")
        fields = {
            "HTTP_X_CORRELATION_ID": sent.id,
            "HTTP_X_DEADLINE_MS": "5000" if is_video else "2500",
            "HTTP_X_SUBJECT": f"{self.random.randrange(12):016x}",
            "HTTP_X_CHUNK": "0",
            "HTTP_X_TAG": "17",
        }
        return request_bytes(number, "/api/v2/video" if is_video else "/api/v2/page", fields)


def was_open(sent: Sent, connection: WebServerConnection, way: Way) -> bool:
    """Return whether a request was open when the dispatcher ended the connection, or was failed just then."""
    if sent.aborted_at or sent.status == 200:
        return False
    if sent.ended_at and connection.ended_at - sent.ended_at > SURELY_OPEN_S:
        return False
    return way.ended_at - way.handed_over_at(sent.id) > SURELY_OPEN_S


def lost_requests(web_server: WebServer, ways: list[Way], arrived: set[str], record: Record) -> int:
    """Return the number of requests that were taken and got no whole answer though nobody aborted them.

    A request that is lost stands in one write behind an ABORT_REQUEST that crossed its answer, came to the
    dispatcher before that ended the connection, and had others open beside it. All else crossed the end.
    """
    count = 0
    way_of = dict(zip(web_server.connections, ways, strict=True))
    sent_on = {connection: list[Sent]() for connection in web_server.connections}
    for connection, sent in web_server.sent:
        sent_on[connection].append(sent)
    for connection, way in way_of.items():
        open_ids = [one.id for one in sent_on[connection] if was_open(one, connection, way)]
        for sent in sent_on[connection]:
            if sent.ended_at or sent.aborted_at:
                continue
            if not connection.ended_at:
                record.say(f"no answer to {sent.id}, its connection stands")
                count += 1
                continue
            handed_over_at = way.handed_over_at(sent.id)
            record.write(
                f"without an answer: {sent.id}, handed over at {handed_over_at - record.started:.3f}"
            )
            behind_late_abort = any(one.status for one in web_server.aborted_before[sent.id])
            if open_ids and behind_late_abort and 0 < handed_over_at < way.ended_at:
                had_ms = (way.ended_at - handed_over_at) * 1000
                record.say(
                    f"no answer to {sent.id}: the dispatcher had it whole {had_ms:.1f} ms before it ended the"
                    f" connection, on which {len(open_ids)} others were open; came to a cache host:"
                    f" {sent.id in arrived}"
                )
                count += 1
    return count


async def main() -> int:
    """Run the case; return its exit code."""
    folder = Path(__file__).resolve().parent
    record, trouble = Record(folder), os.environ.get("TROUBLE", "1") != "0"
    change_log = ChangeLog(record)
    hosts = [CacheHost(f"c-{n}", "small-box", "s1", record, PAGE_WORK_S) for n in range(3)]
    hosts += [CacheHost("p-0", "parent", "east-hub", record), CacheHost("o-0", "origin", "east-hub", record)]
    for host in hosts:
        host.fresh_ms, host.work_by_class = {"page": 12_000}, {"video": VIDEO_WORK_S}
        await host.start()
    await change_log.start()
    change_log.add(fleet={"rev": 1, "all": True, "targets": [host.row() for host in hosts]})
    dispatcher = Dispatcher(record, settings(), change_log)
    try:
        if not await dispatcher.start():
            record.say("the dispatcher was not ready")
            return 2
        way = SlowWay(dispatcher.port)
        await way.start()
        web_server = WebServer(dispatcher, way.port, record, trouble)
        await web_server.run(RUN_S)
        if dispatcher.has_ended():
            record.say("the dispatcher ended by itself")
            return 1
    finally:
        await dispatcher.stop()
    requests = [sent for _, sent in web_server.sent]
    served = sum(sent.status == 200 for sent in requests)
    failed = sum(sent.status == 502 for sent in requests)
    aborted = sum(bool(sent.aborted_at) for sent in requests)
    ended = sum(bool(connection.ended_at) for connection in web_server.connections[:-1])
    record.say(
        f"{len(requests)} requests: {served} served, {failed} failed, {aborted} aborted;"
        f" connections that the dispatcher ended: {ended}"
    )
    if served < len(requests) // 4:
        record.say("too few were served to tell")
        return 2
    lost = lost_requests(web_server, way.ways, {get.id for host in hosts for get in host.gets}, record)
    record.say(f"lost: {lost}")
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(run_case(main))
