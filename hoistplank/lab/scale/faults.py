"""Carries the faults of a scene out on a scale run."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

from hoistplank.lab.model.faults import ScheduledFault
from hoistplank.lab.scale.fleet import DispatcherSite, Fleet
from hoistplank.lab.scale.run_paths import Cut
from hoistplank.lab.scale.scene import S, lasts_us

REFUSED_AFTER_S = 3.0  # of a cut path: until then its silence alone shows it
QUIET_S = 1.0  # without events before a source begins anew: what it has not told by then is lost with it


@dataclass(frozen=True, slots=True)
class Strike:
    """One fault as it was carried out (us from the scene's first moment), with how many it struck."""

    text: str
    kind: str
    begin_us: int
    end_us: int
    struck: int


class Rig(Protocol):
    """What a fault does to the run."""

    fleet: Fleet
    seats: list[DispatcherSite]

    def now_us(self) -> int:
        """Since the scene's first moment."""

    def stop(self, numbers: list[int]) -> None:
        """These dispatchers' processes are gone."""

    def start(self, numbers: list[int]) -> None:
        """They are back, with nothing."""

    def cut(self, cut: Cut, silent: bool) -> None:
        """Nothing comes through to or from what is cut off, or all does again."""

    def refuse(self, cut: Cut, refused: bool) -> None:
        """Connections to or from what is cut off are refused, or taken again."""

    async def lose_replica(self, number: int, lost: bool) -> int:
        """A control replica's process is gone, or started again; how many that are: 0 where there is none."""

    def stall(self, stalled: bool) -> int:
        """The one dispatcher that has a process to itself stands still, or goes on; its number."""

    def renew(self) -> None:
        """The source begins anew."""

    def hold(self, held: bool) -> None:
        """While it is held, nothing is told; what is due meanwhile is told at its end."""


class FaultPlayer:
    """Strikes at the times of the scene. `chance` chooses who is struck."""

    def __init__(self, rig: Rig, faults: tuple[ScheduledFault, ...], chance: Random) -> None:
        self.rig, self.faults, self.chance = rig, faults, chance
        self.strikes: list[Strike] = []

    async def run(self) -> None:
        """Until the last fault has ended."""
        await asyncio.gather(*(self._play(fault) for fault in self.faults))

    async def _play(self, fault: ScheduledFault) -> None:
        await asyncio.sleep(max(0, fault.at - self.rig.now_us()) / S)
        begin_us = self.rig.now_us()
        struck = await getattr(self, f"_{fault.kind.replace('-', '_')}")(lasts_us(fault) / S, *fault.values)
        self.strikes.append(Strike(fault.text, fault.kind, begin_us, self.rig.now_us(), struck))

    async def _changes(self, seconds: float, many: int, _: Any) -> int:
        """The schedule has them already."""
        await asyncio.sleep(seconds)
        return 0

    async def _machines(self, seconds: float, many: int, _: Any) -> int:
        numbers = self.chance.sample(range(self.rig.fleet.dispatchers), many)
        self.rig.stop(numbers)
        await asyncio.sleep(seconds)
        self.rig.start(numbers)
        return many

    async def _rack(self, seconds: float, share: float, _: Any) -> int:
        return await self._machines(seconds, round(share * self.rig.fleet.dispatchers), None)

    async def _zone(self, seconds: float, zone: str, _: Any) -> int:
        sites = {seat.site for seat in self.rig.seats if seat.zone == int(zone[1:])}
        return await self._cut_off(Cut(sites=tuple(sorted(sites))), seconds)

    async def _apart(self, seconds: float, many: int, *_: Any) -> int:
        lost = self.chance.sample(range(self.rig.fleet.regions), many)
        return await self._cut_off(Cut(regions=tuple(sorted(lost))), seconds)

    async def _cut_off(self, cut: Cut, seconds: float) -> int:
        """Silence first. Later connections are refused as well: a relay would keep every one that was begun
        in the silence and given up, and carry them all out at its end, which no network does."""
        quiet_s = min(REFUSED_AFTER_S, seconds)
        self.rig.cut(cut, True)
        await asyncio.sleep(quiet_s)
        self.rig.refuse(cut, True)
        await asyncio.sleep(seconds - quiet_s)
        self.rig.cut(cut, False)
        self.rig.refuse(cut, False)
        return sum(cut.holds(seat) for seat in self.rig.seats)

    async def _replica(self, seconds: float, _: Any) -> int:
        number = self.chance.randrange(self.rig.fleet.regions)
        lost = await self.rig.lose_replica(number, True)
        await asyncio.sleep(seconds)
        await self.rig.lose_replica(number, False)
        return lost

    async def _restart(self, seconds: float, _: Any) -> int:
        numbers = list(range(self.rig.fleet.dispatchers))
        moments = sorted((self.chance.uniform(0, seconds), number) for number in numbers)
        began = self.rig.now_us()
        for at, number in moments:
            await asyncio.sleep(max(0.0, at - (self.rig.now_us() - began) / S))
            self.rig.stop([number])
            self.rig.start([number])
        return len(numbers)

    async def _renew_log(self, seconds: float) -> int:
        self.rig.hold(True)
        await asyncio.sleep(QUIET_S)
        self.rig.renew()
        self.rig.hold(False)
        return self.rig.fleet.dispatchers

    async def _stall(self, seconds: float, _: Any) -> int:
        self.rig.stall(True)
        await asyncio.sleep(seconds)
        self.rig.stall(False)
        return 1
