"""A scene on processes: real `hoistplank run` dispatchers, a relay on each path, the model's world."""

from __future__ import annotations

import asyncio
import math
import signal
import sys
from collections.abc import Callable
from itertools import combinations
from pathlib import Path
from typing import Any

from hoistplank.fakes.deployment import free_port
from hoistplank.lab.backends.socket_dispatcher import SocketDispatcher
from hoistplank.lab.backends.sockets import SocketDay
from hoistplank.lab.fleet.fault_injector import (
    FleetFaultInjector,
    PathDirection,
    client_path,
    host_path,
    needs_sibling_paths,
    sibling_path,
)
from hoistplank.lab.fleet.metrics import FleetMetrics
from hoistplank.lab.fleet.relay_messages import ConditionValue, PathAction
from hoistplank.lab.fleet.relay_pool import RelayError, RelayPool
from hoistplank.lab.fleet.scene import Scene
from hoistplank.lab.fleet.virtual import VirtualPaths, observe
from hoistplank.lab.model.dispatcher import Dispatcher
from hoistplank.lab.model.servers import Server
from hoistplank.lab.model.world_settings import SECOND_US

STARVE_S = 0.02  # a core is taken away in slices of this
DISPATCHERS_PER_RELAY = 5  # whose paths one relay process carries
# Danger: a machine that has other work holds any process up for a moment; an answer that much late over
# a socket says nothing of the dispatcher. In virtual time the bound is the laboratory's.
SLACK_US = 250_000
LOG_PATH_END = ">log"  # of the name of a path to the change log
START_ATTEMPTS = 3  # of a dispatcher whose port was taken meanwhile


class FleetDispatcher(SocketDispatcher):
    """A dispatcher of the fleet: its process, its folder, its operator's file."""

    def __init__(self, day: FleetDay, number: int, zone: int) -> None:
        super().__init__(day, number, zone)
        self.fleet = day
        self.operator: Path | None = None
        self.starve_task: asyncio.Task[None] | None = None
        self.sibling_port = free_port()  # where it receives its siblings' datagrams

    async def start(self) -> None:
        """As any dispatcher of the laboratory; another port is tried where its own was taken meanwhile."""
        for left in range(START_ATTEMPTS - 1, -1, -1):
            try:
                await super().start()
                break
            except RuntimeError as error:
                if left == 0 or "address already in use" not in str(error).lower():
                    self.fleet.failures.append(f"dispatcher {self.number}: {error}")
                    raise

    def kill(self) -> None:
        """Kill the process; it is starved no more."""
        super().kill()
        self.stop_starving()

    def stop_starving(self) -> None:
        """Give the process its whole core back."""
        if self.starve_task is not None:
            self.starve_task.cancel()
            self.starve_task = None

    def begin_starving(self, share: float, length_us: int) -> None:
        """Take a share of its core away for a time."""
        self.stop_starving()
        work = self._starve(share, length_us)
        self.starve_task = asyncio.get_running_loop().create_task(work, name=f"starve d{self.number}")

    async def _starve(self, share: float, length_us: int) -> None:
        """Stop the process for a share of each slice; it is always left running."""
        process, loop = self.process, asyncio.get_running_loop()
        until = loop.time() + length_us / SECOND_US
        while process is not None and process.returncode is None and loop.time() < until:
            self.freeze(int(share * STARVE_S * SECOND_US))
            await asyncio.sleep(STARVE_S)

    async def stop(self) -> None:
        """End the process; note a failure where it did not end in order."""
        self.stop_starving()
        await super().stop()
        # Danger: one that breaks as it drains would pass for one that ended in order. (Ended by the signal
        # itself: it was still starting.)
        if self.process is not None and self.process.returncode not in (0, -signal.SIGKILL, -signal.SIGTERM):
            self.fleet.failures.append(f"dispatcher {self.number} ended with {self.process.returncode}")


