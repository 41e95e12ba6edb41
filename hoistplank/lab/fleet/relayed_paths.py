"""The two kinds of path that a relay process carries: streams and datagrams between two parties."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Coroutine
from typing import Any, cast

from hoistplank.fakes.deployment import reserve_port
from hoistplank.lab.fleet.path_conditions import UNIMPAIRED, DatagramDirection, chance
from hoistplank.lab.fleet.relay_counters import RelayCounters, now_us
from hoistplank.lab.fleet.relay_messages import ConditionValue, PathAction
from hoistplank.lab.fleet.relayed_connection import RelayedConnection

LOOPBACK = "127.0.0.1"


class TaskOwner:
    """Keeps the tasks of a relay process until they end, or cancels them with the process."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None], name: str) -> None:
        """Run `work` as a task of its own."""
        task = asyncio.get_running_loop().create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def cancel_all(self) -> None:
        """Cancel what still runs, and await its end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class StreamPath:
    """A path of streams. Each direction has conditions and random numbers of its own, from seed and name."""

    def __init__(self, name: str, target: int, seed: int, counters: RelayCounters, tasks: TaskOwner) -> None:
        self.name = name
        self.target = target
        self.counters = counters
        self.connections: dict[RelayedConnection, None] = {}
        self.forward_conditions = UNIMPAIRED
        self.backward_conditions = UNIMPAIRED
        self.forward_random = chance(seed, f"{name}/there")
        self.backward_random = chance(seed, f"{name}/back")
        self.port = 0
        self._tasks = tasks
        self._server: asyncio.Server | None = None
        self._reservation: socket.socket | None = None  # holds the port while nothing listens on it

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a task of one of the path's connections."""
        self._tasks.spawn(work, f"relay {self.name}")

    async def open(self) -> int:
        """Listen, if it does not yet; return the port. It stays the same over `shut` and `open`."""
        if self._server is None:
            if self._reservation is None:
                self._reservation = reserve_port()
                self.port = int(self._reservation.getsockname()[1])
            loop = asyncio.get_running_loop()
            self._server = await loop.create_server(
                lambda: RelayedConnection(self).near, LOOPBACK, self.port, reuse_port=True
            )
        return self.port

    async def apply(self, action: PathAction) -> None:
        """Carry an action out on the path and its open connections."""
        match action:
            case PathAction.OPEN:
                await self.open()
            case PathAction.SHUT:
                self.shut()
            case PathAction.DEADEN:
                for connection in self.connections:
                    connection.is_dead = True

    def shut(self) -> None:
        """Refuse new connections, and reset those that are open: the far party is gone."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.close()

    def set_conditions(self, conditions: dict[str, ConditionValue], *, backward: bool) -> None:
        """Change some of the conditions of one direction, for open connections as well."""
        if backward:
            self.backward_conditions = self.backward_conditions.changed(**conditions)
        else:
            self.forward_conditions = self.forward_conditions.changed(**conditions)
        for connection in list(self.connections):
            connection.conditions_changed()


class DatagramEndpoint(asyncio.DatagramProtocol):
    """One of the two ports of a datagram path: where one party reaches the other."""

    def __init__(self, path: DatagramPath, is_near: bool) -> None:
        self.path = path
        self.is_near = is_near
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, _addr: Any) -> None:
        """Take a datagram of this endpoint's party."""
        self.path.forward_datagram(data, backward=not self.is_near)

    def error_received(self, _exc: Exception) -> None:
        """Ignore that a party does not listen: its datagrams are lost, as on a network."""


class DatagramPath:
    """Datagrams between two parties; each has a port here that stands for the other.

    The near party sends to `near_endpoint`'s port, the far one to `far_endpoint`'s.
    """

    def __init__(self, name: str, near: int, far: int, seed: int, counters: RelayCounters) -> None:
        self.name = name
        self.near_port = near
        self.far_port = far
        self.counters = counters
        self.near_endpoint = DatagramEndpoint(self, is_near=True)
        self.far_endpoint = DatagramEndpoint(self, is_near=False)
        self._forward = DatagramDirection(UNIMPAIRED, chance(seed, f"{name}/there"))
        self._backward = DatagramDirection(UNIMPAIRED, chance(seed, f"{name}/back"))

    async def open(self) -> tuple[int, int]:
        """Open both ports; return that of the near endpoint, then that of the far one."""
        return await self._bind(self.near_endpoint), await self._bind(self.far_endpoint)

    async def _bind(self, endpoint: DatagramEndpoint) -> int:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: endpoint, (LOOPBACK, 0))
        return int(transport.get_extra_info("sockname")[1])

    def forward_datagram(self, data: bytes, *, backward: bool) -> None:
        """Send on what the direction's conditions leave of a datagram, each copy at its time."""
        now, loop = now_us(), asyncio.get_running_loop()
        self.counters.record_chunk(0)
        direction = self._backward if backward else self._forward
        for at, copy in direction.push(now, data):
            if at <= now:
                self._send(copy, backward)
            else:
                loop.call_later((at - now) / 1e6, self._send, copy, backward)

    def _send(self, data: bytes, backward: bool) -> None:
        # The receiver gets it from the port by which it knows the sender.
        transport = (self.near_endpoint if backward else self.far_endpoint).transport
        if transport is not None and not transport.is_closing():
            transport.sendto(data, (LOOPBACK, self.near_port if backward else self.far_port))

    def set_conditions(self, conditions: dict[str, ConditionValue], *, backward: bool) -> None:
        """Change some of the conditions of one direction."""
        direction = self._backward if backward else self._forward
        direction.conditions = direction.conditions.changed(**conditions)
