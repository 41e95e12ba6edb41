"""The router: takes events and returns actions.

Create a `Router` from its settings and a seed. Report each event by `handle`, which only updates the state.
Then call `next_action` until it returns None, and carry out the actions in order. Times are whole
microseconds of one clock, which the caller reads.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from hoistplank.decision.actions import (
    FILL_RETENTION,
    Action,
    CancelAttempt,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
)
from hoistplank.decision.events import (
    AttemptEnded,
    ClientDisconnected,
    DegradationChanged,
    Endpoint,
    EndpointsUpdated,
    EndpointWatchFailed,
    EndpointWatchStage,
    EndpointWatchStageChanged,
    Event,
    EventLoopMeasured,
    PurgeReceived,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from hoistplank.decision.feedback import Feedback
from hoistplank.decision.hosts import WARM
from hoistplank.decision.parts import DEFAULT_TYPES, Parts, PartTypes
from hoistplank.decision.placement import GIVE_UP, Placement, PlannedAttempt
from hoistplank.decision.purges import UNCHECKED_GRACE_SHARE
from hoistplank.decision.requests import Attempt, Request
from hoistplank.decision.settings import IDEMPOTENT, RouterSettings

# Held requests wait at most 20 ms too long. Without held requests, the timer only serves to find stalled
# attempts.
WAITING_TIMER_US = 20_000
IDLE_TIMER_US = 50_000
# The interval between two tries to place a held request grows with the number of held requests: the work of
# trying all of them on each event would grow with the square of their number.
MAX_RECHECK_INTERVAL_US = 50_000
RECHECK_INTERVAL_FACTOR_US = 10


class Router:
    """The decisions of one dispatcher: its open requests, the parts that decide, and the pending actions."""

    def __init__(self, settings: RouterSettings, seed: int, types: PartTypes = DEFAULT_TYPES) -> None:
        self.settings = settings
        self.rules = settings.rules
        self.parts = Parts(settings, Random(seed).random, types)
        self.placement = Placement(settings, self.parts)
        self.feedback = Feedback(settings, self.parts)
        self.requests: dict[str, Request] = {}  # not closed, or with an attempt in flight
        self.waiting: dict[str, Request] = {}
        self.in_flight: dict[Attempt, None] = {}
        self.actions: deque[Action] = deque()
        self.changed = False  # an event was reported since the last decisions
        self.watching = False
        # An attempt that begins within this time of its decision needs no second check for purges.
        self.unchecked_delay_us = settings.longest_deadline_us
        if settings.rules.purge_grace_us is not None:
            self.unchecked_delay_us = int(settings.rules.purge_grace_us * UNCHECKED_GRACE_SHARE)
        self.timer_id = 0
        self.timer_due_us = 0  # 0 while no timer is set
        self._handlers: dict[type, Callable[[int, Any], None]] = {
            RequestArrived: self._on_request_arrived,
            AttemptEnded: self._on_attempt_ended,
            TimerFired: self._on_timer_fired,
            ClientDisconnected: self._on_client_disconnected,
            ResponseStarted: self._on_response_started,
            EventLoopMeasured: self._on_event_loop_measured,
            PurgeReceived: self._on_purge_received,
            EndpointsUpdated: self._on_endpoints_updated,
            EndpointWatchFailed: self._on_endpoint_watch_failed,
            EndpointWatchStageChanged: self._on_endpoint_watch_stage_changed,
            DegradationChanged: self._on_degradation_changed,
        }

    def handle(self, now_us: int, event: Event) -> None:
        """Updates the state by an event; decides nothing."""
        self._handlers[type(event)](now_us, event)

    def permits_attempts(self, now_us: int) -> bool:
        """Returns True if the current endpoint list permits attempts; checked again at the first byte."""
        return self.parts.list_confirmation.permits_attempts(now_us)

    def hosts_to_connect(self, now_us: int) -> list[str]:
        """Returns the hosts to connect to while the list is not confirmed and still verifies connections."""
        return self.placement.hosts_to_connect(now_us)

    def permits_max_age(self, now_us: int, decided_us: int, request_id: str, max_age_us: int) -> bool:
        """Returns True if no purge since `decided_us` forbids an attempt that accepts copies of up to
        `max_age_us`, 0 for the fresh time of its class; checked again at the first byte."""
        if now_us - decided_us <= self.unchecked_delay_us:
            return True
        request = self.requests.get(request_id)
        if request is None or request.traffic_class.uncached:
            return True
        return self.parts.purges.permits_max_age(now_us, request, max_age_us)

    def next_action(self, now_us: int) -> Action | None:
        """Returns the next action, or None if there is none left."""
        if self.changed:
            self.changed = False
            self._decide(now_us)
        return self.actions.popleft() if self.actions else None

    # Events.

    def _on_endpoints_updated(self, now_us: int, event: EndpointsUpdated) -> None:
        self.changed = True
        self.placement.apply_list_form(event.form)
        for endpoint in event.endpoints:
            self._apply_endpoint(now_us, endpoint)
        self.parts.hosts.finish_update(event.form, event.endpoints)

    def _apply_endpoint(self, now_us: int, endpoint: Endpoint) -> None:
        host = self.parts.hosts.by_name.get(endpoint.host)
        if host is None:
            host = self.parts.hosts.register(now_us, endpoint.host, endpoint.kind, endpoint.zone)
            self.parts.host_limits.register(host)
        if host.describes_new_process(endpoint):
            host.begin_incarnation()
            self.parts.health.reset(host)
            # The warm-up of an old start time soon ends. A host without a start time counts as warm in the
            # first list, and as just started in a later one.
            unknown_start_us = now_us if self.parts.hosts.was_listed else WARM
            self.parts.slow_start.begin(host, endpoint.started_us or unknown_start_us)
        self.parts.hosts.describe(host, endpoint)
        self.parts.host_limits.apply_declared_link(host)

    def _on_endpoint_watch_failed(self, _now_us: int, _event: EndpointWatchFailed) -> None:
        self.changed = True
        self.watching = False

    def _on_endpoint_watch_stage_changed(self, now_us: int, event: EndpointWatchStageChanged) -> None:
        self.changed = True
        self.parts.list_confirmation.observe(now_us, event.stage, event.confirmed_us)
        if event.stage == EndpointWatchStage.CONFIRMED:
            self.parts.process_identity.list_confirmed()
        for request in self.waiting.values():
            request.next_placement_us = 0

    def _on_event_loop_measured(self, _now_us: int, event: EventLoopMeasured) -> None:
        self.parts.overload.measure(event)

    def _on_degradation_changed(self, _now_us: int, event: DegradationChanged) -> None:
        self.changed = True
        self.parts.apply_degradation(event.degradation)
        self.placement.apply_degradation(event.degradation)

    def _on_request_arrived(self, now_us: int, event: RequestArrived) -> None:
        class_state = self.parts.class_states[event.class_name]
        request = Request(
            id=event.request_id,
            class_state=class_state,
            traffic_class=class_state.traffic_class,
            object_key=event.object_key,
            part=event.part,
            purge_group=event.purge_group,
            deadline_us=event.deadline_us,
            is_repeat=event.is_repeat,
        )
        if event.size_kb > 0 and self.settings.stream_kb_per_s > 0:
            request.known_sending_time_us = event.size_kb / self.settings.stream_kb_per_s * 1e6
            class_state.record_sending_time(request.known_sending_time_us)
        self.parts.overload.set_latest_start(now_us, request)
        self.requests[request.id] = self.waiting[request.id] = request
        self.changed = True

    def _on_attempt_ended(self, now_us: int, event: AttemptEnded) -> None:
        request = self.requests.get(event.request_id)
        attempt = request.in_flight.pop(event.attempt, None) if request is not None else None
        if request is None or attempt is None:
            return
        self.changed = True
        del self.in_flight[attempt]
        self.feedback.record_end(now_us, attempt, event)
        if request.closed or event.request_closed:
            self._close(request)
            return
        self.parts.retries.record_failure(now_us, attempt, event)
        self.waiting[request.id] = request
        request.next_placement_us = 0

    def _on_response_started(self, _now_us: int, event: ResponseStarted) -> None:
        request = self.requests.get(event.request_id)
        attempt = request.in_flight.get(event.attempt) if request is not None else None
        if attempt is not None:
            attempt.is_uncancellable = True

    def _on_client_disconnected(self, _now_us: int, event: ClientDisconnected) -> None:
        self.changed = True
        request = self.requests.get(event.request_id)
        if request is not None:
            self._close(request)

    def _on_purge_received(self, now_us: int, event: PurgeReceived) -> None:
        self.parts.purges.receive(now_us, event.object_key, event.purge_group, event.age_us)

    def _on_timer_fired(self, _now_us: int, event: TimerFired) -> None:
        self.changed = True
        if event.timer_id == self.timer_id:
            self.timer_due_us = 0

    # Decisions.

    def _decide(self, now_us: int) -> None:
        """Makes all decisions that are due."""
        if self.rules.must_watch_endpoints and not self.watching:
            self.watching = True
            self.actions.append(WatchEndpoints())
        for attempt in self.parts.stalls.find_if_due(now_us, self.in_flight):
            self._cancel(attempt)
        if self.waiting:
            self._place_waiting(now_us)
        self._set_timer(now_us)

    def _place_waiting(self, now_us: int) -> None:
        """Tries to place the waiting requests that are due, those with the lowest cost per weight first."""
        recheck_interval_us = min(
            MAX_RECHECK_INTERVAL_US, RECHECK_INTERVAL_FACTOR_US * len(self.waiting) ** 2
        )
        due = [request for request in self.waiting.values() if request.next_placement_us <= now_us]
        due.sort(key=self.placement.cost_per_weight)
        for request in due:
            request.next_placement_us = now_us + recheck_interval_us
            if self._may_be_placeable(now_us, request):
                self._place(now_us, request)

    def _may_be_placeable(self, now_us: int, request: Request) -> bool:
        """Returns False if a request that missed must wait: no fill capacity, and its herd is unchanged."""
        herd = request.herd
        return (
            request.missed_host is None
            or now_us > request.latest_start_us
            or self.parts.fills.has_capacity(now_us)
            or herd is None
            or herd.leader is not None
            or herd.seen_us > request.missed_us
        )

    def _place(self, now_us: int, request: Request) -> None:
        placed = self.placement.place(now_us, request)
        if isinstance(placed, PlannedAttempt):
            self._send(now_us, request, placed)
        elif placed is GIVE_UP:
            reason = self.placement.end_reason(now_us, request)
            self.actions.append(self.parts.retries.final_answer(now_us, request, reason))
            self._close(request)

    def _set_timer(self, now_us: int) -> None:
        delay_us = WAITING_TIMER_US if self.waiting else IDLE_TIMER_US
        if self.requests and (not self.timer_due_us or self.timer_due_us > now_us + delay_us):
            self.timer_due_us = now_us + delay_us
            self.timer_id += 1
            self.actions.append(SetTimer(self.timer_id, delay_us))

    def _send(self, now_us: int, request: Request, planned: PlannedAttempt) -> None:
        host, source = planned.host, planned.source
        attempt = Attempt(
            request=request,
            number=request.attempts_made,
            host=host,
            source=source,
            sent_us=now_us,
            is_fill=planned.is_fill,
            answers_locally=planned.answers_locally or source is host,
        )
        start_by_us = self.parts.retries.start_by_us(request)
        self._record_start(now_us, attempt)
        self.actions.append(
            SendAttempt(
                request_id=request.id,
                attempt=attempt.number,
                host=host.name,
                source=source.name if source is not None else "",
                timeout_us=max(1, request.deadline_us - now_us),
                retention=FILL_RETENTION,
                max_age_us=self._max_age_us(now_us, request, planned),
                join_fill=planned.joins_fill,
                start_by_us=start_by_us,
                write_within_us=self.parts.retries.write_within_us(request),
            )
        )

    def _record_start(self, now_us: int, attempt: Attempt) -> None:
        """Records an attempt at its request and in all parts that count attempts."""
        request, host, source = attempt.request, attempt.host, attempt.source
        self.parts.retries.record_attempt(now_us, request, host)
        request.in_flight[attempt.number] = attempt
        request.attempts_made += 1
        request.last_host = host
        self.waiting.pop(request.id, None)
        self.in_flight[attempt] = None
        self.parts.host_limits.record_start(attempt)
        sending_time_us = request.class_state.sending_time_us
        self.parts.slow_start.record_attempt(now_us, host, sending_time_us)
        if source is not None and source is not host:
            self.parts.slow_start.record_attempt(now_us, source, sending_time_us)
        if attempt.is_fill:
            self.parts.fills.record_start(request.class_state)
            self.parts.herds.make_leader(attempt)

    def _max_age_us(self, now_us: int, request: Request, planned: PlannedAttempt) -> int:
        """Returns the maximum age of the copy.

        A stale copy is allowed only from a cache that does not fill, and no copy from before a purge.
        """
        wanted_us = 0
        if request.stale_allowed and planned.source is planned.host:
            wanted_us = request.traffic_class.fresh_us + request.traffic_class.stale_window_us
        return self.parts.purges.max_age_us(now_us, request, wanted_us)

    def _cancel(self, attempt: Attempt) -> None:
        """Cancels an attempt if cancelling is allowed and its request is idempotent."""
        request = attempt.request
        idempotent = request.traffic_class.semantics == IDEMPOTENT
        if self.rules.may_cancel and idempotent and not attempt.is_uncancellable:
            attempt.is_uncancellable = True
            self.actions.append(CancelAttempt(request.id, attempt.number))

    def _close(self, request: Request) -> None:
        """Closes a request that was answered or abandoned, and removes it once no attempt is in flight."""
        request.closed = True
        self.waiting.pop(request.id, None)
        if not request.in_flight:
            self.requests.pop(request.id, None)
