"""A budget for signature checks. No I/O, no clock."""

from __future__ import annotations

from collections import OrderedDict

from hoistplank.authorization.token_bucket import TokenBucket

RESERVED_SHARE = 0.25  # of the whole budget, for sources that have recently sent a valid token
MIN_BURST = 4.0
MAX_SOURCES = 4_096


class SignatureBudget:
    """A budget for each source, and one for all sources; rates in checks per second.

    Each distinct invalid token costs a signature check, and without a budget a flood of them would saturate
    the core. A quarter of the whole budget is for sources that have recently sent a valid token, so that a
    flood from unknown sources can't shut out the known ones.
    """

    def __init__(self, total: float, per_source: float, now: int, max_sources: int = MAX_SOURCES) -> None:
        self.per_source, self.max_sources = per_source, max_sources
        reserved = total * RESERVED_SHARE
        self._reserved = TokenBucket(reserved, max(MIN_BURST, reserved), now)
        self._shared = TokenBucket(total - reserved, max(MIN_BURST, total / 8), now)
        self._trusted: OrderedDict[str, None] = OrderedDict()
        self._sources: OrderedDict[str, TokenBucket] = OrderedDict()

    @property
    def source_count(self) -> int:
        """Number of sources with a bucket of their own."""
        return len(self._sources)

    def take(self, source: str, now: int) -> int:
        """Takes one check and returns 0, or returns the microseconds until one may be available."""
        bucket = self._bucket(source, now)
        wait_us = bucket.take(now)
        if wait_us:
            return wait_us
        if source in self._trusted and not self._reserved.take(now):
            return 0
        wait_us = self._shared.take(now)
        if wait_us:
            bucket.refund()  # no signature was checked
        return wait_us

    def _bucket(self, source: str, now: int) -> TokenBucket:
        bucket = self._sources.get(source)
        if bucket is not None:
            self._sources.move_to_end(source)
            return bucket
        bucket = TokenBucket(self.per_source, max(MIN_BURST, self.per_source / 2), now)
        self._sources[source] = bucket
        if len(self._sources) > self.max_sources:
            self._sources.popitem(last=False)
        return bucket

    def trust(self, source: str) -> None:
        """Marks a source that has sent a valid token."""
        self._trusted[source] = None
        self._trusted.move_to_end(source)
        if len(self._trusted) > self.max_sources:
            self._trusted.popitem(last=False)
