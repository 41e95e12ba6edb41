"""The listening socket: accepts a client only when there is a descriptor for it."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from hoistplank.transport.descriptor_budget import ConnectionKind, DescriptorBudget

BACKLOG = 1_024  # clients that wait while the budget is used up stand here, connected and not yet accepted
ACCEPT_RETRY_S = 0.05  # after the system itself was out of descriptors or memory


class Listener:
    """Accepts connections at one address and hands each to `on_accept`, with the peer's IP address."""

    def __init__(
        self,
        address: tuple[str, int],
        descriptors: DescriptorBudget,
        on_accept: Callable[[socket.socket, str], object],
    ) -> None:
        self.descriptors, self.on_accept = descriptors, on_accept
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
        """Accepts until `stop` is called, and stays until it is cancelled."""
        self._accepting = asyncio.create_task(self._accept(), name="listener")
        try:
            await asyncio.wait((self._accepting,))
            if not self._accepting.cancelled():
                self._accepting.result()
            await asyncio.get_running_loop().create_future()
        finally:
            await self._cancel_accepting()
            self.sock.close()

    async def stop(self) -> None:
        """Accepts no more; who has connected by now is accepted all the same.

        Danger: the end of a listening socket resets what stands in its backlog, requests and all.
        """
        await self._cancel_accepting()
        with contextlib.suppress(OSError):
            while True:
                sock, peer = self.sock.accept()
                sock.setblocking(False)
                if not self.descriptors.acquire(ConnectionKind.CLIENT):
                    sock.close()
                    break
                self.on_accept(sock, peer[0])
        self.sock.close()

    async def _cancel_accepting(self) -> None:
        if self._accepting is not None:
            self._accepting.cancel()
            await asyncio.gather(self._accepting, return_exceptions=True)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, peer = await loop.sock_accept(self.sock)
            except OSError:
                await asyncio.sleep(ACCEPT_RETRY_S)
                continue
            # One client that was accepted is held beyond the count: room is made only when one is there.
            try:
                while not self.descriptors.acquire(ConnectionKind.CLIENT):
                    await self.descriptors.wait_released()
            except BaseException:
                sock.close()
                raise
            self.on_accept(sock, peer[0])
