"""Stalled attempts: finds attempts that hang or are lost, and ejects the hosts at which they hang."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from hoistplank.decision.health import HealthTracker
from hoistplank.decision.hosts import PARENT, Host
from hoistplank.decision.overload import OverloadGuard
from hoistplank.decision.requests import Attempt

# Short against the 0.7 s after which a silence is detected.
CHECK_INTERVAL_US = 50_000
# A host is silent after 0.7 s plus twice the sending time: pauses are shorter. Very large answers may be
# cancelled by mistake.
SILENCE_US = 700_000
SILENT_SENDING_TIMES = 2
# An answer without a fill takes one sending time. After four, while the host answers other attempts, it
# counts as lost. Large answers may be cancelled by mistake.
LOST_SENDING_TIMES = 4
LOST_MARGIN_US = 5e4
MAX_ATTEMPTS_AT_LOST_ANSWER = 2
# After one and a half times its latency objective, an attempt has little value left and still holds capacity.
OVERDUE_OBJECTIVES = 1.5

CACHE_LOSS_SIGNS = 2
# One of many dispatchers has few fills from a parent: the parent is ejected for at least 1 s, since otherwise
# each test of it would cost one of those fills.
MIN_PARENT_EJECTIONS = 3
MIN_CACHE_EJECTIONS = 1
# A parent is only ejected while most fills of the class are in time, since a slow origin delays all fills.
HEALTHY_IN_TIME_SHARE = 0.5


class StallDetector:
    """Checks the attempts in flight periodically."""

    def __init__(self, health: HealthTracker, overload: OverloadGuard) -> None:
        self.health = health
        self.overload = overload
        self.next_check_us = 0
        self.last_parent_fill_us = 0

    def record_parent_fill(self, now_us: int) -> None:
        """Records that a parent has answered a fill or refused it."""
        self.last_parent_fill_us = now_us

    def find_if_due(self, now_us: int, in_flight: Iterable[Attempt]) -> list[Attempt]:
        """Returns the attempts to cancel; checks once in each interval."""
        if now_us < self.next_check_us:
            return []
        self.next_check_us = now_us + CHECK_INTERVAL_US
        origin = self.health.hosts.origin
        candidates = [one for one in in_flight if not one.is_uncancellable and one.host is not origin]
        return [attempt for attempt in candidates if self.is_stalled(now_us, attempt)]

    def is_stalled(self, now_us: int, attempt: Attempt) -> bool:
        """Returns True if an attempt hangs, is lost, or has no client any more; ejects a host that hangs.

        One hanging attempt is enough, since one of many dispatchers seldom has two at a host. Protects
        against hosts that hang or vanish. The cost: an answer that is only late may be cancelled.
        """
        request = attempt.request
        host = attempt.awaited_host()
        waited_us = now_us - attempt.sent_us
        sending_time_us = request.sending_time_us()
        silent = self._is_silent(attempt, host)
        if silent:
            # The lag is added since an answer that is still unread while the loop lags is no silence.
            silence_limit_us = SILENCE_US + SILENT_SENDING_TIMES * sending_time_us + self.overload.lag_us
            lost = False
        else:
            silence_limit_us = inf
            lost = waited_us > LOST_SENDING_TIMES * sending_time_us + LOST_MARGIN_US
            lost = lost and self._is_lost(now_us, attempt)
        overdue = waited_us > min(
            silence_limit_us, OVERDUE_OBJECTIVES * request.objective_us(sending_time_us)
        )
        if not (lost or overdue or request.closed):
            return False
        if not lost:
            request.failed_hosts.append(host)
        if silent and not request.closed:
            self._eject(now_us, host, attempt)
        return True

    def _is_silent(self, attempt: Attempt, host: Host) -> bool:
        """Returns True if the host has not answered since the attempt was sent."""
        if not host.answered_us < attempt.sent_us:
            return False
        if host.tier != PARENT:
            return True
        # A parent only counts as silent if other fills were answered since then and most fills are in time.
        in_time_share = attempt.request.class_state.in_time_share
        return in_time_share > HEALTHY_IN_TIME_SHARE and self.last_parent_fill_us >= attempt.sent_us

    def _is_lost(self, now_us: int, attempt: Attempt) -> bool:
        """Returns True if no fill delays the answer and another attempt can still be in time."""
        request = attempt.request
        if not attempt.answers_locally or request.attempts_made >= MAX_ATTEMPTS_AT_LOST_ANSWER:
            return False
        return now_us < request.latest_start_us

    def _eject(self, now_us: int, host: Host, attempt: Attempt) -> None:
        if host.tier == PARENT:
            # No loss is recorded: the failed connections of its caches are a clearer sign of a lost parent.
            self.health.eject(now_us, host, MIN_PARENT_EJECTIONS)
            return
        self.health.record_loss(now_us, host, CACHE_LOSS_SIGNS, attempt.sent_us)
        self.health.eject(now_us, host, MIN_CACHE_EJECTIONS)
