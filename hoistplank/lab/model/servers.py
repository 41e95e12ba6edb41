"""Cache hosts, parents and the origin: what they hold, how long they take, and how they fail.

An attempt or a fill comes as an `Ask`; its end is told by one call of `ask.end`. What a server never ends (it
hangs, its machine is gone, the answer is lost) is for the asker's own time-outs, as on a network.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from heapq import heapreplace

from hoistplank.decision.events import CacheStatus, Outcome
from hoistplank.lab.model.cache_storage import CachedCopy, CacheKey, CacheStorage
from hoistplank.lab.model.event_queue import EventQueue
from hoistplank.lab.model.links import Link, Transfer
from hoistplank.lab.model.objects import ObjectCatalog
from hoistplank.lab.model.rule_checker import RuleChecker
from hoistplank.lab.model.streams import RandomStream
from hoistplank.lab.model.world_settings import CACHE_HOST, ORIGIN, PARENT, WorldSettings

UP, SILENT, HUNG, DOWN = "up", "silent", "hung", "down"
OnComplete = Callable[[int, int, int], None]  # result, note, born
NEVER = -(1 << 60)
RENEW_AFTER_SHARE = 0.8  # of its fresh time: from here on a copy may be renewed behind its answer


class ServerRequest:
    """An attempt, or a fill that a server asks of its source. Sizes in microseconds at full pace."""

    __slots__ = (
        "active",
        "cache_key",
        "cache_rank",
        "class_index",
        "dispatcher",
        "extra_links",
        "fill_result",
        "group",
        "idempotency_key",
        "max_age_us",
        "may_join",
        "may_renew",
        "on_complete",
        "on_first_byte",
        "pending_parts",
        "return_delay_us",
        "size_us",
        "source",
        "transfers",
        "zone",
    )

    def __init__(
        self,
        dispatcher: int,
        zone: int,
        class_index: int,
        cache_key: CacheKey,
        group: int,
        size_us: float,
        end: OnComplete,
    ) -> None:
        self.dispatcher, self.zone, self.class_index, self.cache_key, self.group = (
            dispatcher,
            zone,
            class_index,
            cache_key,
            group,
        )
        self.size_us, self.on_complete = size_us, end
        self.source, self.cache_rank, self.max_age_us, self.idempotency_key = "", 2, 0, ""
        self.may_join = self.may_renew = False
        self.active, self.pending_parts = True, 0
        self.fill_result = (0, -1)  # note and birth of what a fill brought
        self.transfers: list[tuple[Link, Transfer]] = []
        self.extra_links: list[Link] = []  # links beside the server's own that the answer takes
        self.on_first_byte: Callable[[], None] | None = None  # told when the answer begins to flow
        self.return_delay_us = 0  # how long the answer is under way

    def cancel(self) -> None:
        """The asker has left: what flows for it stops."""
        self.active = False
        for link, flow in self.transfers:
            link.cancel(flow)


class Server:
    """What all three have in common: cores with a queue, a link out, phases, and faults that can be set on
    it.
    """

    kind = ""

    def __init__(
        self, world: ServerEnvironment, uid: str, zone: str, cell: int, capacity: float, cores: int
    ) -> None:
        self.world, self.events, self.settings = world, world.events, world.settings
        self.uid, self.zone, self.cell, self.capacity = uid, zone, cell, capacity
        self.link = Link(world.events, capacity, world.settings.overload_loss)
        self.random: RandomStream = world.stream(f"server {uid}")
        self.core_free_at = [0] * cores
        self.phase, self.listed_state, self.incarnation, self.started_us, self.last_overload_at = (
            UP,
            "up",
            0,
            0,
            NEVER,
        )
        self.slowdown, self.loss_share, self.corrupt_share, self.reset_share, self.reject_share = (
            1.0,
            0.0,
            0.0,
            0.0,
            0.0,
        )
        self.paused_until, self.connected_dispatchers = 0, set[int]()
        self.open_requests: dict[ServerRequest, None] = {}
        self.received = self.rejected = self.overload_crashes = 0

    # Faults and phases.

    def stop(self, phase: str = DOWN) -> None:
        """The process ends: what it has open breaks, what it kept is gone."""
        self.phase, self.incarnation = phase, self.incarnation + 1
        broken, self.open_requests = list(self.open_requests), {}
        self.connected_dispatchers.clear()
        for request in broken:
            request.cancel()
            if phase == DOWN:
                self._complete(request, Outcome.CONNECTION_LOST, 0, -1)

    def start(self) -> None:
        """A new process: cold, empty, told to the log by the world."""
        self.phase, self.incarnation, self.started_us = UP, self.incarnation + 1, self.events.now
        self.core_free_at = [self.events.now] * len(self.core_free_at)
        self.paused_until = 0
        self.world.rules.colds.host_started(self.events.now, self.uid, self.capacity)
        self._update_warmth(self.incarnation)

    def _update_warmth(self, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        settings, age = self.settings, self.events.now - self.started_us
        warm = min(1.0, age / max(1, settings.warm_up_us))
        self.link.resize(
            share=(settings.cold_start_share + (1 - settings.cold_start_share) * warm) / self.slowdown
        )
        if warm < 1:
            self.events.schedule(self.events.now + 250_000, self._update_warmth, incarnation)

    def slow_down(self, times: float) -> None:
        """All its work takes so many times as long; 1 ends it."""
        self.link.resize(share=self.link.capacity_share * self.slowdown / times)
        self.slowdown = times

    def set_reset_share(self, share: float) -> None:
        """Cut this share of answers off with a reset."""
        self.reset_share = share

    def set_corrupt_share(self, share: float) -> None:
        """Corrupt this share of answers."""
        self.corrupt_share = share

    def set_loss_share(self, share: float) -> None:
        """Never send this share of answers."""
        self.loss_share = share

    def set_reject_share(self, share: float) -> None:
        """Reject this share of requests though there is capacity."""
        self.reject_share = share

    # Requests.

    def arrive(self, request: ServerRequest) -> None:
        now = self.events.now
        if self.phase == DOWN:
            self._complete(request, Outcome.CONNECT_FAILED, 0, -1)
            return
        if self.phase == SILENT:
            if request.dispatcher not in self.connected_dispatchers and request.dispatcher >= 0:
                # A connection that is to be made anew is not up in time; over one that is, silence.
                self.events.schedule(now + 400_000, self._complete, request, Outcome.CONNECT_FAILED, 0, -1)
            return
        self.connected_dispatchers.add(request.dispatcher)
        self.received += 1
        if self._overloads(request):
            return
        self.open_requests[request] = None
        if self.phase == HUNG:
            return
        begin = self.core_free_at[0]
        if begin < now:
            begin = now
        if begin < self.paused_until:
            begin = self.paused_until
        if begin - now > self.settings.max_queue_us or (
            self.reject_share and self.random.uniform() < self.reject_share
        ):
            self.rejected += 1
            self._finish(request, Outcome.OVERLOADED, 0, -1)
            return
        done = begin + int(self._work_us() * self.slowdown * (0.5 + 0.5 * self.random.exponential()))
        heapreplace(self.core_free_at, done)
        self.events.schedule(done, self._work_done, request, self.incarnation)

    def _work_us(self) -> float:
        return self.settings.work_us

    def _overloads(self, request: ServerRequest) -> bool:
        """Falls over when it is cold and asked for more than it can bear; only truth's own budget decides."""
        if self.uid not in self.world.rules.colds.warming:
            return False
        if request.dispatcher < 0 or not self.world.rules.colds.work_arrived(
            self.events.now, request.dispatcher, self.uid, self._transfer_us(request)
        ):
            return False
        if self.events.now - self.last_overload_at < self.settings.overload_window_us:
            return False
        self.last_overload_at, self.overload_crashes = self.events.now, self.overload_crashes + 1
        self._complete(request, Outcome.CONNECTION_LOST, 0, -1)
        self.world.server_overloaded(self)
        return True

    def _transfer_us(self, request: ServerRequest) -> float:
        row = self.settings.classes[request.class_index]
        return 0.0 if row.uncached else row.kb / self.settings.transfer_kb_s * 1e6

    def _work_done(self, request: ServerRequest, incarnation: int) -> None:
        if incarnation != self.incarnation or not request.active or self.phase == HUNG:
            return
        if self.paused_until > self.events.now:
            self.events.schedule(self.paused_until, self._work_done, request, incarnation)
            return
        self.process(request)

    def process(self, request: ServerRequest) -> None:
        raise NotImplementedError

    def respond(self, request: ServerRequest, size_us: float, note: int, created: int) -> None:
        """Lets an answer flow out, over its extra links as well; the slowest decides."""
        if request.on_first_byte is not None:
            request.on_first_byte()
        links = [self.link, *request.extra_links]
        request.pending_parts += len(links)
        for link in links:
            request.transfers.append(
                (link, link.start(size_us, self._transfer_done, request, note, created, self.incarnation))
            )

    def _transfer_done(self, request: ServerRequest, note: int, created: int, incarnation: int) -> None:
        request.pending_parts -= 1
        if request.pending_parts == 0 and request.active and incarnation == self.incarnation:
            if self.paused_until > self.events.now:
                self.events.schedule(
                    self.paused_until, self._finish, request, Outcome.SUCCEEDED, note, created
                )
                return
            self._finish(request, Outcome.SUCCEEDED, note, created)

    def _finish(self, request: ServerRequest, result: int, note: int, created: int) -> None:
        """The answer is whole here; on its way it may still be spoilt, cut off or lost."""
        if self.open_requests.pop(request, self) is self or not request.active:
            return  # its process has ended meanwhile, or the asker has left
        if self.phase == HUNG:
            return
        if self.reset_share and self.random.uniform() < self.reset_share:
            self._complete(request, Outcome.CONNECTION_LOST, 0, -1)
            return
        if self.loss_share and self.random.uniform() < self.loss_share:
            return
        if result == Outcome.SUCCEEDED and self.corrupt_share and self.random.uniform() < self.corrupt_share:
            self._complete(request, Outcome.CONNECTION_SPOILT, 0, -1)
            return
        self._complete(request, result, note, created)

    def _complete(self, request: ServerRequest, result: int, note: int, created: int) -> None:
        self.events.schedule(
            self.events.now + request.return_delay_us, request.on_complete, result, note, created
        )

    def cancel(self, request: ServerRequest) -> None:
        """The asker takes it back."""
        self.open_requests.pop(request, None)
        request.cancel()


