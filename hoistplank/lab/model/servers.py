"""Cache hosts, parents and the origin: what they hold, how long they take, and how they fail.

An attempt or a fill comes as an `Ask`; its end is told by one call of `ask.end`. What a server never ends (it
hangs, its machine is gone, the answer is lost) is for the asker's own time-outs, as on a network.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from heapq import heapreplace

from hoistplank.interface import Note, Result
from hoistplank.lab.model.cache_storage import CachedCopy, CacheKey, CacheStorage
from hoistplank.lab.model.event_queue import EventQueue
from hoistplank.lab.model.links import Link, Transfer
from hoistplank.lab.model.objects import ObjectCatalog
from hoistplank.lab.model.rule_checker import RuleChecker
from hoistplank.lab.model.streams import RandomStream
from hoistplank.lab.model.world_settings import BOX, ORIGIN, PARENT, Shape

UP, SILENT, HUNG, DOWN = "up", "silent", "hung", "down"
End = Callable[[int, int, int], None]  # result, note, born
NEVER = -(1 << 60)
RENEW_FROM = 0.8  # of its fresh time: from here on a copy may be renewed behind its answer


class Ask:
    """An attempt, or a fill that a server asks of its source. Sizes in microseconds at full pace."""

    __slots__ = (
        "alive",
        "back",
        "end",
        "flows",
        "found",
        "group",
        "halves",
        "join",
        "keep",
        "key",
        "oldest_us",
        "place",
        "renew",
        "seat",
        "size_us",
        "source",
        "started",
        "class_index",
        "extra_links",
        "zone",
    )

    def __init__(
        self, seat: int, zone: int, class_index: int, place: CacheKey, group: int, size_us: float, end: End
    ) -> None:
        self.seat, self.zone, self.class_index, self.place, self.group = seat, zone, class_index, place, group
        self.size_us, self.end = size_us, end
        self.source, self.keep, self.oldest_us, self.key = "", 2, 0, ""
        self.join = self.renew = False
        self.alive, self.halves = True, 0
        self.found = (0, -1)  # note and birth of what a fill brought
        self.flows: list[tuple[Link, Transfer]] = []
        self.extra_links: list[Link] = []  # links beside the server's own that the answer takes
        self.started: Callable[[], None] | None = None  # told when the answer begins to flow
        self.back = 0  # how long the answer is under way

    def drop(self) -> None:
        """The asker has left: what flows for it stops."""
        self.alive = False
        for link, flow in self.flows:
            link.cancel(flow)


class Server:
    """What all three have in common: cores with a queue, a link out, phases, and faults that can be set on
    it.
    """

    kind = ""

    def __init__(self, world: Surroundings, uid: str, zone: str, cell: int, room: float, cores: int) -> None:
        self.world, self.agenda, self.shape = world, world.agenda, world.shape
        self.uid, self.zone, self.cell, self.room = uid, zone, cell, room
        self.link = Link(world.agenda, room, world.shape.thrash)
        self.chance: RandomStream = world.stream(f"server {uid}")
        self.free = [0] * cores
        self.phase, self.listed, self.life, self.started_us, self.pushed = UP, "up", 0, 0, NEVER
        self.slow, self.lossy, self.spoils, self.resets, self.turns_away = 1.0, 0.0, 0.0, 0.0, 0.0
        self.paused_until, self.linked = 0, set[int]()
        self.open: dict[Ask, None] = {}
        self.asked = self.refused = self.fell = 0

    # Faults and phases.

    def stop(self, phase: str = DOWN) -> None:
        """The process ends: what it has open breaks, what it kept is gone."""
        self.phase, self.life = phase, self.life + 1
        broken, self.open = list(self.open), {}
        self.linked.clear()
        for ask in broken:
            ask.drop()
            if phase == DOWN:
                self._told(ask, Result.BROKEN, 0, -1)

    def start(self) -> None:
        """A new process: cold, empty, told to the log by the world."""
        self.phase, self.life, self.started_us = UP, self.life + 1, self.agenda.now
        self.free = [self.agenda.now] * len(self.free)
        self.paused_until = 0
        self.world.truth.colds.host_started(self.agenda.now, self.uid, self.room)
        self._warm(self.life)

    def _warm(self, life: int) -> None:
        if life != self.life:
            return
        shape, age = self.shape, self.agenda.now - self.started_us
        warm = min(1.0, age / max(1, shape.cold_us))
        self.link.resize(share=(shape.cold_from + (1 - shape.cold_from) * warm) / self.slow)
        if warm < 1:
            self.agenda.schedule(self.agenda.now + 250_000, self._warm, life)

    def slowed(self, times: float) -> None:
        """All its work takes so many times as long; 1 ends it."""
        self.link.resize(share=self.link.capacity_share * self.slow / times)
        self.slow = times

    # Asks.

    def arrive(self, ask: Ask) -> None:
        now = self.agenda.now
        if self.phase == DOWN:
            return self._told(ask, Result.NO_CONNECTION, 0, -1)
        if self.phase == SILENT:
            if ask.seat not in self.linked and ask.seat >= 0:
                # A connection that is to be made anew is not up in time; over one that is, silence.
                self.agenda.schedule(now + 400_000, self._told, ask, Result.NO_CONNECTION, 0, -1)
            return
        self.linked.add(ask.seat)
        self.asked += 1
        if self._pushed_over(ask):
            return
        self.open[ask] = None
        if self.phase == HUNG:
            return
        begin = self.free[0]
        if begin < now:
            begin = now
        if begin < self.paused_until:
            begin = self.paused_until
        if begin - now > self.shape.queue_us or (self.turns_away and self.chance.uniform() < self.turns_away):
            self.refused += 1
            return self._finish(ask, Result.FULL, 0, -1)
        done = begin + int(self._work_us() * self.slow * (0.5 + 0.5 * self.chance.exponential()))
        heapreplace(self.free, done)
        self.agenda.schedule(done, self._worked, ask, self.life)

    def _work_us(self) -> float:
        return self.shape.work_us

    def _pushed_over(self, ask: Ask) -> bool:
        """Falls over when it is cold and asked for more than it can bear; only truth's own budget decides."""
        if self.uid not in self.world.truth.colds.warming:
            return False
        if ask.seat < 0 or not self.world.truth.colds.work_arrived(
            self.agenda.now, ask.seat, self.uid, self._costs(ask)
        ):
            return False
        if self.agenda.now - self.pushed < self.shape.tip_us:
            return False
        self.pushed, self.fell = self.agenda.now, self.fell + 1
        self._told(ask, Result.BROKEN, 0, -1)
        self.world.fell(self)
        return True

    def _costs(self, ask: Ask) -> float:
        row = self.shape.classes[ask.class_index]
        return 0.0 if row.uncached else row.kb / self.shape.flow_kb_s * 1e6

    def _worked(self, ask: Ask, life: int) -> None:
        if life != self.life or not ask.alive or self.phase == HUNG:
            return
        if self.paused_until > self.agenda.now:
            return self.agenda.schedule(self.paused_until, self._worked, ask, life)
        self.work(ask)

    def work(self, ask: Ask) -> None:
        raise NotImplementedError

    def send(self, ask: Ask, size_us: float, note: int, born: int) -> None:
        """Lets an answer flow out, over its extra links as well; the slowest decides."""
        if ask.started is not None:
            ask.started()
        links = [self.link, *ask.extra_links]
        ask.halves += len(links)
        for link in links:
            ask.flows.append((link, link.start(size_us, self._flowed, ask, note, born, self.life)))

    def _flowed(self, ask: Ask, note: int, born: int, life: int) -> None:
        ask.halves -= 1
        if ask.halves == 0 and ask.alive and life == self.life:
            if self.paused_until > self.agenda.now:
                return self.agenda.schedule(
                    self.paused_until, self._finish, ask, Result.SUCCEEDED, note, born
                )
            self._finish(ask, Result.SUCCEEDED, note, born)

    def _finish(self, ask: Ask, result: int, note: int, born: int) -> None:
        """The answer is whole here; on its way it may still be spoilt, cut off or lost."""
        if self.open.pop(ask, self) is self or not ask.alive:
            return  # its process has ended meanwhile, or the asker has left
        if self.phase == HUNG:
            return
        if self.resets and self.chance.uniform() < self.resets:
            return self._told(ask, Result.BROKEN, 0, -1)
        if self.lossy and self.chance.uniform() < self.lossy:
            return
        if result == Result.SUCCEEDED and self.spoils and self.chance.uniform() < self.spoils:
            return self._told(ask, Result.SPOILT, 0, -1)
        self._told(ask, result, note, born)

    def _told(self, ask: Ask, result: int, note: int, born: int) -> None:
        self.agenda.schedule(self.agenda.now + ask.back, ask.end, result, note, born)

    def left(self, ask: Ask) -> None:
        """The asker takes it back."""
        self.open.pop(ask, None)
        ask.drop()


