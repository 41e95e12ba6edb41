"""The sockets backend: the same model as servers on loopback, with real dispatcher processes, in real time.

One task advances the world's event queue by the machine's clock. Each dispatcher reaches every server at a
port of its own, so that the world knows which dispatcher sends. Traffic between servers stays in the model.
Loopback can't show one failure: the kernel accepts a connection to a silent host at once, so that a vanished
host appears as silence, where virtual time has a connection timeout.
"""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from hoistplank.lab.backends.socket_dispatcher import SocketDispatcher
from hoistplank.lab.model.fault_injector import FaultInjector
from hoistplank.lab.model.faults import ScheduledFault
from hoistplank.lab.model.servers import DOWN, Server
from hoistplank.lab.model.world import World
from hoistplank.lab.model.world_settings import SECOND_US, WorldSettings

MAX_LATE_US = 20_000  # 99th percentile of the world's own lateness, beyond which a day is void


class RunTooLateError(Exception):
    """The machine was too slow for a valid day; the message and `late_us` say by how much."""

    def __init__(self, late_us: int) -> None:
        super().__init__(
            f"the world ran {late_us // 1000} ms late (99th percentile, limit {MAX_LATE_US // 1000} ms)"
        )
        self.late_us = late_us


class SocketDay:
    """One day on sockets. `play` runs it to its end; the world then holds the results."""

    def __init__(
        self, settings: WorldSettings, seed: int, faults: list[ScheduledFault], folder: Path
    ) -> None:
        self.world, self.folder = World(settings, seed), folder
        self.classes = {row.name: n for n, row in enumerate(settings.classes)}
        FaultInjector(self.world, faults).begin()
        self.dispatchers = [
            self.make_dispatcher(n, n % settings.zones) for n in range(settings.zones * settings.dispatchers)
        ]
        self.world.dispatchers.extend(self.dispatchers)
        self.start_s, self.start_unix_s = 0.0, 0.0
        self.lateness_us: list[int] = []
        self.backend_report: dict[str, Any] = {}  # the backend's own metrics, set at the end

    def make_dispatcher(self, number: int, zone: int) -> SocketDispatcher:
        """Returns a new dispatcher; subclasses return their own kind."""
        return SocketDispatcher(self, number, zone)

    def unix_ms(self, at: int) -> int:
        """Returns a time of the world (us) as Unix milliseconds."""
        return int(self.start_unix_s * 1_000 + at / 1_000)

    # Ports at which a dispatcher and the other parties connect: here directly, without relays.

    async def port_for(
        self,
        dispatcher: SocketDispatcher,  # noqa: ARG002 (for subclasses)
        party: str,  # noqa: ARG002 (for subclasses)
        port: int,
    ) -> int:
        """Returns the port at which the dispatcher reaches a server, or its change log (`log`)."""
        return port

    def port_changed(self, dispatcher: SocketDispatcher, server: Server, opened: bool) -> None:
        """Called when a server's port for that dispatcher has closed or opened again."""

    async def entry_port_for(self, dispatcher: SocketDispatcher) -> int:
        """Returns the port at which clients reach a dispatcher that has just started."""
        return dispatcher.port

    def entry_closed(self, dispatcher: SocketDispatcher) -> None:
        """Called when a dispatcher was killed."""

    def command(self, dispatcher: SocketDispatcher) -> list[str]:  # noqa: ARG002 (for subclasses)
        """Returns the command that starts a dispatcher's process."""
        return [sys.executable, "-m", "hoistplank"]

    def advance(self) -> None:
        """Advances the world to the current time, before an event that has just arrived is applied to it."""
        if self.start_s:
            self.world.events.run_until(int((time.monotonic() - self.start_s) * 1e6))

    async def play(self) -> float:
        """Runs the day and returns its score.

        Raises RunTooLateError if the machine was too slow, RuntimeError if a dispatcher failed.
        """
        self.start_unix_s = time.time()
        try:
            await self.begin()
            self.start_s, self.start_unix_s = time.monotonic(), time.time()
            self.world.begin()
            while not self._is_over():
                await self._turn()
            for dispatcher in self.dispatchers:
                if (
                    dispatcher.process is not None
                    and dispatcher.process.returncode is not None
                    and dispatcher.alive
                ):
                    raise RuntimeError(
                        f"dispatcher {dispatcher.number} ended with {dispatcher.process.returncode}"
                    )
            self.backend_report = await self.finish()
        finally:
            await self.end()
        late = self.late_us()
        if late > MAX_LATE_US:
            raise RunTooLateError(late)
        return self.world.clients.utility.score()

    async def begin(self) -> None:
        """Opens all ports, then starts all processes at once."""
        for dispatcher in self.dispatchers:
            await dispatcher.prepare()
        await asyncio.gather(*(dispatcher.start() for dispatcher in self.dispatchers))

    async def finish(self) -> dict[str, Any]:
        """Returns the backend's own metrics, while all processes still run."""
        return {}

    async def end(self) -> None:
        """Ends all processes, also after a failure."""
        await asyncio.gather(*(dispatcher.stop() for dispatcher in self.dispatchers))

    def late_us(self) -> int:
        """Returns the 99th percentile of the world's own lateness, in us."""
        self.lateness_us.sort()
        return self.lateness_us[int(len(self.lateness_us) * 0.99)] if self.lateness_us else 0

    def _is_over(self) -> bool:
        """Returns True half a second after all requests were sent and have ended, or when the time is up."""
        world, settings = self.world, self.world.settings
        parts = max((row.parts - 1) * row.part_interval_us for row in settings.classes)
        is_quiet = (
            world.events.now > settings.end_of_arrivals_us() + parts + SECOND_US // 2
            and not world.clients.open
        )
        return is_quiet or world.events.now >= (world.last_end_us() if world.clients.open else world.end_us())

    async def _turn(self) -> None:
        events = self.world.events
        now = int((time.monotonic() - self.start_s) * 1e6)
        due = events.next_time()
        if due is not None and due <= now:
            self.lateness_us.append(now - due)
            events.run_until(now)
        for dispatcher in self.dispatchers:
            for server_port in dispatcher.server_ports.values():
                if server_port.server.phase == DOWN and server_port.listening is not None:
                    server_port.close()
                    self.port_changed(dispatcher, server_port.server, False)
                elif server_port.server.phase != DOWN and server_port.listening is None:
                    await server_port.open()
                    self.port_changed(dispatcher, server_port.server, True)
        due = events.next_time() or now
        await asyncio.sleep(min(0.002, max(0.0, (due - now) / SECOND_US)))


def play(
    settings: WorldSettings,
    seed: int,
    faults: list[ScheduledFault],
    folder: Path,
    loop_factory: Callable[[], Any] | None = None,
) -> World:
    """Runs a day on sockets in an event loop of its own. Raises RunTooLateError and RuntimeError."""
    day = SocketDay(settings, seed, faults, folder)
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        runner.run(asyncio.wait_for(day.play(), day.world.last_end_us() / SECOND_US + 60))
    return day.world
