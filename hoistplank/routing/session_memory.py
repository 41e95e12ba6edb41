"""What a client session holds in memory, and how it releases that."""

from __future__ import annotations

import abc

from hoistplank.protocol import fastcgi
from hoistplank.routing.rate_limited_log import RateLimitedLog
from hoistplank.routing.unfinished_requests import UnfinishedRequests
from hoistplank.transport.connection import Connection

# The order in which clients release memory: new holdings count as this old, those of a client that has sent
# valid requests count less.
MIN_HELD_S = 0.05
SERVED_CLIENT_WEIGHT = 0.25
SLOW_READER_S = 0.05  # without a whole answer written for this long, a client is not reading


class SessionMemory(abc.ABC):
    """The part of a client session that `ClientMemory` uses (its `MemoryHolder`)."""

    reader: fastcgi.RequestReader
    connection: Connection
    unfinished: UnfinishedRequests
    has_sent_request: bool
    rate_limited_log: RateLimitedLog

    @abc.abstractmethod
    def fail_open_requests(self) -> None:
        """Fails all open requests of the client."""

    @abc.abstractmethod
    def close_with_failure(self, reason: str) -> None:
        """Fails open requests, drops what is unfinished, and closes gracefully."""

    def held_bytes(self) -> int:
        """Returns the bytes that this client makes the process hold: what it sent, and answers that it has
        not read."""
        connection = self.connection
        return self.reader.held_bytes + connection.held_input_bytes() + connection.held_output_bytes()

    def release_priority(self, now: float) -> float:
        """Returns how much is gained by releasing this client's memory: bytes by the time for which they have
        been held, so that young requests and answers on their way to the client come last."""
        held_s = max(self.unfinished.longest_s(now), self.connection.write_stalled_s(now))
        weight = SERVED_CLIENT_WEIGHT if self.has_sent_request else 1.0
        return self.held_bytes() * (MIN_HELD_S + held_s) * weight

    def release_memory(self, now: float, *, is_urgent: bool) -> None:
        """Fails the open requests of this client, and closes its connection if that doesn't help much.

        The connection stays open if it does, because further requests of the client may be unread and each
        complete request must be answered. A client that is reading its answers is spared unless it is urgent.
        """
        input_bytes = self.reader.held_bytes + self.connection.held_input_bytes()
        if self.connection.held_output_bytes() > input_bytes:
            if is_urgent or self.connection.write_stalled_s(now) >= SLOW_READER_S:
                self._close_slow_reader()
            return
        self.rate_limited_log.warning(
            "memory limit of requests exceeded, failing open requests", bytes=input_bytes
        )
        self.fail_open_requests()
        if self.reader.held_bytes + self.connection.held_input_bytes() > input_bytes // 2:
            self.close_with_failure("unfinished requests hold too much memory")

    def _close_slow_reader(self) -> None:
        self.rate_limited_log.warning(
            "closing connection of slow-reading client", bytes=self.connection.unsent_bytes
        )
        self.connection.close()
