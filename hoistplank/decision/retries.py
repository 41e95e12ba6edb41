"""Retries: what may run again and where (rule two), retry budgets, backoff and the final answer."""

from __future__ import annotations

from collections.abc import Callable
from math import exp

from hoistplank.decision.actions import EndReason, Fail, Reject
from hoistplank.decision.events import AttemptEnded, CacheStatus, Outcome
from hoistplank.decision.hosts import AttemptCounts, Host
from hoistplank.decision.requests import Attempt, Request
from hoistplank.decision.settings import (
    DEDUPLICATED_EVERYWHERE,
    DEDUPLICATED_IN_ZONE,
    IDEMPOTENT,
    NON_IDEMPOTENT,
    Degradation,
    RouterSettings,
)

# The outcomes that prove that an attempt never ran.
NEVER_RAN = frozenset((Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.MISS))

# A repeat begins this much before the end of the time in which it is dropped.
DEDUPLICATION_MARGIN_US = 50_000

# What the host failed by itself; all else may break by chance once, and counts from the second attempt on.
FAILED_AT_HOST = frozenset((Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.TIMED_OUT))
# The cache statuses by which the source failed, not the cache host that tells of it.
SOURCE_FAILED = frozenset(
    (
        CacheStatus.SOURCE_REFUSED,
        CacheStatus.SOURCE_UNREACHABLE,
        CacheStatus.SOURCE_LACKS,
        CacheStatus.ORIGIN_UNREACHABLE,
    )
)

# Attempts are counted over some 10 s; so many retries are within any budget.
RETRY_WINDOW_US = 1e7
FREE_RETRIES = 10

# Backoff: 20 ms doubled for each attempt, up to 16 times, spread by chance over half to one and a half of it.
BACKOFF_US = 20_000
MAX_BACKOFF_DOUBLINGS = 4


class RetryPolicy:
    """Decides whether a request may be attempted once more, and how one that may not is answered."""

    def __init__(self, settings: RouterSettings, random: Callable[[], float]) -> None:
        self.settings = settings
        self.rules = settings.rules
        self.random = random
        self.degradation = Degradation()
        self.class_counts: dict[str, AttemptCounts] = {}

    def apply_degradation(self, degradation: Degradation) -> None:
        """Takes over the bounds on attempts of a level of degradation."""
        self.degradation = degradation

    def may_attempt(self, now_us: int, request: Request, host: Host | None) -> bool:
        """Rule two: whether the request may be attempted (again) at this host.

        Answers an effect that happens twice. `host` may be None only where no attempt may have run.
        """
        traffic_class = request.traffic_class
        attempt_limit = self.rules.max_attempts
        idempotent = traffic_class.semantics == IDEMPOTENT
        if idempotent and self.degradation.max_attempts:
            attempt_limit = min(attempt_limit, self.degradation.max_attempts)
        if request.closed or request.in_flight or request.attempts_made >= attempt_limit:
            return False
        if idempotent or request.first_run_us < 0:
            return True
        return self._drops_repeat(now_us, request, host)

    def _drops_repeat(self, now_us: int, request: Request, host: Host | None) -> bool:
        """Whether a repeat at this host, of what may have run, would be dropped there."""
        traffic_class, first_host = request.traffic_class, request.first_run_host
        if traffic_class.semantics == NON_IDEMPOTENT:
            return False
        if now_us + DEDUPLICATION_MARGIN_US > request.first_run_us + traffic_class.deduplication_window_us:
            return False
        if traffic_class.deduplication_scope == DEDUPLICATED_EVERYWHERE:
            return True
        if first_host is None or host is None:
            return False
        if traffic_class.deduplication_scope == DEDUPLICATED_IN_ZONE:
            return first_host.zone == host.zone
        return first_host.cell == host.cell

    def start_by_us(self, request: Request) -> int:
        """By when an attempt must have begun, a connection's set-up included; 0 for no such bound."""
        traffic_class = request.traffic_class
        if request.first_run_us < 0 or traffic_class.semantics == IDEMPOTENT:
            return 0
        return request.first_run_us + traffic_class.deduplication_window_us - DEDUPLICATION_MARGIN_US

    def fits_budget(self, now_us: int, request: Request) -> bool:
        """Whether a retry stays within a share of first attempts, by class and by the host that failed last.

        Answers a failing tier that is met by a storm of retries. Can harm where a tier's faults are chance.
        """
        share = self.degradation.retry_share
        host = request.last_host
        if not share or host is None:
            return True
        for counts in (self.class_counts.get(request.traffic_class.name), host.attempt_counts):
            if counts is None:
                continue
            fade = exp((counts.counted_us - now_us) / RETRY_WINDOW_US)
            if counts.retries * fade >= share * counts.first_attempts * fade + FREE_RETRIES:
                return False
        return True

    def record_attempt(self, now_us: int, request: Request, host: Host) -> None:
        """Counts an attempt by class and by the host that failed last; only while there is a budget."""
        if not self.degradation.retry_share:
            return
        is_retry = request.last_host is not None
        counted_host = request.last_host or host
        if counted_host.attempt_counts is None:
            counted_host.attempt_counts = AttemptCounts(now_us)
        class_counts = self.class_counts.setdefault(request.traffic_class.name, AttemptCounts(now_us))
        for counts in (class_counts, counted_host.attempt_counts):
            fade = exp((counts.counted_us - now_us) / RETRY_WINDOW_US)
            counts.first_attempts = counts.first_attempts * fade + (not is_retry)
            counts.retries = counts.retries * fade + is_retry
            counts.counted_us = now_us

    def record_failure(self, now_us: int, attempt: Attempt, event: AttemptEnded) -> None:
        """What the end of an attempt that did not answer its request means to the request."""
        request, outcome, status = attempt.request, event.outcome, event.cache_status
        if outcome not in NEVER_RAN and request.first_run_us < 0:
            request.first_run_us = attempt.sent_us
            request.first_run_host = attempt.host
        if outcome == Outcome.MISS:
            request.missed_host = attempt.host
            request.missed_us = now_us
        elif status not in SOURCE_FAILED and (request.attempts_made > 1 or outcome in FAILED_AT_HOST):
            request.failed_hosts.append(attempt.host)
        host_refused = outcome == Outcome.OVERLOADED and status not in SOURCE_FAILED
        if host_refused or status == CacheStatus.SOURCE_REFUSED:
            self._back_off(now_us, request)

    def _back_off(self, now_us: int, request: Request) -> None:
        """Holds a request that a crowded host or source refused: longer each time, spread by chance."""
        doublings = min(request.attempts_made, MAX_BACKOFF_DOUBLINGS)
        request.not_before_us = now_us + int(BACKOFF_US * 2**doublings * (0.5 + self.random()))

    def final_answer(self, request: Request, reason: EndReason) -> Reject | Fail:
        """The answer of a request that is given up: rejected only where coming again does no harm."""
        traffic_class = request.traffic_class
        harmless = traffic_class.semantics == IDEMPOTENT or request.first_run_us < 0
        if not harmless:
            keyed = traffic_class.semantics != NON_IDEMPOTENT
            harmless = keyed and traffic_class.deduplication_scope == DEDUPLICATED_EVERYWHERE
        if not harmless:
            return Fail(request.id, reason)
        max_delay_us = self.rules.max_retry_after_us * self.rules.may_send_retry_after
        return Reject(request.id, int(max_delay_us * (0.5 + self.random() / 2)), reason)
