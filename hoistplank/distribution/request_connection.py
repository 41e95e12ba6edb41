"""A connection to a replica from a dispatcher, a peer or an operator: dispatches its requests."""

from __future__ import annotations

import asyncio
import socket
from typing import Protocol

import structlog

from hoistplank.distribution.dispatcher_session import DispatcherSession, SessionReplica
from hoistplank.distribution.lines import LineReader
from hoistplank.distribution.messages import (
    MAX_REQUEST_LINE_BYTES,
    Acknowledgement,
    FollowRequest,
    PeerSubscription,
    Redirect,
    ReplicaLine,
    ReplicaRequest,
    StatusRequest,
    encode,
    read_request,
)
from hoistplank.distribution.peer_link import PeerReplica, PeerSession
from hoistplank.distribution.status import StatusResponse
from hoistplank.protocol.errors import ProtocolError
from hoistplank.routing.rate_limited_log import RateLimitedLog
from hoistplank.transport.connection import Connection

log = structlog.get_logger()
# A connection without input for this long is closed; peers, which send one line only, are closed once writes
# to them stall.
IDLE_TIMEOUT_S = 30.0
MAX_PENDING_BYTES = 65_536  # output pending before nothing more is read


class RequestHandler(SessionReplica, PeerReplica, Protocol):
    """The interface of a replica that a connection uses."""

    rate_limited_log: RateLimitedLog
    peer_sessions: dict[PeerSession, None]

    def rejection(self, request: FollowRequest) -> str:
        """Returns why the dispatcher is not accepted now; empty if it is."""

    def accept(self, session: DispatcherSession) -> None:
        """Registers a dispatcher and starts sending to it; raises ProtocolError if it can't follow."""

    def acknowledge(self, session: DispatcherSession, acknowledgement: Acknowledgement) -> None:
        """Records what a dispatcher has in force."""

    def status(self, request: StatusRequest) -> StatusResponse:
        """Returns the response to an operator."""

    def connection_closed(self, connection: RequestConnection) -> None:
        """Called after the connection has ended."""


class RequestConnection:
    """One connection to a replica; its first line identifies the other side."""

    def __init__(self, replica: RequestHandler, sock: socket.socket) -> None:
        self.replica = replica
        self.dispatcher: DispatcherSession | None = None
        self.peer: PeerSession | None = None
        self._reader = LineReader(MAX_REQUEST_LINE_BYTES)
        self.connection = Connection(sock, self._consume, 2 * MAX_REQUEST_LINE_BYTES, MAX_PENDING_BYTES)
        self.task = asyncio.get_running_loop().create_task(self.connection.run(), name="replica connection")
        self.task.add_done_callback(self._ended)

    def _consume(self, buffer: bytearray, start: int, end: int) -> int:
        start, lines = self._reader.read(buffer, start, end)
        for line in lines:
            self._handle(read_request(line))
        return start

    def _handle(self, request: ReplicaRequest) -> None:
        if isinstance(request, StatusRequest):
            self.connection.send(encode(self.replica.status(request)))
        elif isinstance(request, Acknowledgement):
            self._acknowledge(request)
        elif self.dispatcher is not None or self.peer is not None:
            raise ProtocolError("a connection sent a second 'follow' or 'report', expected at most one")
        elif isinstance(request, FollowRequest):
            self._follow(request)
        else:
            self._subscribe(request)

    def _follow(self, request: FollowRequest) -> None:
        rejection = self.replica.rejection(request)
        if rejection:
            log.info("dispatcher rejected and redirected", peer=request.dispatcher, why=rejection)
            self.connection.send(encode(ReplicaLine(redirect=Redirect(rejection))))
            self.connection.close_gracefully()
            return
        self.dispatcher = DispatcherSession(self.replica, self.connection, request)
        self.replica.accept(self.dispatcher)

    def _subscribe(self, subscription: PeerSubscription) -> None:
        self.peer = PeerSession(self.replica, self.connection, subscription)
        self.replica.peer_sessions[self.peer] = None
        self.peer.send_changes()
        self.peer.send_keepalive()

    def _acknowledge(self, acknowledgement: Acknowledgement) -> None:
        if self.dispatcher is None:
            raise ProtocolError("an acknowledgement arrived before 'follow'")
        self.replica.acknowledge(self.dispatcher, acknowledgement)

    def is_lost(self) -> bool:
        """Returns True if the other side counts as lost: an unreachable machine closes no connection."""
        idle_s = asyncio.get_running_loop().time() - self.connection.last_read_at
        is_idle = self.peer is None and idle_s > IDLE_TIMEOUT_S
        return is_idle or self.connection.is_write_stalled()

    def close(self) -> None:
        """Closes the connection now."""
        self.connection.close()

    def _ended(self, task: asyncio.Task[BaseException | None]) -> None:
        error = None if task.cancelled() else task.result()
        if error is not None and not isinstance(error, OSError):
            self.replica.rate_limited_log.warning(
                "connection to the replica ended with an error", wrong=str(error)
            )
        self.replica.connection_closed(self)
