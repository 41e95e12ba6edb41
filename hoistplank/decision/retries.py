"""Retries: which requests may run again and where (rule two), retry budgets, backoff, the final answer."""

from __future__ import annotations

from collections.abc import Callable
from math import exp

from hoistplank.decision.actions import EndReason, Fail, Reject, RejectionBasis
from hoistplank.decision.events import AttemptEnded, CacheStatus, Outcome
from hoistplank.decision.hosts import ORIGIN, AttemptCounts, Host
from hoistplank.decision.process_identity import ProcessIdentity
from hoistplank.decision.requests import Attempt, PossibleRun, Request
from hoistplank.decision.settings import (
    DEDUPLICATED_EVERYWHERE,
    DEDUPLICATED_IN_ZONE,
    IDEMPOTENT,
    KEYED,
    NON_IDEMPOTENT,
    Degradation,
    RouterSettings,
    TrafficClass,
)

# The outcomes that prove that the request never ran.
NEVER_RAN = frozenset((Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.MISS))

# A repeat must begin this long before the end of the deduplication window.
DEDUPLICATION_MARGIN_US = 50_000
# From the end of a rejected client's wait to the start of the attempt for its repeat.
CLIENT_REPEAT_US = 100_000

# The outcomes that are a failure of the host itself; others may occur by chance and count from the second
# attempt on.
FAILED_AT_HOST = frozenset((Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.TIMED_OUT))
# The cache statuses that report a failure of the source, not of the cache host that answers.
SOURCE_FAILED = frozenset(
    (
        CacheStatus.SOURCE_REFUSED,
        CacheStatus.SOURCE_UNREACHABLE,
        CacheStatus.SOURCE_MISS,
        CacheStatus.ORIGIN_UNREACHABLE,
    )
)

# Attempts are counted with a decay time of 10 s. `FREE_RETRIES` are allowed beyond any budget.
RETRY_WINDOW_US = 1e7
FREE_RETRIES = 10

# Backoff: 20 ms, doubled for each attempt up to 16 times that, multiplied by a random factor from 0.5 to 1.5.
BACKOFF_US = 20_000
MAX_BACKOFF_DOUBLINGS = 4


