"""Sends a dispatcher's acknowledgements, bounded in rate, and each second as a heartbeat."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from hoistplank.distribution.follower_state import FollowerState
from hoistplank.distribution.messages import RequestLine, encode
from hoistplank.transport.connection import Connection

MIN_INTERVAL_S = 0.05  # acknowledgements are at least this far apart
HEARTBEAT_S = 1.0  # and at most this far


class AcknowledgementSender:
    """Acknowledges what a `FollowerState` has in force on the connection that is open at that time."""

    def __init__(self, state: FollowerState, connection: Callable[[], Connection | None]) -> None:
        """`connection` returns the current connection to a replica, None without one."""
        self._state = state
        self._connection = connection
        self._loop = asyncio.get_running_loop()
        self._sent_at = 0.0
        self._scheduled: asyncio.TimerHandle | None = None

    def schedule(self) -> None:
        """Sends an acknowledgement as soon as the rate allows it."""
        if self._scheduled is None:
            delay_s = max(0.0, self._sent_at + MIN_INTERVAL_S - self._loop.time())
            self._scheduled = self._loop.call_later(delay_s, self.send)

    def send(self) -> None:
        """Sends an acknowledgement now, if there is a connection."""
        self.cancel()
        connection = self._connection()
        if connection is not None:
            self._sent_at = self._loop.time()
            connection.send(encode(RequestLine(acknowledgement=self._state.acknowledgement())))

    def send_heartbeat(self, tolerance_s: float) -> None:
        """Sends an acknowledgement if the last one is a heartbeat interval old, less the tolerance."""
        if self._loop.time() - self._sent_at >= HEARTBEAT_S - tolerance_s:
            self.send()

    def cancel(self) -> None:
        """Drops a scheduled acknowledgement."""
        if self._scheduled is not None:
            self._scheduled.cancel()
            self._scheduled = None
