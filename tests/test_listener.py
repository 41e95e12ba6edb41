"""The listening socket: what stands in its backlog is taken, whatever `accept` says meanwhile."""

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


class PlannedSocket(socket.socket):
    """A listening socket whose next calls of `accept` fail, or are followed by something else at once."""

    failures: list[int]
    on_accepted: Callable[[], object] | None

    @classmethod
    def of(cls, sock: socket.socket) -> PlannedSocket:
        """Takes the place of a socket."""
        planned = cls(fileno=sock.detach())
        planned.setblocking(False)
        planned.failures, planned.on_accepted = [], None
        return planned

    def accept(self) -> tuple[socket.socket, tuple[str, int]]:
        if self.failures:
            number = self.failures.pop(0)
            raise OSError(number, os.strerror(number))
        accepted = super().accept()
        if self.on_accepted is not None:
            self.on_accepted()
        return accepted


class ListenerScene:
    """A listener that has not begun to accept, and the clients that it was handed."""

    def __init__(self) -> None:
        self.descriptors = DescriptorBudget(LIMIT)
        self.taken: list[socket.socket] = []
        self.listener = Listener(
            ("127.0.0.1", 0), self.descriptors, lambda sock, _peer: self.taken.append(sock)
        )
        self.sock = self.listener.sock = PlannedSocket.of(self.listener.sock)

    def connect(self) -> socket.socket:
        """A client that has sent something and was not accepted yet."""
        client = socket.create_connection(self.sock.getsockname())
        client.sendall(b"request")
        return client


async def accept_fails(scene: ListenerScene) -> list[socket.socket]:
    clients = [scene.connect(), scene.connect()]
    scene.sock.failures = [errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS]
    await scene.listener.stop()
    return clients


async def many_stand_in_the_backlog(scene: ListenerScene) -> list[socket.socket]:
    clients = [scene.connect() for _ in range(MAX_ACCEPTS_PER_BATCH + 10)]
    await scene.listener.stop()
    return clients


async def end_comes_in_the_instant_of_an_accept(scene: ListenerScene) -> list[socket.socket]:
    running, stopping = asyncio.create_task(scene.listener.run()), list[asyncio.Task[None]]()
    scene.sock.on_accepted = lambda: stopping.append(asyncio.create_task(scene.listener.stop()))
    await asyncio.sleep(0)
    clients = [scene.connect()]
    await until(lambda: bool(stopping))
    await asyncio.gather(*stopping)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    return clients


async def no_descriptor_is_left_for_a_moment(scene: ListenerScene) -> list[socket.socket]:
    while scene.descriptors.acquire(ConnectionKind.CLIENT):
        pass
    running = asyncio.create_task(scene.listener.run())
    clients = [scene.connect(), scene.connect()]
    await asyncio.sleep(0.03)  # the first is accepted, and waits
    loop = asyncio.get_running_loop()
    for _ in clients:
        loop.call_later(0.05, scene.descriptors.release, ConnectionKind.CLIENT)
    await scene.listener.stop()
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    return clients


MOMENTS = {
    "accept fails": accept_fails,
    "many stand in the backlog": many_stand_in_the_backlog,
    "the end comes in the instant of an accept": end_comes_in_the_instant_of_an_accept,
    "no descriptor is left for a moment": no_descriptor_is_left_for_a_moment,
}


@pytest.mark.parametrize("moment", MOMENTS)
def test_whoever_has_connected_by_the_end_is_taken(moment: str) -> None:
    """The end of a listening socket resets what stands in its backlog, requests and all."""

    async def scene() -> None:
        made = ListenerScene()
        clients = await MOMENTS[moment](made)
        assert len(made.taken) == len(clients)
        for accepted, client in zip(made.taken, clients, strict=True):
            accepted.setblocking(True)
            assert accepted.recv(100) == b"request"
            accepted.close()
            client.close()

    run_scene(scene())


def test_a_failing_accept_holds_up_no_other_client() -> None:
    """A connection that was aborted in the backlog says nothing of those behind it."""

    async def scene() -> None:
        made = ListenerScene()
        made.sock.failures = [errno.ECONNABORTED] * 20
        running = asyncio.create_task(made.listener.run())
        client = made.connect()
        await until(lambda: bool(made.taken), 0.5)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        client.close()
        made.taken[0].close()

    run_scene(scene())
