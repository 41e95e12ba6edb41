"""Simulated cache hosts and parents: answer from storage, join fills and renew copies in the background."""

from __future__ import annotations

from typing import NamedTuple

from hoistplank.decision.events import CacheStatus, Outcome
from hoistplank.lab.model.cache_storage import CachedCopy, CacheKey, CacheStorage
from hoistplank.lab.model.server_request import ServerRequest
from hoistplank.lab.model.servers import DOWN, NEVER, Server, ServerEnvironment
from hoistplank.lab.model.world_settings import CACHE_HOST, PARENT

RENEW_AFTER_SHARE = 0.8  # of its fresh time, after which a hit may renew a copy in the background
CONNECT_TIMEOUT_US = 400_000
FILL_CACHE_RANK = 2  # of the copies that a fill stores at its source
# The status of requests that waited for a failed fill; SOURCE_UNREACHABLE for all other results.
FAILED_FILL_STATUS = {
    Outcome.OVERLOADED: CacheStatus.SOURCE_REFUSED,
    Outcome.MISS: CacheStatus.SOURCE_MISS,
}


class FillOutcome(NamedTuple):
    """A source's response: an `Outcome`, a `CacheStatus`, and when the copy was created (us; -1: no copy)."""

    result: int
    note: int
    created: int


class Fill:
    """A transfer of one object part from a source, and the requests that wait for it."""

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
        self.oldest_created = oldest_created  # earliest creation time of the copy that it brings (us)
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
        # The time after a purge until this server drops older copies; each server has its own.
        self.purge_delay_us = int(world.settings.purge_delay_us * self.random.uniform())

    def stop(self, phase: str = DOWN) -> None:
        """End the process; its copies and fills are lost."""
        super().stop(phase)
        self.storage.clear()
        for fill in self.fills.values():
            if fill.request is not None:
                fill.request.cancel()
        self.fills, self.active_fills = {}, 0

    def process(self, request: ServerRequest) -> None:
        """Answer from storage or by a fill; forward a request of an uncached class to the origin."""
        traffic_class = self.settings.classes[request.class_index]
        if traffic_class.uncached:
            self._forward_uncached(request)
            return
        copy = self.storage.peek(request.cache_key)
        if copy is not None and self._is_purged(request, copy):
            self.storage.remove(request.cache_key)
            copy = None
        if copy is not None:
            age = self.events.now - copy.created
            max_age_us = request.max_age_us or traffic_class.fresh_us
            if not max_age_us or age <= max_age_us:
                self.hits += 1
                self.storage.touch(request.cache_key, request.cache_rank)
                if (
                    request.may_renew
                    and traffic_class.fresh_us
                    and age > RENEW_AFTER_SHARE * traffic_class.fresh_us
                    and request.cache_key not in self.fills
                ):
                    self._fill(request, request.source, newer_than=age)
                is_stale = traffic_class.fresh_us and age > traffic_class.fresh_us
                self.respond(
                    request, request.size_us, CacheStatus.STALE if is_stale else CacheStatus.HIT, copy.created
                )
                return
        source = self._source_of(request)
        if not source:
            is_filling = request.cache_key in self.fills
            self._finish(request, Outcome.MISS, CacheStatus.JOINED if is_filling else 0, -1)
            return
        self._fill(request, source)

    def _source_of(self, request: ServerRequest) -> str:
        if request.source == self.uid:
            return ""
        return self.world.origin.uid if self.kind == PARENT else request.source

    def _is_purged(self, request: ServerRequest, copy: CachedCopy) -> bool:
        """True if a purge of the object or its group has taken effect here and the copy is older than it."""
        for purge_key in (request.cache_key[0], request.group):
            purged_at = self.world.purge_times.get(purge_key, -1)
            if copy.created < purged_at and self.events.now >= purged_at + self.purge_delay_us:
                return True
        return False

    def _fill(self, request: ServerRequest, source: str, newer_than: int = 0) -> None:
        """Start or join a fill; with `newer_than`, renew a copy of this age (us) while no request waits."""
        running_fill = self.fills.get(request.cache_key)
        joins = request.may_join or self.kind == PARENT
        # A fill that began before a purge may bring a copy older than the request accepts: it is not joined.
        oldest_created = self.events.now - request.max_age_us if request.max_age_us else NEVER
        if running_fill is not None and joins and running_fill.oldest_created >= oldest_created:
            self.joined_requests += 1
            self._add_waiter(running_fill, request, CacheStatus.JOINED)
            return
        if self.active_fills >= self.settings.max_fills:
            self._finish(request, Outcome.OVERLOADED, CacheStatus.NOT_STORED, -1)
            return
        # A source whose copy is as old as the stored one would renew nothing, so a younger copy is required.
        fill = Fill(
            request, source, oldest_created, max(1, newer_than - 1) if newer_than else request.max_age_us
        )
        self.active_fills += 1
        if running_fill is None:
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
        """Start sending the response as soon as the first bytes of the fill have arrived."""
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

        def on_complete(result: int, note: int, created: int) -> None:
            self._fill_ended(fill, source_request, incarnation, FillOutcome(result, note, created))

        def on_first_byte() -> None:
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
            on_complete,
        )
        source_request.source = self.world.origin.uid
        source_request.max_age_us = fill.max_age_us
        source_request.may_join = True
        source_request.return_delay_us = settings.hub_delay_us
        source_request.on_first_byte = on_first_byte
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
            for link, transfer in request.transfers:
                link.cancel(transfer)
            self._finish(request, outcome, status, -1)

    def _forward_uncached(self, request: ServerRequest) -> None:
        """Forward a request of an uncached class to the origin, without a retry if its response is lost."""
        origin, incarnation = self.world.origin, self.incarnation

        def on_complete(result: int, _note: int, created: int) -> None:
            if incarnation == self.incarnation:
                is_lost = result not in (Outcome.SUCCEEDED, Outcome.OVERLOADED)
                self._finish(
                    request,
                    Outcome.ERROR if is_lost else result,
                    CacheStatus.ORIGIN_UNREACHABLE if is_lost else 0,
                    created,
                )

        origin_request = ServerRequest(
            request.dispatcher,
            request.zone,
            request.class_index,
            request.cache_key,
            request.group,
            request.size_us,
            on_complete,
        )
        origin_request.idempotency_key, origin_request.return_delay_us = (
            request.idempotency_key,
            self.settings.hub_delay_us,
        )
        self.events.schedule(self.events.now + self.settings.hub_delay_us, origin.arrive, origin_request)
