"""All client connections: their common limits, and the connections that are closed early."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from hoistplank.decision.settings import RouterSettings
from hoistplank.protocol import fastcgi
from hoistplank.routing.client_memory import ClientMemory, client_memory_bytes, resident_bytes
from hoistplank.routing.client_session import ClientSession, ConnectionFactory
from hoistplank.routing.misuse_throttle import MisuseBudget
from hoistplank.routing.rate_limited_log import RateLimitedLog
from hoistplank.routing.request_intake import HEALTH_PATH, Authorizer, RequestIntake
from hoistplank.routing.response import retry_after_fields
from hoistplank.routing.router_task import RouterTask
from hoistplank.transport.descriptor_budget import ConnectionKind, DescriptorBudget
from hoistplank.transport.shared_buffer import SharedBufferConnection

IDLE_TIMEOUT_S = 8.0  # clients close an idle connection after half of it
# A connection must end within 3 s if no request on it is completed; the rest is for a sweep and the close.
UNFINISHED_TIMEOUT_S = 2.0
LAST_ANSWER_ARRIVED_S = 0.1  # an idle client has received its last answer this long after its last request
NEW_CONNECTION_S = 0.05  # the first bytes of a connection younger than this may be in transit

MAX_PENDING_READS = 16  # per client, after a standstill

HEALTH_SCRIPT = HEALTH_PATH.encode()


class Frontend:
    """The client sessions and their common limits.

    `is_ready` determines the answer to health checks. When descriptors run out, the descriptor budget calls
    `reclaim`.
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
        self.sessions: dict[ClientSession, None] = {}  # in order of acceptance
        self.rate_limited_log = RateLimitedLog()
        self.misuse_budget = MisuseBudget(asyncio.get_running_loop().time())
        self.unfinished_timeout_s = UNFINISHED_TIMEOUT_S
        max_connections = descriptors.limits[ConnectionKind.CLIENT]
        self.memory = ClientMemory(client_memory_bytes(memory_mb << 20, resident_bytes(), max_connections))
        descriptors.reclaimers[ConnectionKind.CLIENT] = self.reclaim
        self.shed_head = fastcgi.encode_head(503, retry_after_fields(router_task.retry_after_us))

    def serve(
        self, sock: socket.socket, peer: str = "", make_connection: ConnectionFactory = SharedBufferConnection
    ) -> ClientSession:
        """Starts a session for an accepted connection from the address `peer`."""
        session = ClientSession(self, sock, peer, make_connection)
        self.sessions[session] = None
        return session

    def shed(self, number: int, script: bytes) -> bytes | None:
        """Returns the 503 response to a request that is shed as it begins, or None if it is to be read.

        A request is shed, unread, if the core is at its limit for the request's traffic class, or for every
        traffic class if the request's is not known yet. The response has the time after which to retry.
        """
        if script == HEALTH_SCRIPT or self.router_task.admits(self.class_by_script.get(script, "")):
            return None
        return fastcgi.encode_response_without_body(number, self.shed_head)

    @property
    def held_bytes(self) -> int:
        """The bytes that all clients hold now."""
        return sum(session.held_bytes() for session in self.sessions)

    def count_held_bytes(self, session: ClientSession) -> None:
        """Counts what a session holds now; above the bound, some sessions are made to release theirs."""
        if session in self.sessions and self.memory.update(session):
            self.memory.release(asyncio.get_running_loop().time())

    def session_ended(self, session: ClientSession) -> None:
        """Removes a session whose connection has ended."""
        self.sessions.pop(session, None)
        self.memory.remove(session)

    def read_pending(self) -> None:
        """Reads from clients with open requests: some may have disconnected during a standstill."""
        for session in [session for session in self.sessions if session.open_requests]:
            session.read_pending(MAX_PENDING_READS)

    # The sweep.

    def sweep(self) -> None:
        """Closes idle and timed-out connections, and counts what was written since the last sweep."""
        now = asyncio.get_running_loop().time()
        for session in list(self.sessions):
            self._sweep_session(session, now)
            self.memory.update(session)
        if self.memory.held_bytes > self.memory.limit_bytes:
            self.memory.release(now)

    def _sweep_session(self, session: ClientSession, now: float) -> None:
        connection = session.connection
        if connection.is_write_stalled():
            connection.close()
        elif connection.is_closing:
            return  # its close has a timeout of its own
        elif (session.is_closing or connection.last_read_at < now - IDLE_TIMEOUT_S) and session.is_idle():
            connection.close_gracefully()
        elif not session.has_failed and session.timeout_reason(now):
            _close_timed_out(session, now)
        else:
            session.submit_expiring(self.router_task.clock.now())
            connection.release_buffer()

    # Descriptors.

    def reclaim(self) -> None:
        """Closes some connections to free descriptors.

        Failed connections and those that never sent a request come first, then the one with the longest
        unfinished request, then the longest idle ones. While hundreds of silent connections arrive, idle
        connections of well-behaved clients must not be closed for them. If idle connections hold most
        descriptors, however, sparing them until the few new silent ones are old enough would keep all other
        clients out.
        """
        now = asyncio.get_running_loop().time()
        live = [session for session in self.sessions if not session.connection.is_closing]
        silent = [session for session in self.sessions if session.has_failed or session.is_silent()]
        silent = [session for session in silent if not session.connection.is_closed]
        old = [
            session for session in silent if session.has_failed or now - session.opened_at > NEW_CONNECTION_S
        ]
        _close_silent(old)
        if old or len(silent) > len(live) // 2:
            return
        live.sort(key=lambda session: session.connection.last_read_at)
        if not _close_unfinished(live, now):
            _close_idle(live, now)

    # Shutdown.

    def all_answers_written(self) -> bool:
        """Returns whether all answers were passed to the system."""
        return all(not session.connection.unsent_bytes for session in self.sessions)

    def close_when_idle(self) -> None:
        """Closes each connection once nothing is pending on it. The first bytes of a new one may be in
        transit, so it is left to the sweep."""
        now = asyncio.get_running_loop().time()
        for session in list(self.sessions):
            session.close_when_idle(even_if_silent=now - session.opened_at > NEW_CONNECTION_S)

    def close(self) -> None:
        """Closes all connections at once."""
        for session in list(self.sessions):
            session.connection.close()


