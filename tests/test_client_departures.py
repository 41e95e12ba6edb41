"""Clients that leave, abort or don't read: their requests end, and nothing is sent too late."""

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
    """A client's connection that takes little of what it is owed until somebody reads."""
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
    await asyncio.get_running_loop().sock_connect(sock, dispatcher.service.listener.sock.getsockname())
    return sock


def test_the_end_of_a_client_is_seen_while_it_does_not_read_what_it_is_owed(tmp_path: Path) -> None:
    async def scene() -> None:
        box = ScriptedCacheHost(
            lambda id, fields, body: silent(id, fields, body)
            if fields["blk"] == "9"
            else served(id, fields, body)
        )
        async with SteadyDispatcher(tmp_path, {"a": box, "o": ScriptedCacheHost(silent)}) as dispatcher:
            loop, sock = asyncio.get_running_loop(), await slow_reading_socket(dispatcher)
            late = {"HTTP_X_CHUNK": "9", "HTTP_X_DEADLINE_MS": "2400"}
            await loop.sock_sendall(sock, request_bytes(32, fields=late))
            await until(lambda: len(box.requests) == 1)
            for number in range(1, 31):
                await loop.sock_sendall(sock, request_bytes(number, fields={"HTTP_X_CHUNK": "1"}))
            session = next(each for each in dispatcher.service.frontend.sessions if each.open_requests)
            await until(lambda: session.connection.unsent_bytes > 2 << 20)
            # What comes once too much waits is read, and so is what comes after it.
            await loop.sock_sendall(sock, request_bytes(31, fields={"HTTP_X_CHUNK": "1"}))
            await until(lambda: 31 in session.open_requests)
            await loop.sock_sendall(sock, fastcgi.encode_record(fastcgi.ABORT_REQUEST, 32))
            began = loop.time()
            await until(lambda: f"{32:016x}" in box.dropped)
            assert loop.time() - began < 1  # and not when its time is over
            sock.close()

    run_scene(scene())


def test_requests_of_one_that_does_not_read_are_held_back_and_answered_in_time(tmp_path: Path) -> None:
    async def scene() -> None:
        box = ScriptedCacheHost(served)
        async with SteadyDispatcher(tmp_path, {"a": box, "o": ScriptedCacheHost(silent)}) as dispatcher:
            loop, sock = asyncio.get_running_loop(), await slow_reading_socket(dispatcher)
            for number in range(1, 31):
                await loop.sock_sendall(sock, request_bytes(number, fields={"HTTP_X_CHUNK": str(number)}))
            session = await session_of_the_client(dispatcher)
            await until(lambda: session.connection.unsent_bytes > 2 << 20 and not session.open_requests)
            seen = len(box.requests)
            for number in (31, 32):
                await loop.sock_sendall(sock, request_bytes(number, fields={"HTTP_X_CHUNK": str(number)}))
            await until(lambda: len(session.deferred) == 2)
            assert len(box.requests) == seen
            session.deferred[31].deadline_us = Clock().now() + 100_000  # its time is nearly over
            await until(lambda: 31 not in session.open_requests)  # answered, though nothing is read
            reader, writer = await asyncio.open_connection(sock=sock)
            client, got = FastCgiClient(reader, writer), dict[int, int]()
            while len(got) < 32:
                number, status, _, _ = await asyncio.wait_for(client.read_answer(), 5)
                got[number] = status
            assert got.pop(31) == 503 and set(got.values()) == {200}
            writer.close()

    run_scene(scene())


def test_an_end_that_is_told_before_its_request_counts_nothing(tmp_path: Path) -> None:
    """While late, the owner takes what ends before what comes."""

    async def scene() -> None:
        async with SteadyDispatcher(
            tmp_path, {"a": ScriptedCacheHost(served), "o": ScriptedCacheHost(silent)}
        ) as dispatcher:
            assert (await dispatcher.ask(1, "page"))[0] == 200
            session, owner = await session_of_the_client(dispatcher), dispatcher.service.router_task
            nobody: Any = None
            request = dispatcher.service.frontend.intake.parser.parse(
                Clock().now(),
                nobody,
                {
                    "SCRIPT_NAME": "/api/v2/page",
                    "HTTP_X_CORRELATION_ID": "ab" * 8,
                    "HTTP_X_SUBJECT": "cd" * 8,
                    "HTTP_X_DEADLINE_MS": "900",
                },
                b"",
            )
            owner.lag_us = 100_000
            owner.submit(RequestArrived(request))
            owner.submit(ClientDisconnected(request))
            owner.turn()
            assert owner.requests.open_count == 0 and not owner.requests.by_id and session.frontend.all_sent()

    run_scene(scene())


