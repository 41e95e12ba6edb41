"""TCP connections to other processes, established within a timeout."""

from __future__ import annotations

import asyncio
import socket


def open_tcp_socket() -> socket.socket:
    """Returns a non-blocking TCP socket (IPv4); raises OSError if no file descriptor is left."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    return sock


async def connect_socket(sock: socket.socket, address: tuple[str, int], timeout_s: float) -> None:
    """Connects `sock`, or closes it on failure.

    Raises OSError (TimeoutError is one), or ValueError for a malformed host name.
    """
    try:
        async with asyncio.timeout(timeout_s):
            await asyncio.get_running_loop().sock_connect(sock, address)
    except BaseException:
        sock.close()
        raise


async def connect(address: tuple[str, int], timeout_s: float) -> socket.socket:
    """Returns a socket connected to `address`; raises like `open_tcp_socket` and `connect_socket`."""
    sock = open_tcp_socket()
    await connect_socket(sock, address, timeout_s)
    return sock
