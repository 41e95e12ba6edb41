"""The pool of connections to cache hosts: shared by requests, opened on demand, closed when idle."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from hoistplank.decision.list_confirmation import ListConfirmation
from hoistplank.decision.process_identity import ProcessIdentity
from hoistplank.transport.connection import Consume
from hoistplank.transport.descriptor_budget import ConnectionKind, DescriptorBudget
from hoistplank.transport.pooled_connection import ANSWER_STALL_S, PooledConnection
from hoistplank.transport.pooled_request import PooledRequest

# Connections to one cache host: few at first, because a new connection may be established late or never,
# which delays the request that waits for it. Where descriptors allow, the limit rises to the maximum as
# connections are lost with requests on them.
MIN_CONNECTIONS_PER_HOST, MAX_CONNECTIONS_PER_HOST = 2, 32
CONNECTION_LIMIT_DECAY_S = 10.0  # the limit is halved after this time without such a loss
# Connections are closed after this share of the cache host's idle timeout: a request that crosses the cache
# host's own close would be lost.
IDLE_TIMEOUT_SHARE = 0.6


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Settings of the connections to cache hosts."""

    max_requests_per_connection: int
    idle_s: float  # after which a cache host closes an idle connection
    connect_timeout_s: float
    remember_ids_s: float  # for which a request id is not used again on the same connection


