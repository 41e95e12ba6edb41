"""Outlier detection: ejection of hosts, their recovery, and restarts that the endpoint list does not show."""

from __future__ import annotations

from math import inf

from hoistplank.decision.hosts import Host, HostTable
from hoistplank.decision.slow_start import SlowStart

EJECTION_BASE_US = 125_000  # doubled for each ejection: the first lasts 0.25 s, the longest 8 s
MAX_EJECTIONS = 6
# After an ejection a host gets one attempt at a time, and half an attempt more for each answer, since it may
# be back with a cold cache. At 16 in flight, more than usual, it has recovered.
FIRST_RECOVERY_LIMIT = 1.0
RECOVERY_STEP = 0.5
RECOVERED_LIMIT = 16

# Loss signs, at one host or over its cell or zone and none older than the window, that suggest a restart.
RESTART_LOSS_SIGNS = 3
LOSS_WINDOW_US = 4_000_000


class HealthTracker:
    """Ejection, recovery and suspected restarts of hosts."""

    def __init__(self, hosts: HostTable, slow_start: SlowStart) -> None:
        self.hosts = hosts
        self.slow_start = slow_start

    def is_usable(self, now_us: int, host: Host) -> bool:
        """Returns True if a host is listed as up (rule three) and not ejected."""
        return host.is_up and now_us >= host.ejected_until_us

    def reset(self, host: Host) -> None:
        """Clears the history of a host, since the list names a new process there."""
        host.ejected_until_us = 0
        host.ejections = 0
        host.recovery_limit = inf
        host.loss_signs = 0
        host.suspected_us = 0

    def record_answer(self, now_us: int, host: Host, sent_us: int) -> None:
        """Records that the host itself answered an attempt that was sent at `sent_us`."""
        host.answered_us = now_us
        host.ejections = 0
        host.loss_signs = 0
        recovering = host.recovery_limit < RECOVERED_LIMIT
        host.recovery_limit = host.recovery_limit + RECOVERY_STEP if recovering else inf
        if sent_us < host.suspected_us:
            # The attempt is older than the suspicion and was answered: the process hung and did not restart.
            host.ejected_until_us = 0
            host.suspected_us = 0
            host.recovery_limit = inf
            self.slow_start.end(host)

    def eject(self, now_us: int, host: Host, min_ejections: int = 1) -> None:
        """Ejects a host that may be gone: it gets no attempts for a time, longer each time, and then one.

        Protects against hosts that vanish or hang, at which each attempt would take its whole timeout. The
        cost: a host that is merely slow is not used, for a quarter of a second at first.
        """
        if host is self.hosts.origin or now_us < host.ejected_until_us:
            return
        host.ejections = min(max(host.ejections + 1, min_ejections), MAX_EJECTIONS)
        host.ejected_until_us = now_us + EJECTION_BASE_US * 2**host.ejections
        host.recovery_limit = FIRST_RECOVERY_LIMIT

    def record_loss(self, now_us: int, host: Host, signs: int, sent_us: int) -> None:
        """Records signs that a process is lost; it may be back, with a cold cache, before the list says so.

        A few signs at a host, or over its cell or zone, put those hosts that have not answered since into
        slow start, until the list or an answer to an older attempt shows that they did not restart. Protects
        hosts after restarts, releases and crashes. The cost: a host that only hung warms up once more.
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
