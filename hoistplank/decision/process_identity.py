"""Decides whether a connection leads to the process that the endpoint list names at its address.

An address doesn't identify a process: another host may start at the address of one that has gone. A confirmed
list vouches for its addresses, and one that was lost vouches for as long as its changes need not be known.
After that only connections are used that are known to lead to the listed process: those that were established
under the list and have not broken since, and further ones for which such a connection answered.
"""

from __future__ import annotations

from dataclasses import dataclass

from hoistplank.decision.list_confirmation import CHANGES_RECEIVED_US, NEVER_US, ListConfirmation

# A new connection within this time of the list's last confirmation counts as one to the listed process,
# unless an earlier connection broke: a host drains for longer before another one takes its address.
VERIFYING_WINDOW_US = 2_000_000
MAX_BROKEN_HOSTS = 4_096  # the latest; a host that was removed since may be among them


@dataclass(slots=True, eq=False)
class HostConnection:
    """An established connection to a host; `is_attested`: a verified connection to the same host answered
    after this one was established, so that both lead to the same process."""

    host: str
    established_us: int
    is_attested: bool = False


class ProcessIdentity:
    """The established connections to each host, and what they prove about its process."""

    def __init__(self, list_confirmation: ListConfirmation) -> None:
        self.list_confirmation = list_confirmation
        # True while the hosts of the list are known from probes alone, of which each one was answered.
        self.is_list_probed = False
        self._connections: dict[str, list[HostConnection]] = {}
        # The time of the last end of a connection that the host caused, or of a refused one.
        self._broken_us: dict[str, int] = {}
        self._unhealthy: set[str] = set()  # hosts that say themselves that they take no requests

    # Facts.

    def connection_established(self, now_us: int, host: str) -> HostConnection:
        """Records a new connection."""
        connection = HostConnection(host, now_us)
        self._connections.setdefault(host, []).append(connection)
        return connection

    def connection_ended(self, now_us: int, connection: HostConnection, *, by_host: bool) -> None:
        """Records the end of a connection; `by_host`: it was not this process that closed it."""
        self.connection_retired(connection)
        if by_host:
            self.connection_broken(now_us, connection.host)

    def connection_retired(self, connection: HostConnection) -> None:
        """Records that a connection takes no further requests."""
        connections = self._connections.get(connection.host, [])
        if connection in connections:
            connections.remove(connection)
            if not connections:
                del self._connections[connection.host]

    def connection_broken(self, now_us: int, host: str) -> None:
        """Records that a host ended or refused a connection: its process may be gone."""
        self._broken_us.pop(host, None)
        self._broken_us[host] = now_us
        if len(self._broken_us) > MAX_BROKEN_HOSTS:
            del self._broken_us[next(iter(self._broken_us))]

    def probe_answered(self, connection: HostConnection, sent_us: int, *, is_healthy: bool) -> None:
        """Records the answer to a health probe that was sent at `sent_us` on a verified connection."""
        if not self.is_verified(connection):
            return
        for other in self._connections.get(connection.host, ()):
            other.is_attested = other.is_attested or other.established_us < sent_us
        if is_healthy:
            self._unhealthy.discard(connection.host)
        else:
            self._unhealthy.add(connection.host)

    def forget(self, host: str) -> None:
        """Drops what is known of a host that the list no longer names, or whose process it replaced."""
        self._connections.pop(host, None)
        self._broken_us.pop(host, None)
        self._unhealthy.discard(host)

    def list_confirmed(self) -> None:
        """Drops what only an unconfirmed list makes use of."""
        self._unhealthy.clear()

    # Decisions.

    def is_verified(self, connection: HostConnection) -> bool:
        """Returns True if a connection is known to lead to the process that the list names."""
        since_us = self.list_confirmation.unconfirmed_since_us
        if since_us is None or connection.is_attested:
            return True
        if connection.established_us > since_us + VERIFYING_WINDOW_US:
            return False
        # The list may have been confirmed without a host that had gone in the last moments before.
        broken_us = self._broken_us.get(connection.host, NEVER_US)
        return not since_us - CHANGES_RECEIVED_US < broken_us <= connection.established_us

    def vouches_for_addresses(self, now_us: int) -> bool:
        """Returns True if new connections may be used, since the list is recent enough."""
        return self.is_list_probed or self.list_confirmation.vouches_for_addresses(now_us)

    def permits_connection(self, now_us: int, connection: HostConnection) -> bool:
        """Returns True if an attempt may be sent on a connection; checked again at its first byte."""
        return self.vouches_for_addresses(now_us) or self.is_verified(connection)

    def permits_host(self, now_us: int, host: str) -> bool:
        """Returns True if a host may get attempts as far as its process is concerned."""
        if self.list_confirmation.unconfirmed_since_us is None:
            return True
        if host in self._unhealthy:
            return False
        return self.vouches_for_addresses(now_us) or self.is_host_verified(host)

    def may_be_another_process(self, now_us: int, host: str) -> bool:
        """Returns True if a host's connections broke and the list need not tell yet that it has gone: whoever
        answers at its address may be another host, of another zone or cell."""
        broken_us = self._broken_us.get(host)
        if broken_us is None or now_us >= broken_us + CHANGES_RECEIVED_US:
            return False
        return not any(
            connection.established_us < broken_us for connection in self._connections.get(host, ())
        )

    def is_host_verified(self, host: str) -> bool:
        """Returns True if there is a verified connection to a host."""
        return any(self.is_verified(connection) for connection in self._connections.get(host, ()))

    def verified_hosts(self) -> int:
        """Returns the number of hosts with a verified connection, for the log."""
        return sum(self.is_host_verified(host) for host in self._connections)

    def may_still_verify(self, now_us: int) -> bool:
        """Returns True if the list is not confirmed, and a new connection would still be verified by it."""
        since_us = self.list_confirmation.unconfirmed_since_us
        return since_us is not None and now_us < since_us + VERIFYING_WINDOW_US
