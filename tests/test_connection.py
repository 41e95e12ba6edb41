"""A connection's sends and its lingering close, against a peer that takes each step when it is told."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable
from typing import Any

import pytest

from hoistplank.transport import connection as connections
from hoistplank.transport.connecting import connect_socket, open_tcp_socket
from hoistplank.transport.connection import Connection
from hoistplank.transport.errors import MessageTooLongError
from tests.helpers import until
from tests.scene_runner import run_scene


class SocketPeer:
    """The other end of a connection, by plain socket calls: each step is taken when it is told."""

    def __init__(self, room: int = 0) -> None:
        with socket.socket() as listener:
            if room:
                listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, room)
            listener.bind(("127.0.0.1", 0))
            listener.listen(1)
            self.ours = socket.socket()
            if room:
                self.ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, room)
            self.ours.connect(listener.getsockname())
            self.sock, _ = listener.accept()
        for sock in (self.ours, self.sock):
            sock.setblocking(False)

    def serve(self, consume: Callable[[bytearray, int, int], int]) -> tuple[Connection, asyncio.Task[Any]]:
        made = Connection(self.ours, consume, 1 << 20, 1 << 24)
        return made, asyncio.get_running_loop().create_task(made.run())

    async def read(self) -> bytes:
        """All till the end; a reset raises."""
        came = b""
        while more := await asyncio.get_running_loop().sock_recv(self.sock, 65_536):
            came += more
        return came

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


def collecting(into: list[bytes]) -> Callable[[bytearray, int, int], int]:
    def consume(buffer: bytearray, start: int, end: int) -> int:
        into.append(bytes(buffer[start:end]))
        return end

    return consume


def test_a_message_of_which_the_system_took_no_byte_is_asked_again() -> None:
    async def scene() -> None:
        peer, may, asked = SocketPeer(room=8_192), [True], list[bool]()
        made, task = peer.serve(collecting([]))
        await asyncio.sleep(0)
        full = 0
        while True:
            try:
                full += peer.ours.send(bytes(65_536))
            except BlockingIOError:
                break

        def begin() -> bool:
            asked.append(may[0])
            return may[0]

        made.send(b"late", begin)
        made.send(b"always")
        await until(lambda: bool(asked))
        assert asked == [True]
        may[0] = False  # as when the host drains meanwhile
        got = b""
        while not got.endswith(b"always"):
            got += await asyncio.get_running_loop().sock_recv(peer.sock, 65_536)
        assert got == bytes(full) + b"always" and asked[-1] is False
        made.close()
        await task
        peer.sock.close()

    run_scene(scene())


def test_what_stands_behind_a_message_that_is_cut_is_asked_again_and_what_was_whole_is_told() -> None:
    async def scene() -> None:
        peer, may, told = SocketPeer(room=8_192), [True], list[str]()
        made, task = peer.serve(collecting([]))
        await asyncio.sleep(0)
        made.send(b"first", on_written=lambda: told.append("first"))
        made.send(bytes(4 << 20), on_written=lambda: told.append("large"))
        made.send(b"late", lambda: may[0], lambda: told.append("late"), lambda: told.append("untaken"))
        await until(lambda: bool(told))
        assert told == ["untaken", "first"]  # no byte of the last one is with the system, all of the first is
        may[0] = False
        got = 0
        while got < 5 + (4 << 20):
            got += len(await asyncio.get_running_loop().sock_recv(peer.sock, 1 << 20))
        await until(lambda: not made.unsent_bytes)
        made.close_gracefully()
        assert await peer.read() == b"" and told == ["untaken", "first", "large"]
        peer.sock.close()
        await task

    run_scene(scene())


def test_a_message_is_told_as_written_in_the_turn_in_which_its_last_byte_goes_out() -> None:
    """A reset that is read next must not make it one that never ran."""

    async def scene() -> None:
        peer, told = SocketPeer(room=8_192), list[str]()
        made, task = peer.serve(collecting([]))
        await asyncio.sleep(0)
        made.send(bytes(4 << 20), on_written=lambda: told.append("whole"))
        await until(lambda: made._partial is not None)
        while made._partial is not None:
            with contextlib.suppress(BlockingIOError):
                peer.sock.recv(1 << 20)
            made._continue_write()
        peer.reset()  # before the loop has had another turn
        assert told == ["whole"]
        await task

    run_scene(scene())


def test_bytes_that_come_in_the_instant_of_a_close_reset_nothing_and_are_not_taken() -> None:
    async def scene() -> None:
        peer, into = SocketPeer(), list[bytes]()
        made, task = peer.serve(collecting(into))
        await asyncio.sleep(0)

        # It comes between the write and the end, and nobody has read it.
        def written() -> None:
            peer.sock.send(b"one more")

        made.send(b"the last answer", on_written=written)
        made.close_gracefully()
        assert await peer.read() == b"the last answer"
        peer.sock.send(b"after the end")
        await asyncio.sleep(0)
        peer.sock.close()
        await asyncio.wait_for(task, connections.LINGER_S / 2)  # the other side's end is ours
        assert b"after the end" not in b"".join(into)

    run_scene(scene())


def test_one_that_goes_on_sending_after_our_end_costs_little_and_not_for_long() -> None:
    async def scene() -> None:
        peer, into = SocketPeer(), list[bytes]()
        made, task = peer.serve(collecting(into))
        await asyncio.sleep(0)
        made.close_gracefully()
        loop = asyncio.get_running_loop()
        began = loop.time()
        with pytest.raises(OSError):
            while True:
                await loop.sock_sendall(peer.sock, bytes(65_536))
        await task
        assert loop.time() - began < 2 * connections.LINGER_S + 0.2 and into == []
        assert made.discarded_bytes <= connections.MAX_DISCARDED_BYTES + len(connections.DISCARD_BUFFER)
        peer.sock.close()

    run_scene(scene())


def test_an_end_with_output_that_nobody_takes_is_closed_in_time() -> None:
    async def scene() -> None:
        peer = SocketPeer(room=8_192)
        made, task = peer.serve(collecting([]))
        await asyncio.sleep(0)
        made.send(bytes(4 << 20))
        made.close_gracefully()
        await asyncio.wait_for(task, 2 * connections.LINGER_S + 0.2)
        peer.sock.close()

    run_scene(scene())


def test_a_message_that_no_buffer_holds_ends_its_connection_by_a_typed_error() -> None:
    async def scene() -> None:
        peer = SocketPeer()
        made = Connection(peer.ours, lambda buffer, start, end: start, 16_384, 1 << 20)
        task = asyncio.get_running_loop().create_task(made.run())
        while not made.is_closed:
            with contextlib.suppress(BlockingIOError, ConnectionError):
                peer.sock.send(bytes(8_192))
            await asyncio.sleep(0)
        error = await task
        assert isinstance(error, MessageTooLongError) and error.max_bytes == 16_384
        assert made.ended_inside_message

    run_scene(scene())


def test_a_socket_that_is_not_connected_in_time_is_closed() -> None:
    async def scene() -> None:
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            # Its backlog is full with these: what comes now waits.
            waiting = [open_tcp_socket() for _ in range(4)]
            for sock in waiting:
                sock.connect_ex(listener.getsockname())
            late = open_tcp_socket()
            with pytest.raises(TimeoutError):
                await connect_socket(late, listener.getsockname(), 0.05)
            assert late.fileno() == -1
            for sock in waiting:
                sock.close()

    run_scene(scene())
