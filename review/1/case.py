"""Clients give up early over one connection of a web server; are the other requests on it answered?"""

from __future__ import annotations

import asyncio
import math
import os
import random
import sys
import time
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
    settings,
)

RUN_S = 45.0
WAY_S = 0.03  # between the web server and the dispatcher, each way
TICK_S = 0.02  # the web server writes what its clients did in each tick
WORK_S = 0.03  # half of a hit's time at the cache host
IMPATIENT_SHARE = 0.4  # of the clients
LEAVES_AFTER_S = (0.04, 0.16)  # when one of them leaves, if it has no answer by then
CROSSING_S = 0.05


class SlowWay:
    """Relays each connection to the dispatcher and back, each byte WAY_S later."""

    def __init__(self, port: int) -> None:
        self.target = port
        self.port = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        sock = listening_socket()
        self.port = int(sock.getsockname()[1])
        await asyncio.start_server(self._serve, sock=sock)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        there, back = await asyncio.open_connection("127.0.0.1", self.target)
        for source, target in ((reader, back), (there, writer)):
            task = asyncio.create_task(self._carry(source, target))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _carry(self, source: asyncio.StreamReader, target: asyncio.StreamWriter) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        feeder = asyncio.create_task(self._feed(source, queue))
        while True:
            due, data = await queue.get()
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            if not data:
                break
            target.write(data)
        await feeder
        target.close()

    async def _feed(self, source: asyncio.StreamReader, queue: asyncio.Queue[tuple[float, bytes]]) -> None:
        data = b"-"
        while data:
            try:
                data = await source.read(65_536)
            except OSError:
                data = b""
            queue.put_nowait((time.monotonic() + WAY_S, data))


class WebServer:
    """Sends a request a tick over one connection, and ABORT_REQUEST for the clients that leave."""

    def __init__(self, dispatcher: Dispatcher, port: int, record: Record, trouble: bool) -> None:
        self.dispatcher, self.port, self.record = dispatcher, port, record
        self.share = IMPATIENT_SHARE if trouble else 0.0
        self.random = random.Random(48)
        self.sent: list[tuple[WebServerConnection, Sent]] = []
        self.leaves: dict[str, float] = {}
        self.connections: list[WebServerConnection] = []
        self.open_at_end = 0  # requests that were open when a connection ended, in all

    async def run(self, seconds: float) -> None:
        """Send until the time is over; a connection that ends is replaced."""
        connection = await self._connect()
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if connection.ended_at:
                self.record.say(f"the dispatcher ended the connection after {len(self.sent)} requests")
                connection = await self._connect()
            data = b"".join([*self._aborts(connection), self._request(connection)])
            if data:
                connection.writer.write(data)
            await asyncio.sleep(TICK_S)
        await asyncio.sleep(4.0)

    async def _connect(self) -> WebServerConnection:
        connection = await self.dispatcher.connect(self.port)
        self.connections.append(connection)
        return connection

    def _aborts(self, connection: WebServerConnection) -> list[bytes]:
        records = list[bytes]()
        for number, sent in connection.open.items():
            if not sent.aborted_at and self.leaves.get(sent.id, math.inf) < time.time():
                sent.aborted_at = time.time()
                self.record.write(f"client of {sent.id} leaves, ABORT_REQUEST {number}")
                records.append(record_bytes(ABORT, number))
        return records

    def _request(self, connection: WebServerConnection) -> bytes:
        number = connection.free_number()
        if not number:
            return b""
        sent = Sent(f"{self.random.getrandbits(64):016x}", number, time.time())
        if self.random.random() < self.share:
            self.leaves[sent.id] = sent.written_at + self.random.uniform(*LEAVES_AFTER_S)
        connection.open[number] = sent
        self.sent.append((connection, sent))
        self.record.write(f"client sends {sent.id} as request {number}")
        fields = {
            "HTTP_X_CORRELATION_ID": sent.id,
            "HTTP_X_DEADLINE_MS": "2500",
            "HTTP_X_SUBJECT": f"{self.random.randrange(12):016x}",
            "HTTP_X_CHUNK": "0",
            "HTTP_X_TAG": "17",
        }
        return request_bytes(number, "/api/v2/page", fields)


def lost_requests(web_server: WebServer, arrived: set[str], record: Record) -> int:
    """Return the number of requests that were taken and got no whole answer though nobody aborted them.

    A request that may have crossed the end of its connection within 50 ms is not counted.
    """
    count = 0
    for connection, sent in web_server.sent:
        if sent.ended_at or sent.aborted_at or connection.ended_at - sent.written_at < CROSSING_S:
            continue
        count += 1
        waited_ms = (connection.ended_at - sent.written_at) * 1000
        record.say(
            f"no answer to {sent.id}: connection ended {waited_ms:.0f} ms after it was written whole;"
            f" came to a cache host: {sent.id in arrived}"
        )
    return count


async def main() -> int:
    """Run the case; return its exit code."""
    folder = Path(__file__).resolve().parent
    record, trouble = Record(folder), os.environ.get("TROUBLE", "1") != "0"
    change_log = ChangeLog(record)
    hosts = [CacheHost(f"c-{n}", "small-box", "s1", record, WORK_S) for n in range(3)]
    hosts += [CacheHost("p-0", "parent", "east-hub", record), CacheHost("o-0", "origin", "east-hub", record)]
    for host in hosts:
        host.fresh_ms = {"page": 12_000}
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
    lost = lost_requests(web_server, {get.id for host in hosts for get in host.gets}, record)
    record.say(f"lost: {lost}")
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
