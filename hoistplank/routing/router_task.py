"""The task that owns the Router: passes queued events to it and executes the actions that it decides."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Any

from hoistplank.decision import events as decision_events
from hoistplank.decision.actions import CancelAttempt, Fail, Reject, SendAttempt, SetTimer, WatchEndpoints
from hoistplank.decision.events import CacheStatus, EventLoopMeasured, Outcome
from hoistplank.decision.router import Router
from hoistplank.decision.settings import RouterSettings
from hoistplank.degradation.observer import SignalObserver
from hoistplank.protocol.cachewire import Answer
from hoistplank.routing.attempt_ending import AttemptEnding
from hoistplank.routing.attempt_message import attempt_message
from hoistplank.routing.attempts import Attempt, AttemptEnded, Request
from hoistplank.routing.class_admission import ClassAdmission
from hoistplank.routing.clock import Clock
from hoistplank.routing.endpoint_registry import EndpointRegistry
from hoistplank.routing.event_queue import EventQueue
from hoistplank.routing.events import (
    AttemptTimedOut,
    Checkpoint,
    ClientDisconnected,
    DegradationChanged,
    DrainDeadlineReached,
    DrainStarted,
    EndpointsUpdated,
    EndpointWatchFailed,
    EndpointWatchStageChanged,
    Event,
    PurgeReceived,
    RequestArrived,
    TimerFired,
)
from hoistplank.routing.request_counts import RequestCounts
from hoistplank.routing.request_log import RequestLog
from hoistplank.routing.request_table import RequestTable
from hoistplank.routing.signal_feed import SignalFeed
from hoistplank.routing.standstill import StandstillDetector
from hoistplank.transport.pool import Pool
from hoistplank.transport.transmission import UndeliveredReason

MAX_TICK_S = 0.002
UNLIMITED_OPEN_REQUESTS = 1 << 30  # if the settings set no cap
# An attempt that starts later after its decision than the connect timeout plus this margin is decided again.
START_DELAY_MARGIN_US = 100_000
LAG_DECAY_DIVISOR = 8  # the lag falls by this fraction of itself a turn, unless the loop is that late again

AttemptObserver = Callable[[Attempt, AttemptEnding], None]


class RouterTask:
    """Owns the Router. All changes to the Router's state go through this task's queue, by `submit`.

    `max_open` caps the open requests (0: no cap); `load_report_fields` names the values of a load report in
    their order. `pool` is set after the pool is created.
    """

    def __init__(
        self,
        settings: RouterSettings,
        seed: int,
        clock: Clock,
        max_open: int,
        load_report_fields: tuple[str, ...],
    ) -> None:
        self.settings, self.clock, self.load_report_fields = settings, clock, load_report_fields
        self.router = Router(settings, seed)
        self.requests = RequestTable()
        self.endpoints = EndpointRegistry(self._retire_connections, clock.to_local_start)
        self.admission = ClassAdmission(settings, max_open or UNLIMITED_OPEN_REQUESTS, clock.now())
        self.counts = RequestCounts()
        self.request_log = RequestLog(settings, clock)
        self.pool: Pool | None = None
        self.queue = EventQueue({row.name: row.priority_weight for row in settings.traffic_classes})
        self.lag_us = 0  # lateness of the event loop, decaying
        self.tick_s = min(MAX_TICK_S, settings.tick_us / 1e6)
        self.retry_after_us = settings.rules.max_retry_after_us // 2 * settings.rules.may_send_retry_after
        self.max_start_delay_us = settings.rules.connect_timeout_us + START_DELAY_MARGIN_US
        self.drain_deadline_us = 0  # upper limit of deadlines during a drain; 0 before it
        self.standstills = StandstillDetector()
        self.attempt_observer: AttemptObserver | None = None  # called when an attempt ends
        # Called before each turn; returns an endpoint list for the Router if the current one has gone stale.
        self.before_turn: Callable[[int], EndpointsUpdated | None] | None = None
        self.signals: SignalFeed | None = None  # if degradation levels are in use
        self._wake: asyncio.Event = asyncio.Event()
        self._event_handlers = self._make_event_handlers()
        self._action_handlers = self._make_action_handlers()

    def _make_event_handlers(self) -> dict[type, Callable[[int, Any], None]]:
        return {
            RequestArrived: self._on_request_arrived,
            ClientDisconnected: self._on_client_disconnected,
            AttemptTimedOut: self._on_attempt_timed_out,
            AttemptEnded: self._on_attempt_ended,
            TimerFired: self._forward_to_router,
            EndpointsUpdated: self._on_endpoints_updated,
            EndpointWatchFailed: self._forward_to_router,
            EndpointWatchStageChanged: self._forward_to_router,
            PurgeReceived: self._on_purge_received,
            DegradationChanged: self._forward_to_router,
            DrainStarted: self._on_drain_started,
            DrainDeadlineReached: self._on_drain_deadline_reached,
            Checkpoint: self._on_checkpoint,
        }

    def _make_action_handlers(self) -> dict[type, Callable[[int, Any], None]]:
        return {
            SendAttempt: self._send_attempt,
            Reject: self._reject,
            Fail: self._fail,
            CancelAttempt: self._cancel_attempt,
            SetTimer: self._set_timer,
            WatchEndpoints: self._watch_endpoints,
        }

    def submit(self, event: Event) -> None:
        """Queues an event for the next turn; nothing else changes the Router's state."""
        self.queue.append(event)
        self._wake.set()

    def observe_signals(self, observer: SignalObserver) -> None:
        """Reports the signals for the degradation levels to `observer` from now on."""
        self.signals = SignalFeed(observer, self.settings, self.load_report_fields)

    def admits(self, class_name: str, *, is_authorized: bool = False) -> bool:
        """Returns whether the core has capacity for another request of a traffic class.

        An unknown class is treated like the one with the largest priority weight. A request that is not
        admitted is counted here as shed, and the caller must reject it at once. `is_authorized` says that an
        authorizer has admitted it.
        """
        if self.admission.admits(class_name, self.requests.open_count, is_authorized=is_authorized):
            return True
        self.counts.rejected += 1
        self.counts.shed += 1
        if self.signals is not None:
            self.signals.request_shed(self.clock.now(), class_name)
        return False

    async def run(self) -> None:
        """Processes events until the task is cancelled; an exception of the Router propagates."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            self.turn()
            slept_us = self.clock.now()
            # Events of one tick are handled together, which saves turns and combines writes into one call.
            await asyncio.sleep(self.tick_s)
            lag_us = self.clock.now() - slept_us - int(self.tick_s * 1e6)
            self.lag_us = max(lag_us, self.lag_us - self.lag_us // LAG_DECAY_DIVISOR)

    def turn(self) -> None:
        """Passes all queued events to the Router and executes the actions that it decides."""
        self.standstills.check()
        now = self.clock.now()
        if self.before_turn is not None and (stale_list := self.before_turn(now)) is not None:
            self._on_endpoints_updated(now, stale_list)
        self._measure_loop(now)
        is_late = self.lag_us > self.admission.controller.settings.target_lag_us
        for event in self.queue.take(is_late=is_late):
            self._event_handlers[type(event)](now, event)
        while (action := self.router.next_action(now)) is not None:
            self._action_handlers[type(action)](now, action)

    def _measure_loop(self, now: int) -> None:
        waiting, open_count = len(self.queue), self.requests.open_count
        self.router.handle(now, EventLoopMeasured(waiting, self.lag_us))
        controller = self.admission.controller
        controller.observe(now, self.lag_us, open_count, waiting)
        if self.signals is not None:
            self.signals.loop_measured(now, self.lag_us, open_count / max(1.0, controller.limit))

    # Requests.

    def _on_request_arrived(self, now: int, event: RequestArrived) -> None:
        request = event.request
        if request.is_closed:
            return
        if not self.requests.add(request):
            # The id is in use by a request that is open or has attempts in flight, whose endings would be
            # attributed to the new request. The new one fails; the existing one is not affected.
            request.is_closed = True
            request.response.fail()
            return
        deadline_us = request.deadline_us
        if self.drain_deadline_us:
            deadline_us = min(deadline_us, self.drain_deadline_us)
        self.router.handle(now, request.arrival(deadline_us))

    def _on_client_disconnected(self, now: int, event: ClientDisconnected) -> None:
        request = event.request
        if not self.requests.contains(request):
            # While the loop is late, this event is processed before the request's arrival. If it were counted
            # as closed without having been opened, the open count would fall below the number of open
            # requests, and a graceful shutdown would wait for it to reach zero in vain.
            request.is_closed = True
        elif not request.is_closed:
            self.counts.client_left += 1
            self._close(request)
            self.router.handle(now, decision_events.ClientDisconnected(request.id))

    def _close(self, request: Request, served_us: int = -1) -> None:
        """Closes a request; `served_us` is the time from receipt to answer, -1 if it was not served."""
        if self.signals is not None:
            self.signals.request_closed(self.clock.now(), request, served_us)
        self.requests.close(request)

    # Attempts.

    def _on_attempt_timed_out(self, now: int, event: AttemptTimedOut) -> None:
        attempt = event.attempt
        if attempt.is_finished:
            return
        if attempt.end is not None:
            # Its own end is in the queue behind this event, and counts.
            self.counts.crossed_by_ending[attempt.end.ending] += 1
            return
        end = attempt.withdraw(AttemptEnding.TIMED_OUT, UndeliveredReason.CONNECT_TIMED_OUT)
        self._on_attempt_ended(now, AttemptEnded(attempt, end))

    def _on_attempt_ended(self, now: int, event: AttemptEnded) -> None:
        attempt, (ending, answer) = event.attempt, (event.end.ending, event.end.answer)
        if attempt.is_finished:
            return
        attempt.mark_finished()
        self.counts.attempts_by_ending[ending] += 1
        if self.attempt_observer is not None:
            self.attempt_observer(attempt, ending)
        request = attempt.request
        outcome = event.end.outcome
        if outcome != Outcome.SUCCEEDED:
            request.unsuccessful.append(attempt.record(now, ending))
        took_us = (attempt.ended_us or now) - attempt.started_us
        # The time that an answer was unread because the loop was late must not count against its host.
        took_us -= min(self.lag_us, took_us // 2)
        if outcome == Outcome.SUCCEEDED and answer is not None and not request.is_closed:
            self._succeed(now, request, answer, unchanged=ending is AttemptEnding.NOT_MODIFIED)
        load_report, cache_status = list[float](), CacheStatus.UNKNOWN
        if answer is not None:
            cache_status = answer.cache_status()
            if self.settings.load_reports_in_answers:
                load_report = answer.load_report(self.load_report_fields)
            if self.signals is not None:
                self.signals.answer_received(now, attempt, cache_status, took_us, load_report)
        ended = decision_events.AttemptEnded(
            request_id=request.id,
            attempt=attempt.number,
            outcome=outcome,
            request_closed=request.is_closed,
            took_us=took_us,
            cache_status=cache_status,
            load_report=load_report,
        )
        self.router.handle(now, ended)
        self.requests.remove_if_finished(request)

    def _succeed(self, now: int, request: Request, answer: Answer, *, unchanged: bool) -> None:
        if self.settings.stream_kb_per_s > 0:
            request.sending_us = len(answer.body) / self.settings.stream_kb_per_s * 1_000
        self._close(request, now - request.received_us)
        self.counts.succeeded += 1
        request.response.succeed(answer.body, unchanged=unchanged)

    # Timers, endpoints, purges, degradation, drain.

    def _forward_to_router(
        self,
        now: int,
        event: TimerFired | DegradationChanged | EndpointWatchFailed | EndpointWatchStageChanged,
    ) -> None:
        self.router.handle(now, event)

    def _on_endpoints_updated(self, now: int, event: EndpointsUpdated) -> None:
        endpoints = self.endpoints.update(event.form, event.targets)
        self.router.handle(now, decision_events.EndpointsUpdated(event.form, endpoints))

    def _retire_connections(self, host: str) -> None:
        if self.pool is not None:
            self.pool.drain(host)

    def permits(self, now: int, attempt: Attempt) -> bool:
        """Returns whether the endpoint list still permits an attempt, with copies of the age that was
        decided; called at its first byte."""
        router = self.router
        return router.permits_attempts(now) and router.permits_max_age(
            now, attempt.decided_us, attempt.id, attempt.max_age_us
        )

    def _on_purge_received(self, now: int, event: PurgeReceived) -> None:
        age_us = max(0, now - event.made_us)
        self.router.handle(now, decision_events.PurgeReceived(event.object_key, event.purge_group, age_us))
        if self.signals is not None:
            self.signals.purge_received(now, event.object_key, event.purge_group)

    def _on_drain_started(self, _now: int, event: DrainStarted) -> None:
        self.drain_deadline_us = event.deadline_us

    def _on_drain_deadline_reached(self, now: int, _event: DrainDeadlineReached) -> None:
        for request in self.requests.open_requests():
            self._close(request)
            self.counts.failed += 1
            request.response.fail()
            self.request_log.failed_by_shutdown(request)
            self.router.handle(now, decision_events.ClientDisconnected(request.id))

    def _on_checkpoint(self, _now: int, event: Checkpoint) -> None:
        event.callback()

    # Actions of the Router.

    def _send_attempt(self, now: int, action: SendAttempt) -> None:
        request = self.requests.by_id[action.request_id]
        attempt = Attempt(self, request, action, now, partial(attempt_message, request, action))
        self.request_log.sent_again(request, attempt)
        request.attempts[attempt.number] = attempt
        self.counts.attempts += 1
        loop = asyncio.get_running_loop()
        attempt.timer = loop.call_later(action.timeout_us / 1e6, self.submit, AttemptTimedOut(attempt))
        registered = self.endpoints.by_host.get(action.host)
        if self.pool is not None and registered is not None:
            attempt.connection = self.pool.send(action.host, registered.address, attempt)
        if attempt.connection is None:
            attempt.report(attempt.withdraw(AttemptEnding.CANCELLED, UndeliveredReason.NOT_STARTED))

    def _reject(self, _now: int, action: Reject) -> None:
        request = self.requests.by_id[action.request_id]
        self._close(request)
        self.counts.count_rejection(action)
        request.response.reject(action.retry_after_us)
        self.request_log.given_up(request, action)

    def _fail(self, _now: int, action: Fail) -> None:
        request = self.requests.by_id[action.request_id]
        self._close(request)
        self.counts.count_failure(action)
        request.response.fail()
        self.request_log.given_up(request, action)

    def _cancel_attempt(self, _now: int, action: CancelAttempt) -> None:
        request = self.requests.by_id.get(action.request_id)
        attempt = request.attempts.get(action.attempt) if request else None
        if attempt is not None and attempt.end is None:
            attempt.report(attempt.withdraw(AttemptEnding.CANCELLED, UndeliveredReason.NOT_STARTED))

    def _set_timer(self, _now: int, action: SetTimer) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(action.delay_us / 1e6, self.submit, TimerFired(action.timer_id))

    def _watch_endpoints(self, now: int, action: WatchEndpoints) -> None:
        """Does nothing: the change log is always followed, and reconnects are automatic."""
