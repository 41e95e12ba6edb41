"""Selection of the source of a fill: a parent or the origin, by the slowness of each parent."""

from __future__ import annotations

from hoistplank.decision.health import HealthTracker
from hoistplank.decision.hosts import Host
from hoistplank.decision.ranking import HostRanking
from hoistplank.decision.requests import Request
from hoistplank.decision.slow_start import SlowStart

# Slowness is the duration of a fill divided by its sending time plus this time for the network path, so that
# it shows slow links, too.
FILL_TRANSIT_US = 100_000
# The usual slowness is averaged over 50 fills, the recent one over 5.
USUAL_FILLS = 50
RECENT_FILLS = 5
# A parent is slow if it is well above both its usual slowness and the second parent: other faults slow both.
SLOW_FACTOR = 1.5
SLOW_MARGIN = 0.3
# A slow parent gets one fill a second, to detect its recovery.
SLOW_TRIAL_INTERVAL_US = 1_000_000


class SourceSelector:
    """Chooses the source of a fill, and tracks the slowness of each parent."""

    def __init__(self, ranking: HostRanking, health: HealthTracker, slow_start: SlowStart) -> None:
        self.ranking = ranking
        self.hosts = ranking.hosts
        self.health = health
        self.slow_start = slow_start

    def choose(self, now_us: int, request: Request, fallback: Host | None) -> Host | None:
        """Returns the first usable parent in the object's order, or the second if the first is slow.

        Without a usable parent it returns the origin, and without an origin `fallback`.
        """
        sending_time_us = request.class_state.sending_time_us
        usable = [
            parent
            for parent in self.ranking.order(request).parents
            if self.health.is_usable(now_us, parent)
            and parent.attempts_in_flight < parent.recovery_limit
            and self.slow_start.fits_budget(now_us, parent, sending_time_us)
        ]
        if not usable:
            return self.hosts.usable_origin() or fallback
        if request.failed_hosts:
            usable = [parent for parent in usable if parent not in request.failed_hosts] or usable
        if len(usable) == 1:
            return usable[0]
        first, second = usable[:2]
        if self._is_slow(now_us, first, second):
            return second
        first.slow_trial_us = now_us
        return first

    def _is_slow(self, now_us: int, first: Host, second: Host) -> bool:
        """Returns True if the second parent should fill instead of the first.

        Avoids a parent that still answers, but slowly. The cost is a second copy at another parent.
        """
        if not first.recent_slowness > SLOW_FACTOR * first.usual_slowness + SLOW_MARGIN:
            return False
        tried_recently = now_us - first.slow_trial_us < SLOW_TRIAL_INTERVAL_US
        return tried_recently and second.recent_slowness * SLOW_FACTOR < first.recent_slowness

    def record_fill(self, parent: Host, took_us: int, sending_time_us: float) -> None:
        """Adds one fill to the averages of its parent's slowness."""
        slowness = took_us / (sending_time_us + FILL_TRANSIT_US)
        parent.fills_seen += 1
        parent.usual_slowness += (slowness - parent.usual_slowness) / min(USUAL_FILLS, parent.fills_seen)
        parent.recent_slowness += (slowness - parent.recent_slowness) / min(RECENT_FILLS, parent.fills_seen)
