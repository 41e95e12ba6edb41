"""Simulated cache hosts and parents: they answer from storage, join fills and renew in the background."""

from __future__ import annotations

from typing import NamedTuple

from hoistplank.decision.events import CacheStatus, Outcome
from hoistplank.lab.model.cache_storage import CachedCopy, CacheKey, CacheStorage
from hoistplank.lab.model.server_request import ServerRequest
from hoistplank.lab.model.servers import DOWN, NEVER, Server, ServerEnvironment
from hoistplank.lab.model.world_settings import CACHE_HOST, PARENT

RENEW_AFTER_SHARE = 0.8  # of its fresh time: from here on a copy may be renewed behind its answer


CONNECT_TIMEOUT_US = 400_000
FILL_CACHE_RANK = 2  # of the copies that fills leave at their source
# What the requests that waited are answered with; SOURCE_UNREACHABLE for all other results of a fill.
FAILED_FILL_STATUS = {
    Outcome.OVERLOADED: CacheStatus.SOURCE_REFUSED,
    Outcome.MISS: CacheStatus.SOURCE_MISS,
}


class FillOutcome(NamedTuple):
    """How a source answered: an `Outcome`, a `CacheStatus`, and when the copy was created (us; -1: none)."""

    result: int
    note: int
    created: int


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
    """A cache host or a parent: answers from storage, joins fills, fills from a source, renews copies."""

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
        """End the process; copies and fills are gone with it."""
        super().stop(phase)
        self.storage.clear()
        for fill in self.fills.values():
            if fill.request is not None:
                fill.request.cancel()
        self.fills, self.active_fills = {}, 0

    def process(self, request: ServerRequest) -> None:
        """Answer from storage, or by a fill."""
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
        """Start or join a fill; `newer_than`: it renews a copy of this age (us), and nothing waits for it."""
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
        fill.attempts += 1
        incarnation = self.incarnation
        source_request = self._source_request(fill, incarnation)
        fill.request = source_request
        source = self.world.servers.get(fill.source)
        if source is None:
            source_request.on_complete(Outcome.CONNECT_FAILED, 0, -1)
            return
        now = self.events.now
        if self.world.is_cut(self.zone, source.zone):
            self.events.schedule(
                now + CONNECT_TIMEOUT_US, source_request.on_complete, Outcome.CONNECT_FAILED, 0, -1
            )
            return
        self.events.schedule(now + self.settings.hub_delay_us, source.arrive, source_request)
        self.events.schedule(
            now + self.settings.fill_timeout_us, self._fill_timed_out, fill, source_request, incarnation
        )

    def _source_request(self, fill: Fill, incarnation: int) -> ServerRequest:
        first, settings = fill.first, self.settings
        source_request: ServerRequest

        def ended(result: int, note: int, created: int) -> None:
            self._fill_ended(fill, source_request, incarnation, FillOutcome(result, note, created))

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
        source_request.source = self.world.origin.uid
        source_request.max_age_us = fill.max_age_us
        source_request.may_join = True
        source_request.return_delay_us = settings.hub_delay_us
        source_request.on_first_byte = began
        source_request.cache_rank = FILL_CACHE_RANK
        if self.kind == CACHE_HOST:
            source_request.extra_links = [self.world.zone_links[first.zone]]
        return source_request

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
            self._fill_ended(fill, source_request, incarnation, FillOutcome(Outcome.TIMED_OUT, 0, -1))

    def _fill_ended(
        self, fill: Fill, source_request: ServerRequest, incarnation: int, outcome: FillOutcome
    ) -> None:
        if incarnation != self.incarnation or fill.request is not source_request:
            return
        fill.request = None
        wanted = any(request.active and request in self.open_requests for request, _ in fill.waiting)
        may_retry = wanted and not fill.streaming and fill.attempts < self.settings.fill_attempts
        if outcome.result != Outcome.SUCCEEDED and may_retry:
            self._request_from_source(fill)
            return
        self.active_fills -= 1
        if self.fills.get(fill.first.cache_key) is fill:
            del self.fills[fill.first.cache_key]
        if outcome.result == Outcome.SUCCEEDED:
            self._complete_fill(fill, incarnation, outcome)
        else:
            self._fail_fill(fill, outcome.result)

    def _complete_fill(self, fill: Fill, incarnation: int, outcome: FillOutcome) -> None:
        """Store the copy, and complete the responses that waited for it."""
        self.completed_fills += 1
        first = fill.first
        size_kb = first.size_us * self.settings.transfer_kb_s / 1e6
        self.storage.put(first.cache_key, outcome.created, size_kb, first.cache_rank)
        for request, status in fill.waiting:
            from_origin = status == CacheStatus.FILLED and outcome.note == CacheStatus.FROM_ORIGIN
            request.fill_result = (outcome.note if from_origin else status, outcome.created)
            self._part_done(request, incarnation)

    def _fail_fill(self, fill: Fill, result: int) -> None:
        """End the requests that waited for the fill."""
        status = FAILED_FILL_STATUS.get(result, CacheStatus.SOURCE_UNREACHABLE)
        if fill.source == self.world.origin.uid:
            status = CacheStatus.ORIGIN_UNREACHABLE
        outcome = Outcome.OVERLOADED if status == CacheStatus.SOURCE_REFUSED else Outcome.ERROR
        for request, _ in fill.waiting:
            for link, flow in request.transfers:
                link.cancel(flow)
            self._finish(request, outcome, status, -1)

    def _forward_uncached(self, request: ServerRequest) -> None:
        """A request that is never kept goes on to the origin; an answer that does not come is not asked for
        again.
        """
        origin, incarnation = self.world.origin, self.incarnation

        def ended(result: int, _note: int, created: int) -> None:
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
