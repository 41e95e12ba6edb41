"""Connections between dispatchers and cache hosts: what a dispatcher's real pool opens and keeps, and what
arrives at a host. Lines are kept as in the steady state: two to a host, an attempt open on each."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from dataclasses import dataclass

from hoistplank.lab.scale.children import Child, running
from hoistplank.lab.scale.log_process import Usage
from hoistplank.lab.scale.measurements import Measurement
from hoistplank.lab.scale.metering import Effort, Quantity, Step, awaited, kept_bytes_of
from hoistplank.transport.descriptor_budget import DescriptorBudget
from hoistplank.transport.pool import MIN_CONNECTIONS_PER_HOST, Pool, PoolSettings
from hoistplank.transport.pooled_connection import PooledConnection
from hoistplank.transport.pooled_request import RequestFailure
from hoistplank.transport.transmission import Transmission, Undelivered

ROLE = "cache host"
ACCEPT_PROCESS = "hoistplank.lab.scale.accept_process"
HOSTS = (45, 90, 180, 360)
DISPATCHERS = (85, 170, 340, 680)
DESCRIPTORS = 8_192
STREAMS, IDLE_S, CONNECT_S, REMEMBER_S = 10, 30.0, 5.0, 3.0
REQUEST = b"GET probe-0 - 0\r\n\r\n"
LOOK_S = 0.02


class _UnansweredRequest:
    """A request that is never answered."""

    def __init__(self, number: int) -> None:
        self.id = f"held-{number}"
        self.transmission = Transmission()

    def may_begin(self) -> bool:
        return True

    def may_continue(self) -> bool:
        return True

    def encode(self) -> bytes:
        return REQUEST

    def undelivered(self, proof: Undelivered) -> None:
        """Does nothing: its connection is closed at the end of the measurement."""

    def failed(self, failure: RequestFailure) -> None:
        """Does nothing: its connection is closed at the end of the measurement."""


def _ignored(line: PooledConnection) -> Callable[[bytearray, int, int], int]:
    return lambda buffer, start, end: end


def dispatcher_pool() -> Pool:
    """A pool as a dispatcher has one."""
    descriptors = DescriptorBudget(DESCRIPTORS)
    settings = PoolSettings(STREAMS, IDLE_S, CONNECT_S, REMEMBER_S)
    return Pool(descriptors, settings, _ignored, lambda host, wrong: None)


def hold(pool: Pool, port: int, hosts: int) -> list[PooledConnection | None]:
    """Sends as many attempts to each host as it gets lines."""
    address = ("127.0.0.1", port)
    return [
        pool.send(f"box-{host}", address, _UnansweredRequest(host * MIN_CONNECTIONS_PER_HOST + number))
        for host in range(hosts)
        for number in range(MIN_CONNECTIONS_PER_HOST)
    ]


async def _connected(lines: list[PooledConnection | None]) -> None:
    while any(line is not None and line.connection is None for line in lines):
        await asyncio.sleep(LOOK_S)


def _own_descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


async def _close(lines: list[PooledConnection | None]) -> None:
    tasks = [line.task for line in lines if line is not None]
    for line in lines:
        if line is not None:
            line.close()
    await asyncio.gather(*tasks, return_exceptions=True)


@dataclass(frozen=True, slots=True)
class Connections:
    """Connections at one size: how many descriptors, bytes and microseconds of processor time they take."""

    size: int
    descriptors: int
    bytes: int
    processor_us: float = 0.0


async def _dispatcher_connections() -> list[Connections]:
    """One dispatcher's connections to each number of hosts, one after another."""
    found = []
    async with running(ACCEPT_PROCESS) as (_, first):
        for hosts in HOSTS:
            before = _own_descriptors()
            pool = dispatcher_pool()

            async def connect(pool: Pool = pool, hosts: int = hosts) -> list[PooledConnection | None]:
                lines = hold(pool, first.port, hosts)
                await _connected(lines)
                return lines

            lines, kept = await kept_bytes_of(connect)
            found.append(Connections(hosts, _own_descriptors() - before, kept))
            await _close(lines)
    return found


def _dispatcher_side(effort: Effort) -> list[Measurement]:
    notes = f"{MIN_CONNECTIONS_PER_HOST} kept lines a host"
    memory = Quantity("dispatcher", "memory of kept connections", "B", "hosts", notes)
    descriptors = Quantity("dispatcher", "descriptors to cache hosts", "descriptors", "hosts", notes)
    found = []
    for _ in range(effort.slow_repeats):
        for row in awaited(_dispatcher_connections):
            found += [memory.measured(row.size, row.bytes), descriptors.measured(row.size, row.descriptors)]
    return found


async def _arrived(child: Child, expected: int) -> Usage:
    while (now := await child.ask()).descriptors < expected:
        await asyncio.sleep(LOOK_S)
    return now


async def _host_connections() -> list[Connections]:
    """What arrives at one host from each number of dispatchers, who join one after another."""
    found = []
    lines: list[PooledConnection | None] = []
    async with running(ACCEPT_PROCESS) as (child, first):
        for count in DISPATCHERS:
            joined = len(lines) // MIN_CONNECTIONS_PER_HOST
            pools = [dispatcher_pool() for _ in range(count - joined)]
            lines += [line for pool in pools for line in hold(pool, first.port, 1)]
            await _connected(lines)
            now = await _arrived(child, first.descriptors + count * MIN_CONNECTIONS_PER_HOST)
            opened = now.descriptors - first.descriptors
            memory = now.resident_bytes - first.resident_bytes
            found.append(Connections(count, opened, memory, now.processor_us - first.processor_us))
        await _close(lines)
    return found


def _host_side(effort: Effort) -> list[Measurement]:
    notes = f"{MIN_CONNECTIONS_PER_HOST} kept lines a dispatcher"
    descriptors = Quantity(ROLE, "connections that arrive", "descriptors", "dispatchers", notes)
    cost = Quantity(ROLE, "processor time of taking all connections", "us", "dispatchers", notes)
    memory = Quantity(
        ROLE, "memory of kept connections", "B", "dispatchers", f"{notes}; a small asyncio server"
    )
    found = []
    for _ in range(effort.slow_repeats):
        for row in awaited(_host_connections):
            found += [
                descriptors.measured(row.size, row.descriptors),
                memory.measured(row.size, row.bytes),
                cost.measured(row.size, row.processor_us),
            ]
    return found


STEPS = (
    Step(ROLE, "a dispatcher's connections", _dispatcher_side),
    Step(ROLE, "connections that arrive at a host", _host_side),
)
