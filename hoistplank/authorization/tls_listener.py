"""The TLS listener for clients: limits the number and duration of concurrent handshakes."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Coroutine
from typing import Any

import msgspec

from hoistplank.authorization.identity import CertificateIdentity
from hoistplank.authorization.settings import TlsSettings
from hoistplank.authorization.tls_connections import TlsConnections
from hoistplank.routing.client_session import ClientSession
from hoistplank.routing.frontend import Frontend
from hoistplank.transport.descriptor_budget import DescriptorBudget
from hoistplank.transport.listener import Listener

ANONYMOUS_PREFIX = "tls "  # precedes the address of a client without a certificate
CHECK_INTERVAL_S = 0.05


class HandshakeCounts(msgspec.Struct):
    """Outcomes of handshakes since the start. `abandoned`: closed for taking too long or to make place for
    others."""

    completed: int = msgspec.field(name="done", default=0)
    failed: int = 0
    abandoned: int = msgspec.field(name="given up", default=0)
    rejected: int = msgspec.field(name="refused", default=0)


class TlsListener:
    """Passes sessions to the frontend; `pending` holds those still in the handshake, oldest first, with the
    event loop's time at which the handshake began."""

    def __init__(
        self, settings: TlsSettings, tls: TlsConnections, frontend: Frontend, descriptors: DescriptorBudget
    ) -> None:
        self.settings, self.tls, self.frontend = settings, tls, frontend
        self.pending: dict[ClientSession, float] = {}
        self.counts = HandshakeCounts()
        self._listener = Listener(settings.listen, descriptors, self._accept)

    def parts(self) -> list[tuple[str, Coroutine[Any, Any, None]]]:
        """Returns the tasks to run, by name."""
        return [("tls listener", self._listener.run()), ("handshakes", self._limit_handshakes())]

    def close(self) -> None:
        """Closes connections whose handshake is not complete."""
        for session in list(self.pending):
            session.connection.close()

    def _accept(self, sock: socket.socket, peer: str) -> None:
        session: ClientSession | None = None

        def verified(identity: CertificateIdentity | None) -> None:
            assert session is not None
            session.identity = identity
            session.peer = peer if identity is not None else ANONYMOUS_PREFIX + peer
            self.counts.completed += 1
            self.pending.pop(session, None)

        def rejected() -> None:
            assert session is not None
            self.counts.rejected += 1
            self.pending.pop(session, None)

        while len(self.pending) >= self.settings.max_handshakes:
            # Half-open handshakes would otherwise occupy every place. The oldest is abandoned: a normal
            # handshake needs only a few ms.
            self._abandon(next(iter(self.pending)))
        session = self.frontend.serve(sock, peer, self.tls.factory(verified, rejected))
        self.pending[session] = asyncio.get_running_loop().time()

    def _abandon(self, session: ClientSession) -> None:
        del self.pending[session]
        self.counts.abandoned += 1
        session.connection.close()

    async def _limit_handshakes(self) -> None:
        """Abandons handshakes that exceed the time limit."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for session, began in list(self.pending.items()):
                if session.connection.is_closed:
                    del self.pending[session]
                    self.counts.failed += 1
                elif loop.time() - began > self.settings.handshake_timeout_s:
                    self._abandon(session)