class Origin(Server):
    """Holds everything; slows when crowded and stops when pushed over. Effects run here and nowhere else."""

    kind = ORIGIN

    def __init__(self, world: Surroundings, uid: str, zone: str, room: float, workers: int) -> None:
        super().__init__(world, uid, zone, 0, room, workers)
        self.came: deque[int] = deque()
        self.falls = 0

    def _work_us(self) -> float:
        shape = self.shape
        queued = max(0, self.free[0] - self.agenda.now)
        return shape.origin_us * (1 + shape.origin_crowd * min(1.0, queued / max(1, shape.origin_queue_us)))

    def _pushed_over(self, ask: Ask) -> bool:
        shape, now = self.shape, self.agenda.now
        came = self.came
        came.append(now)
        while came[0] <= now - shape.origin_fall_us:
            came.popleft()
        can = len(self.free) / shape.origin_us * shape.origin_fall_us
        if len(came) <= shape.origin_fall_multiple * can or self.falls >= 2:
            return False
        self.falls += 1
        came.clear()
        self._told(ask, Result.BROKEN, 0, -1)
        self.world.fell(self)
        return True

    def work(self, ask: Ask) -> None:
        row = self.shape.classes[ask.class_index]
        if row.uncached:
            self.world.truth.effects.run(self.agenda.now, ask.key, row.window_us)
        self.send(ask, ask.size_us, Note.FROM_ORIGIN, self.agenda.now)


