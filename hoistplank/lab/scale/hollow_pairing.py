"""Whether a hollow dispatcher costs per event what a real one does, on the same events at the same time.

Real `hoistplank run` processes and hollow dispatchers follow one change log, or one control replica, on paths
of their own. At several event rates in turn, processor time a second of a dispatcher of each kind is taken;
the slope over the rates is its cost per event, the value at rate 0 what it costs while nothing happens. Bytes
and lines of each kind are counted at the log, or by its relay.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from random import Random

import msgspec
import numpy as np

from hoistplank.fakes.settings import fleet_event
from hoistplank.lab.scale.fleet import DispatcherSite, Fleet
from hoistplank.lab.scale.hollow_messages import (
    BeginAnew,
    DoorUsage,
    Expect,
    FalseAcknowledgement,
    HollowDispatcherPlan,
    HollowPlan,
    Report,
    Start,
)
from hoistplank.lab.scale.pairing_sides import KINDS, LogSide, ReplicaSide
from hoistplank.lab.scale.real_dispatcher import LIFETIME_S, RealDispatcher
from hoistplank.lab.scale.run_children import HollowChild, LogChild
from hoistplank.lab.scale.run_paths import LOG, REPLICAS

SETTLE_S = 0.5
HOST_CHANGE_EVERY = 20  # of the events, one is a change of a host; the rest are purges


class PairingPlan(msgspec.Struct, frozen=True):
    """Sizes of the check. `real`: processes, each beside a hollow dispatcher that has a process to itself;
    `shared`: hollow ones in one process. Each rate (events/s) is played `rounds` times for `seconds`."""

    real: int
    shared: int
    rates: tuple[float, ...] = (0.0, 25.0, 50.0, 100.0)
    rounds: int = 2
    seconds: float = 2.0
    hosts: int = 180
    broken: str = ""
    seed: int = 1
    through: str = LOG


class Taken(msgspec.Struct, frozen=True):
    """What one kind of dispatcher used together, up to a moment or between two."""

    cpu_s: float
    door: DoorUsage

    def since(self, before: Taken) -> Taken:
        """What was used since an earlier moment."""
        names = DoorUsage.__struct_fields__
        door = DoorUsage(*(getattr(self.door, name) - getattr(before.door, name) for name in names))
        return Taken(self.cpu_s - before.cpu_s, door)


class Sample(msgspec.Struct, frozen=True):
    """One stretch at one rate: its length, and what each kind used in it."""

    seconds: float
    events: int
    kinds: dict[str, Taken]


class Costs(msgspec.Struct, frozen=True):
    """Of one kind of dispatcher: processor time an event (us) with the half width of its 95 % interval, in
    rest (us a second), bytes and lines received an event, bytes sent, and lines a second in rest."""

    event_us: float
    event_us_half: float
    idle_us_s: float
    bytes_event: float
    lines_event: float
    bytes_sent: float
    lines_idle_s: float


class Pairing(msgspec.Struct, frozen=True):
    """All kinds side by side. `ratio`: processor time an event, hollow alone in a process over real;
    `shared_ratio`: hollow in a shared process over real, by which the scale run's figures are to be divided.
    """

    real: Costs
    alone: Costs
    shared: Costs
    ratio: float
    shared_ratio: float
    samples: int
    false_acknowledgements: int


def fitted(rates: list[float], values: list[float]) -> tuple[float, float, float]:
    """Least squares of values over rates: slope, half width of its 95 % interval, value at 0."""
    x, y = np.array(rates), np.array(values)
    slope, start = np.polyfit(x, y, 1)
    rest = y - (slope * x + start)
    degrees = max(1, len(x) - 2)
    spread = float(np.sqrt((rest**2).sum() / degrees / ((x - x.mean()) ** 2).sum()))
    return float(slope), 1.96 * spread, float(start)


class PairedRun:
    """All kinds side by side, from their start to their end."""

    def __init__(self, plan: PairingPlan, folder: Path) -> None:
        self.plan = plan
        self.fleet = Fleet(2 * plan.real + plan.shared, 1, 1, 1, plan.hosts)
        self.chance, self.number, self.false = Random(plan.seed), 1, 0
        self.log = LogChild()
        self.epoch = 1 if plan.through == REPLICAS else 0
        self.side = ReplicaSide(self.log, self.fleet) if self.epoch else LogSide(self.log)
        self.real = [RealDispatcher(number, folder) for number in range(plan.real)]
        self.alone: list[HollowChild] = []
        self.shared: list[HollowChild] = []
        rows = [*self.fleet.hub_rows(), *(self.fleet.host_row(n, 0, 100.0) for n in range(plan.hosts))]
        self.first = fleet_event(1, rows, whole=True)
        self.known = {"seq": 1, "results": [self.first]}

    def _heard(self, report: Report) -> None:
        self.false += isinstance(report, FalseAcknowledgement)

    def _child(self, seats: list[DispatcherSite], port: int, audited: bool) -> HollowChild:
        # Danger: what the rig does for each event would count as a dispatcher's in a process of one.
        rows = [
            HollowDispatcherPlan(seat.number, seat.name, "r0", self.fleet.settings(seat, LIFETIME_S), [port])
            for seat in seats
        ]
        numbers = [seat.number for seat in seats]
        plan = HollowPlan(
            rows, self.known, self.plan.through, self.plan.broken, numbers, self.plan.seed, audited
        )
        return HollowChild(plan, self._heard)

    async def begin(self) -> None:
        """Start the change log, then dispatchers of all kinds."""
        await self.log.start()
        self.log.command(BeginAnew(self.epoch))
        self.log.events([self.first])
        ports = await self.side.open()
        seats, real = self.fleet.seats(), self.plan.real
        self.alone = [self._child([seat], ports["alone"], False) for seat in seats[real : 2 * real]]
        self.shared = [self._child(seats[2 * real :], ports["shared"], True)]
        for child in (*self.alone, *self.shared):
            await child.begin()
            child.command(Start(child.numbers, self.epoch))
        starting = (
            one.start(self.fleet, seats[one.number], ports["real"], self.known, self.plan.through)
            for one in self.real
        )
        await asyncio.gather(*starting)
        await asyncio.sleep(SETTLE_S)

    def tell(self) -> None:
        """One more event to all."""
        self.number += 1
        if self.number % HOST_CHANGE_EVERY == 0:
            host = self.chance.randrange(self.plan.hosts)
            event = fleet_event(self.number, [self.fleet.host_row(host, 0, 100.0 + self.number % 50)])
            expected = Expect(self.epoch, self.number)
        else:
            made_ms, object_key = int(time.time() * 1e3), f"{self.chance.getrandbits(64):016x}"
            event = {"seq": self.number, "invalidate": {"time": made_ms, "object": object_key}}
            expected = Expect(self.epoch, self.number, object_key, made_ms * 1_000)
        for child in self.shared:
            child.command(expected)
        self.log.events([event])

    async def stretch(self, rate: float) -> Sample:
        """Plays one rate, and tells what it cost."""
        before, first, began = await self._taken(), self.number, time.monotonic()
        while (spent := time.monotonic() - began) < self.plan.seconds:
            while self.number - first < rate * spent:
                self.tell()
            await asyncio.sleep(0.002)
        await asyncio.sleep(SETTLE_S)
        taken, seconds = await self._taken(), time.monotonic() - began
        kinds = {kind: taken[kind].since(before[kind]) for kind in KINDS}
        return Sample(seconds, self.number - first, kinds)

    async def _taken(self) -> dict[str, Taken]:
        doors = await self.side.taken()
        real_s = sum(one.cpu_s() for one in self.real)
        alone_s = sum([(await child.usage()).cpu_s for child in self.alone])
        shared_s = sum([(await child.usage()).cpu_s for child in self.shared])
        used = zip(KINDS, (real_s, alone_s, shared_s), strict=True)
        return {kind: Taken(cpu_s, doors[kind]) for kind, cpu_s in used}

    async def end(self) -> None:
        """End all processes."""
        await asyncio.gather(
            *(one.stop() for one in self.real), *(child.stop() for child in (*self.alone, *self.shared))
        )
        await self.side.close()
        await self.log.stop()


def _costs(samples: list[Sample], kind: str, many: int) -> Costs:
    rates = [row.events / row.seconds for row in samples]
    used = [row.kinds[kind].cpu_s / row.seconds / many for row in samples]
    slope, half, idle = fitted(rates, used)
    busy, rest = max(samples, key=lambda row: row.events), min(samples, key=lambda row: row.events)
    door, events = busy.kinds[kind].door, max(1, busy.events)
    return Costs(
        event_us=slope * 1e6,
        event_us_half=half * 1e6,
        idle_us_s=idle * 1e6,
        bytes_event=door.bytes_out / events / many,
        lines_event=door.lines_out / events / many,
        bytes_sent=door.bytes_in / many,
        lines_idle_s=rest.kinds[kind].door.lines_out / rest.seconds / many,
    )


async def paired(plan: PairingPlan, folder: Path) -> Pairing:
    """Runs the check; `folder` takes the real dispatchers' files. Raises RuntimeError and ChildLostError."""
    run = PairedRun(plan, folder)
    try:
        await run.begin()
        samples = [await run.stretch(rate) for _ in range(plan.rounds) for rate in plan.rates]
    finally:
        await run.end()
    sizes = dict(zip(KINDS, (plan.real, plan.real, plan.shared), strict=True))
    costs = {kind: _costs(samples, kind, sizes[kind]) for kind in KINDS}
    real_us = costs["real"].event_us
    ratio, shared_ratio = costs["alone"].event_us / real_us, costs["shared"].event_us / real_us
    return Pairing(
        **costs,
        ratio=ratio,
        shared_ratio=shared_ratio,
        samples=len(samples),
        false_acknowledgements=run.false,
    )