class FleetDay(SocketDay):
    """One scene. `play` runs it to its end; `metrics` holds what all did together."""

    def __init__(self, scene: Scene, seed: int, folder: Path, scene_folder: Path) -> None:
        self.scene = scene
        self.scene_folder = scene_folder
        self.failures: list[str] = []
        super().__init__(scene.world_settings(), seed, [], folder)
        self.relays = RelayPool()
        self.world.rules.answers.slack_us = SLACK_US
        self.metrics = FleetMetrics(self.world.settings, [dispatcher.zone for dispatcher in self.dispatchers])
        self.rows = scene.faults()
        # What the change log sends is held here, not in a relay, so that the checkers know when it arrived.
        self.log_paths = self.world.paths = VirtualPaths(self.world)
        observe(self.world, self.metrics)
        FleetFaultInjector(self.world, self.rows, self, self.metrics).begin()

    def make_dispatcher(self, number: int, zone: int) -> SocketDispatcher:
        """A dispatcher with the scene's operator's file."""
        dispatcher = FleetDispatcher(self, number, zone)
        if self.scene.operator is not None:
            dispatcher.operator = self.scene_folder / self.scene.operator
        return dispatcher

    # Every path leads through a relay.

    async def port_for(self, dispatcher: SocketDispatcher, party: str, port: int) -> int:
        """The relay's port for a host or the change log."""
        return await self.relays.open_stream_path(
            host_path(dispatcher.number, party), port, dispatcher.number
        )

    def port_changed(self, dispatcher: SocketDispatcher, server: Server, opened: bool) -> None:
        """Refuse connections to a host whose process is gone."""
        action = PathAction.OPEN if opened else PathAction.SHUT
        self.relays.apply([host_path(dispatcher.number, server.uid)], action)

    async def entry_port_for(self, dispatcher: SocketDispatcher) -> int:
        """The relay's port for clients; it stays the same over restarts."""
        name = client_path(dispatcher.number)
        if name not in self.relays:
            return await self.relays.open_stream_path(name, dispatcher.port, dispatcher.number)
        self.relays.retarget(name, dispatcher.port)
        self.relays.apply([name], PathAction.OPEN)
        return dispatcher.entry

    def entry_closed(self, dispatcher: SocketDispatcher) -> None:
        """Refuse clients' connections to a dispatcher that was killed."""
        self.relays.apply([client_path(dispatcher.number)], PathAction.SHUT)

    def command(self, dispatcher: SocketDispatcher) -> list[str]:
        """`hoistplank run`, with its operator's file."""
        assert isinstance(dispatcher, FleetDispatcher)
        command = [sys.executable, "-m", "hoistplank.cli.main", "run"]
        return command if dispatcher.operator is None else [*command, "--operator", str(dispatcher.operator)]

    # What faults do.

    def set_conditions(self, directions: list[PathDirection], **conditions: ConditionValue) -> None:
        """Set conditions in the relays; those of what the change log sends in the model."""
        from_log = [one for one in directions if one.backward and one.path.endswith(LOG_PATH_END)]
        self.log_paths.set_conditions(from_log, **conditions)
        for backward in (False, True):
            others = [one.path for one in directions if one.backward == backward and one not in from_log]
            self.relays.set_conditions(others, backward, **conditions)
        if "silent" in conditions:
            # Its heartbeats stand still as well.
            self.relays.set_conditions([one.path for one in from_log], True, silent=conditions["silent"])

    def apply_to_paths(self, paths: list[str], action: PathAction) -> None:
        """Apply an action in the relays; a change log that is shut off is silent in the model as well."""
        from_log = [PathDirection(name, True) for name in paths if name.endswith(LOG_PATH_END)]
        if action in (PathAction.SHUT, PathAction.OPEN):
            self.log_paths.set_conditions(from_log, silent=action is PathAction.SHUT)
        self.relays.apply(paths, action)

    def restart_with_file(self, dispatcher: Dispatcher, file: str, down_us: int) -> None:
        """Kill a dispatcher; it comes back with another operator's file, which stands beside the scene."""
        assert isinstance(dispatcher, FleetDispatcher)
        dispatcher.operator = self.scene_folder / file
        self.world.crash_dispatcher(dispatcher, down_us)

    def starve(self, dispatcher: Dispatcher, share: float, length_us: int) -> None:
        """Take a share of a dispatcher's core away for a time."""
        assert isinstance(dispatcher, FleetDispatcher)
        dispatcher.begin_starving(share, length_us)

    # From start to end.

    async def begin(self) -> None:
        """Start the relays, then the dispatchers, then paths between dispatchers where a fault needs them."""
        count = max(1, math.ceil(len(self.dispatchers) / DISPATCHERS_PER_RELAY))
        await self.relays.start(count, self.world.streams.seed)
        await super().begin()
        if needs_sibling_paths(self.rows):
            await self._open_sibling_paths()

    async def _open_sibling_paths(self) -> None:
        for one, other in combinations(self.dispatchers, 2):
            assert isinstance(one, FleetDispatcher) and isinstance(other, FleetDispatcher)
            name = sibling_path(one.number, other.number)
            await self.relays.open_datagram_path(name, one.sibling_port, other.sibling_port, one.number)

    async def end(self) -> None:
        """End all dispatchers, then the relays."""
        await super().end()
        await self.relays.stop()

    async def finish(self) -> dict[str, Any]:
        """The relays' counters, before they end. Raises RelayError."""
        found = await self.relays.statistics()
        return {"chunks": found.chunks, "bytes": found.bytes, "cpu_s": found.cpu_s, "late_us": found.late_us}


def play(
    scene: Scene, seed: int, folder: Path, scene_folder: Path, loop: Callable[[], Any] | None = None
) -> tuple[FleetDay, dict[str, Any]]:
    """Play a scene on processes, in a loop of its own; return the day, and the relays' counters.

    Raises TooLate where the machine was too slow, RuntimeError where a dispatcher or a relay broke.
    """

    async def run() -> tuple[FleetDay, dict[str, Any]]:
        day = FleetDay(scene, seed, folder, scene_folder)
        try:
            async with asyncio.timeout(day.world.last_end_us() / SECOND_US + 60):
                await day.play()
        except (RelayError, TimeoutError) as error:
            raise RuntimeError(str(error) or "the day did not come to its end") from error
        if day.failures:
            raise RuntimeError(day.failures[0])
        return day, day.backend_report

    with asyncio.Runner(loop_factory=loop) as runner:
        return runner.run(run())
