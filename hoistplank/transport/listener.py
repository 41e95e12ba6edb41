"""The listening socket: accepts a client only when there is a descriptor for it."""

from __future__ import annotations

import asyncio
import enum
import errno
import socket
from collections.abc import Callable
from typing import NamedTuple

from hoistplank.transport.descriptor_budget import ConnectionKind, DescriptorBudget

BACKLOG = 1_024  # clients that wait while the budget is used up stand here, connected and not yet accepted
ACCEPT_RETRY_S = 0.05  # after the system itself was out of descriptors or memory
ACCEPTS_AT_ONCE = 64  # before other things of the loop have their turn
# At the end, for descriptors to be released and for the system to have some again.
LAST_ACCEPTS_S = 0.25
LAST_ACCEPTS_RETRY_S = 0.01
# What `accept` says of one connection that has ended by itself (accept(2)): those behind it are as they were.
CONNECTION_GONE = frozenset(
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


class BacklogState(enum.Enum):
    """Why a round of accepts has ended."""

    EMPTY = "empty"
    MORE = "more"  # other things have their turn now
    BLOCKED = "blocked"  # the budget or the system has no descriptor left


class AcceptedClient(NamedTuple):
    """A client's connection that was accepted."""

    sock: socket.socket
    peer: str


class Listener:
    """Accepts connections at one address and hands each to `on_accept`, with the peer's IP address.

    What `accept` returns is handed over in the same turn, or held until a descriptor is there: no
    cancellation comes between. Danger: a connection that was accepted and is closed unread loses a request.
    """

    def __init__(
        self,
        address: tuple[str, int],
        descriptors: DescriptorBudget,
        on_accept: Callable[[socket.socket, str], object],
    ) -> None:
        self.descriptors, self.on_accept = descriptors, on_accept
        self.failed_accepts = 0
        self._held: AcceptedClient | None = None  # accepted beyond the budget, until a descriptor is there
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
            self._close()

    async def stop(self) -> None:
        """Accepts no more; who has connected by now is accepted all the same.

        Danger: the end of a listening socket resets what stands in its backlog, requests and all.
        """
        await self._cancel_accepting()
        loop = asyncio.get_running_loop()
        until = loop.time() + LAST_ACCEPTS_S
        while self._take_round() is not BacklogState.EMPTY and loop.time() < until:  # noqa: ASYNC110
            await asyncio.sleep(LAST_ACCEPTS_RETRY_S)  # no event tells that the system has descriptors again
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
            if self._take_round() is not BacklogState.BLOCKED:
                continue
            if self._held is not None:
                await self.descriptors.wait_released()
            else:
                await asyncio.sleep(ACCEPT_RETRY_S)

    async def _wait_readable(self) -> None:
        """Returns once somebody stands in the backlog, or one is held."""
        if self._held is not None:
            return
        loop = asyncio.get_running_loop()
        readable = asyncio.Event()
        loop.add_reader(self.sock, readable.set)
        try:
            await readable.wait()
        finally:
            loop.remove_reader(self.sock)

    def _take_round(self) -> BacklogState:
        """Takes those who stand in the backlog, as many as one turn allows."""
        for _ in range(ACCEPTS_AT_ONCE):
            if not self._take_held():
                return BacklogState.BLOCKED
            try:
                sock, peer = self.sock.accept()
            except BlockingIOError:
                return BacklogState.EMPTY
            except OSError as error:
                self.failed_accepts += 1
                if error.errno in CONNECTION_GONE:
                    continue
                return BacklogState.BLOCKED
            sock.setblocking(False)
            # One client that was accepted is held beyond the budget: none is reclaimed before one is there.
            self._held = AcceptedClient(sock, peer[0])
        return BacklogState.MORE if self._take_held() else BacklogState.BLOCKED

    def _take_held(self) -> bool:
        """Hands the client that is held over; False where it has to wait for a descriptor."""
        held = self._held
        if held is None:
            return True
        if not self.descriptors.acquire(ConnectionKind.CLIENT):
            return False
        self._held = None
        self.on_accept(held.sock, held.peer)
        return True
