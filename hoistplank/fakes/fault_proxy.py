"""A TCP proxy with faults: it delays, withholds or cuts off answers, or refuses connections."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Self

CHUNK_BYTES = 65_536


class FaultProxy:
    """Relays connections to the server at `target_port`; use it as an async context manager.

    `answer_delay_s`: from the client's first bytes on a connection to the first byte of an answer.
    `connect_delay_s`: before an accepted connection is relayed. `is_silent`: answers are withheld.
    `piece_bytes` and `piece_pause_s`: answers are split into pieces with a pause after each.
    """

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.port = 0
        self.answer_delay_s = 0.0
        self.connect_delay_s = 0.0
        self.piece_bytes = CHUNK_BYTES
        self.piece_pause_s = 0.0
        self.connection_count = 0
        self.on_connection: Callable[[], None] | None = None  # called at the client's first bytes
        self._answers_allowed = asyncio.Event()
        self._answers_allowed.set()
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        await self.listen()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.refuse()

    @property
    def is_silent(self) -> bool:
        """True if the server's answers are withheld."""
        return not self._answers_allowed.is_set()

    @is_silent.setter
    def is_silent(self, silent: bool) -> None:
        if silent:
            self._answers_allowed.clear()
        else:
            self._answers_allowed.set()

    async def listen(self) -> None:
        """Accept connections, at the same port each time; does nothing if it accepts them already."""
        if self._server is not None:
            return
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = int(self._server.sockets[0].getsockname()[1])

    async def refuse(self) -> None:
        """Refuse connections from now on, and close the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        await self.cut()

    async def cut(self) -> None:
        """Close all open connections; new ones are accepted as before."""
        connections = list(self._connections)
        for task in connections:
            task.cancel()
        await asyncio.gather(*connections, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        self.connection_count += 1
        try:
            await self._relay(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass  # either side closed the connection, or `cut` did
        finally:
            self._connections.discard(task)
            writer.close()

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.connect_delay_s)
        server_reader, server_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        client_sent = asyncio.Event()
        directions = [
            asyncio.create_task(
                self._relay_requests(reader, server_writer, client_sent), name="proxy: requests"
            ),
            asyncio.create_task(
                self._relay_answers(server_reader, writer, client_sent), name="proxy: answers"
            ),
        ]
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for direction in directions:
                direction.cancel()
            await asyncio.gather(*directions, return_exceptions=True)
            server_writer.close()

    async def _relay_requests(
        self, reader: asyncio.StreamReader, server_writer: asyncio.StreamWriter, client_sent: asyncio.Event
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if not client_sent.is_set():
                    client_sent.set()
                    if self.on_connection is not None:
                        self.on_connection()
                server_writer.write(data)
                await server_writer.drain()

    async def _relay_answers(
        self, server_reader: asyncio.StreamReader, writer: asyncio.StreamWriter, client_sent: asyncio.Event
    ) -> None:
        await client_sent.wait()
        await asyncio.sleep(self.answer_delay_s)
        with contextlib.suppress(OSError):
            while data := await server_reader.read(self.piece_bytes):
                await self._answers_allowed.wait()
                writer.write(data)
                await writer.drain()
                await asyncio.sleep(self.piece_pause_s)
