"""Connecting to another process, within a time."""

from __future__ import annotations

import asyncio
import socket


def open_tcp_socket() -> socket.socket:
    """A TCP socket (IPv4) that does not block; raises OSError where no descriptor is left."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    return sock


async def connect_socket(sock: socket.socket, address: tuple[str, int], timeout_s: float) -> None:
    """Connects `sock`, and closes it where that fails.

    Raises OSError, of which a time-out is one, or ValueError for a name that can't be one.
    """
    try:
        async with asyncio.timeout(timeout_s):
            await asyncio.get_running_loop().sock_connect(sock, address)
    except BaseException:
        sock.close()
        raise


async def connect(address: tuple[str, int], timeout_s: float) -> socket.socket:
    """A socket connected to `address`; raises as `open_tcp_socket` and `connect_socket` do."""
    sock = open_tcp_socket()
    await connect_socket(sock, address, timeout_s)
    return sock
