"""Hollow dispatchers: all that control does at a dispatcher, and no requests.

Each has the program's own `RouterTask` task with its `Router`, and follows its source by the program's own
`EndpointWatcher` and parser; what a hollow one lacks is the listener, the pool and their sweep. Without
requests a real dispatcher has no connection to a cache host either: the pool opens them on demand, and the
`Router` asks for no probe. That the rest costs the same is measured by `hollow_pairing`.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

from hoistplank.decision.settings import RouterSettings
from hoistplank.protocol.changelog import Event as LogEvent
from hoistplank.protocol.changelog import Snapshot
from hoistplank.routing.clock import Clock
from hoistplank.routing.endpoint_watcher import EndpointWatcher
from hoistplank.routing.events import EndpointsUpdated, Event
from hoistplank.routing.router_task import RouterTask

OPEN_CAP = 100
BeforeTurn = Callable[[int], EndpointsUpdated | None]


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """How far a follower has come: the epoch of its source, and the number of the last event within it."""

    epoch: int
    number: int


class HollowOwner(Protocol):
    """Who is told what the source says: the owner, or what a broken build puts before it."""

    clock: Clock
    before_turn: BeforeTurn | None

    def submit(self, event: Event) -> None: ...


class Follower(Protocol):
    """Follows a source of control events for one dispatcher, until it is cancelled."""

    def position(self) -> Position:
        """Up to where all that the source told has been handed to the hearer."""

    def configured(self) -> Position:
        """Where the source hands on configurations: which one was taken up last."""

    def reconnects(self) -> int:
        """Connections to the source that were lost."""

    async def run(self) -> None: ...


@dataclass(frozen=True, slots=True)
class Source:
    """Who a dispatcher is, where it follows, and what it is started with. `life` rises with each start of it;
    `epoch`: the source's at the start."""

    name: str
    region: str
    life: int
    addresses: list[tuple[str, int]]
    known: Snapshot
    epoch: int
    chance: Random
    grace_s: float


FollowerFactory = Callable[[HollowOwner, Source], Follower]


class LogFollower:
    """Follows the change log by the program's own `EndpointWatcher`."""

    def __init__(self, hearer: HollowOwner, source: Source) -> None:
        self._epoch, self._heard = source.epoch, source.known.seq
        self.endpoint_watcher = EndpointWatcher(
            hearer, source.addresses[0], source.known, source.chance, source.grace_s
        )
        self.endpoint_watcher.observer = self

    def event_received(self, event: LogEvent) -> LogEvent:
        """Told each event before the owner: the listing lets a number come again only from a log that
        counts anew."""
        if event.seq <= self._heard:
            self._epoch += 1
        self._heard = event.seq
        return event

    def confirmed_current(self) -> None:
        """The log told its number: nothing is newer."""

    def position(self) -> Position:
        return Position(self._epoch, self._heard)

    def configured(self) -> Position:
        return Position(0, 0)

    def reconnects(self) -> int:
        return self.endpoint_watcher.rate_limited_log.counts.get("change log lost", 0)

    async def run(self) -> None:
        await self.endpoint_watcher.run()


class ReportingOwner(RouterTask):
    """The program's owner; `applied` is called after each turn, with all that was told carried out."""

    def __init__(self, site: RouterSettings, seed: int, clock: Clock, applied: Callable[[], None]) -> None:
        super().__init__(site, seed, clock, OPEN_CAP, ())
        self.applied = applied

    def turn(self) -> None:
        super().turn()
        self.applied()


Acknowledge = Callable[["HollowDispatcher", Position, int], None]


class HollowDispatcher:
    """One dispatcher without requests. `acknowledge` hears of each new position in force, with the moment
    (monotonic, us). Each start makes everything anew, as a new process would."""

    def __init__(self, number: int, name: str, site: RouterSettings, acknowledge: Acknowledge) -> None:
        self.number, self.name, self.site = number, name, site
        self.acknowledge = acknowledge
        self.owner: ReportingOwner | None = None
        self.follower: Follower | None = None
        self.in_force = Position(0, 0)
        self.lives = 0
        self.audited = Position(0, 0)  # up to where the rig has looked into its Router
        self.lost_before = 0  # connections that earlier lives have lost
        self._parts: list[asyncio.Task[None]] = []
        self._ending: list[asyncio.Task[None]] = []  # of earlier lives

    @property
    def running(self) -> bool:
        return bool(self._parts)

    @property
    def reconnects(self) -> int:
        return self.lost_before + (self.follower.reconnects() if self.follower is not None else 0)

    def start(self, factory: FollowerFactory, source: Source) -> None:
        self.in_force = Position(0, 0)
        self.owner = self.make_owner(source.chance.getrandbits(32))
        self.follower = factory(self.hearer(), source)
        self._parts = [
            asyncio.create_task(self.owner.run(), name=f"{self.name} owner"),
            asyncio.create_task(self.follower.run(), name=f"{self.name} follower"),
        ]

    def make_owner(self, seed: int) -> ReportingOwner:
        return ReportingOwner(self.site, seed, Clock(), self.applied)

    def hearer(self) -> HollowOwner:
        assert self.owner is not None
        return self.owner

    def applied(self) -> None:
        """All that was handed over by now is in force."""
        if self.follower is None:
            return
        position = self.follower.position()
        if position != self.in_force:
            self.in_force = position
            self.acknowledge(self, position, time.monotonic_ns() // 1_000)

    def stop(self) -> None:
        """Ends this life at once. Danger: in a process that is busy its tasks take some turns to end, and
        whoever waited for them would hold up all that is told meanwhile; `ended` waits."""
        for part in self._parts:
            part.cancel()
        self._ending = [part for part in self._ending if not part.done()] + self._parts
        self._parts = []
        self.lost_before = self.reconnects
        self.owner = self.follower = None

    async def ended(self) -> None:
        """Until the tasks of all earlier lives are over."""
        await asyncio.gather(*self._ending, return_exceptions=True)
