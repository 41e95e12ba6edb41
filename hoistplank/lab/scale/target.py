"""The fleet that capacity is planned for, and what control may cost. Decision logic: figures alone."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

SECONDS_A_DAY = 86_400
SECONDS_AN_HOUR = 3_600
BITS_A_BYTE = 8


@dataclass(frozen=True, slots=True)
class FleetTarget:
    """Sizes and rates at the peak."""

    dispatchers: int = 680
    sites: int = 31
    regions: int = 5
    zones: int = 11
    hosts: int = 180
    requests_per_s: float = 390_000.0
    bits_per_s: float = 1.9e12
    objects: float = 40e9
    purges_per_s: float = 3.9
    purge_within_s: float = 7.0
    changes_per_day: float = 1_500.0
    burst_changes_per_minute: float = 60.0
    change_within_s: float = 15.0
    control_machines: int = 5
    failures_per_day: float = 4.0
    restarts_per_day: float = 130.0

    @property
    def requests_per_dispatcher(self) -> float:
        """Requests a second at one dispatcher."""
        return self.requests_per_s / self.dispatchers

    @property
    def bytes_per_dispatcher(self) -> float:
        """Bytes of answers a second at one dispatcher."""
        return self.bits_per_s / BITS_A_BYTE / self.dispatchers

    @property
    def answer_bytes(self) -> float:
        """The mean answer that both rates together make."""
        return self.bits_per_s / BITS_A_BYTE / self.requests_per_s

    @property
    def dispatchers_per_site(self) -> float:
        return self.dispatchers / self.sites

    @property
    def purges_per_hour(self) -> float:
        return self.purges_per_s * SECONDS_AN_HOUR

    @property
    def changes_per_s(self) -> float:
        return self.changes_per_day / SECONDS_A_DAY

    @property
    def burst_changes_per_s(self) -> float:
        return self.burst_changes_per_minute / 60

    @property
    def list_events_per_s(self) -> float:
        """Host list events of all restarts of a day, as if every one were a cache host's: it drains, goes,
        and comes back."""
        return 3 * self.restarts_per_day / SECONDS_A_DAY


TARGET = FleetTarget()


class Budget(Enum):
    """A bound on what control may cost: a name, the most, and its unit."""

    DISPATCHER_CPU = ("processor time of a dispatcher", 1.6, "% of a core")
    DISPATCHER_MEMORY = ("memory of a dispatcher", 32.0, "MB")
    DISPATCHER_BYTES = ("bytes of a dispatcher", 19.0, "KB/s")
    CONTROL_CPU = ("processor time of a control machine", 50.0, "% of a core")
    CATCH_UP_CPU = ("processor time of all control machines", 250.0, "% of a core")

    def __init__(self, title: str, most: float, unit: str) -> None:
        self.title = title
        self.most = most
        self.unit = unit
