"""A scene on processes: real `hoistplank run` dispatchers, a relay on each path, the model's world."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Callable
from pathlib import Path as File
from typing import Any

from hoistplank.fakes.deployment import free_port
from hoistplank.lab.backends.sockets import Day, SocketSeat
from hoistplank.lab.fleet.fault_injector import Direction, FleetTroubles, sibling_paths
from hoistplank.lab.fleet.metrics import FleetMetrics
from hoistplank.lab.fleet.relays import RelayLost, Relays
from hoistplank.lab.fleet.scene import Scene
from hoistplank.lab.fleet.virtual import VirtualPaths, watched
from hoistplank.lab.model.servers import Server
from hoistplank.lab.model.world import Seat
from hoistplank.lab.model.world_settings import S

STARVE_S = 0.02  # a core is taken away in slices of this
OFFICE_FOR = 5  # dispatchers whose paths one relay process carries
# Danger: a machine that has other work holds any process up for a moment; an answer that much late over
# a socket says nothing of the dispatcher. In virtual time the bound is the laboratory's.
SLACK_US = 250_000
STARTS = 3  # of a dispatcher whose port was taken meanwhile


class FleetSeat(SocketSeat):
    """A dispatcher of the fleet: its process, its folder, its operator's file."""

    def __init__(self, day: FleetDay, number: int, zone: int) -> None:
        super().__init__(day, number, zone)
        self.fleet = day
        self.operator: File | None = None
        self.starving: asyncio.Task[None] | None = None
        self.sibling = free_port()  # where it hears its siblings

    async def start(self) -> None:
        """As any dispatcher of the laboratory; another port is tried where its own was taken meanwhile."""
        for left in range(STARTS - 1, -1, -1):
            try:
                return await super().start()
            except RuntimeError as wrong:
                if left == 0 or "address already in use" not in str(wrong).lower():
                    self.fleet.failed.append(f"dispatcher {self.number}: {wrong}")
                    raise

    def kill(self) -> None:
        super().kill()
        self.stop_starving()

    def stop_starving(self) -> None:
        if self.starving is not None:
            self.starving.cancel()
            self.starving = None

    async def starve(self, share: float, length_us: int) -> None:
        """Its process stands still for a share of each slice; it is always left running."""
        process, loop = self.process, asyncio.get_running_loop()
        until = loop.time() + length_us / S
        while process is not None and process.returncode is None and loop.time() < until:
            self.freeze(int(share * STARVE_S * S))
            await asyncio.sleep(STARVE_S)

    async def stop(self) -> None:
        self.stop_starving()
        await super().stop()
        # Danger: one that breaks as it drains would pass for one that ended in order. (Ended by the signal
        # itself: it was still starting.)
        if self.process is not None and self.process.returncode not in (0, -signal.SIGKILL, -signal.SIGTERM):
            self.fleet.failed.append(f"dispatcher {self.number} ended with {self.process.returncode}")


