"""Graceful shutdown, from SIGTERM to the end of the last connection."""

from __future__ import annotations

import asyncio

from hoistplank.routing.events import DrainDeadlineReached, DrainStarted
from hoistplank.routing.frontend import Frontend
from hoistplank.routing.router_task import RouterTask
from hoistplank.transport.listener import Listener

# After SIGTERM new connections arrive for up to 0.4 s and requests on open ones for 0.2 s more; 0.3 s margin.
ACCEPT_WINDOW_S = 0.9
# SIGKILL follows SIGTERM after the longest deadline (3 s at most) plus 0.7 s at the earliest. Within that
# 0.7 s the open requests are answered first, then the last bytes are sent, then the connections are closed in
# order. The three limits below count from the longest deadline.
MAX_DEADLINE_S = 3.0
LAST_ANSWER_AFTER_S = 0.2
LAST_BYTE_AFTER_S = 0.3
END_AFTER_S = 0.62
CHECK_INTERVAL_S = 0.02


class GracefulShutdown:
    """Answers the open requests, then closes the connections in order, within fixed time limits.

    `deadline_s` is the longest deadline of the traffic classes. ACCEPT_WINDOW_S counts from when the signal
    is read, the other limits from when it may have been sent.
    """

    def __init__(
        self, router_task: RouterTask, frontend: Frontend, listener: Listener, deadline_s: float
    ) -> None:
        self.router_task, self.frontend, self.listener = router_task, frontend, listener
        deadline_s = min(MAX_DEADLINE_S, deadline_s)
        self.last_answer_s = deadline_s + LAST_ANSWER_AFTER_S
        self.last_byte_s = deadline_s + LAST_BYTE_AFTER_S
        self.end_s = deadline_s + END_AFTER_S

    async def run(self) -> None:
        """Returns once nothing is open, or after `end_s`."""
        loop = asyncio.get_running_loop()
        noticed_at = loop.time()
        started_at = self._earliest_signal_at(noticed_at)
        last_answer_in_s = self.last_answer_s - (noticed_at - started_at)
        self.router_task.submit(DrainStarted(self.router_task.clock.now() + int(last_answer_in_s * 1e6)))
        is_overdue = is_closing = False
        while loop.time() < started_at + self.end_s:
            if is_closing and self.is_empty() and not self.frontend.sessions:
                return
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = loop.time()
            if not is_overdue and now - started_at > self.last_answer_s:
                is_overdue = True
                self.router_task.submit(DrainDeadlineReached())
            is_accept_window_over = now - noticed_at > ACCEPT_WINDOW_S
            if not is_closing and (
                now - started_at > self.last_byte_s or (is_accept_window_over and self.is_empty())
            ):
                is_closing = True
                await self._close_connections()

    def _earliest_signal_at(self, noticed_at: float) -> float:
        """Returns the earliest time at which a signal that is read now may have been sent: the process does
        not read it during a standstill, and the time until SIGKILL goes on.

        No earlier than `last_answer_s` ago: what is open is answered and written however long that was.
        """
        standstills = self.router_task.standstills
        if not standstills.is_recovering():
            return noticed_at
        return max(standstills.last_began_at, noticed_at - self.last_answer_s)

    async def _close_connections(self) -> None:
        """Stops accepting, and closes each connection once its requests are answered.

        A client whose connection is idle may be sending at this moment. Requests already received are
        answered; a client that sends later finds the write side shut and has to send again.
        """
        await self.listener.stop()
        self.frontend.close_when_idle()

    def is_empty(self) -> bool:
        """Returns True if no request is open and the system has taken the bytes of every answer."""
        return (
            not self.router_task.requests.open_count
            and not self.router_task.queue
            and self.frontend.all_answers_written()
        )
