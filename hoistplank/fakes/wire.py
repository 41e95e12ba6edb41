"""Stand-ins that speak the wires: a cache host that answers as it is told, a web server of the front."""

from __future__ import annotations

import asyncio
import ssl
import struct
from collections.abc import Awaitable, Callable

from hoistplank.protocol import fastcgi

Talk = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def serve(talk: Talk, port: int = 0) -> int:
    """A stand-in that talks on each connection; returns its port."""

    async def guarded(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await talk(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # a stand-in's connection ends with its loop, and nobody waits for it
        finally:
            writer.close()

    server = await asyncio.start_server(guarded, "127.0.0.1", port)
    return int(server.sockets[0].getsockname()[1])


class CacheHost:
    """Answers each GET by a function of its id, fields and body; None keeps silent, what is awaitable comes
    later."""

    def __init__(
        self, answer: Callable[[str, dict[str, str], bytes], bytes | Awaitable[bytes] | None]
    ) -> None:
        self.answer, self.later = answer, set[asyncio.Task[None]]()
        self.seen: list[tuple[str, dict[str, str], bytes]] = []
        self.drops: list[str] = []
        self.connections = 0
        self.ping = "green"

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        while line := (await reader.readline()).decode().split():
            if line[0] == "PING":
                writer.write(f"{line[1]} {self.ping} - 0\r\n\r\n".encode())
                continue
            if line[0] == "DROP":
                self.drops.append(line[1])
                continue
            body = (await reader.readexactly(int(line[3]) + 2))[:-2]
            fields = dict(part.split("=") for part in line[2].split(","))
            self.seen.append((line[1], fields, body))
            reply = self.answer(line[1], fields, body)
            if reply == b"reset":
                return
            if isinstance(reply, bytes):
                writer.write(reply)
            elif reply is not None:
                task = asyncio.ensure_future(self._late(reply, writer))
                self.later.add(task)
                task.add_done_callback(self.later.discard)

    async def _late(self, reply: Awaitable[bytes], writer: asyncio.StreamWriter) -> None:
        writer.write(await reply)


class Client:
    """A web server of the front: sends requests, reads answers as they come."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.out: dict[int, bytes] = {}

    def send(
        self,
        number: int,
        class_name: str,
        fields: dict[str, str] | None = None,
        body: bytes = b"",
        script: str = "/api/v2/",
    ) -> None:
        pairs = {
            "SCRIPT_NAME": script + class_name,
            "HTTP_X_CORRELATION_ID": f"{number:016x}",
            "HTTP_X_DEADLINE_MS": "1500",
            "HTTP_X_SUBJECT": "7f3a9c21e0b4d655",
        } | (fields or {})
        params = b"".join(fastcgi.encode_pair(name.encode(), value.encode()) for name, value in pairs.items())
        parts = [
            fastcgi.encode_record(fastcgi.BEGIN_REQUEST, number, struct.pack(">HB5x", 1, 1)),
            fastcgi.encode_record(fastcgi.PARAMS, number, params),
            fastcgi.encode_record(fastcgi.PARAMS, number),
        ]
        parts += [fastcgi.encode_record(fastcgi.STDIN, number, body)] if body else []
        self.writer.write(b"".join([*parts, fastcgi.encode_record(fastcgi.STDIN, number)]))

    async def answer(self) -> tuple[int, int, bytes, bytes]:
        """The next whole answer: its number, status, head and body."""
        while True:
            _, kind, number, length, padding = fastcgi.HEADER.unpack(await self.reader.readexactly(8))
            content = (await self.reader.readexactly(length + padding))[:length]
            if kind == fastcgi.STDOUT:
                self.out[number] = self.out.get(number, b"") + content
            elif kind == fastcgi.END_REQUEST:
                head, _, body = self.out.pop(number, b"Status: 0\r\n\r\n").partition(b"\r\n\r\n")
                return number, int(head.split(b"\r\n")[0].split(b": ")[1]), head, body


async def connected(address: tuple[str, int], context: ssl.SSLContext | None = None) -> Client:
    """A client on a connection of its own, with TLS where a context is given."""
    host = "localhost" if context is not None else None
    return Client(*await asyncio.open_connection(*address, ssl=context, server_hostname=host))
