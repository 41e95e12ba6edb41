"""The scale run: a whole fleet of hollow dispatchers on loopback, what is told to it, and its faults.

The change log, control replicas and hollow dispatchers are child processes; each site reaches what it follows
through relays of its own, which faults cut. All times are of the machine's monotonic clock, which its
processes share.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from random import Random

from hoistplank.lab.fleet.relay_messages import RelayStatistics
from hoistplank.lab.fleet.relay_pool import RelayError
from hoistplank.lab.scale.faults import FaultPlayer, Strike
from hoistplank.lab.scale.hollow_messages import (
    Acknowledged,
    BeginAnew,
    FalseAcknowledgement,
    HollowDispatcherPlan,
    HollowPlan,
    Report,
    Start,
    Stop,
)
from hoistplank.lab.scale.replay import EventGenerator, GeneratedEvent
from hoistplank.lab.scale.run_children import ChildLostError, HollowChild, LogChild
from hoistplank.lab.scale.run_delays import Deliveries
from hoistplank.lab.scale.run_lateness import Lateness
from hoistplank.lab.scale.run_paths import LOG, REPLICAS, Cut, LogPaths, ReplicaPaths
from hoistplank.lab.scale.run_replicas import ReplicaLostError, Replicas
from hoistplank.lab.scale.run_usage import LEAST_SHARED, HollowSample, LogSample, PathSample, UsageSeries
from hoistplank.lab.scale.scene import S, Scene
from hoistplank.lab.scale.scene_schedule import Planned, schedule

SAMPLE_S = 1.0
TURN_S = 0.005  # what is due is told at least so finely
START_GROUP, START_PAUSE_S = 40, 0.1  # dispatchers that are started at a time, at the beginning
END_S = 3.0  # after the scene's end, for what was told last
STATUS_EVERY = 5  # samples between questions to the replicas
# What a configuration change hands on where replicas do: of the size of an operator's file.
CONFIGURATION = """
(log (format lines))
(levels
  (retries 1)
  (level core-full
    (enter lag above 80 for 500ms)
    (leave lag below 20 for 5s)
    (dwell 20s)
    (turn-back tile)
    (shots 2)))
