"""The base of all simulated servers: cores with a queue, a link, a process that starts and ends.

An attempt or a fill arrives as a `ServerRequest`; the server completes it by one call of `on_complete`. A
request that a server never completes (it hangs, its machine is gone, the response is lost) is left to the
sender's timeouts, as on a network.
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
        """End the process: its open requests fail; with the phase DOWN their senders are notified."""
        self.phase, self.incarnation = phase, self.incarnation + 1
        broken, self.open_requests = list(self.open_requests), {}
        self.connected_dispatchers.clear()
        for request in broken:
            request.cancel()
            if phase == DOWN:
                self._complete(request, Outcome.CONNECTION_LOST, 0, -1)

    def start(self) -> None:
        """Start a new, cold process; the world lists it in the change log."""
        self.phase, self.incarnation, self.started_us = UP, self.incarnation + 1, self.events.now
        self.core_free_at = [self.events.now] * len(self.core_free_at)
        self.paused_until = 0
        self.world.rules.colds.host_started(self.events.now, self.uid, self.capacity)
        self._update_warmth(self.incarnation)

    def _update_warmth(self, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        settings, age = self.settings, self.events.now - self.started_us
        warm_share = min(1.0, age / max(1, settings.warm_up_us))
        self.link.resize(
            share=(settings.cold_start_share + (1 - settings.cold_start_share) * warm_share) / self.slowdown
        )
        if warm_share < 1:
            self.events.schedule(self.events.now + 250_000, self._update_warmth, incarnation)

    def slow_down(self, times: float) -> None:
        """Make all work take `times` as long; 1 restores the normal speed."""
        self.link.resize(share=self.link.capacity_share * self.slowdown / times)
        self.slowdown = times

    def set_reset_share(self, share: float) -> None:
        """Reset the connection instead of this share of responses."""
        self.reset_share = share

    def set_corrupt_share(self, share: float) -> None:
        """Corrupt this share of responses."""
        self.corrupt_share = share

    def set_loss_share(self, share: float) -> None:
        """Never send this share of responses."""
        self.loss_share = share

    def set_reject_share(self, share: float) -> None:
        """Reject this share of requests though there is capacity."""
        self.reject_share = share

    # Requests.

    def arrive(self, request: ServerRequest) -> None:
        """Receive a request: queue it for a core, reject it, or leave it without a response."""
        now = self.events.now
        if self.phase == DOWN:
            self._complete(request, Outcome.CONNECT_FAILED, 0, -1)
            return
        if self.phase == SILENT:
            if request.dispatcher not in self.connected_dispatchers and request.dispatcher >= 0:
                # A new connection times out; a request over an existing one gets no response.
                self.events.schedule(now + 400_000, self._complete, request, Outcome.CONNECT_FAILED, 0, -1)
            return
        self.connected_dispatchers.add(request.dispatcher)
        self.received += 1
        if self._overloads(request):
            return
        self.open_requests[request] = None
        if self.phase == HUNG:
            return
        start_at = self.core_free_at[0]
        if start_at < now:
            start_at = now
        if start_at < self.paused_until:
            start_at = self.paused_until
        if start_at - now > self.settings.max_queue_us or (
            self.reject_share and self.random.uniform() < self.reject_share
        ):
            self.rejected += 1
            self._finish(request, Outcome.OVERLOADED, 0, -1)
            return
        done_at = start_at + int(self._work_us() * self.slowdown * (0.5 + 0.5 * self.random.exponential()))
        heapreplace(self.core_free_at, done_at)
        self.events.schedule(done_at, self._work_done, request, self.incarnation)

    def _work_us(self) -> float:
        return self.settings.work_us

    def _overloads(self, request: ServerRequest) -> bool:
        """Crash, and return True, if the host is cold and its budget in the rule checker is exceeded."""
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
        traffic_class = self.settings.classes[request.class_index]
        return 0.0 if traffic_class.uncached else traffic_class.kb / self.settings.transfer_kb_s * 1e6

    def _work_done(self, request: ServerRequest, incarnation: int) -> None:
        if incarnation != self.incarnation or not request.active or self.phase == HUNG:
            return
        if self.paused_until > self.events.now:
            self.events.schedule(self.paused_until, self._work_done, request, incarnation)
            return
        self.process(request)

    def process(self, request: ServerRequest) -> None:
        """Respond to a request whose CPU work is done; defined by each kind of server."""
        raise NotImplementedError

    def respond(self, request: ServerRequest, size_us: float, note: int, created: int) -> None:
        """Send a response over the server's link and the extra links; the slowest determines its end."""
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
        """Complete a request at the server; a fault may still corrupt, reset or lose the response."""
        if self.open_requests.pop(request, self) is self or not request.active:
            return  # the process has ended meanwhile, or the sender has left
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
        """Cancel a request that its sender no longer wants."""
        self.open_requests.pop(request, None)
        request.cancel()


class ServerEnvironment:
    """The part of the world that servers use."""

    events: EventQueue
    settings: WorldSettings
    rules: RuleChecker
    catalog: ObjectCatalog
    servers: dict[str, Server]
    origin: Server
    zone_links: list[Link]
    purge_times: dict[str | int, int]

    def stream(self, name: str) -> RandomStream:
        """Return a new random stream for a name."""
        raise NotImplementedError

    def server_overloaded(self, server: Server) -> None:
        """Handle the crash of an overloaded server."""
        raise NotImplementedError

    def is_cut(self, one: str, other: str) -> bool:
        """Return True if the path between two zones is cut."""
        raise NotImplementedError
