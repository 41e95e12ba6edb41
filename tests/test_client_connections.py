"""Connections of clients: which are kept, which make room, and the descriptors they may hold."""

from __future__ import annotations

import asyncio
import os
import socket
from pathlib import Path
from types import SimpleNamespace

from hoistplank.fakes.wire import FastCgiClient, ScriptedCacheHost, serve
from hoistplank.program.phase import Phase
from hoistplank.transport.descriptor_budget import ConnectionKind
from tests.dispatcher_scene import SteadyDispatcher, served, silent
from tests.helpers import Running, until
from tests.scene_runner import run_scene


def test_usual_client_comes_in_past_hundreds_that_say_nothing(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Running(
            tmp_path,
            {"a": ScriptedCacheHost(served), "o": ScriptedCacheHost(silent)},
            **{"limits.sockets": 64},
        ) as dispatcher:
            assert (await dispatcher.ask(3, "page"))[0] == 200
            mute = [await dispatcher.connect() for _ in range(200)]
            late = await dispatcher.connect()
            late.send(1, "page")
            assert (await asyncio.wait_for(late.read_answer(), 1.5))[1] == 200
            assert (await dispatcher.ask(2, "page"))[0] == 200  # a connection that spoke stays
            for client in mute:
                client.writer.close()

    run_scene(scene())


def test_idle_clients_make_room_though_a_few_say_nothing(tmp_path: Path) -> None:
    async def scene() -> None:
        hosts = {"a": ScriptedCacheHost(served), "o": ScriptedCacheHost(silent)}
        async with Running(tmp_path, hosts, **{"limits.sockets": 64}) as dispatcher:
            frontend, stay = dispatcher.service.frontend, []
            await until(lambda: dispatcher.service.phase is Phase.SERVING)
            while len(frontend.sessions) < dispatcher.service.descriptors.limits[ConnectionKind.CLIENT]:
                stay.append(await dispatcher.connect())
                stay[-1].send(1, "", script="/-/healthy")
                assert (await stay[-1].read_answer())[1] == 200
            # Young ones that say nothing come between all others: these are taken in all the same, at once.
            late = []
            for number in range(30):
                stay.append(await dispatcher.connect())
                late.append(await dispatcher.connect())
                late[-1].send(number + 1, "", script="/-/healthy")
            async with asyncio.timeout(0.8):
                assert [(await client.read_answer())[1] for client in late] == [200] * 30

    run_scene(scene())


def test_request_that_lies_unread_keeps_its_idle_connection(tmp_path: Path) -> None:
    """On a full core: the close for want of room, or after a time, is decided before the reader's turn."""

    async def scene() -> None:
        async with Running(
            tmp_path, {"a": ScriptedCacheHost(served), "o": ScriptedCacheHost(silent)}
        ) as dispatcher:
            assert (await dispatcher.ask(1, "page"))[0] == 200
            frontend = dispatcher.service.frontend
            for number, close in enumerate((frontend.reclaim, frontend.sweep), 2):
                for session in frontend.sessions:
                    session.connection.last_read_at -= 100
                number_of = dispatcher.client.writer.get_extra_info("socket").fileno()
                with socket.socket(fileno=os.dup(number_of)) as raw:
                    sent: list[bytes] = []
                    keep = dispatcher.client.writer
                    dispatcher.client.writer = SimpleNamespace(write=sent.append)  # type: ignore[assignment]
                    dispatcher.client.send(number, "page")
                    dispatcher.client.writer = keep
                    raw.send(sent[0])  # it is there now, and the loop has not looked yet
                    close()
                assert (await dispatcher.client.read_answer())[:2] == (number, 200)

    run_scene(scene())


def test_descriptors_are_counted_and_idle_connections_go_first(tmp_path: Path) -> None:
    async def scene() -> None:
        limits = {"sockets": 64}
        async with Running(
            tmp_path, {"a": ScriptedCacheHost(served), "o": ScriptedCacheHost(served)}, limits=limits
        ) as dispatcher:
            descriptors = dispatcher.service.descriptors
            clients: list[FastCgiClient] = []
            for number in range(1, 41):  # more than clients may hold
                clients.append(await dispatcher.connect())
                clients[-1].send(number, "page", {"HTTP_X_CORRELATION_ID": f"{number + 100:016x}"})
                assert (await asyncio.wait_for(clients[-1].read_answer(), 5))[1] == 200
                assert sum(descriptors.held.values()) <= 40

    run_scene(scene())


def test_idle_clients_leave_the_descriptors_of_the_watch_and_the_hosts(tmp_path: Path) -> None:
    async def scene() -> None:
        hosts = {"a": ScriptedCacheHost(served), "o": ScriptedCacheHost(silent)}
        async with SteadyDispatcher(tmp_path, hosts, **{"limits.sockets": 64}) as dispatcher:
            descriptors, stay = dispatcher.service.descriptors, list[FastCgiClient]()
            for number in range(2 * descriptors.limits[ConnectionKind.CLIENT]):
                stay.append(await dispatcher.connect())
                stay[-1].send(number + 1, "", script="/-/healthy")
            since = len(dispatcher.since)
            dispatcher.service.endpoint_watcher.set_address(
                ("127.0.0.1", await serve(dispatcher.changelog.serve_connection))
            )
            await until(lambda: len(dispatcher.since) == since + 1)
            late = await dispatcher.connect()
            late.send(1, "page")
            assert (await asyncio.wait_for(late.read_answer(), 2))[1] == 200
            for client in stay:
                client.writer.close()

    run_scene(scene())