def _close_timed_out(session: ClientSession, now: float) -> None:
    """Closes a session that has timed out, unless what has arrived and was not read yet completes it.

    Reading may be paused: complete requests that are unread would be lost.
    """
    session.read_pending(MAX_PENDING_READS)
    reason = session.timeout_reason(now)
    if reason and not session.connection.is_closed:
        session.close_with_failure(reason)


def _close_silent(sessions: list[ClientSession]) -> None:
    """Closes the oldest quarter of the failed or silent sessions."""
    for session in sessions[: max(1, len(sessions) // 4)]:
        is_answered = session.has_failed and not session.connection.unsent_bytes
        if is_answered or (session.is_idle() and session.is_silent()):
            session.connection.close()


def _close_unfinished(sessions: list[ClientSession], now: float) -> bool:
    """Closes the first session without an open request that has been unfinished for half of the time limit.

    Unfinished requests younger than that may be of well-behaved clients whose data is read late.
    """
    for session in sessions:
        timeout_s = session.frontend.unfinished_timeout_s / 2
        if not session.is_answered() or not session.unfinished.is_stalled(now, timeout_s):
            continue
        session.read_pending(MAX_PENDING_READS)
        if session.is_answered():
            session.connection.close()
            return True
    return False


def _close_idle(sessions: list[ClientSession], now: float) -> None:
    """Closes the sixteenth of the sessions that has been idle the longest.

    Several are closed at once, because a search through thousands of sessions for each new connection would
    use up a core.
    """
    for session in sessions[: max(1, len(sessions) // 16)]:
        if not session.is_idle():
            continue
        # If the last answer has arrived by now, an immediate close loses only a request that crosses it,
        # which its client sends again. Otherwise the close is graceful, which takes longer.
        if now - session.connection.last_read_at > LAST_ANSWER_ARRIVED_S:
            session.connection.close()
        else:
            session.connection.close_gracefully()
