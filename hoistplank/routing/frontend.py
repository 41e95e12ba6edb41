"""All client connections: what they may hold together, and which of them end early."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from hoistplank.decision.settings import RouterSettings
from hoistplank.protocol import fastcgi
from hoistplank.routing.client_session import ClientSession, ConnectionFactory
from hoistplank.routing.rate_limited_log import RateLimitedLog
from hoistplank.routing.request_intake import HEALTH_PATH, Authorizer, RequestIntake
from hoistplank.routing.response import retry_after_fields
from hoistplank.routing.router_task import RouterTask
from hoistplank.transport.connection import Connection
from hoistplank.transport.descriptor_budget import ConnectionKind, DescriptorBudget

IDLE_TIMEOUT_S = 8.0  # clients close after half of it
# A connection is to end within 3 s if no request on it becomes whole: a sweep and the close fit in the rest.
UNFINISHED_TIMEOUT_S = 2.0
LAST_ANSWER_ARRIVED_S = 0.1  # after its last request an idle client has had its answer
NEW_CONNECTION_S = 0.05  # one that has sent nothing for less may have its first bytes on the way
# Of the memory limit in MB: a quarter for answers that wait, an eighth for requests unfinished or open.
UNSENT_BYTES_PER_MB = 1 << 18
HELD_BYTES_PER_MB = 1 << 17

MAX_PENDING_READS = 16  # of a client, after a standstill

HEALTH_SCRIPT = HEALTH_PATH.encode()


class Frontend:
    """The client sessions and their common limits; `is_ready` says what a health check is answered.

    Where descriptors run out, the descriptor budget calls `reclaim`.
    """

    def __init__(
        self,
        router_task: RouterTask,
        settings: RouterSettings,
        descriptors: DescriptorBudget,
        memory_mb: int,
        is_ready: Callable[[], bool],
        authorizer: Authorizer | None = None,
    ) -> None:
        self.router_task, self.descriptors = router_task, descriptors
        self.intake = RequestIntake(router_task, settings, is_ready, authorizer)
        self.class_by_script = self.intake.parser.script_names()
        self.sessions: dict[ClientSession, None] = {}  # in the order in which they were accepted
        self.rate_limited_log = RateLimitedLog()
        self.unfinished_timeout_s = UNFINISHED_TIMEOUT_S
        self.max_unsent_bytes = memory_mb * UNSENT_BYTES_PER_MB
        self.max_held_bytes = memory_mb * HELD_BYTES_PER_MB
        self.held_bytes = 0
        descriptors.reclaimers[ConnectionKind.CLIENT] = self.reclaim
        self.shed_head = fastcgi.encode_head(503, retry_after_fields(router_task.retry_after_us))

    def serve(
        self, sock: socket.socket, peer: str = "", make_connection: ConnectionFactory = Connection
    ) -> ClientSession:
        """Serves an accepted connection from the address `peer`."""
        session = ClientSession(self, sock, peer, make_connection)
        self.sessions[session] = None
        return session

    def shed(self, number: int, script: bytes) -> bytes | None:
        """Asked as a request begins: where the core is at its bound for its traffic class, or for every
        traffic class where that is not known yet, it is rejected there, unread, with the time to stay
        away."""
        if script == HEALTH_SCRIPT or self.router_task.admits(self.class_by_script.get(script, "")):
            return None
        return fastcgi.encode_response_without_body(number, self.shed_head)

    def count_held_bytes(self, more: int) -> None:
        """Counts what unfinished and open requests hold; when all hold too much, those of the largest holder
        are answered."""
        self.held_bytes += more
        if more > 0 and self.held_bytes > self.max_held_bytes:
            largest = max(self.sessions, key=lambda session: session.reader.held_bytes)
            largest.release_memory()

    def read_pending(self) -> None:
        """Reads what clients with open requests have sent by now: after a standstill, some may have left."""
        for session in [session for session in self.sessions if session.open_requests]:
            session.read_pending(MAX_PENDING_READS)

    # The sweep.

    def sweep(self) -> None:
        """Closes what is idle or overdue, and the slowest readers while too much waits for all."""
        now = asyncio.get_running_loop().time()
        for session in list(self.sessions):
            self._sweep_session(session, now)
        self._close_slow_readers()

    def _sweep_session(self, session: ClientSession, now: float) -> None:
        connection = session.connection
        if connection.is_write_stalled():
            connection.close()
        elif connection.is_closing:
            return  # its end has a clock of its own
        elif (session.is_closing or connection.last_read_at < now - IDLE_TIMEOUT_S) and session.is_idle():
            connection.close_gracefully()
        elif not session.given_up and (reason := session.overdue(now)):
            session.give_up(reason)
        else:
            session.release_overdue(self.router_task.clock.now())
            connection.release_buffer()

    def _close_slow_readers(self) -> None:
        total = sum(session.connection.unsent_bytes for session in self.sessions)
        if total <= self.max_unsent_bytes:
            return
        by_unsent_bytes = sorted(self.sessions, key=lambda session: session.connection.unsent_bytes)
        while total > self.max_unsent_bytes:
            slowest = by_unsent_bytes.pop()
            total -= slowest.connection.unsent_bytes
            self.rate_limited_log.warning("slow reader let go", bytes=slowest.connection.unsent_bytes)
            slowest.connection.close()

    # Descriptors.

    def reclaim(self) -> None:
        """Some of those given up or that never sent a request go, else the longest unfinished, else the
        longest idle.

        Danger: while hundreds come that send nothing, usual clients that are idle would go for them; yet
        where the idle ones hold most descriptors, waiting for the few young ones would leave all others
        outside.
        """
        now = asyncio.get_running_loop().time()
        live = [session for session in self.sessions if not session.connection.is_closing]
        silent = [session for session in self.sessions if session.given_up or session.is_silent()]
        silent = [session for session in silent if not session.connection.is_closed]
        old = [
            session for session in silent if session.given_up or now - session.opened_at > NEW_CONNECTION_S
        ]
        _close_silent(old)
        if old or len(silent) > len(live) // 2:
            return
        live.sort(key=lambda session: session.connection.last_read_at)
        if not _close_unfinished(live, now):
            _close_idle(live, now)

    # The end of the program.

    def all_sent(self) -> bool:
        """Whether all answers are with the system."""
        return all(not session.connection.unsent_bytes for session in self.sessions)

    def close_when_idle(self) -> None:
        """Each connection ends once nothing is owed on it any more; a young one may have its first bytes on
        the way, and is left to the sweep."""
        now = asyncio.get_running_loop().time()
        for session in list(self.sessions):
            session.close_when_idle(even_if_silent=now - session.opened_at > NEW_CONNECTION_S)

    def close(self) -> None:
        """Ends all connections at once."""
        for session in list(self.sessions):
            session.connection.close()


def _close_silent(sessions: list[ClientSession]) -> None:
    """Closes the older quarter of those given up or that never sent a request."""
    for session in sessions[: max(1, len(sessions) // 4)]:
        is_answered = session.given_up and not session.connection.unsent_bytes
        if is_answered or (session.is_idle() and session.is_silent()):
            session.connection.close()


def _close_unfinished(sessions: list[ClientSession], now: float) -> bool:
    """Closes the first without an open request that has been unfinished for half of the time that it has:
    what comes meanwhile may be a usual client's, read late."""
    for session in sessions:
        if session.is_answered() and session.is_stalled(now, session.frontend.unfinished_timeout_s / 2):
            session.connection.close()
            return True
    return False


def _close_idle(sessions: list[ClientSession], now: float) -> None:
    """Ends the sixteenth that is idle longest.

    Some at once: where thousands come and stay, a look through all for each newcomer would fill a core.
    """
    for session in sessions[: max(1, len(sessions) // 16)]:
        if not session.is_idle():
            continue
        # The last answer has arrived by now, and only what crosses the close is lost: its client sends it
        # again. Else in order, which takes a moment more.
        if now - session.connection.last_read_at > LAST_ANSWER_ARRIVED_S:
            session.connection.close()
        else:
            session.connection.close_gracefully()