class Pool:
    """All connections to cache hosts, by the uid of the host.

    `identity` decides which of them may be used while the endpoint list is not confirmed, by the time that
    `now_us` returns; without it, all may.
    """

    def __init__(
        self,
        descriptors: DescriptorBudget,
        settings: PoolSettings,
        make_reader: Callable[[PooledConnection], Consume],
        report_error: Callable[[str, BaseException], None],
        identity: ProcessIdentity | None = None,
        now_us: Callable[[], int] | None = None,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.identity = identity if identity is not None else ProcessIdentity(ListConfirmation(0))
        self.now_us = now_us if now_us is not None else lambda: int(self.loop.time() * 1e6)
        self.descriptors, self.make_reader, self.report_error = descriptors, make_reader, report_error
        self.max_requests = max(1, settings.max_requests_per_connection)
        self.idle_s = settings.idle_s * IDLE_TIMEOUT_SHARE
        self.connect_timeout_s = settings.connect_timeout_s
        self.remember_ids_s = settings.remember_ids_s
        self.connections: dict[str, list[PooledConnection]] = {}
        self.connections_per_host = MIN_CONNECTIONS_PER_HOST
        self.connections_per_host_set_at = self._swept_at = self.loop.time()
        descriptors.reclaimers[ConnectionKind.CACHE_HOST] = self.reclaim

    def send(self, host: str, address: tuple[str, int], request: PooledRequest) -> PooledConnection | None:
        """Sends a request on an idle connection, else on a new one, else on the one with the fewest requests.

        Returns the connection, or None if none is available. A malformed or stalled answer ends all requests
        that share its connection. Where that happens, more connections are opened until none is shared, up to
        an equal share of the descriptors for each host.
        """
        connections = self.connections.setdefault(host, [])
        if not self.identity.vouches_for_addresses(self.now_us()):
            return self._send_verified(connections, request)
        best = _least_loaded(connections, request.id)
        if best is None or best.in_flight:
            share = self.descriptors.limits[ConnectionKind.CACHE_HOST] // (len(self.connections) + 1)
            soft_limit = max(1, min(MAX_CONNECTIONS_PER_HOST, share, self.connections_per_host))
            # A request with several attempts has used its id on several connections. If no connection is left
            # for it, another is opened: otherwise it would use up its attempts without sending any.
            is_full = best is None or len(best.in_flight) >= self.max_requests
            may_open = len(connections) < (max(soft_limit, share) if is_full else soft_limit)
            if may_open and self.descriptors.acquire(ConnectionKind.CACHE_HOST):
                best = PooledConnection(self, host, address)
                connections.append(best)
            elif best is None or is_full:
                return None
        best.send(request)
        return best

    def _send_verified(
        self, connections: list[PooledConnection], request: PooledRequest
    ) -> PooledConnection | None:
        """Sends a request on a connection that leads to the listed process; no other one may be used now."""
        best = _least_loaded([pooled for pooled in connections if pooled.is_verified()], request.id)
        if best is None or len(best.in_flight) >= self.max_requests:
            return None
        best.send(request)
        return best

    def open_connection(self, host: str, address: tuple[str, int]) -> None:
        """Opens a connection without a request, unless one is being established or no descriptor is left."""
        connections = self.connections.get(host, [])
        if any(pooled.connection is None for pooled in connections):
            return
        if self.descriptors.acquire(ConnectionKind.CACHE_HOST):
            self.connections.setdefault(host, []).append(PooledConnection(self, host, address))

    def drain(self, host: str) -> None:
        """Sends no new request on the host's present connections; each is closed after its last request. They
        say nothing of the process that the list names from now on."""
        self.identity.forget(host)
        for pooled in list(self.connections.get(host, ())):
            pooled.stop_taking_requests()
            if not pooled.in_flight:
                pooled.close_gracefully()

    def sweep(self) -> None:
        """Closes stalled connections and those idle for `idle_s`; frees buffers and old request ids.

        Idle connections stay while the endpoint list is not confirmed: a new one would prove nothing.
        """
        now = self.loop.time()
        # After a pause of this process, input that arrived meanwhile is still unread: its answer is not
        # stalled.
        is_on_schedule = now - self._swept_at < ANSWER_STALL_S
        self._swept_at = now
        is_decay_due = now - self.connections_per_host_set_at > CONNECTION_LIMIT_DECAY_S
        if is_decay_due and self.connections_per_host > MIN_CONNECTIONS_PER_HOST:
            self.connections_per_host //= 2
            self.connections_per_host_set_at = now
        keeps_idle = self.identity.list_confirmation.unconfirmed_since_us is not None
        for pooled in self.all_connections():
            if pooled.is_write_stalled() or (is_on_schedule and pooled.is_answer_stalled()):
                pooled.close()
            elif not (pooled.in_flight or keeps_idle) and pooled.idle_since < now - self.idle_s:
                pooled.close_gracefully()
            else:
                pooled.release_memory(now)

    def reclaim(self) -> None:
        """Closes the connection that has been idle the longest."""
        idle = [
            pooled
            for pooled in self.all_connections()
            if not pooled.in_flight and pooled.connection is not None
        ]
        if idle:
            min(idle, key=lambda pooled: pooled.idle_since).close_gracefully()

    def close(self) -> None:
        """Closes all connections at once."""
        for pooled in self.all_connections():
            pooled.close()

    # Called by the connections.

    def connection_lost(self) -> None:
        """Doubles the limit of connections to a host, after one has ended with requests that may have run."""
        self.connections_per_host = min(MAX_CONNECTIONS_PER_HOST, self.connections_per_host * 2)
        self.connections_per_host_set_at = self.loop.time()

    def connection_ended(self) -> None:
        """Releases the descriptor of a connection that has ended."""
        self.descriptors.release(ConnectionKind.CACHE_HOST)

    def discard(self, pooled: PooledConnection) -> None:
        """Removes a connection, if it is still in the pool."""
        connections = self.connections.get(pooled.host, [])
        if pooled in connections:
            connections.remove(pooled)
            if not connections:
                del self.connections[pooled.host]

    def all_connections(self) -> list[PooledConnection]:
        """Returns all connections that take requests, the ones being established included."""
        return [pooled for connections in self.connections.values() for pooled in connections]


def _least_loaded(connections: list[PooledConnection], request_id: str) -> PooledConnection | None:
    """Returns the connection with the fewest requests in flight, of those that may take a request with this
    id."""
    best: PooledConnection | None = None
    for pooled in connections:
        if (
            not pooled.is_draining
            and request_id not in pooled.recent_ids
            and request_id not in pooled.older_ids
            and (best is None or len(pooled.in_flight) < len(best.in_flight))
        ):
            best = pooled
            if not pooled.in_flight:
                break  # none has fewer
    return best
