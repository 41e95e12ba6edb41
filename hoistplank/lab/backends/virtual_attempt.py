"""One attempt of a dispatcher in virtual time, from its simulated server back to the dispatcher's queue."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hoistplank.decision.actions import SendAttempt
from hoistplank.decision.events import Outcome
from hoistplank.lab.model.clients import Request
from hoistplank.lab.model.server_request import ServerRequest
from hoistplank.lab.model.servers import Server

if TYPE_CHECKING:
    from hoistplank.lab.backends.virtual import VirtualDispatcher


class Attempt:
    """One attempt in flight; `is_finished` once its outcome is queued for the policy."""

    __slots__ = ("action", "dispatcher", "is_finished", "request", "sent_at", "server", "server_request")

    def __init__(
        self, dispatcher: VirtualDispatcher, request: Request, action: SendAttempt, sent: int
    ) -> None:
        self.dispatcher, self.request, self.action, self.sent_at = dispatcher, request, action, sent
        self.is_finished = False
        self.server_request: ServerRequest | None = None
        self.server: Server | None = None

    def answered(self, result: int, note: int, created: int) -> None:
        """Sends the outcome from the host to the dispatcher, over their path if paths are modelled."""
        paths, dispatcher = self.dispatcher.world.paths, self.dispatcher
        if paths is None:
            self.end(result, note, created)
            return
        paths.send(
            f"d{dispatcher.number}>{self.action.host}",
            True,
            dispatcher.events.now,
            self.end,
            result,
            note,
            created,
        )

    def end(self, result: int, note: int, created: int) -> None:
        """Queues the outcome for the dispatcher, at most once."""
        if not self.is_finished:
            self.is_finished = True
            self.dispatcher.enqueue(
                self.dispatcher.attempt_ended, self, result, note, created, self.dispatcher.world.events.now
            )

    def timed_out(self) -> None:
        """Ends an attempt whose timeout has passed."""
        if not self.is_finished:
            self.cancel()
            self.end(Outcome.TIMED_OUT, 0, -1)

    def cancel(self) -> None:
        """Cancels the request at its host."""
        if self.server_request is not None and self.server is not None:
            self.server.cancel(self.server_request)
