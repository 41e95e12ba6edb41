"""Stalled attempts: finds what hangs, or is lost, takes it back and ejects the host that it hangs at."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from hoistplank.decision.health import HealthTracker
from hoistplank.decision.hosts import PARENT, Host
from hoistplank.decision.overload import OverloadGuard
from hoistplank.decision.requests import Attempt

# A silence shows after 0.7 s, so this is fine enough.
CHECK_INTERVAL_US = 50_000
# 0.7 s over twice the sending time: pauses are shorter. Can harm huge answers.
SILENCE_US = 700_000
SILENT_SENDING_TIMES = 2
# A certain answer takes one sending time; at four, while others come, it is lost. Can harm large answers.
LOST_SENDING_TIMES = 4
LOST_MARGIN_US = 5e4
MAX_ATTEMPTS_AT_LOST_ANSWER = 2
# Beyond its latency objective by half, an attempt earns little and holds capacity.
OVERDUE_OBJECTIVES = 1.5

CACHE_LOSS_SIGNS = 2
# Of a parent a dispatcher of many has few fills: ejected for 1 s at least, lest each test costs one.
MIN_PARENT_EJECTIONS = 3
MIN_CACHE_EJECTIONS = 1
# A parent is only blamed while most fills of the class are in time: a slow origin delays all.
HEALTHY_IN_TIME_SHARE = 0.5


class StallDetector:
    """Checks the attempts in flight from time to time."""

    def __init__(self, health: HealthTracker, overload: OverloadGuard) -> None:
        self.health = health
        self.overload = overload
        self.next_check_us = 0
        self.last_parent_fill_us = 0

    def record_parent_fill(self, now_us: int) -> None:
        """A parent has answered a fill, or refused it."""
        self.last_parent_fill_us = now_us

    def find_if_due(self, now_us: int, in_flight: Iterable[Attempt]) -> list[Attempt]:
        """The attempts to be taken back; looks for them once each interval."""
        if now_us < self.next_check_us:
            return []
        self.next_check_us = now_us + CHECK_INTERVAL_US
        origin = self.health.hosts.origin
        candidates = [one for one in in_flight if not one.is_uncancellable and one.host is not origin]
        return [attempt for attempt in candidates if self.is_stalled(now_us, attempt)]

    def is_stalled(self, now_us: int, attempt: Attempt) -> bool:
        """Whether an attempt hangs, is lost, or is waited for by nobody; ejects the host that it hangs at.

        One such attempt is enough: a dispatcher of many seldom has two at a host. Answers hosts that hang or
        vanish. Can harm an answer that would have come all the same.
        """
        request = attempt.request
        host = attempt.awaited_host()
        waited_us = now_us - attempt.sent_us
        sending_time_us = request.sending_time_us()
        silent = self._is_silent(attempt, host)
        if silent:
            # What lay unread while the loop was late is not the host's silence.
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
        """Whether the host has answered nothing since the attempt was sent."""
        if not host.answered_us < attempt.sent_us:
            return False
        if host.tier != PARENT:
            return True
        # A parent is only blamed where others filled since, and most fills are in time.
        in_time_share = attempt.request.class_state.in_time_share
        return in_time_share > HEALTHY_IN_TIME_SHARE and self.last_parent_fill_us >= attempt.sent_us

    def _is_lost(self, now_us: int, attempt: Attempt) -> bool:
        """Whether an answer was certain to come, and its request gains by another attempt."""
        request = attempt.request
        if not attempt.answers_locally or request.attempts_made >= MAX_ATTEMPTS_AT_LOST_ANSWER:
            return False
        return now_us < request.latest_start_us

    def _eject(self, now_us: int, host: Host, attempt: Attempt) -> None:
        if host.tier == PARENT:
            # A parent that is gone fails its caches' connections: a clearer sign than a silence.
            self.health.eject(now_us, host, MIN_PARENT_EJECTIONS)
            return
        self.health.record_loss(now_us, host, CACHE_LOSS_SIGNS, attempt.sent_us)
        self.health.eject(now_us, host, MIN_CACHE_EJECTIONS)
