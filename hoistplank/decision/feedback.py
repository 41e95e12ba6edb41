"""Updates the parts of the router from the end of an attempt."""

from __future__ import annotations

from hoistplank.decision.events import FETCHED, AttemptEnded, CacheStatus, Outcome
from hoistplank.decision.hosts import CACHE, PARENT, Host
from hoistplank.decision.parts import Parts
from hoistplank.decision.requests import Attempt
from hoistplank.decision.settings import RouterSettings

# The outcomes that the cache host itself reported.
ANSWERED = frozenset((Outcome.SUCCEEDED, Outcome.ERROR, Outcome.OVERLOADED, Outcome.MISS))
# The outcomes of a fill that measure the duration of fills: success, and the ways in which a late fill ends.
TIMED_FILL_OUTCOMES = frozenset((Outcome.SUCCEEDED, Outcome.TIMED_OUT, Outcome.CANCELLED))

CONNECT_MARGIN_US = 50_000
# Weights of the signs of a lost process: a failed connection attempt is a clear sign, a connection that
# breaks may be chance.
CONNECT_FAILED_SIGNS = 2
CONNECTION_LOST_SIGNS = 1
SOURCE_UNREACHABLE_SIGNS = 2


class Feedback:
    """Reports each end of an attempt to the parts that depend on it."""

    def __init__(self, settings: RouterSettings, parts: Parts) -> None:
        self.connect_timeout_us = settings.rules.connect_timeout_us
        self.cache_status_complete = settings.cache_status_complete
        self.health = parts.health
        self.slow_start = parts.slow_start
        self.host_limits = parts.host_limits
        self.fills = parts.fills
        self.herds = parts.herds
        self.sources = parts.sources
        self.stalls = parts.stalls

    def record_end(self, now_us: int, attempt: Attempt, event: AttemptEnded) -> None:
        """Records the end of an attempt everywhere except at its own request."""
        self.host_limits.record_end(attempt)
        if attempt.is_fill:
            self._record_fill_end(now_us, attempt, event)
        self.herds.clear_leader(attempt)
        if attempt.host.tier == CACHE:
            self.fills.record_load_report(now_us, event.load_report)
        self._record_host(now_us, attempt, event)
        source = attempt.source
        if source is not None and source.tier == PARENT and source is not attempt.host:
            self._record_parent(now_us, attempt, source, event)
        if event.outcome == Outcome.SUCCEEDED:
            self._record_success(now_us, attempt, event)

    def _record_fill_end(self, now_us: int, attempt: Attempt, event: AttemptEnded) -> None:
        """Records for the traffic class and for the limit on fills whether the fill was in time."""
        request, source = attempt.request, attempt.source
        class_state = request.class_state
        self.fills.record_end(class_state)
        if (
            event.cache_status == CacheStatus.HIT
            or event.outcome not in TIMED_FILL_OUTCOMES
            or request.closed
        ):
            return
        if event.outcome == Outcome.CANCELLED and source is not None and now_us < source.ejected_until_us:
            return  # the source hung and is ejected: no sign of too many fills
        sending_time_us = request.sending_time_us()
        succeeded = event.outcome == Outcome.SUCCEEDED
        in_time = succeeded and event.took_us <= request.objective_us(sending_time_us)
        class_state.record_fill(in_time, event.took_us - sending_time_us)
        self.fills.adapt(in_time)

    def _record_host(self, now_us: int, attempt: Attempt, event: AttemptEnded) -> None:
        """Records an answer of the cache host, or a sign that its process is lost."""
        host, outcome = attempt.host, event.outcome
        if outcome in ANSWERED:
            self.health.record_answer(now_us, host, attempt.sent_us)
        elif outcome == Outcome.CONNECT_FAILED:
            # If only its connection table was full, the host gets less than it could while it warms up.
            self.health.record_loss(now_us, host, CONNECT_FAILED_SIGNS, attempt.sent_us)
            if self._took_a_connect_timeout(event):
                self.health.eject(
                    now_us, host
                )  # the machine may be gone: the next attempt would wait as long
        elif outcome == Outcome.CONNECTION_LOST:
            self.health.record_loss(now_us, host, CONNECTION_LOST_SIGNS, attempt.sent_us)

    def _record_parent(self, now_us: int, attempt: Attempt, parent: Host, event: AttemptEnded) -> None:
        """Records whether the cache host could reach the parent."""
        status = event.cache_status
        if status == CacheStatus.SOURCE_UNREACHABLE or self._implies_unreachable(attempt, event):
            self.health.record_loss(now_us, parent, SOURCE_UNREACHABLE_SIGNS, attempt.sent_us)
            self.health.eject(now_us, parent)
        elif status in FETCHED or status == CacheStatus.SOURCE_REFUSED:
            self.health.record_answer(now_us, parent, attempt.sent_us)
            self.stalls.record_parent_fill(now_us)

    def _implies_unreachable(self, attempt: Attempt, event: AttemptEnded) -> bool:
        """Returns True if a fill without a cache status was refused only after a connect timeout."""
        if self.cache_status_complete or not attempt.is_fill:
            return False
        return event.outcome == Outcome.OVERLOADED and self._took_a_connect_timeout(event)

    def _took_a_connect_timeout(self, event: AttemptEnded) -> bool:
        return 0 < self.connect_timeout_us <= event.took_us + CONNECT_MARGIN_US

    def _record_success(self, now_us: int, attempt: Attempt, event: AttemptEnded) -> None:
        """Records the load of the hosts, the location of the copy, and the duration of hits and fills."""
        request, host, source, status = attempt.request, attempt.host, attempt.source, event.cache_status
        if request.traffic_class.uncached or status == CacheStatus.STALE:
            return
        sending_time_us = request.sending_time_us()
        self.slow_start.record_load(now_us, host, sending_time_us)
        if source is not None and not attempt.answers_locally:
            self.slow_start.record_load(now_us, source, sending_time_us)
        is_hit = status == CacheStatus.HIT
        if host.tier != PARENT:
            fetched = status in FETCHED or status == CacheStatus.JOINED
            self.herds.record_copy(now_us, attempt, fetched, is_hit)
        if is_hit:
            self._record_hit(attempt, event)
        elif status in FETCHED and source is not None and source.tier == PARENT:
            self.sources.record_fill(source, event.took_us, sending_time_us)

    def _record_hit(self, attempt: Attempt, event: AttemptEnded) -> None:
        request = attempt.request
        if request.known_sending_time_us:
            self.host_limits.adapt(attempt.host, event.took_us, request.known_sending_time_us)
        else:
            request.class_state.record_sending_time(event.took_us)
