"""One operator connection of the admin server: parses requests and answers them in order."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import msgspec

from hoistplank.authorization.admin_messages import AdminResponse, refusal
from hoistplank.authorization.http import BadRequestError, HttpRequest, HttpRequestParser, encode_response
from hoistplank.authorization.identity import CertificateIdentity
from hoistplank.authorization.tls_connections import TlsConnections

MAX_INPUT_BYTES, MAX_OUTPUT_BYTES = 65_536, 1_048_576  # buffer sizes of one connection
IDLE_TIMEOUT_S = 10.0  # a connection that receives nothing for this long is closed

Respond = Callable[[CertificateIdentity | None, HttpRequest], Awaitable[AdminResponse]]


class AdminConnectionOwner(NamedTuple):
    """Callbacks of a connection: `respond` answers a request, `on_end` is called when the connection ends."""

    respond: Respond
    on_end: Callable[[AdminConnection], None]


class AdminConnection:
    """Reads and answers the requests of one connection, in tasks that it starts and ends itself."""

    def __init__(
        self, owner: AdminConnectionOwner, tls: TlsConnections, sock: socket.socket, max_body: int
    ) -> None:
        self._owner = owner
        self.identity: CertificateIdentity | None = None
        self._parser = HttpRequestParser(max_body)
        self._requests: deque[HttpRequest] = deque()
        self._worker: asyncio.Task[None] | None = None
        self._draining = False  # requests received so far are answered, no more are read
        self._broken = False  # the input is not valid HTTP
        make = tls.factory(self._verified, lambda: None)
        self.connection = make(sock, self._consume, MAX_INPUT_BYTES, MAX_OUTPUT_BYTES)
        loop = asyncio.get_running_loop()
        self._opened_s = loop.time()
        self._task = loop.create_task(self.connection.run(), name="control connection")
        self._task.add_done_callback(self._ended)

    def expired(self, now_s: float, handshake_timeout_s: float) -> bool:
        """Returns True if the handshake has timed out, or nothing was received for IDLE_TIMEOUT_S."""
        anonymous = self.identity is None and now_s - self._opened_s > handshake_timeout_s
        return anonymous or now_s - self.connection.last_read_at > IDLE_TIMEOUT_S

    def drain(self) -> None:
        """Closes the connection once the requests received so far are answered."""
        self._draining = True
        if self._worker is None:
            self.connection.close_gracefully()

    def _verified(self, identity: CertificateIdentity | None) -> None:
        self.identity = identity

    def _consume(self, buffer: bytearray, start: int, end: int) -> int:
        if self._broken:
            return end  # discards what follows the invalid input in the same read
        try:
            self._requests.extend(self._parser.feed(bytes(buffer[start:end])))
        except BadRequestError as error:
            self._send(refusal(error.status, str(error)), keep_alive=False)
            self._broken = True
            self.connection.stop_reading()
            return end
        if self._requests and self._worker is None:
            self._worker = asyncio.get_running_loop().create_task(self._work(), name="control requests")
        return end

    async def _work(self) -> None:
        """Answers the requests one after another, so that responses keep the order of the requests."""
        try:
            while self._requests and not self.connection.is_closed:
                request = self._requests.popleft()
                response = await self._owner.respond(self.identity, request)
                self._parser.unanswered -= 1
                self._send(response, keep_alive=request.keep_alive and not self._draining)
        finally:
            self._worker = None

    def _send(self, response: AdminResponse, *, keep_alive: bool) -> None:
        body = msgspec.json.encode(response.body) + b"\n"
        self.connection.send(
            encode_response(
                response.status, body, keep_alive=keep_alive, retry_after_us=response.retry_after_us
            )
        )
        if not keep_alive:
            self.connection.close_gracefully(IDLE_TIMEOUT_S)

    def _ended(self, _task: asyncio.Task[BaseException | None]) -> None:
        if self._worker is not None:
            self._worker.cancel()
        self._owner.on_end(self)
