"""The message writer and the lingering close of a connection, against a peer that is driven step by step."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable
from typing import Any

import pytest

from hoistplank.transport import connection as connection_module
from hoistplank.transport.connecting import connect_socket, open_tcp_socket
from hoistplank.transport.connection import Connection
from hoistplank.transport.errors import MessageTooLongError
from tests.helpers import until
from tests.scene_runner import run_scene


class SocketPeer:
    """The other end of a connection; the tests drive its socket directly."""

    def __init__(self, buffer_bytes: int = 0) -> None:
        with socket.socket() as listener:
            if buffer_bytes:
                listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
            listener.bind(("127.0.0.1", 0))
            listener.listen(1)
            self.ours = socket.socket()
            if buffer_bytes:
                self.ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes)
            self.ours.connect(listener.getsockname())
            self.sock, _ = listener.accept()
        for sock in (self.ours, self.sock):
            sock.setblocking(False)

    def serve(self, consume: Callable[[bytearray, int, int], int]) -> tuple[Connection, asyncio.Task[Any]]:
        connection = Connection(self.ours, consume, 1 << 20, 1 << 24)
        return connection, asyncio.get_running_loop().create_task(connection.run())

    async def read(self) -> bytes:
        """Reads until the end of the stream; a reset raises."""
        received = b""
        while chunk := await asyncio.get_running_loop().sock_recv(self.sock, 65_536):
            received += chunk
        return received

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


def collect_into(chunks: list[bytes]) -> Callable[[bytearray, int, int], int]:
    def consume(buffer: bytearray, start: int, end: int) -> int:
        chunks.append(bytes(buffer[start:end]))
        return end

    return consume


def test_may_begin_is_called_again_for_a_message_with_no_byte_written() -> None:
    """A message that waits for a full socket buffer must not be written if its host drains meanwhile."""

    async def scene() -> None:
        peer, may_begin, calls = SocketPeer(buffer_bytes=8_192), [True], list[bool]()
        connection, task = peer.serve(collect_into([]))
        await asyncio.sleep(0)
        filled_bytes = 0
        while True:
            try:
                filled_bytes += peer.ours.send(bytes(65_536))
            except BlockingIOError:
                break

        def begin() -> bool:
            calls.append(may_begin[0])
            return may_begin[0]

        connection.send(b"late", begin)
        connection.send(b"always")
        await until(lambda: bool(calls))
        assert calls == [True]
        may_begin[0] = False  # as if the host began to drain
        received = b""
        while not received.endswith(b"always"):
            received += await asyncio.get_running_loop().sock_recv(peer.sock, 65_536)
        assert received == bytes(filled_bytes) + b"always" and calls[-1] is False
        connection.close()
        await task
        peer.sock.close()

    run_scene(scene())


def test_partial_write_defers_messages_behind_it_and_reports_complete_ones() -> None:
    """In a batch that the kernel takes in part, the first message is complete, the second is partly written
    and no byte of the third is written: only the third may still be dropped."""

    async def scene() -> None:
        peer, may_begin, events = SocketPeer(buffer_bytes=8_192), [True], list[str]()
        connection, task = peer.serve(collect_into([]))
        await asyncio.sleep(0)
        connection.send(b"first", on_written=lambda: events.append("first"))
        connection.send(bytes(4 << 20), on_written=lambda: events.append("large"))
        connection.send(
            b"late", lambda: may_begin[0], lambda: events.append("late"), lambda: events.append("deferred")
        )
        await until(lambda: bool(events))
        assert events == ["deferred", "first"]
        may_begin[0] = False
        received_bytes = 0
        while received_bytes < 5 + (4 << 20):
            received_bytes += len(await asyncio.get_running_loop().sock_recv(peer.sock, 1 << 20))
        await until(lambda: not connection.unsent_bytes)
        connection.close_gracefully()
        assert await peer.read() == b"" and events == ["deferred", "first", "large"]
        peer.sock.close()
        await task

    run_scene(scene())


def test_on_written_is_called_when_the_last_byte_is_written() -> None:
    """If it were called later, a reset that is read first would make a request that may have run count as not
    run."""

    async def scene() -> None:
        peer, events = SocketPeer(buffer_bytes=8_192), list[str]()
        connection, task = peer.serve(collect_into([]))
        await asyncio.sleep(0)
        connection.send(bytes(4 << 20), on_written=lambda: events.append("whole"))
        await until(lambda: connection._partial is not None)
        while connection._partial is not None:
            with contextlib.suppress(BlockingIOError):
                peer.sock.recv(1 << 20)
            connection._continue_write()
        peer.reset()  # before the next iteration of the event loop
        assert events == ["whole"]
        await task

    run_scene(scene())


def test_input_during_a_lingering_close_does_not_reset_it_and_is_not_consumed() -> None:
    """Closing a socket with unread input would reset the connection, and the last answer would be lost."""

    async def scene() -> None:
        peer, chunks = SocketPeer(), list[bytes]()
        connection, task = peer.serve(collect_into(chunks))
        await asyncio.sleep(0)

        # This input arrives between the last write and the shutdown, and is never read by `consume`.
        def send_during_close() -> None:
            peer.sock.send(b"one more")

        connection.send(b"the last answer", on_written=send_during_close)
        connection.close_gracefully()
        assert await peer.read() == b"the last answer"
        peer.sock.send(b"after the end")
        await asyncio.sleep(0)
        peer.sock.close()
        # The connection ends when the peer closes, without waiting for LINGER_S.
        await asyncio.wait_for(task, connection_module.LINGER_S / 2)
        assert b"after the end" not in b"".join(chunks)

    run_scene(scene())


def test_lingering_close_limits_discarded_bytes_and_time_if_the_peer_keeps_sending() -> None:
    async def scene() -> None:
        peer, chunks = SocketPeer(), list[bytes]()
        connection, task = peer.serve(collect_into(chunks))
        await asyncio.sleep(0)
        connection.close_gracefully()
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        with pytest.raises(OSError):
            while True:
                await loop.sock_sendall(peer.sock, bytes(65_536))
        await task
        assert loop.time() - started_at < 2 * connection_module.LINGER_S + 0.2 and chunks == []
        assert connection.discarded_bytes <= connection_module.MAX_DISCARDED_BYTES + len(
            connection_module.DISCARD_BUFFER
        )
        peer.sock.close()

    run_scene(scene())


def test_graceful_close_ends_in_time_if_the_peer_does_not_read() -> None:
    async def scene() -> None:
        peer = SocketPeer(buffer_bytes=8_192)
        connection, task = peer.serve(collect_into([]))
        await asyncio.sleep(0)
        connection.send(bytes(4 << 20))
        connection.close_gracefully()
        await asyncio.wait_for(task, 2 * connection_module.LINGER_S + 0.2)
        peer.sock.close()

    run_scene(scene())


def test_message_larger_than_the_buffer_ends_the_connection_with_an_error() -> None:
    async def scene() -> None:
        peer = SocketPeer()
        connection = Connection(peer.ours, lambda buffer, start, end: start, 16_384, 1 << 20)
        task = asyncio.get_running_loop().create_task(connection.run())
        while not connection.is_closed:
            with contextlib.suppress(BlockingIOError, ConnectionError):
                peer.sock.send(bytes(8_192))
            await asyncio.sleep(0)
        error = await task
        assert isinstance(error, MessageTooLongError) and error.max_bytes == 16_384
        assert connection.ended_inside_message

    run_scene(scene())


def test_connect_timeout_closes_the_socket() -> None:
    async def scene() -> None:
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            # These fill the backlog, so that a further connection has to wait.
            queued = [open_tcp_socket() for _ in range(4)]
            for sock in queued:
                sock.connect_ex(listener.getsockname())
            late = open_tcp_socket()
            with pytest.raises(TimeoutError):
                await connect_socket(late, listener.getsockname(), 0.05)
            assert late.fileno() == -1
            for sock in queued:
                sock.close()

    run_scene(scene())
