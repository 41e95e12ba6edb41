"""The health check of a cache host: one `PING` of the cache wire on a connection of its own."""

from __future__ import annotations

import asyncio
import socket

from hoistplank.membership.host_states import Evidence
from hoistplank.protocol.changelog import parse_address
from hoistplank.protocol.errors import ProtocolError

MAX_RESPONSE_BYTES = 256
REQUEST_ID = b"feel"  # any token; the answer repeats it
REQUEST = b"PING " + REQUEST_ID + b"\r\n"
LINE_END = b"\r\n"
EVIDENCE_OF_STATUS = {b"green": Evidence.HEALTHY, b"red": Evidence.DRAINING}


async def probe(endpoint: str, timeout_s: float) -> Evidence:
    """Probes `HOST:PORT`; returns healthy, draining, no response or an unexpected one. Raises nothing."""
    response = bytearray()
    try:
        async with asyncio.timeout(timeout_s):
            await _exchange(endpoint, response)
    except (OSError, ValueError, ProtocolError):  # TimeoutError is an OSError
        return Evidence.UNEXPECTED_RESPONSE if response else Evidence.NO_RESPONSE
    return _evidence(bytes(response))


async def _exchange(endpoint: str, response: bytearray) -> None:
    """Sends the request and reads into `response` up to the end of the first line."""
    loop = asyncio.get_running_loop()
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        await loop.sock_connect(sock, parse_address(endpoint))
        await loop.sock_sendall(sock, REQUEST)
        while LINE_END not in response and len(response) < MAX_RESPONSE_BYTES:
            received = await loop.sock_recv(sock, MAX_RESPONSE_BYTES)
            if not received:
                return
            response += received
    finally:
        sock.close()


def _evidence(response: bytes) -> Evidence:
    if not response:
        return Evidence.NO_RESPONSE
    fields = response.split(LINE_END)[0].split()
    if len(fields) < 2 or fields[0] != REQUEST_ID:
        return Evidence.UNEXPECTED_RESPONSE
    # Another service may have taken over the address; requests must not be sent to it.
    return EVIDENCE_OF_STATUS.get(fields[1], Evidence.UNEXPECTED_RESPONSE)
