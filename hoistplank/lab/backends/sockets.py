"""Sockets: the same model as servers on loopback, against real dispatcher processes, in real time.

One task advances the world's event queue by the machine's clock. Each dispatcher reaches every server at a
port set aside for it, so that the world knows who asks. What flows between servers stays in the model. What
loopback can't show: a connection to a silent machine is made at once (the kernel accepts it), so that a
vanished host shows as silence where virtual time shows a connection that is not up in time.
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

MAX_LATE_US = 20_000  # the world's own lateness at its 99th percentile, beyond which a day is void


class RunTooLateError(Exception):
    """The machine was too slow for the day to prove anything; its text and `late_us` say by how much."""

    def __init__(self, late_us: int) -> None:
        super().__init__(
            f"the world ran {late_us // 1000} ms late (99th percentile), {MAX_LATE_US // 1000} are allowed"
        )
        self.late_us = late_us


class SocketDay:
    """One day on sockets. `play` runs it to its end and leaves the world as it was then."""

    def __init__(self, settings: WorldSettings, seed: int, rows: list[ScheduledFault], folder: Path) -> None:
        self.world, self.folder = World(settings, seed), folder
        self.classes = {row.name: n for n, row in enumerate(settings.classes)}
        FaultInjector(self.world, rows).begin()
        self.dispatchers = [
            self.make_dispatcher(n, n % settings.zones) for n in range(settings.zones * settings.dispatchers)
        ]
        self.world.dispatchers.extend(self.dispatchers)
        self.began_s, self.began_unix_s = 0.0, 0.0
        self.lags: list[int] = []
        self.backend_report: dict[str, Any] = {}  # what the backend reports of itself at the end

    def make_dispatcher(self, number: int, zone: int) -> SocketDispatcher:
        """Make a dispatcher; subclasses make their own kind."""
        return SocketDispatcher(self, number, zone)

    def unix_ms(self, at: int) -> int:
        """A time of the world (us) as Unix milliseconds."""
        return int(self.began_unix_s * 1_000 + at / 1_000)

    # Where a dispatcher and the others find each other: here each at its own port, with nothing between.

    async def port_for(
        self,
        dispatcher: SocketDispatcher,  # noqa: ARG002 (for subclasses)
        party: str,  # noqa: ARG002 (for subclasses)
        port: int,
    ) -> int:
        """The port at which the dispatcher finds a server, or its change log (`log`)."""
        return port

    def port_changed(self, dispatcher: SocketDispatcher, server: Server, opened: bool) -> None:
        """A server's port for that dispatcher has closed, or is there again."""

    async def entry_port_for(self, dispatcher: SocketDispatcher) -> int:
        """The port at which clients find a dispatcher that has just come up."""
        return dispatcher.port

    def entry_closed(self, dispatcher: SocketDispatcher) -> None:
        """A dispatcher was killed."""

    def command(self, dispatcher: SocketDispatcher) -> list[str]:  # noqa: ARG002 (for subclasses)
        """The command that starts a dispatcher's process."""
        return [sys.executable, "-m", "hoistplank"]

    def advance(self) -> None:
        """Brings the world up to now, before an event that has just arrived is applied to it."""
        if self.began_s:
            self.world.events.run_until(int((time.monotonic() - self.began_s) * 1e6))

    async def play(self) -> float:
        """Return the score.

        Raises RunTooLateError where the machine was too slow, RuntimeError where a dispatcher broke.
        """
        self.began_unix_s = time.time()
        try:
            await self.begin()
            self.began_s, self.began_unix_s = time.monotonic(), time.time()
            self.world.begin()
            while not self._over():
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
        """Ports first, then all processes at once."""
        for dispatcher in self.dispatchers:
            await dispatcher.prepare()
        await asyncio.gather(*(dispatcher.start() for dispatcher in self.dispatchers))

    async def finish(self) -> dict[str, Any]:
        """Report on the day while all processes are still there."""
        return {}

    async def end(self) -> None:
        """All processes end, however the day went."""
        await asyncio.gather(*(dispatcher.stop() for dispatcher in self.dispatchers))

    def late_us(self) -> int:
        """The world's own lateness at its 99th percentile."""
        self.lags.sort()
        return self.lags[int(len(self.lags) * 0.99)] if self.lags else 0

    def _over(self) -> bool:
        """All has been asked for and has ended, with half a second for what comes late."""
        world, settings = self.world, self.world.settings
        parts = max((row.parts - 1) * row.part_interval_us for row in settings.classes)
        quiet = (
            world.events.now > settings.end_of_arrivals_us() + parts + SECOND_US // 2
            and not world.clients.open
        )
        return quiet or world.events.now >= (world.last_end_us() if world.clients.open else world.end_us())

    async def _turn(self) -> None:
        events = self.world.events
        now = int((time.monotonic() - self.began_s) * 1e6)
        due = events.next_time()
        if due is not None and due <= now:
            self.lags.append(now - due)
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
    rows: list[ScheduledFault],
    folder: Path,
    loop: Callable[[], Any] | None = None,
) -> World:
    """A day on sockets in a loop of its own. Raises RunTooLateError and RuntimeError."""
    day = SocketDay(settings, seed, rows, folder)
    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(asyncio.wait_for(day.play(), day.world.last_end_us() / SECOND_US + 60))
    return day.world
