"""A TCP proxy with faults: it delays, withholds or cuts what a server answers, or refuses connections."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Self

CHUNK_BYTES = 65_536


class FaultProxy:
    """Stands before the server at `target_port`; use it as an async context manager.

    `answer_delay_s`: from the first bytes of a connection's client to the first byte that comes back.
    `connect_delay_s`: before a connection that was accepted is passed on. `is_silent`: nothing comes back.
    `piece_bytes` and `piece_pause_s`: what comes back is cut into pieces with a pause after each.
    """

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.port = 0
        self.answer_delay_s = 0.0
        self.connect_delay_s = 0.0
        self.piece_bytes = CHUNK_BYTES
        self.piece_pause_s = 0.0
        self.connection_count = 0
        self.on_connection: Callable[[], None] | None = None  # called as a connection's client has asked
        self._speaks = asyncio.Event()
        self._speaks.set()
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        await self.listen()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.refuse()

    @property
    def is_silent(self) -> bool:
        """Whether what the server sends is withheld for now."""
        return not self._speaks.is_set()

    @is_silent.setter
    def is_silent(self, silent: bool) -> None:
        if silent:
            self._speaks.clear()
        else:
            self._speaks.set()

    async def listen(self) -> None:
        """Accept connections, at the same port each time; nothing changes where it does already."""
        if self._server is not None:
            return
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = int(self._server.sockets[0].getsockname()[1])

    async def refuse(self) -> None:
        """Refuse connections from now on, and cut those that stand."""
        if self._server is not None:
            self._server.close()
            self._server = None
        await self.cut()

    async def cut(self) -> None:
        """Close all connections that stand; new ones are accepted as before."""
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
            await self._pass_on(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass  # a connection ends with either side, or by `cut`
        finally:
            self._connections.discard(task)
            writer.close()

    async def _pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.connect_delay_s)
        server_reader, server_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        asked = asyncio.Event()
        directions = [
            asyncio.create_task(self._pass_requests(reader, server_writer, asked), name="proxy: requests"),
            asyncio.create_task(self._pass_answers(server_reader, writer, asked), name="proxy: answers"),
        ]
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for direction in directions:
                direction.cancel()
            await asyncio.gather(*directions, return_exceptions=True)
            server_writer.close()

    async def _pass_requests(
        self, reader: asyncio.StreamReader, server_writer: asyncio.StreamWriter, asked: asyncio.Event
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if not asked.is_set():
                    asked.set()
                    if self.on_connection is not None:
                        self.on_connection()
                server_writer.write(data)
                await server_writer.drain()

    async def _pass_answers(
        self, server_reader: asyncio.StreamReader, writer: asyncio.StreamWriter, asked: asyncio.Event
    ) -> None:
        await asked.wait()
        await asyncio.sleep(self.answer_delay_s)
        with contextlib.suppress(OSError):
            while data := await server_reader.read(self.piece_bytes):
                await self._speaks.wait()
                writer.write(data)
                await writer.drain()
                await asyncio.sleep(self.piece_pause_s)
