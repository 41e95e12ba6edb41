"""The virtual-time backend: the same Router and decision logic, with a clock that jumps between events."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from typing import Any

from hoistplank.decision.actions import Action, CancelAttempt, Fail, Reject, SendAttempt, SetTimer
from hoistplank.decision.events import (
    AttemptEnded,
    CacheStatus,
    ClientDisconnected,
    DegradationChanged,
    Endpoint,
    EndpointListForm,
    EndpointsUpdated,
    EndpointWatchFailed,
    EventLoopMeasured,
    Outcome,
    PurgeReceived,
    RequestArrived,
    TimerFired,
)
from hoistplank.decision.settings import Degradation
from hoistplank.degradation.observer import CompletedFill
from hoistplank.lab.backends.degradation_controller import DegradationController, DegradationPlan
from hoistplank.lab.backends.virtual_attempt import Attempt
from hoistplank.lab.baselines import PlainDispatcher
from hoistplank.lab.model.clients import FAILED, REJECTED, SERVED, Request
from hoistplank.lab.model.fault_injector import FaultInjector
from hoistplank.lab.model.faults import ScheduledFault
from hoistplank.lab.model.server_request import ServerRequest
from hoistplank.lab.model.world import World
from hoistplank.lab.model.world_settings import HUB, WorldSettings
from hoistplank.lab.policy import Policy, PolicyFactory
from hoistplank.routing.clock_offset import ClockOffset

CONNECT_TIMEOUT_US = 400_000


class VirtualDispatcher:
    """A simulated dispatcher process: each turn handles all queued events, then all actions."""

    def __init__(
        self, world: World, number: int, zone: int, make: PolicyFactory, plan: DegradationPlan | None = None
    ) -> None:
        self.world, self.number, self.zone, self.make_policy, self.plan = world, number, zone, make, plan
        self.events, self.zone_name = world.events, f"z{zone}"
        self.alive, self.runs, self.skew_us = True, 0, 0
        self.queue: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self.requests: dict[str, Request] = {}
        self.ended_requests: set[str] = set()
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.turn_scheduled, self.scheduled_at, self.next_turn = False, 0, 0
        self.frozen_until = 0
        self.clock = ClockOffset()
        self.shed_cost_us = 0  # CPU time of the requests shed since the last turn
        self.degradation: DegradationController | None = None
        self.degradation_runs: list[DegradationController] = []  # one for each run of the process
        self.policy = self._create_policy()

    def _create_policy(self) -> Policy:
        seed = (self.world.streams.seed * 1_000 + self.number) * 16 + self.runs
        policy = self.make_policy(self.world.settings.site(self.zone, self.number), seed, self.world)
        if self.plan is not None:
            # A restart loses the current level, as in a real dispatcher process.
            utility = {row.name: row.utility for row in self.world.settings.classes}
            self.degradation = DegradationController(self.plan, utility, self.events.now)
            self.degradation_runs.append(self.degradation)
            if not isinstance(policy, PlainDispatcher):
                policy.handle(self.events.now, DegradationChanged(self.plan.settings.base))
            self.events.schedule(
                self.events.now + self.plan.settings.evaluation_interval_us,
                self._evaluate_degradation,
                self.runs,
            )
        return policy

    # Events of the world.

    def enqueue(self, call: Callable[..., None], *args: Any) -> None:
        """Queues a call for the next turn of the dispatcher's event loop."""
        self.queue.append((call, args))
        if not self.turn_scheduled:
            self.turn_scheduled, self.scheduled_at = True, self.events.now
            self.events.schedule(max(self.events.now, self.next_turn), self._turn)

    def update_hosts(self, form: str, entries: list[Endpoint]) -> None:
        """Queues an update of the host list."""
        self.enqueue(self._handle_hosts, form, entries)

    def purge(self, object_key: str, group: int, made: int) -> None:
        """Queues a purge that was made at `made` (us)."""
        self.enqueue(self._handle_purge, object_key, group, made)

    def accept(self, request: Request) -> None:
        """Admits and queues a client's request, or sheds it at once."""
        degradation, now = self.degradation, self.events.now
        class_name = self.world.settings.classes[request.class_index].name
        if degradation is not None and not degradation.admits(
            now, class_name, len(self.requests) - len(self.ended_requests)
        ):
            # Shed before the router task sees it, so it costs only a share of an event.
            assert self.plan is not None
            self.shed_cost_us += int(self.world.settings.event_cpu_us * self.plan.shed_cost_share)
            self.world.rules.answers.answered(now, request.id)
            degradation.observer.record_response(now, class_name, in_target=False)
            wait = self.world.settings.dispatcher_settings(self.zone, self.number)["limits"][
                "max_retry_after"
            ]
            self.world.clients.answered(request.id, REJECTED, int(wait * 500_000))
            return
        self.enqueue(self._handle_arrival, request, request.id)

    def client_left(self, request: Request) -> None:
        """Queues the event that the client of a request has left."""
        self.enqueue(self._handle_client_left, request.id)

    def kill(self) -> None:
        """Ends the process with all its requests and attempts."""
        self.alive = False
        for attempt in self.attempts.values():
            attempt.is_finished = True
            attempt.cancel()
        self.queue, self.requests, self.ended_requests, self.attempts = [], {}, set(), {}

    def step_clock(self, step_us: int) -> None:
        """Steps its wall clock."""
        self.skew_us += step_us

    def freeze(self, length_us: int) -> None:
        """Stops all decisions for a time; connections stay open and receive.

        An attempt whose timeout passes meanwhile is cancelled at its host at once; a real process would
        cancel it when it resumes.
        """
        self.frozen_until = max(self.frozen_until, self.events.now + length_us)

    def restart(self) -> None:
        """Starts again with a new policy, without any state."""
        self.frozen_until, self.turn_scheduled = 0, False
        self.alive, self.runs, self.clock = True, self.runs + 1, ClockOffset()
        self.policy = self._create_policy()

    # A turn.

    def _turn(self) -> None:
        if self.frozen_until > self.events.now and self.alive:
            self.events.schedule(self.frozen_until, self._turn)
            return
        self.turn_scheduled = False
        if not self.alive:
            return
        now, settings = self.events.now, self.world.settings
        queue, self.queue = self.queue, []
        # The oldest event has waited for the previous turn, longer than a tick if that turn was expensive.
        lag = max(0, now - self.scheduled_at - settings.tick_us)
        self.policy.handle(now, EventLoopMeasured(len(queue), lag))
        if self.degradation is not None:
            self.degradation.observe_turn(now, lag, len(self.requests) - len(self.ended_requests), len(queue))
        for call, args in queue:
            call(now, *args)
        action_count = 0
        while (action := self.policy.next_action(now)) is not None:
            action_count += 1
            self._carry_out(now, action)
        self.next_turn = (
            now + settings.tick_us + settings.event_cpu_us * (len(queue) + action_count) + self.shed_cost_us
        )
        self.shed_cost_us = 0

    def _evaluate_degradation(self, runs: int) -> None:
        degradation, now = self.degradation, self.events.now
        if not self.alive or runs != self.runs or degradation is None or self.plan is None:
            return
        reduced = degradation.evaluate(now)
        if reduced is not None and not isinstance(self.policy, PlainDispatcher):
            self.enqueue(self._handle_degradation, reduced)
        self.events.schedule(
            now + self.plan.settings.evaluation_interval_us, self._evaluate_degradation, runs
        )

    def _carry_out(self, now: int, action: Action) -> None:
        if isinstance(action, SendAttempt):
            self._send_attempt(now, action)
        elif isinstance(action, SetTimer):
            self.events.schedule(now + action.delay_us, self._timer_fired, action.timer_id, self.runs)
        elif isinstance(action, Reject):
            self._answer(now, action.request_id, REJECTED, action.retry_after_us)
        elif isinstance(action, Fail):
            self._answer(now, action.request_id, FAILED)
        elif isinstance(action, CancelAttempt):
            attempt = self.attempts.get((action.request_id, action.attempt))
            if attempt is not None and not attempt.is_finished:
                attempt.cancel()
                attempt.end(Outcome.CANCELLED, 0, -1)

    def _handle_degradation(self, now: int, degradation: Degradation) -> None:
        self.policy.handle(now, DegradationChanged(degradation))

    def _answer(self, now: int, request_id: str, how: str, wait_us: int = 0, note: int = 0) -> None:
        request = self.requests.get(request_id)
        if self.degradation is not None and request is not None:
            row = self.world.settings.classes[request.class_index]
            target = min(row.target_us + row.target_stretch * request.size_us, row.deadline_us)
            in_target = how == SERVED and now - request.asked_at <= target
            self.degradation.observer.record_response(now, row.name, in_target=in_target)
        self.ended_requests.add(request_id)
        self.world.rules.answers.answered(now, request_id)
        if self.world.paths is None:
            self.world.clients.answered(request_id, how, wait_us, note)
        else:
            answered = self.world.clients.answered
            self.world.paths.send(
                f"clients>d{self.number}", True, now, answered, request_id, how, wait_us, note
            )
        self._forget(request_id)

    def _forget(self, request_id: str) -> None:
        if request_id in self.ended_requests and not any((request_id, n) in self.attempts for n in range(8)):
            self.requests.pop(request_id, None)
            self.ended_requests.discard(request_id)

    def _timer_fired(self, token: int, runs: int) -> None:
        if self.alive and runs == self.runs:
            self.enqueue(self._handle_timer, token)

    def _handle_timer(self, now: int, token: int) -> None:
        self.policy.handle(now, TimerFired(token))

    def _handle_hosts(self, now: int, form: str, entries: list[Endpoint]) -> None:
        if form == "failed":
            self.policy.handle(now, EndpointWatchFailed())
        else:
            self.policy.handle(now, EndpointsUpdated(EndpointListForm(form), entries))

    def _handle_purge(self, now: int, object_key: str, group: int, made: int) -> None:
        if self.degradation is not None:
            self.degradation.observer.record_purge(now, object_key, group)
        # As in a real dispatcher: received by its own clock, which may be off, and made by the log's clock.
        received_us = now + self.skew_us
        age_us = max(0, received_us - self.clock.to_local_us(received_us, made))
        self.policy.handle(now, PurgeReceived(object_key, group, age_us))

    def _handle_arrival(self, now: int, request: Request, request_id: str) -> None:
        self.requests[request_id] = request
        row = self.world.settings.classes[request.class_index]
        until = request.asked_at + row.deadline_us
        arrived = RequestArrived(
            request_id=request_id,
            class_name=row.name,
            object_key=request.object_key,
            part=request.part,
            purge_group=request.group,
            size_kb=0.0,
            deadline_us=until,
            is_repeat=request.tries > 1,
        )
        self.policy.handle(now, arrived)

    def _handle_client_left(self, now: int, request_id: str) -> None:
        if request_id in self.requests and request_id not in self.ended_requests:
            self.ended_requests.add(request_id)
            self.policy.handle(now, ClientDisconnected(request_id))
            self._forget(request_id)

    # Attempts.

    def _send_attempt(self, now: int, action: SendAttempt) -> None:
        request, world = self.requests.get(action.request_id), self.world
        if request is None:
            return
        attempt = Attempt(self, request, action, now)
        self.attempts[action.request_id, action.attempt] = attempt
        drains = world.rules.drains
        drains.attempt(now, self.number, action.host, "host")
        if action.source and action.source != action.host:
            drains.attempt(now, self.number, action.source, "source")
        server = attempt.server = world.servers[action.host]
        delay_us = world.settings.hub_delay_us if server.zone == HUB else world.settings.zone_delay_us
        self.events.schedule(now + action.timeout_us, attempt.timed_out)
        if world.is_cut(self.zone_name, server.zone):
            self.events.schedule(now + CONNECT_TIMEOUT_US, attempt.end, Outcome.CONNECT_FAILED, 0, -1)
            return
        server_request = attempt.server_request = self._server_request(attempt, delay_us)
        if server.zone == HUB:
            server_request.extra_links = [world.zone_links[self.zone]]
        if world.paths is None:
            self.events.schedule(now + delay_us, server.arrive, server_request)
        else:
            world.paths.send(
                f"d{self.number}>{server.uid}", False, now + delay_us, server.arrive, server_request
            )

    def _server_request(self, attempt: Attempt, return_delay_us: int) -> ServerRequest:
        request, action = attempt.request, attempt.action
        server_request = ServerRequest(
            self.number,
            self.zone,
            request.class_index,
            (request.object_key, request.part),
            request.group,
            request.size_us,
            attempt.answered,
        )
        server_request.source = action.source
        server_request.cache_rank = action.retention
        server_request.max_age_us = action.max_age_us
        server_request.may_join = action.join_fill
        server_request.idempotency_key = request.key
        server_request.return_delay_us = return_delay_us
        return server_request

    def attempt_ended(
        self, now: int, attempt: Attempt, result: int, note: int, created: int, at: int
    ) -> None:
        """Passes an attempt's outcome on to the policy, the client and the checkers."""
        request_id = attempt.action.request_id
        self.attempts.pop((request_id, attempt.action.attempt), None)
        request = attempt.request
        if result == Outcome.SUCCEEDED and request_id not in self.ended_requests:
            if not self.world.settings.classes[request.class_index].uncached:
                self.world.rules.purges.served(
                    now, self.number, request_id, request.object_key, request.group, attempt.sent_at, created
                )
            self._answer(now, request_id, SERVED, note=note)
        took = at - attempt.sent_at
        action, degradation = attempt.action, self.degradation
        filled = note in (CacheStatus.FILLED, CacheStatus.FROM_ORIGIN) and action.source != action.host
        if degradation is not None and filled:
            row = self.world.settings.classes[request.class_index]
            target = min(row.target_us + row.target_stretch * request.size_us, row.deadline_us)
            slowed = took / (request.size_us + 100_000)
            degradation.observer.record_fill(
                now, CompletedFill(action.source, request.object_key, request.group, took <= target, slowed)
            )
        closed = request_id in self.ended_requests or request_id not in self.requests
        self.policy.handle(now, AttemptEnded(request_id, action.attempt, result, closed, took, note, []))
        self._forget(request_id)


