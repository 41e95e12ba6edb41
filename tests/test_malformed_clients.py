"""Clients with invalid framing or unfinished requests: only their own connection is affected."""

from __future__ import annotations

import asyncio
import struct
from pathlib import Path

import pytest

from hoistplank.fakes.wire import FastCgiClient, ScriptedCacheHost
from hoistplank.protocol import fastcgi
from tests.dispatcher_scene import (
    SteadyDispatcher,
    served,
    silent,
)
from tests.helpers import Running, until
from tests.scene_runner import run_scene

REQUESTS, BODY_BYTES = 30, 48_000  # per client; several clients together exceed the limit at 32 MB of memory


def request_begin(number: int, params: bytes = b"") -> bytes:
    first = fastcgi.encode_record(fastcgi.BEGIN_REQUEST, number, struct.pack(">HB5x", 1, 1))
    return first + (fastcgi.encode_record(fastcgi.PARAMS, number, params) if params else b"")


MALFORMED: dict[str, list[bytes]] = {
    "nothing": [],
    "half a record": [request_begin(1)[:11]],
    "never complete": [request_begin(1, fastcgi.encode_pair(b"SCRIPT_NAME", b"/api/v2/page"))],
    "endless parameters": [
        request_begin(1),
        *[fastcgi.encode_record(fastcgi.PARAMS, 1, bytes(60_000))] * 200,
    ],
    "huge body": [
        request_begin(1),
        fastcgi.encode_record(fastcgi.PARAMS, 1),
        *[fastcgi.encode_record(5, 1, bytes(60_000))] * 200,
    ],
    "one number twice": [request_begin(1), request_begin(1)],
    "unknown request numbers": [fastcgi.encode_record(fastcgi.STDIN, 9, b"x")] * 5_000,
    "other version": [b"\x07" + request_begin(1)[1:]],
}


@pytest.mark.parametrize("case", MALFORMED)
def test_malformed_client_is_answered_or_closed_without_effect_on_others(
    tmp_path: Path, case: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        monkeypatch.setattr("hoistplank.routing.frontend.UNFINISHED_TIMEOUT_S", 0.2)
        cache = ScriptedCacheHost(
            lambda id, fields, body: None if fields["blk"] == "1" else served(id, fields, body)
        )
        async with Running(tmp_path, {"a": cache, "o": ScriptedCacheHost(silent)}) as dispatcher:
            assert (await dispatcher.ask(3, "page"))[0] == 200
            malformed_client, broken_client = await dispatcher.connect(), await dispatcher.connect()
            broken_client.send(5, "page", {"HTTP_X_CHUNK": "1", "HTTP_X_DEADLINE_MS": "2400"})
            await until(lambda: len(cache.requests) == 2)
            for piece in MALFORMED[case]:
                malformed_client.writer.write(piece)
            rest = asyncio.create_task(malformed_client.reader.read())
            # The timeout counts from the start: further data does not extend it.
            while not rest.done() and case in ("nothing", "half a record", "never complete"):
                await asyncio.sleep(0.02)
                if case == "never complete":
                    malformed_client.writer.write(
                        fastcgi.encode_record(fastcgi.PARAMS, 1, fastcgi.encode_pair(b"A", b"b"))
                    )
            try:
                received = await asyncio.wait_for(rest, 3)
            except ConnectionResetError:
                received = b""
            assert b"Status: 200" not in received and (b"Status: 400" in received) == (
                case[-4:] in ("body", "ters")
            )
            # Open requests of a connection with invalid framing are answered before it is closed.
            broken_client.writer.write(b"GET / HTTP/1.1\r\n\r\n")
            assert (await broken_client.read_answer())[:2] == (
                5,
                502,
            ) and await broken_client.reader.read() == b""
            assert (await dispatcher.ask(1, "page"))[0] == 200
            frontend = dispatcher.service.frontend
            await until(
                lambda: len(frontend.sessions) == 1 and not dispatcher.service.router_task.router.requests
            )
            assert frontend.held_bytes == 0

    run_scene(scene())


def test_invalid_fastcgi_closes_only_its_connection(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Running(
            tmp_path, {"a": ScriptedCacheHost(served), "o": ScriptedCacheHost(served)}
        ) as dispatcher:
            other = await dispatcher.connect()
            other.writer.write(b"GET / HTTP/1.1\r\n\r\n")
            assert await other.reader.read() == b""
            assert (await dispatcher.ask(1, "page"))[0] == 200

    run_scene(scene())


def test_requests_that_exceed_the_memory_limit_are_answered(tmp_path: Path) -> None:
    """Each request that was read must be answered, whatever closes its connection."""

    async def scene() -> None:
        hosts = {"a": ScriptedCacheHost(silent), "o": ScriptedCacheHost(silent)}
        async with SteadyDispatcher(tmp_path, hosts, limits={"sockets": 256, "memory_mb": 32}) as dispatcher:
            clients, answers = [await dispatcher.connect() for _ in range(4)], list[int]()

            async def read(client: FastCgiClient) -> None:
                for _ in range(REQUESTS):
                    answers.append((await asyncio.wait_for(client.read_answer(), 5))[1])

            reading = [asyncio.create_task(read(client)) for client in clients]
            for index, client in enumerate(clients):
                for number in range(1, REQUESTS + 1):
                    unique = f"{index:08x}{number:08x}"
                    fields = {"HTTP_X_CORRELATION_ID": unique, "HTTP_X_OPERATION_KEY": unique * 2}
                    client.send(number, "booking", fields, body=bytes(BODY_BYTES))
            await asyncio.gather(*reading)
            assert len(answers) == len(clients) * REQUESTS and 502 in answers

    run_scene(scene())
