"""What the tests of a running dispatcher share: a scene's loop, hosts' answers, a client's bytes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from hoistplank.fakes.wire import FastCgiClient
from hoistplank.program.phase import Phase
from hoistplank.transport.pooled_connection import PooledConnection
from hoistplank.transport.pooled_request import RequestFailure
from tests.helpers import Running, until

BODY = bytes(range(256)) * 900


KEY = {"HTTP_X_OPERATION_KEY": "5c0f" * 8}


class SteadyDispatcher(Running):
    """A dispatcher that takes no notice of its loop's lag: one whose machine holds it up rejects what comes
    then, before any attempt, and nothing of what these tests are about begins."""

    async def __aenter__(self) -> Running:
        await super().__aenter__()
        owner = self.service.router_task
        owner.router.parts.overload.measure = lambda event: None  # type: ignore[method-assign]
        owner.admission.controller.observe = lambda *told: None  # type: ignore[method-assign]
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


def recorded_call(call: Callable[..., None], told: list[Any]) -> Callable[..., None]:
    def inner(*words: Any) -> None:
        told.append(words)
        call(*words)

    return inner


def request_bytes(
    number: int, name: str = "page", fields: dict[str, str] | None = None, body: bytes = b""
) -> bytes:
    """The bytes of a request, for those who send them themselves."""
    sent: list[bytes] = []

    class Writer:
        write = staticmethod(sent.append)

    FastCgiClient(None, Writer()).send(number, name, fields, body)  # type: ignore[arg-type]
    return sent[0]


class ConnectionGate:
    """Holds up connections to hosts until it is opened."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.open, self.waiting = asyncio.Event(), list[str]()
        plain = PooledConnection._connect

        async def connect(line: PooledConnection) -> RequestFailure | None:
            self.waiting.append(line.host)
            await self.open.wait()
            return await plain(line)

        monkeypatch.setattr(PooledConnection, "_connect", connect)


async def session_of_the_client(dispatcher: Running) -> Any:
    """The session of the one client that has sent requests."""
    await until(lambda: any(each.has_sent_request for each in dispatcher.service.frontend.sessions))
    return next(each for each in dispatcher.service.frontend.sessions if each.has_sent_request)