class Origin(Server):
    """Holds everything; slows when crowded and stops when pushed over. Effects run here and nowhere else."""

    kind = ORIGIN

    def __init__(self, world: ServerEnvironment, uid: str, zone: str, capacity: float, workers: int) -> None:
        super().__init__(world, uid, zone, 0, capacity, workers)
        self.arrivals: deque[int] = deque()
        self.crashes = 0

    def _work_us(self) -> float:
        settings = self.settings
        queued = max(0, self.core_free_at[0] - self.events.now)
        return settings.origin_us * (
            1 + settings.origin_slowdown * min(1.0, queued / max(1, settings.origin_queue_us))
        )

    def _overloads(self, request: ServerRequest) -> bool:
        settings, now = self.settings, self.events.now
        came = self.arrivals
        came.append(now)
        while came[0] <= now - settings.origin_overload_window_us:
            came.popleft()
        can = len(self.core_free_at) / settings.origin_us * settings.origin_overload_window_us
        if len(came) <= settings.origin_overload_multiple * can or self.crashes >= 2:
            return False
        self.crashes += 1
        came.clear()
        self._complete(request, Outcome.CONNECTION_LOST, 0, -1)
        self.world.server_overloaded(self)
        return True

    def process(self, request: ServerRequest) -> None:
        row = self.settings.classes[request.class_index]
        if row.uncached:
            self.world.rules.effects.run(self.events.now, request.idempotency_key, row.window_us)
        self.respond(request, request.size_us, CacheStatus.FROM_ORIGIN, self.events.now)


