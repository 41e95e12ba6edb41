"""A world: servers, locations, change log, purges and clients under one clock, with all that can be done to
it.
"""

from __future__ import annotations

import gc
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from hoistplank.interface import HostEntry
from hoistplank.lab.model.clients import GONE, Clients, Request
from hoistplank.lab.model.event_queue import EventQueue
from hoistplank.lab.model.links import Link
from hoistplank.lab.model.objects import ObjectCatalog
from hoistplank.lab.model.rule_checker import RuleChecker
from hoistplank.lab.model.servers import DOWN, SILENT, UP, Keeper, Origin, Server, Surroundings
from hoistplank.lab.model.streams import RandomStream, RandomStreams
from hoistplank.lab.model.world_settings import BOX, HUB, PARENT, S, Shape

WATCHED = 48  # cache hosts whose load is kept by second
LOST_US = 2_200_000  # a change log that says nothing for so long counts as lost


class Seat(Protocol):
    """A dispatcher as the world knows it."""

    number: int
    zone: int
    alive: bool

    def listed(self, form: str, entries: list[HostEntry]) -> None:
        """The change log reaches it: kept, whole, changes or failed."""

    def purge(self, object_key: str, group: int, made: int) -> None:
        """So does a purge that was made at a time."""

    def take(self, request: Request) -> None:
        """A try of a request, over a connection that it accepts."""

    def leave(self, request: Request) -> None:
        """Its client has left."""

    def kill(self) -> None: ...

    def restart(self) -> None: ...

    def step_clock(self, step_us: int) -> None:
        """Its wall clock jumps; what it measures by its steady one goes on."""

    def freeze(self, length_us: int) -> None:
        """Its process stands still for so long, and goes on as if nothing were."""


class Paths(Protocol):
    """The paths between parties, in virtual time; on sockets the relays stand there themselves."""

    def send(self, name: str, back: bool, at: int, call: Callable[..., None], *args: Any) -> None:
        """`call(*args)` once something that is sent at a time has come through."""


class ChangeLog:
    """Tells each dispatcher of hosts and purges, late by chance but in order; may stop, skip and come
    back.
    """

    def __init__(self, world: World) -> None:
        self.world, self.chance = world, world.stream("change log")
        self.up, self.stopped_at, self.skipped = True, 0, False
        self.held: list[Callable[[Seat], None]] = []
        self.last: dict[int, int] = {}
        self.late = 1.0

    def tell(self, what: Callable[[Seat], None]) -> None:
        """Something that all are to hear; kept while the log is stopped."""
        if not self.up:
            self.held.append(what)
            return
        for seat in self.world.seats:
            self._send(seat, what)

    def _send(self, seat: Seat, what: Callable[[Seat], None]) -> None:
        low, high = self.world.shape.log_late_us
        now = self.world.agenda.now
        at = max(self.last.get(seat.number, 0), now + int(self.late * self.chance.between(low, high)))
        self.last[seat.number] = at
        if self.world.paths is None:
            self.world.agenda.schedule(at, self._reach, seat, what)
        else:
            self.world.agenda.schedule(at, self._over, seat, what)

    def _over(self, seat: Seat, what: Callable[[Seat], None]) -> None:
        assert self.world.paths is not None
        self.world.paths.send(f"d{seat.number}>log", True, self.world.agenda.now, self._reach, seat, what)

    def _reach(self, seat: Seat, what: Callable[[Seat], None]) -> None:
        if seat.alive:
            what(seat)

    def hosts(self, rows: list[HostEntry], form: str = "changes") -> None:
        def told(seat: Seat) -> None:
            self.world.tell_hosts(seat, form, rows)

        self.tell(told)

    def stop(self) -> None:
        if self.up:
            self.up, self.stopped_at = False, self.world.agenda.now
            self.world.agenda.schedule(self.stopped_at + LOST_US, self._lost, self.stopped_at)

    def _lost(self, stopped_at: int) -> None:
        if not self.up and self.stopped_at == stopped_at:
            for seat in self.world.seats:
                if seat.alive:
                    seat.listed("failed", [])

    def start(self, whole: bool = False) -> None:
        """It is back, with what it held, or with nothing but a whole list (a gap)."""
        self.up = True
        held, self.held = self.held, []
        if whole:
            return self.hosts(self.world.entries(), "whole")
        for what in held:
            self.tell(what)