"""


class RunLostError(Exception):
    """A process of the rig broke: the run proves nothing."""


@dataclass(frozen=True, slots=True)
class Broken:
    """A broken build for this run: of hollow dispatchers with these numbers (all where none is named), or of
    the log."""

    hollow: str = ""
    numbers: tuple[int, ...] = ()
    log: str = ""


@dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """What a replica answered: an event, and at how many dispatchers it is in force by its word."""

    at_us: int
    replica: str
    epoch: int
    number: int
    in_force: int
    total: int


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
    relays: RelayStatistics
    statuses: list[ReplicaStatus]


def monotonic_us() -> int:
    """The monotonic clock in whole microseconds."""
    return time.monotonic_ns() // 1_000


class ScaleRun:
    """One scene. `play` runs it to its end; whatever happens, its children end with it."""

    def __init__(
        self,
        scene: Scene,
        seed: int,
        through: str = LOG,
        broken: Broken | None = None,
        progress: Callable[[str], None] | None = None,
    ) -> None:
        self.scene, self.seed, self.through = scene, seed, through
        self.broken = broken or Broken()
        self.progress = progress or (lambda line: None)
        self.fleet, self.seats = scene.fleet, scene.fleet.seats()
        self.replicas = Replicas(scene.fleet) if through == REPLICAS else None
        self.paths: LogPaths | ReplicaPaths
        if self.replicas is None:
            self.paths, self.teller = LogPaths(scene.fleet), EventGenerator(scene.fleet)
        else:
            self.paths = ReplicaPaths(scene.fleet)
            # A log that tells its epoch: replicas could not tell a new one from the old one otherwise.
            self.teller = EventGenerator(scene.fleet, 1, CONFIGURATION)
        self.log, self.lateness, self.usage = LogChild(self.broken.log), Lateness(), UsageSeries()
        self.statuses: list[ReplicaStatus] = []
        self.deliveries = Deliveries([seat.name for seat in self.seats])
        self.false: list[FalseAcknowledgement] = []
        self.children: list[HollowChild] = []
        self.child_of: dict[int, HollowChild] = {}
        self.frozen: HollowChild | None = None
        self.held, self.began_us = False, 0

    # From start to end.

    async def play(self) -> Played:
        """Raises RunLostError."""
        try:
            await self._begin()
            relays = await self._play()
        except (ChildLostError, RelayError, ReplicaLostError, OSError) as wrong:
            raise RunLostError(str(wrong)) from wrong
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
            statuses=self.statuses,
        )

    async def _begin(self) -> None:
        await self.log.start()
        # Danger: the first epoch stands in every line; it must be set before anyone connects.
        self.log.command(BeginAnew(self.teller.epoch))
        doors = await self.log.doors(self.paths.doors())
        first = self.teller.first()
        self._tell([first])
        if isinstance(self.paths, LogPaths):
            await self.paths.open(doors, self.seed)
        else:
            assert self.replicas is not None
            await self.paths.open(doors, self.replicas.ports, self.seed)
            await self.replicas.start(self.paths, self.scene.lifetime_us / S)
        self.children = self._make_children(first)
        for child in self.children:
            await child.begin()
            child.command(first.expected)
        numbers = [seat.number for seat in self.seats]
        for at in range(0, len(numbers), START_GROUP):
            self.start(numbers[at : at + START_GROUP])
            await asyncio.sleep(START_PAUSE_S)
        await asyncio.sleep(self.scene.warm_us / S)

    def _make_children(self, first: GeneratedEvent) -> list[HollowChild]:
        """The dispatchers dealt over processes; the last one has a process to itself, so that it can be made
        to stand still."""
        known = {"seq": 1, "results": [first.event]}
        numbers = [seat.number for seat in self.seats]
        many = self.scene.processes
        shares = [numbers[:-1][n::many] for n in range(many)] + [numbers[-1:]]
        children = []
        for share in shares:
            seats = [self._hollow_seat(number) for number in share]
            broken = list(self.broken.numbers) or share
            plan = HollowPlan(seats, known, self.through, self.broken.hollow, broken, self.seed)
            child = HollowChild(plan, self._heard)
            children.append(child)
            self.child_of.update(dict.fromkeys(share, child))
        return children

    def _hollow_seat(self, number: int) -> HollowDispatcherPlan:
        seat = self.seats[number]
        settings = self.fleet.settings(seat, self.scene.lifetime_us / S)
        return HollowDispatcherPlan(number, seat.name, f"r{seat.region}", settings, self.paths.ports(seat))

    async def _play(self) -> RelayStatistics:
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
        await self._ask_replicas()
        return await self.paths.statistics()

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

    def _tell(self, rows: list[GeneratedEvent]) -> None:
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
        await asyncio.gather(*(child.stop() for child in self.children))
        if self.replicas is not None:
            await self.replicas.stop()
        await self.log.stop()
        await self.paths.stop()

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
        for turn in count():
            await self._sample()
            if turn % STATUS_EVERY == 0:
                await self._ask_replicas()
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
        front, back = (await self.paths.statistics()).bytes, await self.paths.back_bytes()
        self.usage.paths.append(PathSample(monotonic_us(), front, back))
        if self.replicas is not None:
            self.usage.replicas += self.replicas.samples(monotonic_us())

    async def _ask_replicas(self) -> None:
        """What each replica says of the newest event that it knows."""
        if self.replicas is None:
            return
        for one in self.replicas.each:
            status = await one.status() if one.running else None
            if status is not None:
                row = status.events
                version = row.version
                self.statuses.append(
                    ReplicaStatus(
                        at_us=monotonic_us(),
                        replica=status.replica,
                        epoch=version.epoch,
                        number=version.number,
                        in_force=row.in_force,
                        total=row.total,
                    )
                )

    def _line(self) -> str:
        running = sum({row.process: row.running for row in self.usage.hollow}.values())
        seconds = self.now_us() / S
        return f"{seconds:.0f} s: {running} dispatchers, {len(self.deliveries.keys)} events told"

    # What faults do.

    def now_us(self) -> int:
        """The time since the scene's beginning."""
        return monotonic_us() - self.began_us

    def stop(self, numbers: list[int]) -> None:
        """Stop dispatchers."""
        for number in numbers:
            self.deliveries.unreachable(number, monotonic_us())
            self.child_of[number].command(Stop([number]))

    def start(self, numbers: list[int]) -> None:
        """Start dispatchers that were stopped."""
        for number in numbers:
            self.deliveries.reachable(number, monotonic_us(), True)
            self.child_of[number].command(Start([number], self.teller.epoch))

    def cut(self, cut: Cut, silent: bool) -> None:
        """Silence the paths of what is cut off, or open them again."""
        self.paths.set_silent(cut, silent)
        self._mark([seat.number for seat in self.seats if cut.holds(seat)], silent)

    def refuse(self, cut: Cut, refused: bool) -> None:
        """Refuse connections of what is cut off, or accept them again."""
        self.paths.set_refused(cut, refused)

    async def lose_replica(self, number: int, lost: bool) -> int:
        """Kill a replica or start it again; returns how many were struck."""
        if self.replicas is None:
            return 0
        one = self.replicas.each[number]
        await (one.kill() if lost else one.start())
        return 1

    def stall(self, stalled: bool) -> int:
        """Stop the last dispatcher's process by a signal, or continue it; returns its number."""
        number = self.seats[-1].number
        child = self.child_of[number]
        child.freeze(stalled)
        self.frozen = child if stalled else None
        self._mark([number], stalled)
        return number

    def renew(self) -> None:
        """Let the change log begin anew, with the next epoch."""
        first = self.teller.begin_anew()
        self.log.command(BeginAnew(self.teller.epoch))
        self._tell([first])

    def hold(self, held: bool) -> None:
        """Hold events back, or publish them again."""
        self.held = held

    def _mark(self, numbers: list[int], unreachable: bool) -> None:
        for number in numbers:
            if unreachable:
                self.deliveries.unreachable(number, monotonic_us())
            else:
                self.deliveries.reachable(number, monotonic_us(), False)