class Fill:
    """One transfer from a source, and all that wait for it."""

    __slots__ = (
        "attempts",
        "first",
        "max_age_us",
        "oldest_created",
        "request",
        "source",
        "streaming",
        "waiting",
    )

    def __init__(self, first: ServerRequest, source: str, oldest_created: int, max_age_us: int) -> None:
        self.first, self.source, self.max_age_us = first, source, max_age_us
        self.oldest_created = oldest_created  # nothing that it brings is older
        self.waiting: list[tuple[ServerRequest, int]] = []
        self.request: ServerRequest | None = None
        self.attempts, self.streaming = 0, False


class CachingServer(Server):
    """A cache host or a parent: answers from its keep, joins fills, fills from a source, renews behind."""

    def __init__(
        self,
        world: ServerEnvironment,
        uid: str,
        zone: str,
        kind: str,
        cell: int,
        capacity: float,
        storage_kb: float,
    ) -> None:
        super().__init__(world, uid, zone, cell, capacity, world.settings.cores)
        self.kind, self.storage = kind, CacheStorage(storage_kb)
        self.fills: dict[CacheKey, Fill] = {}
        self.active_fills = self.hits = self.completed_fills = self.joined_requests = 0
        # How long after a purge it drops its older copies: each in its own time.
        self.purge_delay_us = int(world.settings.purge_delay_us * self.random.uniform())

    def stop(self, phase: str = DOWN) -> None:
        super().stop(phase)
        self.storage.clear()
        for fill in self.fills.values():
            if fill.request is not None:
                fill.request.cancel()
        self.fills, self.active_fills = {}, 0

    def process(self, request: ServerRequest) -> None:
        row = self.settings.classes[request.class_index]
        if row.uncached:
            self._forward_uncached(request)
            return
        copy = self.storage.peek(request.cache_key)
        if copy is not None and self._is_purged(request, copy):
            self.storage.remove(request.cache_key)
            copy = None
        if copy is not None:
            age = self.events.now - copy.created
            most = request.max_age_us or row.fresh_us
            if not most or age <= most:
                self.hits += 1
                self.storage.touch(request.cache_key, request.cache_rank)
                if (
                    request.may_renew
                    and row.fresh_us
                    and age > RENEW_AFTER_SHARE * row.fresh_us
                    and request.cache_key not in self.fills
                ):
                    self._fill(request, request.source, newer_than=age)
                old = row.fresh_us and age > row.fresh_us
                self.respond(
                    request, request.size_us, CacheStatus.STALE if old else CacheStatus.HIT, copy.created
                )
                return
        source = self._source_of(request)
        if not source:
            under = request.cache_key in self.fills
            self._finish(request, Outcome.MISS, CacheStatus.JOINED if under else 0, -1)
            return
        self._fill(request, source)

    def _source_of(self, request: ServerRequest) -> str:
        if request.source == self.uid:
            return ""
        return self.world.origin.uid if self.kind == PARENT else request.source

    def _is_purged(self, request: ServerRequest, copy: CachedCopy) -> bool:
        """Whether a purge has reached this copy here."""
        for what in (request.cache_key[0], request.group):
            made = self.world.purge_times.get(what, -1)
            if copy.created < made and self.events.now >= made + self.purge_delay_us:
                return True
        return False

    def _fill(self, request: ServerRequest, source: str, newer_than: int = 0) -> None:
        """A fill that the ask waits for; one that renews a copy of an age has nobody waiting."""
        under = self.fills.get(request.cache_key)
        joins = request.may_join or self.kind == PARENT
        # Danger: a fill that began before a purge brings a copy older than the request may get.
        oldest_created = self.events.now - request.max_age_us if request.max_age_us else NEVER
        if under is not None and joins and under.oldest_created >= oldest_created:
            self.joined_requests += 1
            self._add_waiter(under, request, CacheStatus.JOINED)
            return
        if self.active_fills >= self.settings.max_fills:
            self._finish(request, Outcome.OVERLOADED, CacheStatus.NOT_STORED, -1)
            return
        # Danger: a source whose copy is as old would renew nothing.
        fill = Fill(
            request, source, oldest_created, max(1, newer_than - 1) if newer_than else request.max_age_us
        )
        self.active_fills += 1
        if under is None:
            self.fills[request.cache_key] = fill
        if not newer_than:
            self._add_waiter(fill, request, CacheStatus.FILLED)
        self._request_from_source(fill)

    def _add_waiter(self, fill: Fill, request: ServerRequest, note: int) -> None:
        fill.waiting.append((request, note))
        request.pending_parts += 1
        if fill.streaming:
            self._start_streaming(request)

    def _start_streaming(self, request: ServerRequest) -> None:
        """What comes in goes out at once: the answer's own way begins when the fill's bytes do."""
        if request.active and request in self.open_requests:
            if request.on_first_byte is not None:
                request.on_first_byte()
            for link in (self.link, *request.extra_links):
                request.pending_parts += 1
                request.transfers.append(
                    (link, link.start(request.size_us, self._part_done, request, self.incarnation))
                )

    def _part_done(self, request: ServerRequest, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        request.pending_parts -= 1
        if request.pending_parts == 0 and request.active:
            self._finish(request, Outcome.SUCCEEDED, *request.fill_result)

    def _request_from_source(self, fill: Fill) -> None:
        first, settings = fill.first, self.settings
        fill.attempts += 1
        incarnation = self.incarnation

        def ended(result: int, note: int, created: int) -> None:
            self._fill_ended(fill, source_request, incarnation, result, note, created)

        def began() -> None:
            self.events.schedule(
                self.events.now + settings.hub_delay_us, self._source_began, fill, source_request, incarnation
            )

        source_request = ServerRequest(
            first.dispatcher,
            first.zone,
            first.class_index,
            first.cache_key,
            first.group,
            first.size_us,
            ended,
        )
        source_request.source, source_request.max_age_us, source_request.may_join = (
            self.world.origin.uid,
            fill.max_age_us,
            True,
        )
        source_request.return_delay_us, source_request.on_first_byte, source_request.cache_rank = (
            settings.hub_delay_us,
            began,
            2,
        )
        if self.kind == CACHE_HOST:
            source_request.extra_links = [self.world.zone_links[first.zone]]
        fill.request = source_request
        source = self.world.servers.get(fill.source)
        if source is None:
            ended(Outcome.CONNECT_FAILED, 0, -1)
            return
        if self.world.is_cut(self.zone, source.zone):
            self.events.schedule(self.events.now + 400_000, ended, Outcome.CONNECT_FAILED, 0, -1)
            return
        self.events.schedule(self.events.now + settings.hub_delay_us, source.arrive, source_request)
        self.events.schedule(
            self.events.now + settings.fill_timeout_us,
            self._fill_timed_out,
            fill,
            source_request,
            incarnation,
        )

    def _source_began(self, fill: Fill, source_request: ServerRequest, incarnation: int) -> None:
        if (
            incarnation == self.incarnation
            and fill.request is source_request
            and source_request.active
            and not fill.streaming
        ):
            fill.streaming = True
            for request, _ in fill.waiting:
                self._start_streaming(request)

    def _fill_timed_out(self, fill: Fill, source_request: ServerRequest, incarnation: int) -> None:
        if incarnation == self.incarnation and fill.request is source_request and not fill.streaming:
            source_request.cancel()
            self._fill_ended(fill, source_request, incarnation, Outcome.TIMED_OUT, 0, -1)

    def _fill_ended(
        self,
        fill: Fill,
        source_request: ServerRequest,
        incarnation: int,
        result: int,
        note: int,
        created: int,
    ) -> None:
        if incarnation != self.incarnation or fill.request is not source_request:
            return
        fill.request = None
        wanted = any(request.active and request in self.open_requests for request, _ in fill.waiting)
        again = wanted and not fill.streaming and fill.attempts < self.settings.fill_attempts
        if result != Outcome.SUCCEEDED and again:
            self._request_from_source(fill)
            return
        self.active_fills -= 1
        if self.fills.get(fill.first.cache_key) is fill:
            del self.fills[fill.first.cache_key]
        if result == Outcome.SUCCEEDED:
            self.completed_fills += 1
            first = fill.first
            self.storage.put(
                first.cache_key, created, first.size_us * self.settings.transfer_kb_s / 1e6, first.cache_rank
            )
            for request, kind in fill.waiting:
                request.fill_result = (
                    note if kind == CacheStatus.FILLED and note == CacheStatus.FROM_ORIGIN else kind,
                    created,
                )
                self._part_done(request, incarnation)
            return
        why = {Outcome.OVERLOADED: CacheStatus.SOURCE_REFUSED, Outcome.MISS: CacheStatus.SOURCE_LACKS}.get(
            result, CacheStatus.SOURCE_UNREACHABLE
        )
        if fill.source == self.world.origin.uid:
            why = CacheStatus.ORIGIN_UNREACHABLE
        for request, _ in fill.waiting:
            for link, flow in request.transfers:
                link.cancel(flow)
            self._finish(
                request, Outcome.OVERLOADED if why == CacheStatus.SOURCE_REFUSED else Outcome.ERROR, why, -1
            )

    def _forward_uncached(self, request: ServerRequest) -> None:
        """A request that is never kept goes on to the origin; an answer that does not come is not asked for
        again.
        """
        origin, incarnation = self.world.origin, self.incarnation

        def ended(result: int, note: int, created: int) -> None:
            if incarnation == self.incarnation:
                lost = result not in (Outcome.SUCCEEDED, Outcome.OVERLOADED)
                self._finish(
                    request,
                    Outcome.ERROR if lost else result,
                    CacheStatus.ORIGIN_UNREACHABLE if lost else 0,
                    created,
                )

        further = ServerRequest(
            request.dispatcher,
            request.zone,
            request.class_index,
            request.cache_key,
            request.group,
            request.size_us,
            ended,
        )
        further.idempotency_key, further.return_delay_us = request.idempotency_key, self.settings.hub_delay_us
        self.events.schedule(self.events.now + self.settings.hub_delay_us, origin.arrive, further)


class ServerEnvironment:
    """What servers see of the world around them; the world is one."""

    events: EventQueue
    settings: WorldSettings
    rules: RuleChecker
    catalog: ObjectCatalog
    servers: dict[str, Server]
    origin: Origin
    zone_links: list[Link]
    purge_times: dict[str | int, int]

    def stream(self, name: str) -> RandomStream:
        raise NotImplementedError

    def server_overloaded(self, server: Server) -> None:
        """A server was pushed over."""
        raise NotImplementedError

    def is_cut(self, one: str, other: str) -> bool:
        """Whether the path between two zones is cut."""
        raise NotImplementedError
