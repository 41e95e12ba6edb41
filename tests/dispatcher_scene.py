"""Shared by tests of a running dispatcher: a steady dispatcher, answers of hosts, bytes of requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from hoistplank.fakes.wire import FastCgiClient
from hoistplank.program.phase import Phase
from hoistplank.transport.pooled_connection import PooledConnection
from hoistplank.transport.transmission import UndeliveredReason
from tests.helpers import Running, until

BODY = bytes(range(256)) * 900


KEY = {"HTTP_X_OPERATION_KEY": "5c0f" * 8}


class SteadyDispatcher(Running):
    """A dispatcher that ignores the lag of its event loop.

    On a busy machine a dispatcher that measures its lag rejects requests before any attempt, and the tests
    that need attempts would fail.
    """

    async def __aenter__(self) -> Running:
        await super().__aenter__()
        owner = self.service.router_task
        owner.router.parts.overload.measure = lambda event: None  # type: ignore[method-assign]
        owner.admission.controller.observe = lambda *arguments: None  # type: ignore[method-assign]
        await until(lambda: self.service.phase is Phase.SERVING)
        return self


def served(id: str, fields: dict[str, str], body: bytes) -> bytes:
    return f"{id} served detail=hit,digest=aa,dated=1 {len(BODY)}\r\n".encode() + BODY + b"\r\n"


def silent(id: str, fields: dict[str, str], body: bytes) -> None:
    return None


def answering_with(word: str) -> Callable[[str, dict[str, str], bytes], bytes]:
    fields = "digest=aa,dated=1" if word in ("served", "still_good") else "-"
    return lambda id, _, body: f"{id} {word} {fields} 0\r\n\r\n".encode()


def whole_answer(id: str) -> bytes:
    return served(id, {}, b"")


def recorded_call(call: Callable[..., None], calls: list[Any]) -> Callable[..., None]:
    def inner(*arguments: Any) -> None:
        calls.append(arguments)
        call(*arguments)

    return inner


def request_bytes(
    number: int, name: str = "page", fields: dict[str, str] | None = None, body: bytes = b""
) -> bytes:
    """Returns the bytes of a request, for tests that send them over their own connection."""
    sent: list[bytes] = []

    class Writer:
        write = staticmethod(sent.append)

    FastCgiClient(None, Writer()).send(number, name, fields, body)  # type: ignore[arg-type]
    return sent[0]


class ConnectionGate:
    """Delays connections to hosts until it is opened."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.open, self.waiting = asyncio.Event(), list[str]()
        original_connect = PooledConnection._connect

        async def connect(connection: PooledConnection) -> UndeliveredReason | None:
            self.waiting.append(connection.host)
            await self.open.wait()
            return await original_connect(connection)

        monkeypatch.setattr(PooledConnection, "_connect", connect)


async def session_of_the_client(dispatcher: Running) -> Any:
    """Returns the session of the only client that has sent requests."""
    await until(lambda: any(each.has_sent_request for each in dispatcher.service.frontend.sessions))
    return next(each for each in dispatcher.service.frontend.sessions if each.has_sent_request)