class RetryPolicy:
    """Decides whether a request may be attempted again, and with which answer it is given up otherwise."""

    def __init__(
        self, settings: RouterSettings, identity: ProcessIdentity, random: Callable[[], float]
    ) -> None:
        self.settings = settings
        self.identity = identity
        self.rules = settings.rules
        self.random = random
        self.degradation = Degradation()
        self.class_counts: dict[str, AttemptCounts] = {}

    def apply_degradation(self, degradation: Degradation) -> None:
        """Sets the limits of a degradation level on attempts and retries."""
        self.degradation = degradation

    def may_attempt(self, now_us: int, request: Request, host: Host | None) -> bool:
        """Returns True if the request may be attempted (again) at this host (rule two).

        Prevents the effect of a request from happening twice. `host` may be None only if no attempt may have
        run.
        """
        traffic_class = request.traffic_class
        attempt_limit = self.rules.max_attempts
        idempotent = traffic_class.semantics == IDEMPOTENT
        if idempotent and self.degradation.max_attempts:
            attempt_limit = min(attempt_limit, self.degradation.max_attempts)
        if request.closed or request.in_flight or request.attempts_made >= attempt_limit:
            return False
        if idempotent or request.first_run is None:
            return True
        return self._drops_repeat(now_us, request.traffic_class, request.first_run, host)

    def _drops_repeat(
        self, now_us: int, traffic_class: TrafficClass, first_run: PossibleRun, host: Host | None
    ) -> bool:
        """Returns True if this host would drop a repeat of an attempt that may have run."""
        if traffic_class.semantics == NON_IDEMPOTENT:
            return False
        if now_us > _window_end_us(traffic_class, first_run):
            return False
        if traffic_class.deduplication_scope == DEDUPLICATED_EVERYWHERE:
            return True
        if host is None or self._may_be_replaced(now_us, host):
            return False
        if traffic_class.deduplication_scope == DEDUPLICATED_IN_ZONE:
            return first_run.host.zone == host.zone
        return first_run.host.cell == host.cell

    def _may_be_replaced(self, now_us: int, host: Host) -> bool:
        """Returns True if a host of another zone or cell may answer at this host's address: it would know
        nothing of what ran here."""
        return host.tier != ORIGIN and self.identity.may_be_another_process(now_us, host.name)

    def start_by_us(self, request: Request) -> int:
        """Returns the latest start of a request's next attempt, connection setup included; 0 for no
        bound."""
        first_run = request.first_run
        if first_run is None or request.traffic_class.semantics == IDEMPOTENT:
            return 0
        return _window_end_us(request.traffic_class, first_run)

    def write_within_us(self, request: Request) -> int:
        """Returns the longest time from the first byte of an attempt to its last; 0 for no bound.

        Its rest, if it arrived later, would run again after a repeat by the client or at another host.
        """
        traffic_class = request.traffic_class
        if traffic_class.semantics != KEYED:
            return 0
        return max(1, traffic_class.deduplication_window_us - DEDUPLICATION_MARGIN_US)

    def fits_budget(self, now_us: int, request: Request) -> bool:
        """Returns True if a retry is within the budget of its class and of the host that failed last.

        The budget is a share of first attempts. Prevents a retry storm at a failing tier. The cost: requests
        that fail by chance may get no retry.
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
        """Records that an attempt is sent, which may run from now on; counts it by class and by the host
        that failed last, while there is a retry budget."""
        request.possible_runs[request.attempts_made] = PossibleRun(now_us, host)
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
        """Updates a request after the end of an attempt that did not answer it."""
        request, outcome, status = attempt.request, event.outcome, event.cache_status
        if outcome in NEVER_RAN:
            request.possible_runs.pop(attempt.number, None)
        if outcome == Outcome.MISS:
            request.missed_host = attempt.host
            request.missed_us = now_us
        elif status not in SOURCE_FAILED and (request.attempts_made > 1 or outcome in FAILED_AT_HOST):
            request.failed_hosts.append(attempt.host)
        host_refused = outcome == Outcome.OVERLOADED and status not in SOURCE_FAILED
        if host_refused or status == CacheStatus.SOURCE_REFUSED:
            self._back_off(now_us, request)

    def _back_off(self, now_us: int, request: Request) -> None:
        """Sets the backoff of a request that an overloaded host or source refused."""
        doublings = min(request.attempts_made, MAX_BACKOFF_DOUBLINGS)
        request.not_before_us = now_us + int(BACKOFF_US * 2**doublings * (0.5 + self.random()))

    def final_answer(self, now_us: int, request: Request, reason: EndReason) -> Reject | Fail:
        """Returns the answer to a request that is given up: `Reject` only if the client may safely retry."""
        max_delay_us = self.rules.max_retry_after_us * self.rules.may_send_retry_after
        retry_after_us = int(max_delay_us * (0.5 + self.random() / 2))
        basis = self._rejection_basis(request, now_us + retry_after_us + CLIENT_REPEAT_US)
        if basis is None:
            return Fail(request.id, reason)
        return Reject(request.id, retry_after_us, basis, reason)

    def _rejection_basis(self, request: Request, repeated_us: int) -> RejectionBasis | None:
        """Returns why a rejection of the request would be true, or None if it might not be. `repeated_us`:
        the time at which the client's repeat begins."""
        traffic_class = request.traffic_class
        if not request.attempts_made:
            return RejectionBasis.NOT_ATTEMPTED
        if request.first_run is None:
            return RejectionBasis.NEVER_RAN
        if traffic_class.semantics == IDEMPOTENT:
            return RejectionBasis.IDEMPOTENT
        if traffic_class.semantics == NON_IDEMPOTENT:
            return None
        # The client's repeat may go to any host.
        is_dropped = traffic_class.deduplication_scope == DEDUPLICATED_EVERYWHERE
        if is_dropped and repeated_us <= _window_end_us(traffic_class, request.first_run):
            return RejectionBasis.DEDUPLICATED
        return None


def _window_end_us(traffic_class: TrafficClass, first_run: PossibleRun) -> int:
    """Returns the latest time at which a repeat may begin and is still dropped."""
    return first_run.sent_us + traffic_class.deduplication_window_us - DEDUPLICATION_MARGIN_US
