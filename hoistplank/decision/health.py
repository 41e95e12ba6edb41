"""Outlier detection: which hosts are ejected, how they recover, and which may have started anew unseen."""

from __future__ import annotations

from math import inf

from hoistplank.decision.hosts import Host, HostTable
from hoistplank.decision.slow_start import SlowStart

EJECTION_BASE_US = 125_000  # of the first ejection twice that, 0.25 s, doubling up to 8 s
MAX_EJECTIONS = 6
# After an ejection one attempt, then half an attempt more for each answer, in case the host came back cold;
# 16 in flight are more than usual.
FIRST_RECOVERY_LIMIT = 1.0
RECOVERY_STEP = 0.5
RECOVERED_LIMIT = 16

# Loss signs that count together: at one host or over its cell or zone, each no older than this.
RESTART_LOSS_SIGNS = 3
LOSS_WINDOW_US = 4_000_000


class HealthTracker:
    """Ejection, recovery and suspected restarts of hosts."""

    def __init__(self, hosts: HostTable, slow_start: SlowStart) -> None:
        self.hosts = hosts
        self.slow_start = slow_start

    def is_usable(self, now_us: int, host: Host) -> bool:
        """Whether a host is listed up (rule three) and not ejected."""
        return host.is_up and now_us >= host.ejected_until_us

    def reset(self, host: Host) -> None:
        """The list names a new process at the host: nothing is held against it."""
        host.ejected_until_us = 0
        host.ejections = 0
        host.recovery_limit = inf
        host.loss_signs = 0
        host.suspected_us = 0

    def record_answer(self, now_us: int, host: Host, sent_us: int) -> None:
        """The host itself answered an attempt that was sent at `sent_us`."""
        host.answered_us = now_us
        host.ejections = 0
        host.loss_signs = 0
        recovering = host.recovery_limit < RECOVERED_LIMIT
        host.recovery_limit = host.recovery_limit + RECOVERY_STEP if recovering else inf
        if sent_us < host.suspected_us:
            # What it was sent before outlived the silence: it stood still and did not start anew.
            host.ejected_until_us = 0
            host.suspected_us = 0
            host.recovery_limit = inf
            self.slow_start.end(host)

    def eject(self, now_us: int, host: Host, min_ejections: int = 1) -> None:
        """A host that may be gone gets nothing for a time, longer each time, and then one attempt.

        Answers hosts that vanish or hang: each attempt there would cost its whole time-out. Can harm a host
        that is merely slow, for a quarter of a second at first.
        """
        if host is self.hosts.origin or now_us < host.ejected_until_us:
            return
        host.ejections = min(max(host.ejections + 1, min_ejections), MAX_EJECTIONS)
        host.ejected_until_us = now_us + EJECTION_BASE_US * 2**host.ejections
        host.recovery_limit = FIRST_RECOVERY_LIMIT

    def record_loss(self, now_us: int, host: Host, signs: int, sent_us: int) -> None:
        """Signs that a process went away: it may be back, cold and empty, before the list says so.

        A few at a host, or over its cell or zone, with no answer since, make these warm up until the list or
        an answer to an older attempt shows better. Answers restarts, releases and crashes. Can harm what only
        hangs, by the time that it takes to warm up.
        """
        host.loss_signs += signs
        host.last_loss_us = now_us
        neighbours = [other for other in self.hosts.tier_of(host) if other.zone == host.zone]
        lossy_hosts = [
            other for other in neighbours if other.loss_signs and now_us - other.last_loss_us < LOSS_WINDOW_US
        ]
        if sum(other.loss_signs for other in lossy_hosts) < RESTART_LOSS_SIGNS:
            return
        cells = {other.cell for other in lossy_hosts}
        for other in neighbours:
            in_lossy_cell = len(cells) > 1 or other.cell in cells
            if other in lossy_hosts or (in_lossy_cell and other.answered_us < sent_us):
                self._suspect_restart(now_us, other)

    def _suspect_restart(self, now_us: int, host: Host) -> None:
        host.begin_incarnation()
        if host.warming_since_us < 0 or host.suspected_us:
            self.slow_start.begin(host, now_us)
            host.suspected_us = now_us
