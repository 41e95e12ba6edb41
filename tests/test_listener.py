"""The listener accepts all clients in its backlog, also when `accept` fails or the listener stops."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from collections.abc import Callable

import pytest

from hoistplank.transport.descriptor_budget import ConnectionKind, DescriptorBudget
from hoistplank.transport.listener import MAX_ACCEPTS_PER_BATCH, Listener
from tests.helpers import until
from tests.scene_runner import run_scene

LIMIT = 256


class FaultySocket(socket.socket):
    """A listening socket whose next calls of `accept` fail with given errors, or are followed by a
    callback."""

    failures: list[int]
    on_accepted: Callable[[], object] | None

    @classmethod
    def replacing(cls, sock: socket.socket) -> FaultySocket:
        """Returns a socket that takes over the descriptor of `sock`."""
        faulty = cls(fileno=sock.detach())
        faulty.setblocking(False)
        faulty.failures, faulty.on_accepted = [], None
        return faulty

    def accept(self) -> tuple[socket.socket, tuple[str, int]]:
        if self.failures:
            number = self.failures.pop(0)
            raise OSError(number, os.strerror(number))
        accepted = super().accept()
        if self.on_accepted is not None:
            self.on_accepted()
        return accepted


class ListenerScene:
    """A listener that is not running yet, and the clients that it has accepted."""

    def __init__(self) -> None:
        self.descriptors = DescriptorBudget(LIMIT)
        self.accepted: list[socket.socket] = []
        self.listener = Listener(
            ("127.0.0.1", 0), self.descriptors, lambda sock, _peer: self.accepted.append(sock)
        )
        self.sock = self.listener.sock = FaultySocket.replacing(self.listener.sock)

    def connect(self) -> socket.socket:
        """Returns a client that has sent a request and is not accepted yet."""
        client = socket.create_connection(self.sock.getsockname())
        client.sendall(b"request")
        return client


async def accept_fails(scene: ListenerScene) -> list[socket.socket]:
    clients = [scene.connect(), scene.connect()]
    scene.sock.failures = [errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS]
    await scene.listener.stop()
    return clients


async def backlog_exceeds_a_batch(scene: ListenerScene) -> list[socket.socket]:
    clients = [scene.connect() for _ in range(MAX_ACCEPTS_PER_BATCH + 10)]
    await scene.listener.stop()
    return clients


async def stop_during_an_accept(scene: ListenerScene) -> list[socket.socket]:
    running, stopping = asyncio.create_task(scene.listener.run()), list[asyncio.Task[None]]()
    scene.sock.on_accepted = lambda: stopping.append(asyncio.create_task(scene.listener.stop()))
    await asyncio.sleep(0)
    clients = [scene.connect()]
    await until(lambda: bool(stopping))
    await asyncio.gather(*stopping)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    return clients


async def descriptors_are_exhausted_briefly(scene: ListenerScene) -> list[socket.socket]:
    while scene.descriptors.acquire(ConnectionKind.CLIENT):
        pass
    running = asyncio.create_task(scene.listener.run())
    clients = [scene.connect(), scene.connect()]
    await asyncio.sleep(0.03)  # the first is accepted and held
    loop = asyncio.get_running_loop()
    for _ in clients:
        loop.call_later(0.05, scene.descriptors.release, ConnectionKind.CLIENT)
    await scene.listener.stop()
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    return clients


STOP_SCENARIOS = {
    "accept fails": accept_fails,
    "backlog exceeds a batch": backlog_exceeds_a_batch,
    "stop during an accept": stop_during_an_accept,
    "descriptors are exhausted briefly": descriptors_are_exhausted_briefly,
}


@pytest.mark.parametrize("scenario", STOP_SCENARIOS)
def test_stop_accepts_all_clients_that_have_connected(scenario: str) -> None:
    """Closing a listening socket resets the connections in its backlog, and their requests are lost."""

    async def scene() -> None:
        listener_scene = ListenerScene()
        clients = await STOP_SCENARIOS[scenario](listener_scene)
        assert len(listener_scene.accepted) == len(clients)
        for accepted, client in zip(listener_scene.accepted, clients, strict=True):
            accepted.setblocking(True)
            assert accepted.recv(100) == b"request"
            accepted.close()
            client.close()

    run_scene(scene())


def test_failed_accept_does_not_delay_other_clients() -> None:
    """A connection that is aborted in the backlog makes `accept` fail, but those behind it are not
    affected."""

    async def scene() -> None:
        listener_scene = ListenerScene()
        listener_scene.sock.failures = [errno.ECONNABORTED] * 20
        running = asyncio.create_task(listener_scene.listener.run())
        client = listener_scene.connect()
        await until(lambda: bool(listener_scene.accepted), 0.5)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        client.close()
        listener_scene.accepted[0].close()

    run_scene(scene())
