"""A FastCGI responder that answers at once with the same bytes: what the load tool itself can do is
measured on it.
"""

from __future__ import annotations

import asyncio
import sys
from typing import cast

import uvloop

from hoistplank.protocol import fastcgi

ANSWER = fastcgi.encode_response(1, 200, (), b"ok")


def _patched() -> tuple[bytes, tuple[int, ...]]:
    places, at = [], 0
    while at < len(ANSWER):
        places.append(at + 2)
        _, _, _, length, padding = fastcgi.HEADER.unpack_from(ANSWER, at)
        at += 8 + length + padding
    return ANSWER, tuple(places)


class Echo(asyncio.Protocol):
    """Answers each FastCGI request at once with an empty body."""

    def __init__(self) -> None:
        self.rest = b""
        self.transport: asyncio.Transport | None = None
        self.data, self.places = _patched()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # uvloop's transports are not of asyncio's class, but do all that it does.
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Answer the requests that are whole."""
        data = self.rest + data if self.rest else data
        at, size, out = 0, len(data), []
        while size - at >= 8:
            _, kind, number, length, padding = fastcgi.HEADER.unpack_from(data, at)
            stop = at + 8 + length + padding
            if stop > size:
                break
            if kind == fastcgi.STDIN and not length:
                answer = bytearray(self.data)
                for place in self.places:
                    answer[place : place + 2] = number.to_bytes(2, "big")
                out.append(bytes(answer))
            at = stop
        self.rest = data[at:]
        if out and self.transport is not None:
            self.transport.write(b"".join(out))


async def serve(port: int) -> None:
    """Listen until standard input ends."""
    server = await asyncio.get_running_loop().create_server(Echo, "127.0.0.1", port, reuse_port=True)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)  # ends with its parent


def main() -> int:
    """Run an echo server on the port of the command line."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(int(sys.argv[1]) if len(sys.argv) > 1 else 0))
    return 0


if __name__ == "__main__":
    sys.exit(main())