class Fill:
    """One transfer from a source, and all that wait for it."""

    __slots__ = ("ask", "first", "floor", "flowing", "oldest_us", "source", "tries", "waiting")

    def __init__(self, first: Ask, source: str, floor: int, oldest_us: int) -> None:
        self.first, self.source, self.oldest_us = first, source, oldest_us
        self.floor = floor  # nothing that it brings is older
        self.waiting: list[tuple[Ask, int]] = []
        self.ask: Ask | None = None
        self.tries, self.flowing = 0, False


class Keeper(Server):
    """A cache host or a parent: answers from its keep, joins fills, fills from a source, renews behind."""

    def __init__(
        self, world: Surroundings, uid: str, zone: str, kind: str, cell: int, room: float, keep_kb: float
    ) -> None:
        super().__init__(world, uid, zone, cell, room, world.shape.cores)
        self.kind, self.keep = kind, CacheStorage(keep_kb)
        self.fills: dict[CacheKey, Fill] = {}
        self.filling = self.hits = self.filled = self.joined = 0
        # How long after a purge it drops its older copies: each in its own time.
        self.drops_after = int(world.shape.purge_takes_us * self.chance.uniform())

    def stop(self, phase: str = DOWN) -> None:
        super().stop(phase)
        self.keep.clear()
        for fill in self.fills.values():
            if fill.ask is not None:
                fill.ask.drop()
        self.fills, self.filling = {}, 0

    def work(self, ask: Ask) -> None:
        row = self.shape.classes[ask.class_index]
        if row.uncached:
            return self._pass_on(ask)
        copy = self.keep.peek(ask.place)
        if copy is not None and self._void(ask, copy):
            self.keep.remove(ask.place)
            copy = None
        if copy is not None:
            age = self.agenda.now - copy.created
            most = ask.oldest_us or row.fresh_us
            if not most or age <= most:
                self.hits += 1
                self.keep.touch(ask.place, ask.keep)
                if (
                    ask.renew
                    and row.fresh_us
                    and age > RENEW_FROM * row.fresh_us
                    and ask.place not in self.fills
                ):
                    self._fill(ask, ask.source, newer_than=age)
                old = row.fresh_us and age > row.fresh_us
                return self.send(ask, ask.size_us, Note.OLD if old else Note.HIT, copy.created)
        source = self._source_of(ask)
        if not source:
            under = ask.place in self.fills
            return self._finish(ask, Result.MISS, Note.JOINED if under else 0, -1)
        self._fill(ask, source)

    def _source_of(self, ask: Ask) -> str:
        if ask.source == self.uid:
            return ""
        return self.world.origin.uid if self.kind == PARENT else ask.source

    def _void(self, ask: Ask, copy: CachedCopy) -> bool:
        """Whether a purge has reached this copy here."""
        for what in (ask.place[0], ask.group):
            made = self.world.purged.get(what, -1)
            if copy.created < made and self.agenda.now >= made + self.drops_after:
                return True
        return False

    def _fill(self, ask: Ask, source: str, newer_than: int = 0) -> None:
        """A fill that the ask waits for; one that renews a copy of an age has nobody waiting."""
        under = self.fills.get(ask.place)
        joins = ask.join or self.kind == PARENT
        # Danger: a fill that began before a purge brings a copy older than the request may get.
        floor = self.agenda.now - ask.oldest_us if ask.oldest_us else NEVER
        if under is not None and joins and under.floor >= floor:
            self.joined += 1
            return self._wait(under, ask, Note.JOINED)
        if self.filling >= self.shape.fill_places:
            return self._finish(ask, Result.FULL, Note.NO_PLACE, -1)
        # Danger: a source whose copy is as old would renew nothing.
        fill = Fill(ask, source, floor, max(1, newer_than - 1) if newer_than else ask.oldest_us)
        self.filling += 1
        if under is None:
            self.fills[ask.place] = fill
        if not newer_than:
            self._wait(fill, ask, Note.FILLED)
        self._ask_source(fill)

    def _wait(self, fill: Fill, ask: Ask, note: int) -> None:
        fill.waiting.append((ask, note))
        ask.halves += 1
        if fill.flowing:
            self._flow(ask)

    def _flow(self, ask: Ask) -> None:
        """What comes in goes out at once: the answer's own way begins when the fill's bytes do."""
        if ask.alive and ask in self.open:
            if ask.started is not None:
                ask.started()
            for link in (self.link, *ask.extra_links):
                ask.halves += 1
                ask.flows.append((link, link.start(ask.size_us, self._half, ask, self.life)))

    def _half(self, ask: Ask, life: int) -> None:
        if life != self.life:
            return
        ask.halves -= 1
        if ask.halves == 0 and ask.alive:
            self._finish(ask, Result.SUCCEEDED, *ask.found)

    def _ask_source(self, fill: Fill) -> None:
        first, shape = fill.first, self.shape
        fill.tries += 1
        life = self.life

        def ended(result: int, note: int, born: int) -> None:
            self._came_back(fill, asked, life, result, note, born)

        def began() -> None:
            self.agenda.schedule(self.agenda.now + shape.far_us, self._began, fill, asked, life)

        asked = Ask(first.seat, first.zone, first.class_index, first.place, first.group, first.size_us, ended)
        asked.source, asked.oldest_us, asked.join = self.world.origin.uid, fill.oldest_us, True
        asked.back, asked.started, asked.keep = shape.far_us, began, 2
        if self.kind == BOX:
            asked.extra_links = [self.world.zone_links[first.zone]]
        fill.ask = asked
        source = self.world.servers.get(fill.source)
        if source is None:
            return ended(Result.NO_CONNECTION, 0, -1)
        if self.world.cut(self.zone, source.zone):
            return self.agenda.schedule(self.agenda.now + 400_000, ended, Result.NO_CONNECTION, 0, -1)
        self.agenda.schedule(self.agenda.now + shape.far_us, source.arrive, asked)
        self.agenda.schedule(self.agenda.now + shape.fill_timeout_us, self._overdue, fill, asked, life)

    def _began(self, fill: Fill, asked: Ask, life: int) -> None:
        if life == self.life and fill.ask is asked and asked.alive and not fill.flowing:
            fill.flowing = True
            for ask, _ in fill.waiting:
                self._flow(ask)

    def _overdue(self, fill: Fill, asked: Ask, life: int) -> None:
        if life == self.life and fill.ask is asked and not fill.flowing:
            asked.drop()
            self._came_back(fill, asked, life, Result.LATE, 0, -1)

    def _came_back(self, fill: Fill, asked: Ask, life: int, result: int, note: int, born: int) -> None:
        if life != self.life or fill.ask is not asked:
            return
        fill.ask = None
        wanted = any(ask.alive and ask in self.open for ask, _ in fill.waiting)
        again = wanted and not fill.flowing and fill.tries < self.shape.fill_tries
        if result != Result.SUCCEEDED and again:
            return self._ask_source(fill)
        self.filling -= 1
        if self.fills.get(fill.first.place) is fill:
            del self.fills[fill.first.place]
        if result == Result.SUCCEEDED:
            self.filled += 1
            first = fill.first
            self.keep.put(first.place, born, first.size_us * self.shape.flow_kb_s / 1e6, first.keep)
            for ask, kind in fill.waiting:
                ask.found = (note if kind == Note.FILLED and note == Note.FROM_ORIGIN else kind, born)
                self._half(ask, life)
            return
        why = {Result.FULL: Note.SOURCE_REFUSED, Result.MISS: Note.SOURCE_LACKS}.get(result, Note.SOURCE_LOST)
        if fill.source == self.world.origin.uid:
            why = Note.ORIGIN_LOST
        for ask, _ in fill.waiting:
            for link, flow in ask.flows:
                link.cancel(flow)
            self._finish(ask, Result.FULL if why == Note.SOURCE_REFUSED else Result.ERROR, why, -1)

    def _pass_on(self, ask: Ask) -> None:
        """A request that is never kept goes on to the origin; an answer that does not come is not asked for
        again.
        """
        origin, life = self.world.origin, self.life

        def ended(result: int, note: int, born: int) -> None:
            if life == self.life:
                lost = result not in (Result.SUCCEEDED, Result.FULL)
                self._finish(ask, Result.ERROR if lost else result, Note.ORIGIN_LOST if lost else 0, born)

        further = Ask(ask.seat, ask.zone, ask.class_index, ask.place, ask.group, ask.size_us, ended)
        further.key, further.back = ask.key, self.shape.far_us
        self.agenda.schedule(self.agenda.now + self.shape.far_us, origin.arrive, further)


class Surroundings:
    """What servers see of the world around them; the world is one."""

    agenda: EventQueue
    shape: Shape
    truth: RuleChecker
    library: ObjectCatalog
    servers: dict[str, Server]
    origin: Origin
    zone_links: list[Link]
    purged: dict[str | int, int]

    def stream(self, name: str) -> RandomStream:
        raise NotImplementedError

    def fell(self, server: Server) -> None:
        """A server was pushed over."""
        raise NotImplementedError

    def cut(self, one: str, other: str) -> bool:
        """Whether the path between two zones is cut."""
        raise NotImplementedError
