"""Clients that close with requests unread: nothing is sent for them, wherever their requests wait."""

from __future__ import annotations

import asyncio
import socket
import time
from pathlib import Path

import pytest

from hoistplank.fakes.wire import ScriptedCacheHost
from hoistplank.protocol import fastcgi
from tests.dispatcher_scene import BODY, SteadyDispatcher, request_bytes, served
from tests.helpers import Running, until
from tests.scene_runner import run_scene

# An attempt may begin up to 0.1 s after its client has gone; time limits on sockets are 0.05 s longer.
LIMIT_S = 0.15
VALID_REQUESTS = 30
STRAY_RECORDS = fastcgi.encode_record(fastcgi.STDIN, 9) * 2_000
INVALID_REQUESTS = request_bytes(1, fields={"HTTP_X_CHUNK": "no number"}) * 200
HEALTH_CHECKS = request_bytes(1, "", {"SCRIPT_NAME": "/-/healthy"}) * 300
OTHER_ROLE = fastcgi.encode_record(fastcgi.BEGIN_REQUEST, 1, b"\0\3\1\0\0\0\0\0") * 1_500


class TimedHost(ScriptedCacheHost):
    """Answers at once, and records when each request arrived."""

    def __init__(self) -> None:
        super().__init__(self._answer)
        self.arrived_at: list[float] = []

    def _answer(self, id: str, fields: dict[str, str], body: bytes) -> bytes:
        self.arrived_at.append(time.monotonic())
        return served(id, fields, body)


def valid_requests(round_number: int) -> bytes:
    return b"".join(
        request_bytes(number, fields={"HTTP_X_CORRELATION_ID": f"{round_number:08x}{number:08x}"})
        for number in range(1, VALID_REQUESTS + 1)
    )


async def send_and_close(dispatcher: Running, round_number: int, data: bytes) -> float:
    """Has a request served, then writes all of `data` and closes in the usual way; returns when."""
    sock = socket.socket()
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, dispatcher.service.listener.sock.getsockname())
    first = {"HTTP_X_CORRELATION_ID": f"{round_number:08x}{99:08x}"}
    await loop.sock_sendall(sock, request_bytes(1, fields=first))
    read = 0
    while read < len(BODY):
        read += len(await loop.sock_recv(sock, 1 << 20))
    await asyncio.sleep(0.02)
    await loop.sock_sendall(sock, data)
    sock.close()
    return time.monotonic()


@pytest.mark.parametrize(
    "before",
    [STRAY_RECORDS, INVALID_REQUESTS, HEALTH_CHECKS, OTHER_ROLE, b""],
    ids=["stray records", "invalid requests", "health checks", "another role", "nothing"],
)
def test_requests_unread_when_their_client_left_are_not_sent(tmp_path: Path, before: bytes) -> None:
    """Guards against a connection whose reading is paused and that is not seen to end: what stood behind the
    unusable input was sent on up to a second after the client had gone."""

    async def scene() -> None:
        host = TimedHost()
        async with SteadyDispatcher(tmp_path, {"a": host, "o": ScriptedCacheHost(served)}) as dispatcher:
            for round_number in range(5):
                left_at = await send_and_close(
                    dispatcher, round_number, before + valid_requests(round_number)
                )
                await asyncio.sleep(0.7)
                late = [at - left_at for at in host.arrived_at if at > left_at + LIMIT_S]
                assert not late, f"{len(late)} sent on, the last {max(late):.2f} s after the client left"
                host.arrived_at.clear()
            await until(lambda: not dispatcher.service.router_task.router.requests)

    run_scene(scene())


@pytest.mark.parametrize("why", ["misuse", "unread answers"])
def test_client_that_leaves_while_its_connection_is_not_read_is_noticed(tmp_path: Path, why: str) -> None:
    """Guards against an open request that goes on while reading is paused: its client's end was not seen."""

    async def scene() -> None:
        host = ScriptedCacheHost(
            lambda id, fields, body: None if fields["blk"] == "9" else served(id, fields, b"")
        )
        async with SteadyDispatcher(tmp_path, {"a": host, "o": ScriptedCacheHost(served)}) as dispatcher:
            sock = socket.socket()
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, dispatcher.service.listener.sock.getsockname())
            waiting = {"HTTP_X_CHUNK": "9", "HTTP_X_DEADLINE_MS": "2400", "HTTP_X_CORRELATION_ID": "ab" * 8}
            await loop.sock_sendall(sock, request_bytes(32, fields=waiting))
            await until(lambda: len(host.requests) == 1)
            (session,) = [one for one in dispatcher.service.frontend.sessions if one.open_requests]
            if why == "misuse":
                await loop.sock_sendall(sock, STRAY_RECORDS * 4)
            else:
                session.connection.max_unsent_bytes = len(BODY)
                number = 0
                while session.connection._is_reading:
                    number += 1
                    await loop.sock_sendall(sock, request_bytes(number, fields={"HTTP_X_CHUNK": "1"}))
                    await asyncio.sleep(0.02)
            await until(lambda: not session.connection._is_reading)
            sock.close()
            left_at = loop.time()
            await until(lambda: "ab" * 8 in host.dropped)
            assert loop.time() - left_at < LIMIT_S

    run_scene(scene())
