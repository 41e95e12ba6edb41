"""A connection to a cache host and the requests on it, from connecting until it has ended."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from hoistplank.decision.process_identity import HostConnection, ProcessIdentity
from hoistplank.transport.connecting import connect_socket, open_tcp_socket
from hoistplank.transport.connection import Connection, Consume
from hoistplank.transport.message_writer import OutgoingMessage
from hoistplank.transport.pooled_request import PooledRequest, RequestFailure
from hoistplank.transport.transmission import Undelivered, UndeliveredReason

MAX_BUFFER_BYTES = 524_288  # an answer of 240,000 bytes with its head line, and the start of the next
MAX_UNSENT_BYTES = 4_194_304
# Without input for this long, a partial answer counts as stalled; pauses of cache hosts are shorter.
ANSWER_STALL_S = 0.3


class ConnectionOwner(Protocol):
    """The interface of the pool to its connections."""

    loop: asyncio.AbstractEventLoop
    connect_timeout_s: float
    remember_ids_s: float
    identity: ProcessIdentity

    def now_us(self) -> int:
        """Returns the time of the decision logic."""

    def make_reader(self, pooled: PooledConnection, /) -> Consume:
        """Returns the reader of the connection's answers."""

    def report_error(self, host: str, error: BaseException, /) -> None:
        """Reports that a connection ended by malformed input or by an error in this program."""

    def connection_lost(self) -> None:
        """Called if the connection ended with requests on it that may have run."""

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
        self.record: HostConnection | None = None  # of the established connection
        # Called with the id and the health in the answer to a health probe.
        self.on_probe_answer: Callable[[str, bool], None] | None = None
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
        transmission = request.transmission

        def may_begin() -> bool:
            if self.in_flight.get(request.id) is not request or not transmission.may_begin:
                return False  # it ended before its first byte
            if not (self.may_carry() and request.may_begin()):
                self._withdraw(request)
                return False
            transmission.begin()
            return True

        message = OutgoingMessage(
            may_begin=may_begin,
            encode=request.encode,
            may_continue=request.may_continue,
            on_written=transmission.taken,
            on_deferred=transmission.not_taken,
            on_partly_written=transmission.partly_taken,
        )
        connection.send_message(message)

    def stop_taking_requests(self) -> None:
        """Takes no new requests from now on; to be closed after the last one."""
        self.is_draining = True
        if self.record is not None:
            self.pool.identity.connection_retired(self.record)

    def may_carry(self) -> bool:
        """Returns True if requests may be sent here as far as the host's process is concerned."""
        pool = self.pool
        if self.record is None:
            return pool.identity.vouches_for_addresses(pool.now_us())
        return pool.identity.permits_connection(pool.now_us(), self.record)

    def is_verified(self) -> bool:
        """True if this is established and known to lead to the process that the endpoint list names."""
        return self.record is not None and self.pool.identity.is_verified(self.record)

    def _withdraw(self, request: PooledRequest) -> None:
        """Ends a request that may not begin."""
        self.finish(request)
        proof = request.transmission.withdraw(UndeliveredReason.NOT_STARTED)
        if proof is not None:
            request.undelivered(proof)

    def finish(self, request: PooledRequest) -> None:
        """Removes a request that has ended, with or without an answer; a draining connection is closed after
        its last. Does nothing if the request is not in flight here."""
        if self.in_flight.get(request.id) is not request:
            return
        del self.in_flight[request.id]
        if not self.in_flight:
            self.idle_since = self.pool.loop.time()
            if self.is_draining:
                self.close_gracefully()

    def cancel(
        self, request: PooledRequest, cancel_message: bytes, started_at: float, reason: UndeliveredReason
    ) -> Undelivered | None:
        """Ends a request, and sends `cancel_message` if it has begun; returns the proof that it never ran, or
        None if there is none.

        A request of which the kernel has a part will be written whole and may run, so it gets the message.
        A connection on which nothing has been read since `started_at` may be dead and gets no new requests.
        """
        proof = request.transmission.withdraw(reason)
        is_in_flight = self.in_flight.get(request.id) is request
        if self.connection is not None and is_in_flight:
            if self.connection.last_read_at < started_at:
                self.stop_taking_requests()
            if proof is None:
                self.connection.send(cancel_message)
        # After the message, because `finish` may close a draining connection.
        self.finish(request)
        return proof

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

    async def _run(self) -> UndeliveredReason | None:
        reason = await self._connect()
        if self.connection is not None:
            error = await self.connection.run()
            self._answer_spoiled = self.connection.ended_inside_message
            if error is not None and not isinstance(error, OSError):
                self._answer_spoiled = True
                self.pool.report_error(self.host, error)
        return reason

    async def _connect(self) -> UndeliveredReason | None:
        """Connects and writes the queued requests; returns None on success."""
        try:
            sock = open_tcp_socket()
            await connect_socket(sock, self.address, self.pool.connect_timeout_s)
        except TimeoutError:
            return UndeliveredReason.CONNECT_TIMED_OUT
        except ConnectionRefusedError:
            return UndeliveredReason.REFUSED
        except OSError:
            return UndeliveredReason.NOT_WRITTEN
        reader = self.pool.make_reader(self)
        self.connection = Connection(sock, reader, MAX_BUFFER_BYTES, MAX_UNSENT_BYTES)
        self.record = self.pool.identity.connection_established(self.pool.now_us(), self.host)
        queued, self._queued = self._queued, []
        for request in queued:
            self._write(self.connection, request)
        return None

    def _on_task_done(self, task: asyncio.Task[UndeliveredReason | None]) -> None:
        """Releases the descriptor and ends the remaining requests; also runs if `_run` never started."""
        closed_here, self._has_left_pool = self._has_left_pool, True
        self.pool.discard(self)
        self.pool.connection_ended()
        reason = self._reason_if_undelivered(task)
        self._record_end(reason, closed_here=closed_here)
        self._end_requests(reason)

    def _record_end(self, reason: UndeliveredReason, *, closed_here: bool) -> None:
        """Records what the end of the connection says about the host's process."""
        identity, now_us = self.pool.identity, self.pool.now_us()
        if self.record is not None:
            identity.connection_ended(now_us, self.record, by_host=not closed_here)
        elif reason is UndeliveredReason.REFUSED:
            identity.connection_broken(now_us, self.host)

    def _end_requests(self, reason: UndeliveredReason) -> None:
        """Ends the requests in flight, after the connection: those that were not written whole never ran.

        The end of a connection counts once against its host, however many requests were on it. An end inside
        an answer or by malformed input does not count: the host was there to send it.
        """
        ends = [
            (request, request.transmission.connection_ended(reason)) for request in self.in_flight.values()
        ]
        if any(proof is None for _, proof in ends):
            self.pool.connection_lost()
        failure = RequestFailure.ANSWER_SPOILED if self._answer_spoiled else RequestFailure.CONNECTION_LOST
        for request, proof in ends:
            self.finish(request)
            if proof is not None:
                request.undelivered(proof)
            else:
                request.failed(failure)
                failure = RequestFailure.ANSWER_SPOILED

    def _reason_if_undelivered(self, task: asyncio.Task[UndeliveredReason | None]) -> UndeliveredReason:
        """Returns why a request that was not written whole was not delivered."""
        if task.cancelled():
            return UndeliveredReason.NOT_WRITTEN
        error = task.exception()
        if error is not None:
            self.pool.report_error(self.host, error)
            return UndeliveredReason.NOT_WRITTEN
        return task.result() or UndeliveredReason.NOT_WRITTEN
