"""The listening socket: takes a client in only when there is a descriptor for it."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from hoistplank.transport.descriptor_budget import Ledger

BACKLOG = 1_024  # clients that wait while the ledger is full stand here, connected and not yet taken in
PAUSE_S = 0.05  # after the system itself was out of descriptors or memory


class Listener:
    def __init__(
        self, address: tuple[str, int], ledger: Ledger, greet: Callable[[socket.socket, str], object]
    ) -> None:
        self.ledger, self.greet = ledger, greet
        self._accepting: asyncio.Task[None] | None = None
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        # A restart takes its address at once, whatever the last run's connections are still waiting for.
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        try:
            self.sock.bind(address)
            self.sock.listen(BACKLOG)
        except OSError:
            self.sock.close()
            raise

    async def run(self) -> None:
        """Accepts until it is stopped, and stays till it is cancelled."""
        self._accepting = asyncio.create_task(self._accept())
        try:
            await asyncio.wait((self._accepting,))
            if not self._accepting.cancelled():
                self._accepting.result()
            await asyncio.get_running_loop().create_future()
        finally:
            self._accepting.cancel()
            await asyncio.gather(self._accepting, return_exceptions=True)
            self.sock.close()

    async def stop(self) -> None:
        """Accepts no more; who has connected by now is taken in all the same.

        Danger: the end of a listening socket resets what stands in its backlog, requests and all.
        """
        if self._accepting is not None:
            self._accepting.cancel()
            await asyncio.gather(self._accepting, return_exceptions=True)
        with contextlib.suppress(OSError):
            while True:
                sock, peer = self.sock.accept()
                sock.setblocking(False)
                if not self.ledger.take("client"):
                    sock.close()
                    break
                self.greet(sock, peer[0])
        self.sock.close()

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, peer = await loop.sock_accept(self.sock)
            except OSError:
                await asyncio.sleep(PAUSE_S)
                continue
            # One client that was accepted is held beyond the count: room is made only when one is there.
            try:
                while not self.ledger.take("client"):
                    await self.ledger.freed()
            except BaseException:
                sock.close()
                raise
            self.greet(sock, peer[0])
