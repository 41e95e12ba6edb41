"""The scale run: a whole fleet of hollow dispatchers on loopback, what is told to it, and its faults.

The change log and the hollow dispatchers are child processes; each site reaches the log through a relay of
its own, which faults cut. All times are of the machine's monotonic clock, which its processes share.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from hoistplank.lab.fleet.relays import RelayLost, Relays
from hoistplank.lab.scale.faults import FaultPlayer, Strike
from hoistplank.lab.scale.hollow_messages import (
    Acknowledged,
    BeginAnew,
    FalseAcknowledgement,
    HollowPlan,
    HollowSeat,
    Report,
    Start,
    Stop,
)
from hoistplank.lab.scale.replay import Teller, Told
from hoistplank.lab.scale.run_children import ChildLost, HollowChild, LogChild
from hoistplank.lab.scale.run_delays import Deliveries
from hoistplank.lab.scale.run_lateness import Lateness
from hoistplank.lab.scale.run_usage import LEAST_SHARED, HollowSample, LogSample, UsageSeries
from hoistplank.lab.scale.scene import S, Scene
from hoistplank.lab.scale.scene_schedule import Planned, schedule

RELAYS = 2
SAMPLE_S = 1.0
TURN_S = 0.005  # what is due is told at least so finely
START_GROUP, START_PAUSE_S = 40, 0.1  # dispatchers that are started at a time, at the beginning
END_S = 3.0  # after the scene's end, for what was told last


class RunLost(Exception):
    """A process of the rig broke: the run proves nothing."""


@dataclass(frozen=True, slots=True)
class Broken:
    """A broken build for this run: of hollow dispatchers with these numbers (all where none is named), or of
    the log."""

    hollow: str = ""
    numbers: tuple[int, ...] = ()
    log: str = ""


@dataclass(slots=True)
class Played:
    """What a run leaves to be judged. Times of `strikes` count from `began_us`."""

    scene: Scene
    began_us: int
    ended_us: int
    deliveries: Deliveries
    usage: UsageSeries
    strikes: list[Strike]
    false: list[FalseAcknowledgement]
    empty_kb: dict[int, int]
    relays: dict[str, Any]


def monotonic_us() -> int:
    return time.monotonic_ns() // 1_000


class ScaleRun:
    """One scene. `play` runs it to its end; whatever happens, its children end with it."""

    def __init__(
        self,
        scene: Scene,
        seed: int,
        through: str = "log",
        broken: Broken | None = None,
        progress: Callable[[str], None] | None = None,
    ) -> None:
        self.scene, self.seed, self.through = scene, seed, through
        self.broken = broken or Broken()
        self.progress = progress or (lambda line: None)
        self.fleet, self.seats = scene.fleet, scene.fleet.seats()
        self.teller, self.log = Teller(scene.fleet), LogChild(self.broken.log)
        self.relays, self.lateness, self.usage = Relays(), Lateness(), UsageSeries()
        self.deliveries = Deliveries([seat.name for seat in self.seats])
        self.false: list[FalseAcknowledgement] = []
        self.children: list[HollowChild] = []
        self.child_of: dict[int, HollowChild] = {}
        self.frozen: HollowChild | None = None
        self.held, self.began_us = False, 0

    # From start to end.

    async def play(self) -> Played:
        """Raises RunLost."""
        try:
            await self._begin()
            relays = await self._play()
        except (ChildLost, RelayLost, OSError) as wrong:
            raise RunLost(str(wrong)) from wrong
        finally:
            await self._end()
        return Played(
            scene=self.scene,
            began_us=self.began_us,
            ended_us=monotonic_us(),
            deliveries=self.deliveries,
            usage=self.usage,
            strikes=self.strikes.strikes,
            false=self.false,
            empty_kb={n: child.empty_rss_kb for n, child in enumerate(self.children)},
            relays=relays,
        )

    async def _begin(self) -> None:
        await self.log.start()
        await self.relays.start(RELAYS, self.seed)
        sites = range(self.fleet.sites)
        doors = await self.log.doors([self._path(site) for site in sites])
        ports = [await self.relays.stream(self._path(site), doors[self._path(site)], site) for site in sites]
        first = self.teller.first()
        self.children = self._make_children(ports, first)
        for child in self.children:
            await child.begin()
        self._tell([first])
        numbers = [seat.number for seat in self.seats]
        for at in range(0, len(numbers), START_GROUP):
            self.start(numbers[at : at + START_GROUP])
            await asyncio.sleep(START_PAUSE_S)
        await asyncio.sleep(self.scene.warm_us / S)

    def _make_children(self, ports: list[int], first: Told) -> list[HollowChild]:
        """The dispatchers dealt over processes; the last one has a process to itself, so that it can be made
        to stand still."""
        known = {"seq": 1, "results": [first.event]}
        numbers = [seat.number for seat in self.seats]
        many = self.scene.processes
        shares = [numbers[:-1][n::many] for n in range(many)] + [numbers[-1:]]
        children = []
        for share in shares:
            seats = [self._hollow_seat(number, ports) for number in share]
            broken = list(self.broken.numbers) or share
            plan = HollowPlan(seats, known, self.through, self.broken.hollow, broken, self.seed)
            child = HollowChild(plan, self._heard)
            children.append(child)
            self.child_of.update(dict.fromkeys(share, child))
        return children

    def _hollow_seat(self, number: int, ports: list[int]) -> HollowSeat:
        seat = self.seats[number]
        settings = self.fleet.settings(seat, self.scene.lifetime_us / S)
        return HollowSeat(number, seat.name, settings, ports[seat.site])

    async def _play(self) -> dict[str, Any]:
        self.began_us = monotonic_us()
        self.strikes = FaultPlayer(self, self.scene.faults, Random(f"{self.seed}/faults"))
        beside = [
            asyncio.create_task(part, name=name)
            for name, part in (("lateness", self.lateness.run()), ("samples", self._sampling()))
        ]
        playing = asyncio.create_task(self.strikes.run(), name="faults")
        try:
            await self._telling(schedule(self.scene, self.seed))
            await playing
            await asyncio.sleep(END_S)
            for task in beside:
                if task.done():
                    task.result()  # one that broke has its say
        finally:
            for task in (*beside, playing):
                task.cancel()
            await asyncio.gather(*beside, playing, return_exceptions=True)
        await self._sample()
        return await self.relays.stats()

    async def _telling(self, planned: list[Planned]) -> None:
        """Tells each event at its time, until the scene's end."""
        at = 0
        while (now := self.now_us()) < self.scene.length_us or at < len(planned):
            due = []
            while not self.held and at < len(planned) and planned[at].at_us <= now:
                due.append(self.teller.next(planned[at], time.time_ns() // 1_000_000))
                at += 1
            self._tell(due)
            await asyncio.sleep(TURN_S)

    def _tell(self, rows: list[Told]) -> None:
        if not rows:
            return
        for row in rows:
            for child in self.children:
                child.command(row.expected)
        at_us = monotonic_us()
        for row in rows:
            self.deliveries.told(row.expected.epoch, row.expected.number, row.kind, at_us)
        self.log.events([row.event for row in rows])

    async def _end(self) -> None:
        await asyncio.gather(*(child.stop() for child in self.children), self.log.stop())
        await self.relays.stop()

    # What the children say.

    def _heard(self, report: Report) -> None:
        match report:
            case Acknowledged():
                rows = zip(report.numbers, report.epochs, report.positions, report.at_us, strict=True)
                for number, epoch, position, at_us in rows:
                    self.deliveries.acknowledged(number, epoch, position, at_us)
            case FalseAcknowledgement():
                self.false.append(report)

    async def _sampling(self) -> None:
        while True:
            await self._sample()
            self.progress(self._line())
            await asyncio.sleep(SAMPLE_S)

    async def _sample(self) -> None:
        for n, child in enumerate(self.children):
            if child is self.frozen:
                continue
            used = await child.usage()
            self.usage.hollow.append(
                HollowSample(
                    at_us=monotonic_us(),
                    process=n,
                    cpu_s=used.cpu_s,
                    rss_kb=used.rss_kb,
                    running=used.running,
                    late_us=used.late_us if len(child.numbers) >= LEAST_SHARED else [],
                    audited=used.audited,
                    reconnects=used.reconnects,
                )
            )
        log = await self.log.usage()
        now_us = monotonic_us()
        self.usage.log.append(LogSample(now_us, log.cpu_s, log.rss_kb, log.late_us, log.doors))
        self.usage.own_late_us.append((now_us, self.lateness.taken()))

    def _line(self) -> str:
        running = sum({row.process: row.running for row in self.usage.hollow}.values())
        seconds = self.now_us() / S
        return f"{seconds:.0f} s: {running} dispatchers, {len(self.deliveries.keys)} events told"

    # What faults do.

    def now_us(self) -> int:
        return monotonic_us() - self.began_us

    def stop(self, numbers: list[int]) -> None:
        for number in numbers:
            self.deliveries.unreachable(number, monotonic_us())
            self.child_of[number].command(Stop([number]))

    def start(self, numbers: list[int]) -> None:
        for number in numbers:
            self.deliveries.reachable(number, monotonic_us(), True)
            self.child_of[number].command(Start([number], self.teller.epoch))

    def cut(self, sites: list[int], silent: bool) -> None:
        for back in (False, True):
            self.relays.set_conditions([self._path(site) for site in sites], back, silent=silent)
        self._mark([seat.number for seat in self.seats if seat.site in sites], silent)

    def refuse(self, sites: list[int], refused: bool) -> None:
        self.relays.tell([self._path(site) for site in sites], "shut" if refused else "open")

    def stall(self, stalled: bool) -> int:
        number = self.seats[-1].number
        child = self.child_of[number]
        child.freeze(stalled)
        self.frozen = child if stalled else None
        self._mark([number], stalled)
        return number

    def renew(self) -> None:
        self.log.command(BeginAnew())
        self._tell([self.teller.begin_anew()])

    def hold(self, held: bool) -> None:
        self.held = held

    def _mark(self, numbers: list[int], unreachable: bool) -> None:
        for number in numbers:
            if unreachable:
                self.deliveries.unreachable(number, monotonic_us())
            else:
                self.deliveries.reachable(number, monotonic_us(), False)

    def _path(self, site: int) -> str:
        return f"s{site:02d}>log"
