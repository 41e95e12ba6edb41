"""One connection to one cache host, from before it is established until it has ended, with its requests."""

from __future__ import annotations

import asyncio
from typing import Protocol

from hoistplank.transport.connecting import connect_socket, open_tcp_socket
from hoistplank.transport.connection import Connection, Consume
from hoistplank.transport.pooled_request import PooledRequest, RequestFailure

MAX_BUFFER_BYTES = 524_288  # an answer of 240,000 bytes with its line, and the start of the next
MAX_UNSENT_BYTES = 4_194_304
# Part of an answer has come and nothing more for so long: pauses of hosts that stand still are shorter.
ANSWER_STALL_S = 0.3


class ConnectionOwner(Protocol):
    """What a connection uses of the pool that opened it."""

    loop: asyncio.AbstractEventLoop
    connect_timeout_s: float
    remember_ids_s: float

    def make_reader(self, pooled: PooledConnection, /) -> Consume:
        """The reader of its answers."""

    def report_error(self, host: str, error: BaseException, /) -> None:
        """It ended by bytes that can't be read, or by a fault of ours."""

    def connection_lost(self) -> None:
        """It ended with requests on it that had been written."""

    def forget(self, pooled: PooledConnection) -> None:
        """It takes no new requests; may be called again."""

    def connection_ended(self) -> None:
        """Its descriptor is free; called once."""


