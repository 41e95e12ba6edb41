"""Client connections: which are kept, which are closed for new ones, and their descriptor limits."""

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


def test_client_is_served_despite_hundreds_of_silent_connections(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Running(
            tmp_path,
            {"a": ScriptedCacheHost(served), "o": ScriptedCacheHost(silent)},
            **{"limits.sockets": 64},
        ) as dispatcher:
            assert (await dispatcher.ask(3, "page"))[0] == 200
            silent_clients = [await dispatcher.connect() for _ in range(200)]
            late_client = await dispatcher.connect()
            late_client.send(1, "page")
            assert (await asyncio.wait_for(late_client.read_answer(), 1.5))[1] == 200
            assert (await dispatcher.ask(2, "page"))[0] == 200  # a connection with requests is kept
            for client in silent_clients:
                client.writer.close()

    run_scene(scene())


def test_idle_connections_are_closed_for_new_clients_despite_silent_ones(tmp_path: Path) -> None:
    async def scene() -> None:
        hosts = {"a": ScriptedCacheHost(served), "o": ScriptedCacheHost(silent)}
        async with Running(tmp_path, hosts, **{"limits.sockets": 64}) as dispatcher:
            frontend, open_clients = dispatcher.service.frontend, []
            await until(lambda: dispatcher.service.phase is Phase.SERVING)
            while len(frontend.sessions) < dispatcher.service.descriptors.limits[ConnectionKind.CLIENT]:
                open_clients.append(await dispatcher.connect())
                open_clients[-1].send(1, "", script="/-/healthy")
                assert (await open_clients[-1].read_answer())[1] == 200
            # New silent connections arrive among the others, which must be accepted at once all the same.
            late_clients = []
            for number in range(30):
                open_clients.append(await dispatcher.connect())
                late_clients.append(await dispatcher.connect())
                late_clients[-1].send(number + 1, "", script="/-/healthy")
            async with asyncio.timeout(0.8):
                assert [(await client.read_answer())[1] for client in late_clients] == [200] * 30

    run_scene(scene())


def test_idle_connection_with_an_unread_request_is_kept(tmp_path: Path) -> None:
    """On a full core, a close for lack of descriptors or for idleness is decided before the data is read."""

    async def scene() -> None:
        async with Running(
            tmp_path, {"a": ScriptedCacheHost(served), "o": ScriptedCacheHost(silent)}
        ) as dispatcher:
            assert (await dispatcher.ask(1, "page"))[0] == 200
            frontend = dispatcher.service.frontend
            for number, close in enumerate((frontend.reclaim, frontend.sweep), 2):
                for session in frontend.sessions:
                    session.connection.last_read_at -= 100
                descriptor = dispatcher.client.writer.get_extra_info("socket").fileno()
                with socket.socket(fileno=os.dup(descriptor)) as raw:
                    sent: list[bytes] = []
                    original_writer = dispatcher.client.writer
                    dispatcher.client.writer = SimpleNamespace(write=sent.append)  # type: ignore[assignment]
                    dispatcher.client.send(number, "page")
                    dispatcher.client.writer = original_writer
                    raw.send(sent[0])  # it has arrived, but the loop has not read it yet
                    close()
                assert (await dispatcher.client.read_answer())[:2] == (number, 200)

    run_scene(scene())


def test_idle_connections_are_closed_at_the_descriptor_limit(tmp_path: Path) -> None:
    async def scene() -> None:
        limits = {"sockets": 64}
        async with Running(
            tmp_path, {"a": ScriptedCacheHost(served), "o": ScriptedCacheHost(served)}, limits=limits
        ) as dispatcher:
            descriptors = dispatcher.service.descriptors
            clients: list[FastCgiClient] = []
            for number in range(1, 41):  # more than the descriptor limit of clients
                clients.append(await dispatcher.connect())
                clients[-1].send(number, "page", {"HTTP_X_CORRELATION_ID": f"{number + 100:016x}"})
                assert (await asyncio.wait_for(clients[-1].read_answer(), 5))[1] == 200
                assert sum(descriptors.held.values()) <= 40

    run_scene(scene())


def test_idle_clients_leave_descriptors_for_the_change_log_and_cache_hosts(tmp_path: Path) -> None:
    async def scene() -> None:
        hosts = {"a": ScriptedCacheHost(served), "o": ScriptedCacheHost(silent)}
        async with SteadyDispatcher(tmp_path, hosts, **{"limits.sockets": 64}) as dispatcher:
            descriptors, open_clients = dispatcher.service.descriptors, list[FastCgiClient]()
            for number in range(2 * descriptors.limits[ConnectionKind.CLIENT]):
                open_clients.append(await dispatcher.connect())
                open_clients[-1].send(number + 1, "", script="/-/healthy")
            connections_before = len(dispatcher.log_positions)
            dispatcher.service.endpoint_watcher.set_address(
                ("127.0.0.1", await serve(dispatcher.changelog.serve_connection))
            )
            await until(lambda: len(dispatcher.log_positions) == connections_before + 1)
            late_client = await dispatcher.connect()
            late_client.send(1, "page")
            assert (await asyncio.wait_for(late_client.read_answer(), 2))[1] == 200
            for client in open_clients:
                client.writer.close()

    run_scene(scene())