def build_world(
    settings: WorldSettings,
    seed: int,
    make: PolicyFactory,
    faults: list[ScheduledFault] | None = None,
    plan: DegradationPlan | None = None,
) -> World:
    """Returns a world with all its dispatchers and the faults of its day, ready for `run`.

    `plan` configures degradation and admission control of each dispatcher; without it there is neither.
    """
    world = World(settings, seed)
    FaultInjector(world, faults or []).begin()
    for number in range(settings.zones * settings.dispatchers):
        world.dispatchers.append(VirtualDispatcher(world, number, number % settings.zones, make, plan))
    return world


def digest(world: World) -> str:
    """Returns a digest of a day's results: utility by second, outcomes, server and rule counts, latencies.

    Runs with the same seed have the same digest.
    """
    utility = world.clients.utility
    rows = [
        repr([round(value, 6) for value in utility.asked]),
        repr([round(value, 6) for value in utility.earned]),
        repr(sorted(utility.outcomes.items())),
        repr([(one.uid, one.received, one.rejected, one.overload_crashes) for one in world.servers.values()]),
        repr(sorted(world.rules.counts.items())),
        repr([list(times) for times in utility.latencies_us]),
        repr(world.events.executed),
    ]
    return hashlib.blake2b("\n".join(rows).encode(), digest_size=16).hexdigest()
