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

    `deadline_s` is the longest deadline of the traffic classes.
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
        started_at = loop.time()
        self.router_task.submit(DrainStarted(self.router_task.clock.now() + int(self.last_answer_s * 1e6)))
        is_overdue = is_closing = False
        while loop.time() < started_at + self.end_s:
            if is_closing and self.is_empty() and not self.frontend.sessions:
                return
            await asyncio.sleep(CHECK_INTERVAL_S)
            elapsed_s = loop.time() - started_at
            if not is_overdue and elapsed_s > self.last_answer_s:
                is_overdue = True
                self.router_task.submit(DrainDeadlineReached())
            if not is_closing and self._may_close(elapsed_s):
                is_closing = True
                await self._close_connections()

    def _may_close(self, elapsed_s: float) -> bool:
        return elapsed_s > self.last_byte_s or (elapsed_s > ACCEPT_WINDOW_S and self.is_empty())

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
