"""The admin server for operators: HTTP/1.1 over mutual TLS on its own listener."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Coroutine
from typing import Any, Protocol

from hoistplank.authorization.admin_connection import AdminConnection, AdminConnectionOwner
from hoistplank.authorization.admin_routes import AdminRoutes, AuthorizationControl
from hoistplank.authorization.settings import AdminSettings
from hoistplank.authorization.tls_connections import TlsConnections
from hoistplank.routing.router_task import RouterTask
from hoistplank.transport.descriptor_budget import ConnectionKind, DescriptorBudget
from hoistplank.transport.listener import Listener

SWEEP_INTERVAL_S = 0.25


class Dispatcher(Protocol):
    """The part of the program that the server uses."""

    router_task: RouterTask
    descriptors: DescriptorBudget


class AuthorizationServer(AuthorizationControl, Protocol):
    """The part of the authorization service that the server uses."""

    tls: TlsConnections


class AdminServer:
    """Owns the operators' connections; `settings` are those at program start, since a reload does not change
    them."""

    def __init__(self, service: AuthorizationServer, settings: AdminSettings, dispatcher: Dispatcher) -> None:
        self.service, self.settings, self.dispatcher = service, settings, dispatcher
        self.routes = AdminRoutes(service, dispatcher)
        self.connections: dict[AdminConnection, None] = {}
        self._listener = Listener(settings.listen, dispatcher.descriptors, self._accept)

    def parts(self) -> list[tuple[str, Coroutine[Any, Any, None]]]:
        """Returns the tasks to run, by name."""
        return [("control listener", self._listener.run()), ("control sweep", self._sweep())]

    def disconnect_revoked(self) -> None:
        """Drains connections whose certificate is no longer accepted: received requests are still
        answered."""
        for connection in list(self.connections):
            identity = connection.identity
            if identity is not None and self.service.authorizer.check_certificate(identity) is not None:
                connection.drain()

    def _accept(self, sock: socket.socket, _peer: str) -> None:
        if len(self.connections) >= self.settings.max_connections:
            # Operators' connections use the clients' descriptors, so too many would leave none for clients.
            # The connection that has been idle longest is closed.
            min(self.connections, key=lambda one: one.connection.last_read_at).connection.close()
        owner = AdminConnectionOwner(self.routes.respond, self._connection_ended)
        connection = AdminConnection(owner, self.service.tls, sock, self.settings.max_body_bytes)
        self.connections[connection] = None

    def _connection_ended(self, connection: AdminConnection) -> None:
        self.connections.pop(connection, None)
        self.dispatcher.descriptors.release(ConnectionKind.CLIENT)

    async def _sweep(self) -> None:
        """Closes expired connections and releases the unused buffers of the others."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            tls = self.service.tls.settings
            assert tls is not None  # the schema has no admin server without TLS
            for connection in list(self.connections):
                if connection.expired(loop.time(), tls.handshake_timeout_s):
                    connection.connection.close()
                else:
                    connection.connection.release_buffer()
