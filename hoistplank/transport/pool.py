"""Connections to cache hosts, shared by requests: opened on demand, closed when idle."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from hoistplank.transport.connection import Consume
from hoistplank.transport.descriptor_budget import ConnectionKind, DescriptorBudget
from hoistplank.transport.pooled_connection import ANSWER_STALL_S, PooledConnection
from hoistplank.transport.pooled_request import PooledRequest

# Connections to one cache host: few at first, since a new one may come up late or never, and a request that
# waits for it is late; up to many, where descriptors allow, once connections end with requests on them.
MIN_CONNECTIONS_PER_HOST, MAX_CONNECTIONS_PER_HOST = 2, 32
CALM_S = 10.0  # without such an end, before half as many are opened again
# Closed well before the cache host does it: a request that crosses its close would be lost.
IDLE_SHARE = 0.6


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """What the settings say of connections to cache hosts."""

    max_requests_per_connection: int
    idle_s: float  # after which a cache host closes an idle connection
    connect_timeout_s: float
    remember_ids_s: float  # in which an id does not go over one connection twice


class Pool:
    """All connections to cache hosts, by the uid of the host."""

    def __init__(
        self,
        descriptors: DescriptorBudget,
        settings: PoolSettings,
        make_reader: Callable[[PooledConnection], Consume],
        report_error: Callable[[str, BaseException], None],
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.descriptors, self.make_reader, self.report_error = descriptors, make_reader, report_error
        self.max_requests = max(1, settings.max_requests_per_connection)
        self.idle_s = settings.idle_s * IDLE_SHARE
        self.connect_timeout_s = settings.connect_timeout_s
        self.remember_ids_s = settings.remember_ids_s
        self.connections: dict[str, list[PooledConnection]] = {}
        self.connections_per_host = MIN_CONNECTIONS_PER_HOST
        self.connections_per_host_set_at = self._swept_at = self.loop.time()
        descriptors.reclaimers[ConnectionKind.CACHE_HOST] = self.reclaim

    def send(self, host: str, address: tuple[str, int], request: PooledRequest) -> PooledConnection | None:
        """Sends a request on a free connection, else on a new one, else on the one with the fewest in flight.

        Danger: an answer that is spoiled or stalls ends all that shares its connection. Where connections end
        so, more are opened till none is shared; each host may have its even share of descriptors. None where
        no connection can be had.
        """
        connections = self.connections.setdefault(host, [])
        best = _least_loaded(connections, request.id)
        if best is None or best.in_flight:
            share = self.descriptors.limits[ConnectionKind.CACHE_HOST] // (len(self.connections) + 1)
            most = max(1, min(MAX_CONNECTIONS_PER_HOST, share, self.connections_per_host))
            # Danger: a request that looks, fills and goes again has its id on several connections. Where none
            # is left for it, another is opened: else it would use up its attempts with none sent.
            is_full = best is None or len(best.in_flight) >= self.max_requests
            may_open = len(connections) < (max(most, share) if is_full else most)
            if may_open and self.descriptors.acquire(ConnectionKind.CACHE_HOST):
                best = PooledConnection(self, host, address)
                connections.append(best)
            elif best is None or is_full:
                return None
        best.send(request)
        return best

    def drain(self, host: str) -> None:
        """No new request goes over the connections that this host has now; each ends with its last."""
        for pooled in list(self.connections.get(host, ())):
            pooled.is_draining = True
            if not pooled.in_flight:
                pooled.close_gracefully()

    def sweep(self) -> None:
        """Closes what stalls or has been idle for as long as the settings say; lets go of memory and ids."""
        now = self.loop.time()
        # Danger: after a standstill of this process what came meanwhile is still unread, and looks stalled.
        is_punctual = now - self._swept_at < ANSWER_STALL_S
        self._swept_at = now
        is_calm = now - self.connections_per_host_set_at > CALM_S
        if is_calm and self.connections_per_host > MIN_CONNECTIONS_PER_HOST:
            self.connections_per_host //= 2
            self.connections_per_host_set_at = now
        for pooled in self._all():
            if pooled.is_write_stalled() or (is_punctual and pooled.is_answer_stalled()):
                pooled.close()
            elif not pooled.in_flight and pooled.idle_since < now - self.idle_s:
                pooled.close_gracefully()
            else:
                pooled.release_memory(now)

    def reclaim(self) -> None:
        """Closes the connection that has been idle longest."""
        idle = [pooled for pooled in self._all() if not pooled.in_flight and pooled.connection is not None]
        if idle:
            min(idle, key=lambda pooled: pooled.idle_since).close_gracefully()

    def close(self) -> None:
        """Ends all connections at once."""
        for pooled in self._all():
            pooled.close()

    # What a connection tells its pool.

    def connection_lost(self) -> None:
        """A connection ended with written requests on it: from now on fewer share one."""
        self.connections_per_host = min(MAX_CONNECTIONS_PER_HOST, self.connections_per_host * 2)
        self.connections_per_host_set_at = self.loop.time()

    def connection_ended(self) -> None:
        """The descriptor of a connection is free."""
        self.descriptors.release(ConnectionKind.CACHE_HOST)

    def forget(self, pooled: PooledConnection) -> None:
        """Takes a connection out, if it is still in."""
        connections = self.connections.get(pooled.host, [])
        if pooled in connections:
            connections.remove(pooled)
            if not connections:
                del self.connections[pooled.host]

    def _all(self) -> list[PooledConnection]:
        return [pooled for connections in self.connections.values() for pooled in connections]


def _least_loaded(connections: list[PooledConnection], request_id: str) -> PooledConnection | None:
    """The connection with the fewest requests in flight, of those that may take one of this id."""
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
