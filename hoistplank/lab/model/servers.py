"""What all simulated servers have in common: cores with a queue, a link, a process that starts and ends.

An attempt or a fill arrives as a `ServerRequest`; the server completes it by one call of `on_complete`. A
request that a server never completes (it hangs, its machine is gone, the answer is lost) is for the sender's
own time-outs, as on a network.
"""

from __future__ import annotations

from heapq import heapreplace

from hoistplank.decision.events import Outcome
from hoistplank.lab.model.event_queue import EventQueue
from hoistplank.lab.model.links import Link
from hoistplank.lab.model.objects import ObjectCatalog
from hoistplank.lab.model.rule_checker import RuleChecker
from hoistplank.lab.model.server_request import ServerRequest
from hoistplank.lab.model.streams import RandomStream
from hoistplank.lab.model.world_settings import WorldSettings

UP, SILENT, HUNG, DOWN = "up", "silent", "hung", "down"
NEVER = -(1 << 60)


class Server:
    """A server: cores with a queue, an outgoing link, a phase, and faults that can be set on it."""

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
        """Take a request in: queue it for a core, reject it, or leave it without an answer."""
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
        """Answer a request whose work is done; each kind of server has its own way."""
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
            self._complete(request, Outcome.CONNECTION_SPOILED, 0, -1)
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


class ServerEnvironment:
    """What servers see of the world around them; the world is one."""

    events: EventQueue
    settings: WorldSettings
    rules: RuleChecker
    catalog: ObjectCatalog
    servers: dict[str, Server]
    origin: Server
    zone_links: list[Link]
    purge_times: dict[str | int, int]

    def stream(self, name: str) -> RandomStream:
        """The random stream of that name."""
        raise NotImplementedError

    def server_overloaded(self, server: Server) -> None:
        """A server was pushed over."""
        raise NotImplementedError

    def is_cut(self, one: str, other: str) -> bool:
        """Whether the path between two zones is cut."""
        raise NotImplementedError
