"""The clients of one dispatcher: they use connections for as long as these stand, and some leave early."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

from hoistplank.fakes.cache_host import content
from hoistplank.fakes.wire import FastCgiClient, connect
from hoistplank.lab.fleet.soak.classes import SoakClass
from hoistplank.lab.fleet.soak.truth import Rule, SentRequest, Truth

CONNECTIONS = 4
OBJECTS = 120
LEAVING_SHARE = 0.06
# After this share of the requests that may not be repeated freely, more of the class follow at once.
BURST_SHARE, BURST_REQUESTS = 0.1, 8
PUSHBACK_HEADER = b"X-Pushback-Ms: "
# A request that crosses the close of its connection is sent again, once; what the rig itself takes is in it.
CROSSING_S = 0.15
COPY_BYTES = 4_000


class ClientConnection:
    """A connection that stands until the dispatcher ends it, and the requests that are open on it."""

    def __init__(self, owner: SoakClients, client: FastCgiClient) -> None:
        self.owner, self.client = owner, client
        self.open: dict[int, str] = {}  # request ids by FastCGI number
        self.is_closed = False
        self._number = 0
        self.task = asyncio.create_task(self._read(), name="soak client")

    def send(self, request_id: str, traffic_class: SoakClass) -> None:
        """Sends a request whole."""
        self._number = self._number % 60_000 + 1
        self.open[self._number] = request_id
        deadline_ms = round(traffic_class.deadline_s * 1e3)
        fields = {
            "HTTP_X_CORRELATION_ID": request_id,
            "HTTP_X_DEADLINE_MS": str(deadline_ms),
            "HTTP_X_SUBJECT": self.owner.object_of(request_id),
        }
        if traffic_class.is_keyed:
            fields["HTTP_X_OPERATION_KEY"] = request_id * 2
        sent = SentRequest(self.owner.number, self.owner.now(), traffic_class.deadline_s, traffic_class)
        self.owner.truth.requests[request_id] = sent
        self.client.send(self._number, traffic_class.name, fields)

    def leave(self) -> None:
        """The client goes away."""
        now = self.owner.now()
        for request_id in self.open.values():
            self.owner.truth.requests[request_id].left_at = now
        self.open.clear()
        self.close()

    def close(self) -> None:
        """Ends the connection."""
        self.is_closed = True
        self.client.writer.close()
        self.task.cancel()

    async def _read(self) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                number, status, head, body = await self.client.read_answer()
                request_id = self.open.pop(number, None)
                if request_id is not None:
                    self.owner.answered(request_id, status, head, body)
        self.is_closed = True
        self.client.writer.close()
        self.owner.connection_ended(list(self.open.values()))


class SoakClients:
    """Sends requests to one dispatcher; `may_connect` says whether the front sends it new connections."""

    def __init__(
        self,
        number: int,
        classes: tuple[SoakClass, ...],
        random: Random,
        truth: Truth,
        now: Callable[[], float],
    ) -> None:
        self.number, self.random, self.truth, self.now = number, random, truth, now
        self.classes = classes
        self.address = ("127.0.0.1", 0)
        self.may_connect = False
        self.connections: list[ClientConnection] = []
        self._count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def object_of(self, request_id: str) -> str:
        """The object that a request asks for."""
        return f"{int(request_id[8:], 16) * 7 % OBJECTS:016x}"

    def new_id(self) -> str:
        """An id that names the dispatcher and the request."""
        self._count += 1
        return f"{self.number + 1:08x}{self._count:08x}"

    async def run(self, rate: float, seconds: float) -> None:
        """Sends `rate` requests a second for so long."""
        until = self.now() + seconds
        while self.now() < until:
            await asyncio.sleep(self.random.expovariate(rate))
            shares = [traffic_class.share for traffic_class in self.classes]
            traffic_class = self.random.choices(self.classes, shares)[0]
            self._spawn(self._send_one(self.new_id(), traffic_class))
            if not traffic_class.is_idempotent and self.random.random() < BURST_SHARE:
                for _ in range(BURST_REQUESTS):
                    self._spawn(self._send_one(self.new_id(), traffic_class))

    async def _send_one(self, request_id: str, traffic_class: SoakClass) -> None:
        if self.random.random() < LEAVING_SHARE:
            await self._send_and_leave(request_id, traffic_class)
            return
        connection = await self._connection()
        if connection is not None:
            connection.send(request_id, traffic_class)

    async def _send_and_leave(self, request_id: str, traffic_class: SoakClass) -> None:
        connection = await self._open()
        if connection is not None:
            connection.send(request_id, traffic_class)
            await asyncio.sleep(self.random.choice((0.0, 0.005, 0.05)))
            connection.leave()

    async def _connection(self) -> ClientConnection | None:
        """One of the open connections, or a new one while there are too few."""
        self.connections = [connection for connection in self.connections if not connection.is_closed]
        if len(self.connections) < CONNECTIONS and self.may_connect:
            connection = await self._open()
            if connection is not None:
                self.connections.append(connection)
                return connection
        standing = [connection for connection in self.connections if not connection.is_closed]
        return self.random.choice(standing) if standing else None

    async def _open(self) -> ClientConnection | None:
        if not self.may_connect:
            return None
        try:
            return ClientConnection(self, await connect(self.address))
        except OSError:
            return None  # nobody listens: nothing was taken

    def answered(self, request_id: str, status: int, head: bytes, body: bytes) -> None:
        """An answer has come whole."""
        now = self.now()
        self.truth.answered(now, request_id, status, _pushback_s(head))
        is_page = body and len(body) == COPY_BYTES
        if status == 200 and is_page and body != content(self.object_of(request_id), "0", COPY_BYTES):
            self.truth.broke(Rule.ANSWER, now, f"{request_id} was answered with other bytes")

    def connection_ended(self, request_ids: list[str]) -> None:
        """The dispatcher ended a connection on which requests are open."""
        now = self.now()
        for request_id in request_ids:
            request = self.truth.requests[request_id]
            if request.is_owed and now - request.sent_at < CROSSING_S:
                request.is_owed = False
                self.truth.counts["sent again"] += 1
                self._spawn(self._send_one(self.new_id(), self.classes[0]))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Ends all connections and what is still being sent."""
        for connection in self.connections:
            connection.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def _pushback_s(head: bytes) -> float:
    """Returns how long an answer asks its client to stay away, 0 if it does not say."""
    for line in head.split(b"\r\n"):
        if line.startswith(PUSHBACK_HEADER):
            return int(line.removeprefix(PUSHBACK_HEADER)) / 1e3
    return 0.0
