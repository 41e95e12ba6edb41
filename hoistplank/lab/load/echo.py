"""A FastCGI responder that sends the same bytes at once, for measuring the load tool itself."""

from __future__ import annotations

import asyncio
import sys
from typing import cast

import uvloop

from hoistplank.protocol import fastcgi

RESPONSE = fastcgi.encode_response(1, 200, (), b"ok")
STREAM_ID_OFFSET = 2  # of the request id within a record's header


def _stream_id_offsets(response: bytes) -> tuple[int, ...]:
    offsets, start = [], 0
    while start < len(response):
        offsets.append(start + STREAM_ID_OFFSET)
        _, _, _, length, padding = fastcgi.HEADER.unpack_from(response, start)
        start += fastcgi.HEADER.size + length + padding
    return tuple(offsets)


STREAM_ID_OFFSETS = _stream_id_offsets(RESPONSE)


def _response(stream_id: int) -> bytes:
    response = bytearray(RESPONSE)
    for offset in STREAM_ID_OFFSETS:
        response[offset : offset + 2] = stream_id.to_bytes(2, "big")
    return bytes(response)


class EchoResponder(asyncio.Protocol):
    """Responds to each FastCGI request at once with the same short body."""

    def __init__(self) -> None:
        self._incomplete = b""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # uvloop's transports don't derive from asyncio's class, but have the same methods.
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Respond to the complete requests."""
        data = self._incomplete + data if self._incomplete else data
        start, responses = 0, []
        while len(data) - start >= fastcgi.HEADER.size:
            _, kind, stream_id, length, padding = fastcgi.HEADER.unpack_from(data, start)
            end = start + fastcgi.HEADER.size + length + padding
            if end > len(data):
                break
            if kind == fastcgi.STDIN and not length:
                responses.append(_response(stream_id))
            start = end
        self._incomplete = data[start:]
        if responses and self._transport is not None:
            self._transport.write(b"".join(responses))


async def serve(port: int) -> None:
    """Listen until standard input ends."""
    server = await asyncio.get_running_loop().create_server(EchoResponder, "127.0.0.1", port, reuse_port=True)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)  # ends with its parent


def main() -> int:
    """Run an echo server on the port of the command line."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(int(sys.argv[1]) if len(sys.argv) > 1 else 0))
    return 0


if __name__ == "__main__":
    sys.exit(main())
