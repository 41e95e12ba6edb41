"""Runs a dispatcher of the soak: `python -m hoistplank.lab.fleet.soak.build`.

`HOISTPLANK_SOAK_BUILD` may name a faulty build, in which one defence is taken out: each shows that a checker
fires.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Callable

from hoistplank.fakes import faulty_system


def _forward_by_any_list() -> None:
    from hoistplank.decision.list_confirmation import ListConfirmation

    def permits_attempts(self: ListConfirmation, now_us: int) -> bool:  # noqa: ARG001  in place of the other
        return True

    ListConfirmation.permits_attempts = permits_attempts  # type: ignore[method-assign]


def _ignore_departures() -> None:
    from hoistplank.routing.events import ClientDisconnected, Event
    from hoistplank.routing.router_task import RouterTask

    plain = RouterTask.submit

    def submit(self: RouterTask, event: Event) -> None:
        if not isinstance(event, ClientDisconnected):
            plain(self, event)

    RouterTask.submit = submit  # type: ignore[method-assign]


def _ignore_purges() -> None:
    from hoistplank.decision.purges import PurgeWatermarks

    def receive(self: PurgeWatermarks, now_us: int, object_key: str, purge_group: int, age_us: int) -> None:
        """Forgets it."""

    PurgeWatermarks.receive = receive  # type: ignore[method-assign]


def _give_the_whole_time() -> None:
    from hoistplank.protocol import cachewire

    encode = cachewire.encode_get

    def encode_get(request_id: str, fields: dict[str, str], body: bytes = b"") -> bytes:
        return encode(request_id, fields | {"budget": "4000"}, body)

    cachewire.encode_get = encode_get


def _end_at_once() -> None:
    from hoistplank.program.graceful_shutdown import GracefulShutdown

    async def run(self: GracefulShutdown) -> None:
        """Waits for nothing."""

    GracefulShutdown.run = run  # type: ignore[method-assign]


def _forget_ends() -> None:
    from hoistplank.routing.attempt_ending import AttemptEnd, AttemptEnding
    from hoistplank.routing.attempts import Attempt, AttemptEnded
    from hoistplank.routing.events import AttemptTimedOut, Event
    from hoistplank.routing.router_task import RouterTask
    from hoistplank.transport.transmission import Transmission, UndeliveredReason

    plain = RouterTask.submit
    timed_out: set[Attempt] = set()

    def submit(self: RouterTask, event: Event) -> None:
        if isinstance(event, AttemptTimedOut):
            timed_out.add(event.attempt)
        elif isinstance(event, AttemptEnded) and event.attempt in timed_out:
            proof = Transmission().withdraw(UndeliveredReason.CONNECT_TIMED_OUT)
            end = AttemptEnd(AttemptEnding.CONNECT_TIMED_OUT, proof=proof)
            event = AttemptEnded(event.attempt, end)
        plain(self, event)

    RouterTask.submit = submit  # type: ignore[method-assign]


def _refuse_after_windows() -> None:
    from hoistplank.decision.actions import EndReason, Fail, Reject
    from hoistplank.decision.requests import Request
    from hoistplank.decision.retries import RetryPolicy

    plain = RetryPolicy.final_answer

    def final_answer(self: RetryPolicy, now_us: int, request: Request, reason: EndReason) -> Reject | Fail:  # noqa: ARG001  in place of the other
        return plain(self, 0, request, reason)

    RetryPolicy.final_answer = final_answer  # type: ignore[method-assign]


BUILDS: dict[str, Callable[[], None]] = {
    "any list": _forward_by_any_list,
    "departures": _ignore_departures,
    "purges": _ignore_purges,
    "whole time": _give_the_whole_time,
    "end at once": _end_at_once,
    "forget ends": _forget_ends,
    "any window": _refuse_after_windows,
}


def main() -> int:
    """Runs the dispatcher; returns its exit code."""
    from hoistplank.lab.fleet.soak.dispatcher import BUILD_VARIABLE

    if build := os.environ.get(BUILD_VARIABLE, ""):
        BUILDS[build]()
    return faulty_system.main()


if __name__ == "__main__":
    sys.exit(main())