@pytest.mark.parametrize(
    "what",
    ["host drains", "source drains", "host no longer named", "client leaves", "client resets", "window over"],
)
def test_nothing_is_sent_over_a_connection_that_came_up_too_late(
    tmp_path: Path, what: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        box, origin = ScriptedCacheHost(served), ScriptedCacheHost(served)
        async with SteadyDispatcher(tmp_path, {"a": box, "o": origin}) as dispatcher:
            owner, gate = dispatcher.service.router_task, ConnectionGate(monkeypatch)
            client = await dispatcher.connect()
            if what == "window over":
                # As a repeat whose time in which it would be dropped ends while its connection comes up.
                plain = owner._action_handlers[SendAttempt]

                def attempt(now: int, action: SendAttempt) -> None:
                    plain(now, msgspec.structs.replace(action, start_by_us=now + 1))

                owner._action_handlers[SendAttempt] = attempt
                client.send(1, "booking", KEY)
            else:
                client.send(1, "page", {"HTTP_X_DEADLINE_MS": "600"})
            await until(lambda: bool(gate.waiting))
            if what.endswith("drains"):
                row = dispatcher.targets[0 if what == "host drains" else 1]
                dispatcher.tell(fleet_event(2, [row | {"state": "draining"}]))
                await until(lambda: owner.endpoints.by_host[row["uid"]].endpoint.state == "draining")
            elif what == "host no longer named":
                dispatcher.tell(fleet_event(2, dispatcher.targets[1:], whole=True))
                await until(lambda: "a" not in owner.endpoints.by_host)
            elif what == "client leaves":
                client.writer.write(fastcgi.encode_record(fastcgi.ABORT_REQUEST, 1))
                await until(lambda: not owner.requests.open_count)
            elif what == "client resets":
                client.writer.transport.abort()
                await until(lambda: not owner.requests.open_count)
            gate.open.set()
            if what.startswith("client"):
                await until(lambda: not owner.requests.by_id)
            else:
                # Where another way is left it is taken: the other host, or this one with no source to fill
                # from.
                status = (await asyncio.wait_for(client.read_answer(), 5))[1]
                assert status in ((502, 503) if what == "window over" else (200, 503))
            if not what.startswith("host"):
                assert not origin.requests and not [
                    fields for _, fields, _ in box.requests if "parent" in fields
                ]
            if what != "source drains":
                assert not box.requests

    run_scene(scene())


def test_attempts_of_a_client_that_left_are_taken_back(tmp_path: Path) -> None:
    async def scene() -> None:
        box = ScriptedCacheHost(silent)
        async with Running(tmp_path, {"a": box, "o": ScriptedCacheHost(silent)}) as dispatcher:
            dispatcher.client.send(1, "page")
            await until(lambda: bool(box.requests))
            dispatcher.client.writer.write(fastcgi.encode_record(fastcgi.ABORT_REQUEST, 1))
            owner = dispatcher.service.router_task
            began = asyncio.get_running_loop().time()
            await until(lambda: not owner.requests.by_id and not owner.router.in_flight)
            assert asyncio.get_running_loop().time() - began < 0.5  # well before its time is over

    run_scene(scene())


def test_aborted_request_gets_no_answer_and_frees_its_number(tmp_path: Path) -> None:
    async def scene() -> None:
        box = ScriptedCacheHost(
            lambda id, fields, body: None if fields["blk"] == "1" else served(id, fields, body)
        )
        async with Running(tmp_path, {"a": box, "o": ScriptedCacheHost(served)}) as dispatcher:
            dispatcher.client.send(1, "page", {"HTTP_X_CHUNK": "1"})
            await until(lambda: bool(box.requests))
            dispatcher.client.writer.write(fastcgi.encode_record(fastcgi.ABORT_REQUEST, 1))
            assert (await dispatcher.client.read_answer())[1] == 0  # END_REQUEST alone
            assert (await dispatcher.ask(1, "page", fields={"HTTP_X_CORRELATION_ID": "ab" * 8}))[0] == 200

    run_scene(scene())


def test_slow_reader_costs_only_itself(tmp_path: Path) -> None:
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
