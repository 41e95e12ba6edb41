"""Requests sent at a rate over persistent connections."""

from __future__ import annotations

import asyncio
import contextlib
import ssl
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from hoistplank.fakes.wire import FastCgiClient, connect

MAX_REQUEST_ID = 60_000


@dataclass(slots=True)
class SentRequest:
    """One request: its time of sending (monotonic s) and its answer (status 0: not answered)."""

    id: str
    kind: str
    sent_at: float
    status: int = 0
    rejection: str = ""
    latency_s: float = 0.0
    pushback_ms: int = 0
    done: asyncio.Event = field(default_factory=asyncio.Event)


class LoadConnection:
    """A persistent connection. `is_closed` is set once the other side has closed it."""

    def __init__(self, client: FastCgiClient) -> None:
        self.client = client
        self.open_requests: dict[int, SentRequest] = {}
        self.number = 0
        self.is_closed = False
        self.task = asyncio.create_task(self._read(), name="load reader")

    def send(self, kind: str, request_id: str, class_name: str, fields: dict[str, str]) -> SentRequest:
        """Send a request; its answer is entered in the returned record."""
        self.number = self.number % MAX_REQUEST_ID + 1
        sent = self.open_requests[self.number] = SentRequest(request_id, kind, time.monotonic())
        self.client.send(self.number, class_name, fields | {"HTTP_X_CORRELATION_ID": request_id})
        return sent

    async def _read(self) -> None:
        try:
            while True:
                number, status, head, _ = await self.client.read_answer()
                sent = self.open_requests.pop(number)
                sent.status, sent.latency_s = status, time.monotonic() - sent.sent_at
                if status != 200:
                    headers = dict(line.split(": ", 1) for line in head.decode().splitlines() if ": " in line)
                    sent.rejection = headers.get("X-Refusal", "")
                    sent.pushback_ms = int(headers.get("X-Pushback-Ms", 0))
                sent.done.set()
        except (OSError, asyncio.IncompleteReadError):
            self.is_closed = True

    async def close(self) -> None:
        """Stop reading, and close the connection."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        self.client.writer.close()


async def open_connections(
    address: tuple[str, int], count: int, context: ssl.SSLContext | None = None
) -> list[LoadConnection]:
    """Open `count` connections, with TLS if a context is given."""
    return [LoadConnection(await connect(address, context)) for _ in range(count)]


async def call_at_rate(rate: float, seconds: float, send: Callable[[int], Any]) -> int:
    """Call `send` with 0, 1, 2 … at `rate` calls a second, and return the number of calls.

    Overdue calls are made at once, so that a slow machine sends as many.
    """
    started_at, count = time.monotonic(), 0
    while (now := time.monotonic() - started_at) < seconds:
        while count < rate * now:
            send(count)
            count += 1
        await asyncio.sleep(0.002)
    return count


async def wait_answered(sent: list[SentRequest], within_s: float = 5.0) -> None:
    """Wait until all are answered, at most `within_s`. Unanswered requests keep the status 0."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(within_s):
            for request in sent:
                await request.done.wait()