class FleetDay(Day):
    """One scene. `play` runs it to its end; `metrics` holds what all did together."""

    def __init__(self, scene: Scene, seed: int, folder: File, beside: File) -> None:
        self.scene, self.beside, self.failed = scene, beside, list[str]()
        super().__init__(scene.shape(), seed, [], folder)
        self.relays = Relays()
        self.world.truth.answers.slack_us = SLACK_US
        self.metrics = FleetMetrics(self.world.shape, [seat.zone for seat in self.seats])
        self.rows = scene.rows()
        # What the change log tells is held here, not in a relay, so that the truth knows when it was told.
        self.log_paths = self.world.paths = VirtualPaths(self.world)
        watched(self.world, self.metrics)
        FleetTroubles(self.world, self.rows, self, self.metrics).begin()

    def seat(self, number: int, zone: int) -> SocketSeat:
        seat = FleetSeat(self, number, zone)
        if self.scene.operator is not None:
            seat.operator = self.beside / self.scene.operator
        return seat

    # Every path leads through a relay.

    async def reached(self, seat: SocketSeat, party: str, port: int) -> int:
        return await self.relays.stream(f"d{seat.number}>{party}", port, seat.number)

    def port_changed(self, seat: SocketSeat, server: Server, opened: bool) -> None:
        self.relays.tell([f"d{seat.number}>{server.uid}"], "open" if opened else "shut")

    async def entered(self, seat: SocketSeat) -> int:
        name = f"clients>d{seat.number}"
        if name not in self.relays.where:
            return await self.relays.stream(name, seat.port, seat.number)
        self.relays.tell([name], "target", target=seat.port)
        self.relays.tell([name], "open")
        return seat.entry

    def entry_shut(self, seat: SocketSeat) -> None:
        self.relays.tell([f"clients>d{seat.number}"], "shut")

    def command(self, seat: SocketSeat) -> list[str]:
        assert isinstance(seat, FleetSeat)
        command = [sys.executable, "-m", "hoistplank.cli.main", "run"]
        return command if seat.operator is None else [*command, "--operator", str(seat.operator)]

    # What troubles do.

    def set_conditions(self, directions: list[Direction], **conditions: Any) -> None:
        told: list[Direction] = [(name, back) for name, back in directions if back and name.endswith(">log")]
        self.log_paths.set_conditions(told, **conditions)
        for back in (False, True):
            rest = [name for name, side in directions if side == back and (name, side) not in told]
            self.relays.set_conditions(rest, back, **conditions)
        if "silent" in conditions:
            # Its heartbeats stand still as well.
            self.relays.set_conditions([name for name, _ in told], True, silent=conditions["silent"])

    def tell(self, paths: list[str], do: str) -> None:
        told = [(name, True) for name in paths if name.endswith(">log")]
        if do in ("shut", "open"):
            self.log_paths.set_conditions(told, silent=do == "shut")
        self.relays.tell(paths, do)

    def older(self, seat: Seat, file: str, down_us: int) -> None:
        assert isinstance(seat, FleetSeat)
        seat.operator = self.beside / file
        self.world.crash_seat(seat, down_us)

    def starve(self, seat: Seat, share: float, length_us: int) -> None:
        assert isinstance(seat, FleetSeat)
        seat.stop_starving()
        seat.starving = asyncio.ensure_future(seat.starve(share, length_us))

    # From start to end.

    async def begin(self) -> None:
        many = max(1, (len(self.seats) + OFFICE_FOR - 1) // OFFICE_FOR)
        await self.relays.start(many, self.world.streams.seed)
        await super().begin()
        if sibling_paths(self.rows):
            for seat in self.seats:
                for other in self.seats[seat.number + 1 :]:
                    assert isinstance(seat, FleetSeat) and isinstance(other, FleetSeat)
                    name = f"d{seat.number}~d{other.number}"
                    await self.relays.datagrams(name, seat.sibling, other.sibling, seat.number)

    async def end(self) -> None:
        await super().end()
        await self.relays.stop()

    async def finish(self) -> dict[str, Any]:
        """What the relays tell of the day, before they end. Raises RelayLost."""
        return await self.relays.stats()


def play(
    scene: Scene, seed: int, folder: File, beside: File, loop: Callable[[], Any] | None = None
) -> tuple[FleetDay, dict[str, Any]]:
    """A scene on processes, in a loop of its own; the day, and what the relays tell of it.

    Raises TooLate where the machine was too slow, RuntimeError where a dispatcher or a relay broke.
    """

    async def whole() -> tuple[FleetDay, dict[str, Any]]:
        day = FleetDay(scene, seed, folder, beside)
        try:
            async with asyncio.timeout(day.world.last_end_us() / S + 60):
                await day.play()
        except (RelayLost, TimeoutError) as wrong:
            raise RuntimeError(str(wrong) or "the day did not come to its end") from None
        if day.failed:
            raise RuntimeError(day.failed[0])
        return day, day.told

    with asyncio.Runner(loop_factory=loop) as runner:
        return runner.run(whole())
