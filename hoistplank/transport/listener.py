"""The listening socket, which accepts clients within the descriptor budget."""

from __future__ import annotations

import asyncio
import enum
import errno
import socket
from collections.abc import Callable
from typing import NamedTuple

from hoistplank.transport.descriptor_budget import ConnectionKind, DescriptorBudget

# Length of the queue in which clients wait, connected but not accepted, while the budget is exhausted.
BACKLOG = 1_024
ACCEPT_RETRY_S = 0.05  # after the operating system ran out of descriptors or memory
MAX_ACCEPTS_PER_BATCH = 64  # before the event loop runs other callbacks
# When the listener stops: how long, and how often, it retries to accept the rest of the backlog while no
# descriptor is available.
FINAL_ACCEPT_TIMEOUT_S = 0.25
FINAL_ACCEPT_RETRY_S = 0.01
# Errors of `accept` that concern only the connection it would have returned (accept(2)), not those behind it.
ABORTED_CONNECTION_ERRORS = frozenset(
    (
        errno.ECONNABORTED,
        errno.ECONNRESET,
        errno.EPROTO,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ETIMEDOUT,
        errno.EPERM,
    )
)


class BatchEnd(enum.Enum):
    """The reason why a batch of accepts has ended."""

    EMPTY = "empty"
    MORE = "more"  # the batch is full; the event loop runs other callbacks now
    BLOCKED = "blocked"  # the budget or the operating system has no descriptor left


class AcceptedClient(NamedTuple):
    """The socket of an accepted client and its IP address."""

    sock: socket.socket
    peer: str


class Listener:
    """Accepts connections at one address and hands each to `on_accept`, with the peer's IP address.

    An accepted connection is handed over in the same step, or held until a descriptor is available, so that a
    cancellation can't come between: a connection that is accepted and closed unread would lose a request.
    """

    def __init__(
        self,
        address: tuple[str, int],
        descriptors: DescriptorBudget,
        on_accept: Callable[[socket.socket, str], object],
    ) -> None:
        self.descriptors, self.on_accept = descriptors, on_accept
        self.failed_accepts = 0
        self._held: AcceptedClient | None = None  # accepted beyond the budget; waits for a descriptor
        self._accepting: asyncio.Task[None] | None = None
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        # Lets a restarted process bind the address while connections of the last run are in TIME_WAIT.
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        try:
            self.sock.bind(address)
            self.sock.listen(BACKLOG)
        except OSError:
            self.sock.close()
            raise

    async def run(self) -> None:
        """Accepts until `stop` is called; returns only by being cancelled."""
        self._accepting = asyncio.create_task(self._accept(), name="listener")
        try:
            await asyncio.wait((self._accepting,))
            if not self._accepting.cancelled():
                self._accepting.result()
            await asyncio.get_running_loop().create_future()
        finally:
            await self._cancel_accepting()
            self._close()

    async def stop(self) -> None:
        """Stops accepting, after the clients that have connected so far have been accepted.

        Closing a listening socket resets the connections in its backlog, and their requests would be lost.
        """
        await self._cancel_accepting()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + FINAL_ACCEPT_TIMEOUT_S
        while self._accept_batch() is not BatchEnd.EMPTY and loop.time() < deadline:  # noqa: ASYNC110
            # Polls, because no event reports that the operating system has descriptors again.
            await asyncio.sleep(FINAL_ACCEPT_RETRY_S)
        self._close()

    def _close(self) -> None:
        if self._held is not None:
            self._held.sock.close()
            self._held = None
        self.sock.close()

    async def _cancel_accepting(self) -> None:
        if self._accepting is not None:
            self._accepting.cancel()
            await asyncio.gather(self._accepting, return_exceptions=True)

    async def _accept(self) -> None:
        while True:
            await self._wait_readable()
            if self._accept_batch() is not BatchEnd.BLOCKED:
                continue
            if self._held is not None:
                await self.descriptors.wait_released()
            else:
                await asyncio.sleep(ACCEPT_RETRY_S)

    async def _wait_readable(self) -> None:
        """Waits until the backlog holds a connection; returns at once if an accepted client is held."""
        if self._held is not None:
            return
        loop = asyncio.get_running_loop()
        readable = asyncio.Event()
        loop.add_reader(self.sock, readable.set)
        try:
            await readable.wait()
        finally:
            loop.remove_reader(self.sock)

    def _accept_batch(self) -> BatchEnd:
        """Accepts clients from the backlog, MAX_ACCEPTS_PER_BATCH at most."""
        for _ in range(MAX_ACCEPTS_PER_BATCH):
            if not self._hand_over_held():
                return BatchEnd.BLOCKED
            try:
                sock, peer = self.sock.accept()
            except BlockingIOError:
                return BatchEnd.EMPTY
            except OSError as error:
                self.failed_accepts += 1
                if error.errno in ABORTED_CONNECTION_ERRORS:
                    continue
                return BatchEnd.BLOCKED
            sock.setblocking(False)
            # One client may be accepted beyond the budget, so that no connection is reclaimed before a client
            # needs it.
            self._held = AcceptedClient(sock, peer[0])
        return BatchEnd.MORE if self._hand_over_held() else BatchEnd.BLOCKED

    def _hand_over_held(self) -> bool:
        """Hands over the held client, if any; returns False if it has to wait for a descriptor."""
        held = self._held
        if held is None:
            return True
        if not self.descriptors.acquire(ConnectionKind.CLIENT):
            return False
        self._held = None
        self.on_accept(held.sock, held.peer)
        return True
