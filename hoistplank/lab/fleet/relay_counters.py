"""What a relay process counts of itself: chunks and bytes carried, and its own lateness."""

from __future__ import annotations

import time

from hdrh.histogram import HdrHistogram

PERCENTILES = (50, 99, 100)
LONGEST_US = 10_000_000  # greatest lateness that the histogram can hold
DIGITS = 2  # significant digits of a recorded lateness


def now_us() -> int:
    """The monotonic clock in whole microseconds."""
    return time.monotonic_ns() // 1_000


class RelayCounters:
    """Counters of all paths of one process."""

    def __init__(self) -> None:
        self.chunks = 0
        self.bytes = 0
        self._lateness = HdrHistogram(1, LONGEST_US, DIGITS)

    def record_chunk(self, size: int) -> None:
        """Count one chunk of `size` bytes."""
        self.chunks += 1
        self.bytes += size

    def record_lateness(self, late_us: int) -> None:
        """Count that something was handed on `late_us` after its time."""
        self._lateness.record_value(max(1, late_us))

    def lateness_us(self) -> dict[str, int]:
        """The lateness in microseconds at each of `PERCENTILES`."""
        return {str(p): int(self._lateness.get_value_at_percentile(p)) for p in PERCENTILES}
