"""A connection to a replica, of a dispatcher, a peer or an operator: its lines, and who answers them."""

from __future__ import annotations

import asyncio
import socket
from typing import Protocol

import structlog

from hoistplank.distribution.dispatcher_session import DispatcherSession, Serving
from hoistplank.distribution.lines import LineReader
from hoistplank.distribution.messages import (
    MOST_REQUEST_LINE,
    Follow,
    InForce,
    Redirect,
    ReplicaLine,
    Report,
    StatusRequest,
    encode,
    read_request,
)
from hoistplank.distribution.peer_link import PeerSession, Reporting
from hoistplank.distribution.status import StatusAnswer
from hoistplank.protocol.errors import ProtocolError
from hoistplank.routing.rate_limited_log import RateLimitedLog
from hoistplank.transport.connection import Connection

log = structlog.get_logger()
# A connection on which nothing comes for so long ends; peers, who ask once, are given up once stuck.
SILENT_CONNECTION_S = 30.0
MOST_OUT = 65_536  # bytes waiting for the other side before nothing more is read from it


class Answering(Serving, Reporting, Protocol):
    """What a connection uses of its replica."""

    rate_limited_log: RateLimitedLog
    peer_sessions: dict[PeerSession, None]

    def refuses(self, follow: Follow) -> str: ...

    def accept(self, session: DispatcherSession) -> None: ...

    def acknowledged(self, session: DispatcherSession, in_force: InForce) -> None: ...

    def status(self, request: StatusRequest) -> StatusAnswer: ...

    def gone(self, connection: RequestConnection) -> None: ...


class RequestConnection:
    """One connection to a replica: its first line says whose it is."""

    def __init__(self, replica: Answering, sock: socket.socket) -> None:
        self.replica = replica
        self.reader = LineReader(MOST_REQUEST_LINE)
        self.dispatcher: DispatcherSession | None = None
        self.peer: PeerSession | None = None
        self.connection = Connection(sock, self._consume, 2 * MOST_REQUEST_LINE, MOST_OUT)
        self.task = asyncio.get_running_loop().create_task(self.connection.run(), name="replica connection")
        self.task.add_done_callback(self._ended)

    def _consume(self, buffer: bytearray, start: int, end: int) -> int:
        start, lines = self.reader.read(buffer, start, end)
        for line in lines:
            self._asked(read_request(line))
        return start

    def _asked(self, request: Follow | InForce | Report | StatusRequest) -> None:
        if isinstance(request, StatusRequest):
            self.connection.send(encode(self.replica.status(request)))
        elif isinstance(request, InForce):
            self._acknowledged(request)
        elif self.dispatcher is not None or self.peer is not None:
            raise ProtocolError("a connection says a second time whose it is")
        elif isinstance(request, Follow):
            self._followed(request)
        else:
            self.peer = PeerSession(self.replica, self.connection, request)
            self.replica.peer_sessions[self.peer] = None
            self.peer.send_changes()
            self.peer.send_alive()

    def _followed(self, follow: Follow) -> None:
        refused = self.replica.refuses(follow)
        if refused:
            log.info("dispatcher sent on", peer=follow.dispatcher, why=refused)
            self.connection.send(encode(ReplicaLine(redirect=Redirect(refused))))
            self.connection.close_gracefully()
            return
        self.dispatcher = DispatcherSession(self.replica, self.connection, follow)
        self.replica.accept(self.dispatcher)

    def _acknowledged(self, in_force: InForce) -> None:
        if self.dispatcher is None:
            raise ProtocolError("an acknowledgement comes before 'follow'")
        self.replica.acknowledged(self.dispatcher, in_force)

    def is_lost(self) -> bool:
        """Whether its other side counts as gone: a machine that is cut off closes nothing."""
        silent_s = asyncio.get_running_loop().time() - self.connection.last_read_at
        is_silent = self.peer is None and silent_s > SILENT_CONNECTION_S
        return is_silent or self.connection.is_write_stalled()

    def _ended(self, task: asyncio.Task[BaseException | None]) -> None:
        wrong = None if task.cancelled() else task.result()
        if wrong is not None and not isinstance(wrong, OSError):
            self.replica.rate_limited_log.warning("connection ended", wrong=str(wrong))
        self.replica.gone(self)
