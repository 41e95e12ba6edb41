"""Connections between dispatchers and cache hosts: what a dispatcher's real pool opens and keeps, and what
arrives at a host. Lines are kept as in the steady state: two to a host, an attempt open on each."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable

from hoistplank.lab.scale.children import Child, running
from hoistplank.lab.scale.measurements import Measurement
from hoistplank.lab.scale.metering import Effort, Quantity, Step, awaited, kept_bytes_of
from hoistplank.transport.ledger import Ledger
from hoistplank.transport.pool import FEW_LINES, Line, Pool

ROLE = "cache host"
ACCEPT_PROCESS = "hoistplank.lab.scale.accept_process"
HOSTS = (45, 90, 180, 360)
DISPATCHERS = (20, 40, 80, 160)
DESCRIPTORS = 8_192
STREAMS, IDLE_S, CONNECT_S, REMEMBER_S = 10, 30.0, 5.0, 3.0
REQUEST = b"GET probe-0 - 0\r\n\r\n"
LOOK_S = 0.02


class _Errand:
    """An attempt that is never answered."""

    def __init__(self, number: int) -> None:
        self.id = f"held-{number}"

    def may_begin(self) -> bool:
        return True

    def written(self) -> None:
        """Nothing hangs on it."""

    def failed(self, how: str) -> None:
        """Its line is closed at the end of the measurement."""


def _ignored(line: Line) -> Callable[[bytearray, int, int], int]:
    return lambda buffer, start, end: end


def dispatcher_pool() -> Pool:
    """A pool as a dispatcher has one."""
    ledger = Ledger(DESCRIPTORS)
    return Pool(ledger, STREAMS, IDLE_S, CONNECT_S, REMEMBER_S, _ignored, lambda host, wrong: None)


def hold(pool: Pool, port: int, hosts: int) -> list[Line | None]:
    """Sends as many attempts to each host as it gets lines."""
    address = ("127.0.0.1", port)
    return [
        pool.send(f"box-{host}", address, _Errand(host * FEW_LINES + number), REQUEST)
        for host in range(hosts)
        for number in range(FEW_LINES)
    ]


async def _connected(lines: list[Line | None]) -> None:
    while any(line is not None and line.connection is None for line in lines):
        await asyncio.sleep(LOOK_S)


def _own_descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


async def _close(lines: list[Line | None]) -> None:
    tasks = [line.task for line in lines if line is not None]
    for line in lines:
        if line is not None:
            line.close(in_order=False)
    await asyncio.gather(*tasks, return_exceptions=True)


async def _pool_at(hosts: int) -> tuple[float, float]:
    """Memory and descriptors of one dispatcher's connections to so many hosts."""
    async with running(ACCEPT_PROCESS) as (_, first):
        before = _own_descriptors()
        pool = dispatcher_pool()

        async def connect() -> list[Line | None]:
            lines = hold(pool, first.port, hosts)
            await _connected(lines)
            return lines

        lines, kept = await kept_bytes_of(connect)
        opened = _own_descriptors() - before
        await _close(lines)
    return kept, opened


def _dispatcher_side(effort: Effort) -> list[Measurement]:
    notes = f"{FEW_LINES} kept lines a host"
    memory = Quantity("dispatcher", "memory of kept connections", "B", "hosts", notes)
    descriptors = Quantity("dispatcher", "descriptors to cache hosts", "descriptors", "hosts", notes)
    found = []
    for hosts in HOSTS * effort.slow_repeats:
        kept, opened = awaited(lambda hosts=hosts: _pool_at(hosts))  # type: ignore[misc]
        found += [memory.measured(hosts, kept), descriptors.measured(hosts, opened)]
    return found


async def _arrived(child: Child, expected: int) -> None:
    while (await child.ask()).descriptors < expected:
        await asyncio.sleep(LOOK_S)


async def _host_at(dispatchers: int) -> tuple[float, float, float]:
    """Descriptors, memory and processor time of a host's door, by so many dispatchers' pools."""
    async with running(ACCEPT_PROCESS) as (child, first):
        pools = [dispatcher_pool() for _ in range(dispatchers)]
        lines = [line for pool in pools for line in hold(pool, first.port, 1)]
        await _connected(lines)
        await _arrived(child, first.descriptors + dispatchers * FEW_LINES)
        after = await child.ask()
        await _close(lines)
    memory = after.resident_bytes - first.resident_bytes
    return after.descriptors - first.descriptors, memory, after.processor_us - first.processor_us


def _host_side(effort: Effort) -> list[Measurement]:
    notes = f"{FEW_LINES} kept lines a dispatcher"
    descriptors = Quantity(ROLE, "connections that arrive", "descriptors", "dispatchers", notes)
    memory = Quantity(
        ROLE, "memory of kept connections", "B", "dispatchers", notes + "; a small asyncio server"
    )
    cost = Quantity(ROLE, "processor time of taking all connections", "us", "dispatchers", notes)
    found = []
    for count in DISPATCHERS * effort.slow_repeats:
        opened, kept, spent = awaited(lambda count=count: _host_at(count))  # type: ignore[misc]
        found += [
            descriptors.measured(count, opened),
            memory.measured(count, kept),
            cost.measured(count, spent),
        ]
    return found


STEPS = (
    Step(ROLE, "a dispatcher's connections", _dispatcher_side),
    Step(ROLE, "connections that arrive at a host", _host_side),
)
