"""Keeps connections to cache hosts usable while the endpoint list is not confirmed.

Only connections that are known to lead to the listed processes are used then, once the list is too old. They
are probed, so that cache hosts don't close them as idle, and further connections are opened beside them.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import count

from hoistplank.protocol import cachewire
from hoistplank.routing.router_task import RouterTask
from hoistplank.transport.pool import Pool
from hoistplank.transport.pooled_connection import PooledConnection

PROBE_INTERVAL_US = 1_000_000
# A list that is confirmed again within this time costs no probe.
START_DELAY_US = 1_000_000
PROBE_ID_PREFIX = "probe-"


class HostProber:
    """Probes the verified connections of a pool and opens others; `tick` is called several times a second."""

    def __init__(self, router_task: RouterTask, pool: Pool) -> None:
        self.router_task, self.pool = router_task, pool
        self.identity = pool.identity
        self._numbers: Iterator[int] = count()
        # The last probe of each connection: its id and the time at which it was sent.
        self._probes: dict[PooledConnection, tuple[str, int]] = {}
        self._connected_us: dict[str, int] = {}  # by host, when a further connection was last opened

    def tick(self) -> None:
        """Sends the probes and opens the connections that are due."""
        now_us = self.router_task.clock.now()
        since_us = self.identity.list_confirmation.unconfirmed_since_us
        if since_us is None:
            self._probes.clear()
            self._connected_us.clear()
            return
        if now_us < since_us + START_DELAY_US:
            return
        for host in self.router_task.router.hosts_to_connect(now_us):
            self._connect(host)
        verified = [
            pooled
            for pooled in self.pool.all_connections()
            if pooled.is_verified() and not pooled.is_draining
        ]
        for pooled in verified:
            self._probe_if_due(now_us, pooled)
        if not self.identity.may_still_verify(now_us):
            for host in dict.fromkeys(pooled.host for pooled in verified):
                self._connect_if_few(now_us, host)
        self._forget_closed(verified)

    def _connect(self, host: str) -> None:
        registered = self.router_task.endpoints.by_host.get(host)
        if registered is not None and self.router_task.endpoints.is_up(host):
            self.pool.open_connection(host, registered.address)

    def _connect_if_few(self, now_us: int, host: str) -> None:
        """Opens a connection that may be attested later, if those in use are few or full."""
        connections = [pooled for pooled in self.pool.connections.get(host, ()) if not pooled.is_draining]
        if any(not pooled.is_verified() for pooled in connections):
            return  # one is being established, or waits to be attested
        is_full = all(len(pooled.in_flight) >= self.pool.max_requests for pooled in connections)
        is_due = now_us - self._connected_us.get(host, 0) >= PROBE_INTERVAL_US
        if is_due and (is_full or len(connections) < self.pool.connections_per_host):
            self._connected_us[host] = now_us
            self._connect(host)

    def _probe_if_due(self, now_us: int, pooled: PooledConnection) -> None:
        """Probes a connection once a second, and at once if another one was established since."""
        _, sent_us = self._probes.get(pooled, ("", 0))
        is_due = now_us - sent_us >= PROBE_INTERVAL_US
        if not (is_due or self._has_unattested_since(pooled, sent_us)) or pooled.connection is None:
            return
        probe_id = f"{PROBE_ID_PREFIX}{next(self._numbers)}"
        self._probes[pooled] = (probe_id, now_us)
        pooled.on_probe_answer = lambda answered, is_healthy: self._answered(pooled, answered, is_healthy)
        pooled.connection.send(cachewire.encode_probe(probe_id))

    def _has_unattested_since(self, pooled: PooledConnection, sent_us: int) -> bool:
        """Returns True if another connection to the host, not verified yet, is younger than the probe."""
        return any(
            other.record is not None and not other.is_verified() and other.record.established_us >= sent_us
            for other in self.pool.connections.get(pooled.host, ())
        )

    def _answered(self, pooled: PooledConnection, answered_id: str, is_healthy: bool) -> None:
        probe_id, sent_us = self._probes.get(pooled, ("", 0))
        if answered_id == probe_id and pooled.record is not None:
            self.identity.probe_answered(pooled.record, sent_us, is_healthy=is_healthy)

    def _forget_closed(self, open_connections: list[PooledConnection]) -> None:
        is_open = set(open_connections)
        self._probes = {pooled: probe for pooled, probe in self._probes.items() if pooled in is_open}
