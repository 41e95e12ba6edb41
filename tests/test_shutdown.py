"""Graceful shutdown: open requests and those that still arrive are answered before the program stops."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
from collections.abc import Callable
from pathlib import Path

import pytest

from hoistplank.decision.events import ClientDisconnected, Event
from hoistplank.fakes.wire import FastCgiClient, ScriptedCacheHost
from hoistplank.program.phase import Phase
from tests.dispatcher_scene import BODY, SteadyDispatcher, request_bytes, served, silent
from tests.helpers import Running, until
from tests.scene_runner import run_scene


def call_when_drained(dispatcher: Running, action: Callable[[], object]) -> None:
    """Calls `action` in the event loop iteration in which the shutdown first finds no request open after its
    accept window."""
    shutdown = dispatcher.service.shutdown
    original, called = shutdown.is_empty, list[bool]()

    def is_empty() -> bool:
        if original() and not called:
            called.append(True)
            action()
            return True
        return original()

    shutdown.is_empty = is_empty  # type: ignore[method-assign]


def raw_socket(client: FastCgiClient) -> socket.socket:
    return socket.socket(fileno=os.dup(client.writer.get_extra_info("socket").fileno()))


async def connected_socket(sock: socket.socket) -> socket.socket:
    """Waits until a socket that `call_when_drained` connects is connected."""

    def connected() -> bool:
        try:
            sock.getpeername()
        except OSError:
            return False
        return True

    await until(connected)
    return sock


def test_request_received_as_the_drain_ends_is_answered(tmp_path: Path) -> None:
    async def scene() -> None:
        cache_host = ScriptedCacheHost(served)
        async with SteadyDispatcher(
            tmp_path, {"a": cache_host, "o": ScriptedCacheHost(silent)}
        ) as dispatcher:
            assert (await dispatcher.ask(1, "page"))[0] == 200
            with raw_socket(dispatcher.client) as raw:
                call_when_drained(dispatcher, lambda: raw.send(request_bytes(2)))
                dispatcher.service.terminated.set()
                number, status, _, body = await asyncio.wait_for(dispatcher.client.read_answer(), 5)
            assert (number, status, body) == (2, 200, BODY)
            assert await dispatcher.client.reader.read() == b""  # closed in order, without a reset

    run_scene(scene())


def test_request_after_the_write_side_was_shut_is_not_forwarded(tmp_path: Path) -> None:
    async def scene() -> None:
        cache_host = ScriptedCacheHost(served)
        async with SteadyDispatcher(
            tmp_path, {"a": cache_host, "o": ScriptedCacheHost(silent)}
        ) as dispatcher:
            assert (await dispatcher.ask(1, "page"))[0] == 200
            dispatcher.service.terminated.set()
            assert await dispatcher.client.reader.read() == b""
            with raw_socket(dispatcher.client) as raw:
                raw.send(request_bytes(2))
            await asyncio.wait_for(asyncio.shield(dispatcher.task), 5)
            assert [id for id, _, _ in cache_host.requests] == [f"{1:016x}"]

    run_scene(scene())


def test_request_on_a_connection_in_the_backlog_at_the_drains_end_is_answered(tmp_path: Path) -> None:
    async def scene() -> None:
        async with SteadyDispatcher(
            tmp_path, {"a": ScriptedCacheHost(served), "o": ScriptedCacheHost(silent)}
        ) as dispatcher:
            assert (await dispatcher.ask(1, "page"))[0] == 200
            late = socket.socket()

            def connect_and_send() -> None:
                late.connect(dispatcher.service.listener.sock.getsockname())
                late.send(request_bytes(2))

            call_when_drained(dispatcher, connect_and_send)
            dispatcher.service.terminated.set()
            reader, writer = await asyncio.open_connection(sock=await connected_socket(late))
            number, status, _, _ = await asyncio.wait_for(FastCgiClient(reader, writer).read_answer(), 5)
            assert (number, status) == (2, 200)
            writer.close()

    run_scene(scene())


def test_partial_record_and_second_sigterm_do_not_delay_shutdown(tmp_path: Path) -> None:
    async def scene() -> None:
        async with SteadyDispatcher(
            tmp_path, {"a": ScriptedCacheHost(served), "o": ScriptedCacheHost(silent)}
        ) as dispatcher:
            assert (await dispatcher.ask(1, "page"))[0] == 200
            half = await dispatcher.connect()
            half.writer.write(request_bytes(1)[:50])
            dispatcher.service.terminated.set()
            await until(lambda: dispatcher.service.phase is Phase.DRAINING)
            dispatcher.service.terminated.set()
            dispatcher.service.reload_requested.set()
            assert (await dispatcher.ask(2, "page"))[0] == 200  # still accepted during the drain
            assert await asyncio.wait_for(asyncio.shield(dispatcher.task), 4) == 0
            assert await dispatcher.client.reader.read() == b""

    run_scene(scene())


def test_answers_larger_than_the_buffers_are_delivered_whole_during_shutdown(tmp_path: Path) -> None:
    async def scene() -> None:
        async with SteadyDispatcher(
            tmp_path, {"a": ScriptedCacheHost(served), "o": ScriptedCacheHost(silent)}
        ) as dispatcher:
            reader, writer = await asyncio.open_connection(
                *dispatcher.service.listener.sock.getsockname(), limit=4_096
            )
            for number in range(1, 9):
                writer.write(request_bytes(number, fields={"HTTP_X_CHUNK": str(number)}))
            await until(lambda: dispatcher.service.router_task.counts.succeeded == 8)
            dispatcher.service.terminated.set()
            await until(lambda: dispatcher.service.phase is Phase.DRAINING)
            client, answered = FastCgiClient(reader, writer), set[int]()
            while len(answered) < 8:
                number, status, _, body = await asyncio.wait_for(client.read_answer(), 5)
                assert (status, body) == (200, BODY)
                answered.add(number)
            assert await reader.read() == b""

    run_scene(scene())


def test_drain_answers_new_and_open_requests_then_exits(tmp_path: Path) -> None:
    async def scene() -> None:
        cache_host = ScriptedCacheHost(
            lambda id, fields, body: None if fields["blk"] == "1" else served(id, fields, body)
        )
        async with Running(tmp_path, {"a": cache_host, "o": ScriptedCacheHost(silent)}) as dispatcher:
            dispatcher.client.send(1, "page", {"HTTP_X_CHUNK": "1", "HTTP_X_DEADLINE_MS": "400"})
            await until(lambda: bool(cache_host.requests))
            os.kill(os.getpid(), signal.SIGTERM)
            await until(lambda: dispatcher.service.phase is Phase.DRAINING)
            late = await dispatcher.connect()
            late.send(2, "page")
            late.send(3, "", script="/-/healthy")
            assert {(await late.read_answer())[1], (await late.read_answer())[1]} == {200, 503}
            assert (await dispatcher.client.read_answer())[:2] == (1, 503)
            assert await asyncio.wait_for(dispatcher.task, 3) == 0
            assert dispatcher.service.phase is Phase.STOPPED

    run_scene(scene())


def test_error_in_the_router_fails_open_requests_and_exits_with_1(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        async with Running(
            tmp_path, {"a": ScriptedCacheHost(silent), "o": ScriptedCacheHost(silent)}
        ) as dispatcher:
            dispatcher.client.send(1, "page")
            await until(lambda: bool(dispatcher.service.router_task.requests.by_id))
            router = dispatcher.service.router_task.router
            handle = router.handle

            def failing_handle(now: int, event: Event) -> None:
                if isinstance(event, ClientDisconnected):
                    raise TypeError("error in the router")
                handle(now, event)

            monkeypatch.setattr(router, "handle", failing_handle)
            other = await dispatcher.connect()
            other.send(2, "page")
            await until(lambda: len(dispatcher.service.router_task.requests.by_id) == 2)
            other.writer.close()
            assert (await dispatcher.client.read_answer())[:2] == (1, 502)
            assert await asyncio.wait_for(dispatcher.task, 3) == 1

    run_scene(scene())
