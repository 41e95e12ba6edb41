"""Fakes that speak the wire protocols: a cache host with scripted answers, and a FastCGI client."""

from __future__ import annotations

import asyncio
import ssl
import struct
from collections.abc import Awaitable, Callable

from hoistplank.protocol import fastcgi

RESET = b"reset"  # closes the connection in place of an answer

ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def serve(handle: ConnectionHandler, port: int = 0) -> int:
    """Listen on loopback, with `handle` for each connection; return the port."""

    async def guarded(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await handle(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the connection ended, or the event loop did; no task awaits this one
        finally:
            writer.close()

    server = await asyncio.start_server(guarded, "127.0.0.1", port)
    return int(server.sockets[0].getsockname()[1])


class ScriptedCacheHost:
    """Answers each GET by a function of its id, fields and body.

    The function returns the bytes of the answer, an awaitable of them, None for no answer, or `RESET` to
    close the connection.
    """

    def __init__(
        self, answer: Callable[[str, dict[str, str], bytes], bytes | Awaitable[bytes] | None]
    ) -> None:
        self.answer = answer
        self.pending: set[asyncio.Task[None]] = set()
        self.requests: list[tuple[str, dict[str, str], bytes]] = []  # id, fields, body
        self.dropped: list[str] = []  # ids of cancelled requests
        self.connections = 0
        self.health = "green"

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection until it ends."""
        self.connections += 1
        while line := (await reader.readline()).decode().split():
            if line[0] == "PING":
                writer.write(f"{line[1]} {self.health} - 0\r\n\r\n".encode())
                continue
            if line[0] == "DROP":
                self.dropped.append(line[1])
                continue
            body = (await reader.readexactly(int(line[3]) + 2))[:-2]
            fields = dict(part.split("=") for part in line[2].split(","))
            self.requests.append((line[1], fields, body))
            reply = self.answer(line[1], fields, body)
            if reply == RESET:
                return
            if isinstance(reply, bytes):
                writer.write(reply)
            elif reply is not None:
                task = asyncio.create_task(self._write_later(reply, writer), name="scripted answer")
                self.pending.add(task)
                task.add_done_callback(self.pending.discard)

    async def _write_later(self, reply: Awaitable[bytes], writer: asyncio.StreamWriter) -> None:
        writer.write(await reply)


class FastCgiClient:
    """The web server's side of FastCGI: sends requests and reads answers."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.partial_answers: dict[int, bytes] = {}

    def send(
        self,
        number: int,
        class_name: str,
        fields: dict[str, str] | None = None,
        body: bytes = b"",
        script: str = "/api/v2/",
    ) -> None:
        """Send a whole request under a FastCGI request number; `fields` add to or replace its parameters."""
        parameters = {
            "SCRIPT_NAME": script + class_name,
            "HTTP_X_CORRELATION_ID": f"{number:016x}",
            "HTTP_X_DEADLINE_MS": "1500",
            "HTTP_X_SUBJECT": "7f3a9c21e0b4d655",
        } | (fields or {})
        params = b"".join(
            fastcgi.encode_pair(name.encode(), value.encode()) for name, value in parameters.items()
        )
        parts = [
            fastcgi.encode_record(fastcgi.BEGIN_REQUEST, number, struct.pack(">HB5x", 1, 1)),
            fastcgi.encode_record(fastcgi.PARAMS, number, params),
            fastcgi.encode_record(fastcgi.PARAMS, number),
        ]
        parts += [fastcgi.encode_record(fastcgi.STDIN, number, body)] if body else []
        self.writer.write(b"".join([*parts, fastcgi.encode_record(fastcgi.STDIN, number)]))

    async def read_answer(self) -> tuple[int, int, bytes, bytes]:
        """Wait for the next whole answer; return its request number, status, head and body."""
        while True:
            _, kind, number, length, padding = fastcgi.HEADER.unpack(await self.reader.readexactly(8))
            content = (await self.reader.readexactly(length + padding))[:length]
            if kind == fastcgi.STDOUT:
                self.partial_answers[number] = self.partial_answers.get(number, b"") + content
            elif kind == fastcgi.END_REQUEST:
                head, _, body = self.partial_answers.pop(number, b"Status: 0\r\n\r\n").partition(b"\r\n\r\n")
                return number, int(head.split(b"\r\n")[0].split(b": ")[1]), head, body


async def connect(address: tuple[str, int], context: ssl.SSLContext | None = None) -> FastCgiClient:
    """Open a client on a new connection, with TLS if a context is given."""
    host = "localhost" if context is not None else None
    return FastCgiClient(*await asyncio.open_connection(*address, ssl=context, server_hostname=host))
