"""Clients that disconnect, abort or don't read: their requests end, and no attempt is sent for them."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path
from typing import Any

import msgspec
import pytest

from hoistplank.decision.actions import SendAttempt
from hoistplank.fakes.settings import fleet_event
from hoistplank.fakes.wire import FastCgiClient, ScriptedCacheHost
from hoistplank.protocol import fastcgi
from hoistplank.routing.clock import Clock
from hoistplank.routing.events import ClientDisconnected, RequestArrived
from tests.dispatcher_scene import (
    BODY,
    KEY,
    ConnectionGate,
    SteadyDispatcher,
    request_bytes,
    served,
    session_of_the_client,
    silent,
)
from tests.helpers import Running, until
from tests.scene_runner import run_scene


async def slow_reading_socket(dispatcher: Running) -> socket.socket:
    """Returns a client connection with a small receive buffer, which accepts little data until it is read."""
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
    await asyncio.get_running_loop().sock_connect(sock, dispatcher.service.listener.sock.getsockname())
    return sock


def test_abort_of_a_client_that_does_not_read_its_answers_is_noticed(tmp_path: Path) -> None:
    async def scene() -> None:
        cache = ScriptedCacheHost(
            lambda id, fields, body: silent(id, fields, body)
            if fields["blk"] == "9"
            else served(id, fields, body)
        )
        async with SteadyDispatcher(tmp_path, {"a": cache, "o": ScriptedCacheHost(silent)}) as dispatcher:
            loop, sock = asyncio.get_running_loop(), await slow_reading_socket(dispatcher)
            slow_fields = {"HTTP_X_CHUNK": "9", "HTTP_X_DEADLINE_MS": "2400"}
            await loop.sock_sendall(sock, request_bytes(32, fields=slow_fields))
            await until(lambda: len(cache.requests) == 1)
            for number in range(1, 31):
                await loop.sock_sendall(sock, request_bytes(number, fields={"HTTP_X_CHUNK": "1"}))
            session = next(each for each in dispatcher.service.frontend.sessions if each.open_requests)
            await until(lambda: session.connection.unsent_bytes > 2 << 20)
            # Requests are still read when too much data is unsent, and so are later records.
            await loop.sock_sendall(sock, request_bytes(31, fields={"HTTP_X_CHUNK": "1"}))
            await until(lambda: 31 in session.open_requests)
            await loop.sock_sendall(sock, fastcgi.encode_record(fastcgi.ABORT_REQUEST, 32))
            began = loop.time()
            await until(lambda: f"{32:016x}" in cache.dropped)
            assert loop.time() - began < 1  # well before the request's deadline
            sock.close()

    run_scene(scene())


def test_requests_of_a_client_that_does_not_read_are_deferred_and_answered_in_time(tmp_path: Path) -> None:
    async def scene() -> None:
        cache = ScriptedCacheHost(served)
        async with SteadyDispatcher(tmp_path, {"a": cache, "o": ScriptedCacheHost(silent)}) as dispatcher:
            loop, sock = asyncio.get_running_loop(), await slow_reading_socket(dispatcher)
            for number in range(1, 31):
                await loop.sock_sendall(sock, request_bytes(number, fields={"HTTP_X_CHUNK": str(number)}))
            session = await session_of_the_client(dispatcher)
            await until(lambda: session.connection.unsent_bytes > 2 << 20 and not session.open_requests)
            received_before = len(cache.requests)
            for number in (31, 32):
                await loop.sock_sendall(sock, request_bytes(number, fields={"HTTP_X_CHUNK": str(number)}))
            await until(lambda: len(session.deferred) == 2)
            assert len(cache.requests) == received_before
            session.deferred[31].deadline_us = Clock().now() + 100_000  # nearly reached
            await until(lambda: 31 not in session.open_requests)  # answered, though the client reads nothing
            reader, writer = await asyncio.open_connection(sock=sock)
            client, statuses = FastCgiClient(reader, writer), dict[int, int]()
            while len(statuses) < 32:
                number, status, _, _ = await asyncio.wait_for(client.read_answer(), 5)
                statuses[number] = status
            assert statuses.pop(31) == 503 and set(statuses.values()) == {200}
            writer.close()

    run_scene(scene())


def test_disconnect_processed_before_its_request_leaves_no_open_request(tmp_path: Path) -> None:
    """While the loop is late, the router task processes disconnects before arrivals."""

    async def scene() -> None:
        async with SteadyDispatcher(
            tmp_path, {"a": ScriptedCacheHost(served), "o": ScriptedCacheHost(silent)}
        ) as dispatcher:
            assert (await dispatcher.ask(1, "page"))[0] == 200
            session, router_task = await session_of_the_client(dispatcher), dispatcher.service.router_task
            no_response: Any = None
            request = dispatcher.service.frontend.intake.parser.parse(
                Clock().now(),
                no_response,
                {
                    "SCRIPT_NAME": "/api/v2/page",
                    "HTTP_X_CORRELATION_ID": "ab" * 8,
                    "HTTP_X_SUBJECT": "cd" * 8,
                    "HTTP_X_DEADLINE_MS": "900",
                },
                b"",
            )
            router_task.lag_us = 100_000
            router_task.submit(RequestArrived(request))
            router_task.submit(ClientDisconnected(request))
            router_task.turn()
            assert (
                router_task.requests.open_count == 0
                and not router_task.requests.by_id
                and session.frontend.all_answers_written()
            )

    run_scene(scene())


@pytest.mark.parametrize(
    "change",
    ["host drains", "source drains", "host no longer named", "client leaves", "client resets", "window over"],
)
def test_attempt_is_not_sent_if_it_became_invalid_while_connecting(
    tmp_path: Path, change: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        cache, origin = ScriptedCacheHost(served), ScriptedCacheHost(served)
        async with SteadyDispatcher(tmp_path, {"a": cache, "o": origin}) as dispatcher:
            router_task, gate = dispatcher.service.router_task, ConnectionGate(monkeypatch)
            client = await dispatcher.connect()
            if change == "window over":
                # A repeat whose deduplication window ends while its connection is being established.
                original_handler = router_task._action_handlers[SendAttempt]

                def send_after_window(now: int, action: SendAttempt) -> None:
                    original_handler(now, msgspec.structs.replace(action, start_by_us=now + 1))

                router_task._action_handlers[SendAttempt] = send_after_window
                client.send(1, "booking", KEY)
            else:
                client.send(1, "page", {"HTTP_X_DEADLINE_MS": "600"})
            await until(lambda: bool(gate.waiting))
            if change.endswith("drains"):
                entry = dispatcher.targets[0 if change == "host drains" else 1]
                dispatcher.publish_event(fleet_event(2, [entry | {"state": "draining"}]))
                await until(lambda: router_task.endpoints.by_host[entry["uid"]].endpoint.state == "draining")
            elif change == "host no longer named":
                dispatcher.publish_event(fleet_event(2, dispatcher.targets[1:], whole=True))
                await until(lambda: "a" not in router_task.endpoints.by_host)
            elif change == "client leaves":
                client.writer.write(fastcgi.encode_record(fastcgi.ABORT_REQUEST, 1))
                await until(lambda: not router_task.requests.open_count)
            elif change == "client resets":
                client.writer.transport.abort()
                await until(lambda: not router_task.requests.open_count)
            gate.open.set()
            if change.startswith("client"):
                await until(lambda: not router_task.requests.by_id)
            else:
                # If possible, another attempt is made: at the other host, or at this one without a fill
                # source.
                status = (await asyncio.wait_for(client.read_answer(), 5))[1]
                assert status in ((502, 503) if change == "window over" else (200, 503))
            if not change.startswith("host"):
                assert not origin.requests and not [
                    fields for _, fields, _ in cache.requests if "parent" in fields
                ]
            if change != "source drains":
                assert not cache.requests

    run_scene(scene())


def test_attempts_of_a_client_that_aborted_are_cancelled(tmp_path: Path) -> None:
    async def scene() -> None:
        cache = ScriptedCacheHost(silent)
        async with Running(tmp_path, {"a": cache, "o": ScriptedCacheHost(silent)}) as dispatcher:
            dispatcher.client.send(1, "page")
            await until(lambda: bool(cache.requests))
            dispatcher.client.writer.write(fastcgi.encode_record(fastcgi.ABORT_REQUEST, 1))
            router_task = dispatcher.service.router_task
            began = asyncio.get_running_loop().time()
            await until(lambda: not router_task.requests.by_id and not router_task.router.in_flight)
            assert asyncio.get_running_loop().time() - began < 0.5  # well before its deadline

    run_scene(scene())


def test_aborted_request_gets_no_answer_and_frees_its_number(tmp_path: Path) -> None:
    async def scene() -> None:
        cache = ScriptedCacheHost(
            lambda id, fields, body: None if fields["blk"] == "1" else served(id, fields, body)
        )
        async with Running(tmp_path, {"a": cache, "o": ScriptedCacheHost(served)}) as dispatcher:
            dispatcher.client.send(1, "page", {"HTTP_X_CHUNK": "1"})
            await until(lambda: bool(cache.requests))
            dispatcher.client.writer.write(fastcgi.encode_record(fastcgi.ABORT_REQUEST, 1))
            assert (await dispatcher.client.read_answer())[1] == 0  # END_REQUEST alone
            assert (await dispatcher.ask(1, "page", fields={"HTTP_X_CORRELATION_ID": "ab" * 8}))[0] == 200

    run_scene(scene())


def test_slow_reader_does_not_delay_other_clients(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Running(
            tmp_path, {"a": ScriptedCacheHost(served), "o": ScriptedCacheHost(served)}
        ) as dispatcher:
            slow = await dispatcher.connect()
            slow.reader._transport.pause_reading()  # type: ignore[attr-defined]
            for number in range(1, 31):
                slow.send(number, "page")
            await until(lambda: dispatcher.service.router_task.counts.succeeded >= 30)
            assert (await dispatcher.ask(99, "page"))[2] == BODY
            slow.reader._transport.resume_reading()  # type: ignore[attr-defined]
            assert sorted([(await slow.read_answer())[3] == BODY for _ in range(30)]) == [True] * 30

    run_scene(scene())
