"""Connecting to another process, within a time."""

from __future__ import annotations

import asyncio
import socket


async def connected(address: tuple[str, int], within_s: float) -> socket.socket:
    """A socket connected to `address`, not blocking. Raises OSError, of which a time-out is one, or
    ValueError for a name that can't be one."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        async with asyncio.timeout(within_s):
            await asyncio.get_running_loop().sock_connect(sock, address)
    except BaseException:
        sock.close()
        raise
    return sock
