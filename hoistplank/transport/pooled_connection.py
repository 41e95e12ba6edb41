"""A connection to a cache host and the requests on it, from connecting until it has ended."""

from __future__ import annotations

import asyncio
from typing import Protocol

from hoistplank.transport.connecting import connect_socket, open_tcp_socket
from hoistplank.transport.connection import Connection, Consume
from hoistplank.transport.pooled_request import PooledRequest, RequestFailure

MAX_BUFFER_BYTES = 524_288  # an answer of 240,000 bytes with its head line, and the start of the next
MAX_UNSENT_BYTES = 4_194_304
# Without input for this long, a partial answer counts as stalled; pauses of cache hosts are shorter.
ANSWER_STALL_S = 0.3


class ConnectionOwner(Protocol):
    """The interface of the pool to its connections."""

    loop: asyncio.AbstractEventLoop
    connect_timeout_s: float
    remember_ids_s: float

    def make_reader(self, pooled: PooledConnection, /) -> Consume:
        """Returns the reader of the connection's answers."""

    def report_error(self, host: str, error: BaseException, /) -> None:
        """Reports that a connection ended by malformed input or by an error in this program."""

    def connection_lost(self) -> None:
        """Called if the connection ended with requests on it that had been written."""

    def discard(self, pooled: PooledConnection) -> None:
        """Removes a connection that takes no new requests; may be called repeatedly."""

    def connection_ended(self) -> None:
        """Called once, when the descriptor of the connection is free."""


class PooledConnection:
    """A connection shared by several requests, which are told apart by their ids."""

    def __init__(self, pool: ConnectionOwner, host: str, address: tuple[str, int]) -> None:
        now = pool.loop.time()
        self.pool, self.host, self.address = pool, host, address
        self.in_flight: dict[str, PooledRequest] = {}
        # Ids used on this connection recently: an answer that is repeated, or arrives after its request was
        # cancelled, must not be taken for the answer of a later request.
        self.recent_ids, self.older_ids, self._ids_rotated_at = set[str](), set[str](), now
        self.is_draining = False  # takes no new requests, and is closed after its last
        self.idle_since = now
        self.connection: Connection | None = None
        self._started: set[str] = set()  # in flight; the kernel may have a byte of them
        self._written: set[str] = set()  # in flight; the kernel has taken them whole
        self._queued: list[PooledRequest] = []  # waiting for the connection to be established
        self._has_left_pool, self._answer_spoiled = False, False
        self.task = pool.loop.create_task(self._run(), name=f"connection to cache host {host}")
        self.task.add_done_callback(self._on_task_done)

    def send(self, request: PooledRequest) -> None:
        """Writes a request, or queues it until the connection is established."""
        self.in_flight[request.id] = request
        self.recent_ids.add(request.id)
        if self.connection is None:
            self._queued.append(request)
        else:
            self._write(self.connection, request)

    def _write(self, connection: Connection, request: PooledRequest) -> None:
        request_id, transmission = request.id, request.transmission

        def may_begin() -> bool:
            if self.in_flight.get(request_id) is not request:
                return False  # cancelled before its first byte
            if not request.may_begin():
                self.finish(request_id)
                request.failed(RequestFailure.NOT_STARTED)
                return False
            self._started.add(request_id)
            transmission.begin()
            return True

        def on_written() -> None:
            transmission.taken()
            if self.in_flight.get(request_id) is request:
                self._written.add(request_id)

        def on_deferred() -> None:
            transmission.not_taken()
            if self.in_flight.get(request_id) is request:
                self._started.discard(request_id)

        connection.send(b"", may_begin, on_written, on_deferred, request.encode, transmission.partly_taken)

    def finish(self, request_id: str) -> PooledRequest | None:
        """Removes a request that has ended, with or without an answer, and returns it; a draining connection
        is closed after its last."""
        request = self.in_flight.pop(request_id, None)
        self._started.discard(request_id)
        self._written.discard(request_id)
        if not self.in_flight:
            self.idle_since = self.pool.loop.time()
            if self.is_draining:
                self.close_gracefully()
        return request

    def cancel(self, request_id: str, cancel_message: bytes, started_at: float) -> bool:
        """Ends a request and sends `cancel_message`; returns True if the request may have run.

        A request of which the kernel has a part will be written whole and may run, so it gets the message.
        A connection on which nothing has been read since `started_at` may be dead and gets no new requests.
        """
        may_have_run = request_id in self._started
        if self.connection is not None:
            if self.connection.last_read_at < started_at:
                self.is_draining = True
            if may_have_run:
                self.connection.send(cancel_message)
        # After the message, because `finish` may close a draining connection.
        self.finish(request_id)
        return may_have_run

    def is_answer_stalled(self) -> bool:
        """True if a partial answer has got no more input for ANSWER_STALL_S: the requests here wait in
        vain."""
        connection = self.connection
        return (
            connection is not None
            and connection.has_partial_message
            and self.pool.loop.time() - connection.last_read_at > ANSWER_STALL_S
        )

    def is_write_stalled(self) -> bool:
        """True if the cache host has taken no data for too long."""
        return self.connection is not None and self.connection.is_write_stalled()

    def release_memory(self, now: float) -> None:
        """Drops request ids that are older than `remember_ids_s`, and frees an empty buffer."""
        if now - self._ids_rotated_at > self.pool.remember_ids_s:
            self._ids_rotated_at = now
            self.older_ids, self.recent_ids = self.recent_ids, set(self.in_flight)
        if self.connection is not None:
            self.connection.release_buffer()

    def close_gracefully(self) -> None:
        """Closes with lingering: pending messages are written, and an answer that still arrives is read
        out."""
        connection = self._leave_pool()
        if connection is not None:
            connection.close_gracefully()

    def close(self) -> None:
        """Closes the connection at once; its requests in flight fail."""
        connection = self._leave_pool()
        if connection is not None:
            connection.close()

    def _leave_pool(self) -> Connection | None:
        """Removes this from the pool; returns the connection to close, or None if that has begun already or
        the connection is not established."""
        if self._has_left_pool:
            return None
        self._has_left_pool = True
        self.pool.discard(self)
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
        """Connects and writes the queued requests; returns None on success."""
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
        """Releases the descriptor and fails the remaining requests; also runs if `_run` never started."""
        self._has_left_pool = True
        self.pool.discard(self)
        self.pool.connection_ended()
        failure = self._failure_of_unwritten(task)
        # The end of a connection counts once against its host, however many requests were on it. An end
        # inside an answer or by malformed input does not count: the host was there to send it.
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