class World(Surroundings):
    """`seats` are put in by the drive, in order of their numbers, before `begin`."""

    def __init__(self, shape: Shape, seed: int) -> None:
        self.agenda, self.shape, self.streams = EventQueue(), shape, RandomStreams(seed)
        self.truth, self.library = RuleChecker(shape), ObjectCatalog(shape, self.streams)
        self.purged: dict[str | int, int] = {}
        self.zone_links = [Link(self.agenda, shape.zone_link, shape.thrash) for _ in range(shape.zones)]
        self.origin = Origin(self, "origin", HUB, shape.origin_link, shape.origin_workers)
        self.caches = [
            Keeper(self, f"c{zone}-{n}", f"z{zone}", BOX, zone * 64 + n // 4, shape.link, shape.keep_kb)
            for zone in range(shape.zones)
            for n in range(shape.caches)
        ]
        self.parents = [
            Keeper(self, f"p{n}", HUB, PARENT, n, shape.parent_link, shape.parent_keep_kb)
            for n in range(shape.parents)
        ]
        self.servers: dict[str, Server] = {one.uid: one for one in (*self.caches, *self.parents, self.origin)}
        self.seats: list[Seat] = []
        self.front = Front(self)
        self.clients = Clients(self.agenda, shape, self.streams, self.library, self.front)
        self.log = ChangeLog(self)
        self.cuts: set[frozenset[str]] = set()
        self.paths: Paths | None = None
        self.happened: list[tuple[int, str]] = []
        # Who is watched for reports, and by second how full its link was.
        self.watched = [*self.caches[:WATCHED], *self.parents[:4], self.origin]
        self.loads: list[list[float]] = []
        self._carried = [0.0] * len(self.watched)

    def stream(self, name: str) -> RandomStream:
        return self.streams.stream(name)

    def note(self, what: str) -> None:
        """What was done to the world, for reports."""
        self.happened.append((self.agenda.now, what))

    # Hosts.

    def entries(self) -> list[HostEntry]:
        return [self.entry(one) for one in self.servers.values() if one.listed != "gone"]

    def entry(self, one: Server) -> HostEntry:
        return HostEntry(one.uid, one.zone, one.kind, one.cell, one.room, one.started_us, one.listed)

    def tell_hosts(self, seat: Seat, form: str, rows: list[HostEntry]) -> None:
        """A dispatcher hears of hosts; the checkers know of it before it does."""
        now = self.agenda.now
        for row in rows:
            self.truth.drains.dispatcher_notified(now, seat.number, row.host, row.state)
            if row.state == "up":
                self.truth.colds.dispatcher_notified(seat.number, row.host, row.started_us)
        if form in ("whole", "kept"):
            named = {row.host for row in rows}
            for uid in self.servers:
                if uid not in named:
                    self.truth.drains.dispatcher_notified(now, seat.number, uid, "gone")
        seat.listed(form, rows)

    def list_as(self, servers: list[Server], state: str) -> None:
        for one in servers:
            one.listed = state
        self.log.hosts([self.entry(one) for one in servers])

    def fell(self, server: Server) -> None:
        """Pushed over: its process is gone, and comes back by itself."""
        self.note(f"{server.uid} was pushed over")
        self.crash(server, self.shape.origin_down_us if server is self.origin else self.shape.down_us)

    def crash(self, server: Server, back_after: int, phase: str = DOWN, warm: bool = False) -> None:
        """Its process ends (or its machine is silent) and a new one starts later, cold unless it is the
        origin.
        """
        server.stop(phase)
        life = server.life
        self.agenda.schedule(
            self.agenda.now + back_after, self.back, server, life, warm or server is self.origin
        )

    def back(self, server: Server, life: int, warm: bool) -> None:
        if server.life != life:
            return
        if warm:
            server.phase, server.life = UP, server.life + 1
            server.free = [self.agenda.now] * len(server.free)
            return
        server.start()
        self.list_as([server], "up")

    def vanish(self, server: Server, length: int, noticed_after: int) -> None:
        """Its machine goes silent; the list says so late, if it is not back by then."""
        self.crash(server, length, SILENT)
        life = server.life

        def noticed() -> None:
            if server.life == life:
                self.list_as([server], "gone")

        self.agenda.schedule(self.agenda.now + noticed_after, noticed)

    def cut(self, one: str, other: str) -> bool:
        return bool(self.cuts) and frozenset((one, other)) in self.cuts

    # Purges.

    def purge(self, object_key: str, group: int) -> None:
        """Of an object, or with none of all objects of a group; told to all dispatchers."""
        made = self.agenda.now
        what: str | int = object_key or group
        self.purged[what] = made

        def told(seat: Seat) -> None:
            self.truth.purges.dispatcher_notified(self.agenda.now, seat.number, what, made)
            seat.purge(object_key, group if not object_key else 0, made)

        self.log.tell(told)

    # The day.

    def begin(self) -> None:
        for seat in self.seats:
            self.tell_hosts(seat, "kept", self.entries())
        self.clients.begin()
        self.agenda.schedule(S, self._sweep)

    def _sweep(self) -> None:
        row = []
        for n, one in enumerate(self.watched):
            carried = one.link.carried_us
            row.append((carried - self._carried[n]) / S / one.room)
            self._carried[n] = carried
        self.loads.append(row)
        self.truth.answers.sweep(self.agenda.now)
        if self.agenda.now < self.end_us() + 2 * S:
            self.agenda.schedule(self.agenda.now + S, self._sweep)

    def end_us(self) -> int:
        """When all that was asked for has ended one way or another."""
        longest = max(row.deadline_us for row in self.shape.classes)
        parts = max((row.parts - 1) * row.gap_us for row in self.shape.classes)
        return self.shape.last_us() + parts + longest + 2 * S

    def last_end_us(self) -> int:
        """When the last part of the last session has ended, however long each of its parts took."""
        return self.shape.last_us() + max(row.parts * row.deadline_us for row in self.shape.classes) + 2 * S

    def run(self) -> None:
        """The whole day at once: virtual time."""
        self.begin()
        # A day makes and drops millions of small objects with few cycles: the collector finds next to
        # nothing.
        collects = gc.isenabled()
        gc.disable()
        try:
            self.agenda.run_until(self.end_us())
            # Parts are asked one after another: a session whose parts each took long is still on its way.
            while self.clients.open and self.agenda.now < self.last_end_us():
                self.agenda.run_until(self.agenda.now + S // 10)
        finally:
            if collects:
                gc.enable()

    def crash_seat(self, seat: Seat, back_after: int) -> None:
        """A dispatcher's process is killed; its clients learn it at once, the front only later."""
        if not seat.alive:
            return
        self.truth.dispatcher_killed(seat.number)
        seat.kill()
        lost = [request for request in self.clients.open.values() if request.seat == seat.number]
        for request in lost:
            self.clients.answered(request.id, GONE)
        self.front.crashed(seat)

        def again() -> None:
            seat.restart()
            for what, made in self.purged.items():
                if self.agenda.now - made < self.shape.purge_takes_us:
                    object_key, group = (what, 0) if isinstance(what, str) else ("", what)
                    self.truth.purges.dispatcher_notified(self.agenda.now, seat.number, what, made)
                    seat.purge(object_key, group, made)
            self.tell_hosts(seat, "kept", self.entries())
            self.front.back(seat)

        self.agenda.schedule(self.agenda.now + back_after, again)


@dataclass(frozen=True, slots=True)
class Move:
    """From `since` on, spread over `spread` (us), this share of a location's clients asks in another one."""

    home: int
    to: int
    share: float
    since: int
    spread: int


class Front:
    """Spreads the requests of a location over its dispatchers; learns late that one is gone.

    `moves`: clients that go to another location's dispatchers, as addresses at clients do. `weights`: of a
    dispatcher against its siblings, where they are not all alike.
    """

    def __init__(self, world: World) -> None:
        self.world, self.chance = world, world.stream("front")
        self.moves: list[Move] = []
        self.weights: dict[int, float] = {}
        self._good: list[list[Seat]] = []

    def _seats(self, zone: int) -> list[Seat]:
        if not self._good:
            self._good = [[] for _ in range(self.world.shape.zones)]
            for seat in self.world.seats:
                self._good[seat.zone].append(seat)
        return self._good[zone]

    def deliver(self, request: Request) -> bool:
        seats = self._seats(self._zone_of(request) if self.moves else request.zone)
        if not seats:
            return False
        seat = self._weighed(seats) if self.weights else seats[self.chance.below(len(seats))]
        if not seat.alive:
            return False
        request.seat = seat.number
        # The deadline that a dispatcher is given is the traffic class's, less what earlier tries took.
        until = request.asked_at + self.world.shape.classes[request.class_index].deadline_us
        now, paths = self.world.agenda.now, self.world.paths
        self.world.truth.answers.accepted(now, seat.number, request.id, until)
        if self.world.clients.ear is not None:
            self.world.clients.ear.tried(now, request)
        if paths is None:
            seat.take(request)
        else:
            paths.send(f"clients>d{seat.number}", False, now, seat.take, request)
        return True

    def _zone_of(self, request: Request) -> int:
        session = request.session
        if session.lot < 0:
            session.lot = self.chance.uniform()
        now, below = self.world.agenda.now, 0.0
        for move in self.moves:
            if move.home != request.zone:
                continue
            # Each client by its own lot: the same ones go, one after the other over the spread.
            if below <= session.lot < below + move.share:
                late = (session.lot - below) / move.share * move.spread
                return move.to if now >= move.since + late else request.zone
            below += move.share
        return request.zone

    def _weighed(self, seats: list[Seat]) -> Seat:
        weights = [self.weights.get(seat.number, 1.0) for seat in seats]
        spot = self.chance.uniform() * sum(weights)
        for seat, weight in zip(seats, weights, strict=True):
            spot -= weight
            if spot < 0:
                return seat
        return seats[-1]

    def abandon(self, request: Request) -> None:
        self.world.truth.answers.client_left(self.world.agenda.now, request.id)
        if request.seat >= 0:
            self.world.seats[request.seat].leave(request)

    def crashed(self, seat: Seat) -> None:
        def noticed() -> None:
            if not seat.alive and seat in self._seats(seat.zone):
                self._seats(seat.zone).remove(seat)

        self.world.agenda.schedule(self.world.agenda.now + self.world.shape.notice_us, noticed)

    def back(self, seat: Seat) -> None:
        if seat not in self._seats(seat.zone):
            self._seats(seat.zone).append(seat)