class PooledConnection:
    """A connection that several requests share, each under its id."""

    def __init__(self, pool: ConnectionOwner, host: str, address: tuple[str, int]) -> None:
        now = pool.loop.time()
        self.pool, self.host, self.address = pool, host, address
        self.in_flight: dict[str, PooledRequest] = {}
        # Ids that went over this connection lately: an answer that comes twice, or after its request was
        # cancelled, must not be taken for that of a later request.
        self.recent_ids, self.older_ids, self._ids_rotated_at = set[str](), set[str](), now
        self.is_draining = False  # takes no new requests, and ends with its last
        self.idle_since = now
        self.connection: Connection | None = None
        self._started: set[str] = set()  # in flight, and the system may have a byte of them
        self._written: set[str] = set()  # in flight, and the system has them whole
        self._queued: list[PooledRequest] = []  # until the connection is established
        self._is_over, self._answer_spoiled = False, False
        self.task = pool.loop.create_task(self._run(), name=f"connection to cache host {host}")
        self.task.add_done_callback(self._on_task_done)

    def send(self, request: PooledRequest) -> None:
        """Writes a request, or keeps it until the connection is established."""
        self.in_flight[request.id] = request
        self.recent_ids.add(request.id)
        if self.connection is None:
            self._queued.append(request)
        else:
            self._write(self.connection, request)

    def _write(self, connection: Connection, request: PooledRequest) -> None:
        request_id = request.id

        def may_begin() -> bool:
            if self.in_flight.get(request_id) is not request:
                return False  # cancelled before its first byte
            if not request.may_begin():
                self.finish(request_id)
                request.failed(RequestFailure.WITHHELD)
                return False
            self._started.add(request_id)
            return True

        def on_written() -> None:
            if self.in_flight.get(request_id) is request:
                self._written.add(request_id)

        def on_deferred() -> None:
            if self.in_flight.get(request_id) is request:
                self._started.discard(request_id)

        connection.send(b"", may_begin, on_written, on_deferred, request.encode)

    def finish(self, request_id: str) -> PooledRequest | None:
        """A request is over, by its answer or without one; a draining connection ends with its last."""
        request = self.in_flight.pop(request_id, None)
        self._started.discard(request_id)
        self._written.discard(request_id)
        if not self.in_flight:
            self.idle_since = self.pool.loop.time()
            if self.is_draining:
                self.close_gracefully()
        return request

    def cancel(self, request_id: str, cancel_message: bytes, started_at: float) -> bool:
        """Ends a request and sends `cancel_message`; whether the request may have run.

        Danger: one of which the system has a part goes on to be written whole behind our back, and runs.
        A connection on which nothing has been read since `started_at` may be dead: it gets no new ones.
        """
        may_have_run = request_id in self._started
        if self.connection is not None:
            if self.connection.last_read_at < started_at:
                self.is_draining = True
            if may_have_run:
                self.connection.send(cancel_message)
        # The message goes out before a draining connection closes: closing ends all that is in flight anyway.
        self.finish(request_id)
        return may_have_run

    def is_answer_stalled(self) -> bool:
        """Whether an answer has begun and moves no more: what is in flight here waits for nothing."""
        connection = self.connection
        return (
            connection is not None
            and connection.has_partial_message
            and self.pool.loop.time() - connection.last_read_at > ANSWER_STALL_S
        )

    def is_write_stalled(self) -> bool:
        """Whether the cache host has taken nothing for too long."""
        return self.connection is not None and self.connection.is_write_stalled()

    def release_memory(self, now: float) -> None:
        """Forgets the ids of two spans ago, and gives back a buffer that has grown."""
        if now - self._ids_rotated_at > self.pool.remember_ids_s:
            self._ids_rotated_at = now
            self.older_ids, self.recent_ids = self.recent_ids, set(self.in_flight)
        if self.connection is not None:
            self.connection.release_buffer()

    def close_gracefully(self) -> None:
        """Ends the connection in order: what was sent last is written, and half an answer that is still
        coming is read out."""
        connection = self._leave_pool()
        if connection is not None:
            connection.close_gracefully()

    def close(self) -> None:
        """Ends the connection at once, with all that is in flight on it."""
        connection = self._leave_pool()
        if connection is not None:
            connection.close()

    def _leave_pool(self) -> Connection | None:
        """The connection that is to be ended; None where that has begun, or it is not established."""
        if self._is_over:
            return None
        self._is_over = True
        self.pool.forget(self)
        if self.connection is None:
            self.task.cancel()
        return self.connection

    async def _run(self) -> RequestFailure | None:
        failure = await self._connect()
        if self.connection is not None:
            error = await self.connection.run()
            self._answer_spoiled = self.connection.ended_inside_message
            if error is not None and not isinstance(error, OSError):
                self._answer_spoiled = True
                self.pool.report_error(self.host, error)
        return failure

    async def _connect(self) -> RequestFailure | None:
        """Establishes the connection and writes what waits for it; None where that succeeded."""
        try:
            sock = open_tcp_socket()
            await connect_socket(sock, self.address, self.pool.connect_timeout_s)
        except TimeoutError:
            return RequestFailure.CONNECT_TIMED_OUT
        except ConnectionRefusedError:
            return RequestFailure.REFUSED
        except OSError:
            return RequestFailure.NOT_WRITTEN
        reader = self.pool.make_reader(self)
        self.connection = Connection(sock, reader, MAX_BUFFER_BYTES, MAX_UNSENT_BYTES)
        queued, self._queued = self._queued, []
        for request in queued:
            self._write(self.connection, request)
        return None

    def _on_task_done(self, task: asyncio.Task[RequestFailure | None]) -> None:
        """However it ended, even before its first step: frees the descriptor and ends all requests."""
        self._is_over = True
        self.pool.forget(self)
        self.pool.connection_ended()
        failure = self._failure_of_unwritten(task)
        # One connection that ends is one sign, however many requests were on it; one that ends inside an
        # answer, or by bytes that can't be read, says nothing of its host, which was there to send them.
        written_failure = (
            RequestFailure.ANSWER_SPOILED if self._answer_spoiled else RequestFailure.CONNECTION_LOST
        )
        if self._written and failure is RequestFailure.NOT_WRITTEN:
            self.pool.connection_lost()
        for request_id in list(self.in_flight):
            was_written = request_id in self._written
            request = self.finish(request_id)
            if request is not None:
                request.failed(written_failure if was_written else failure)
                if was_written:
                    written_failure = RequestFailure.ANSWER_SPOILED

    def _failure_of_unwritten(self, task: asyncio.Task[RequestFailure | None]) -> RequestFailure:
        if task.cancelled():
            return RequestFailure.NOT_WRITTEN
        error = task.exception()
        if error is not None:
            self.pool.report_error(self.host, error)
            return RequestFailure.NOT_WRITTEN
        return task.result() or RequestFailure.NOT_WRITTEN
