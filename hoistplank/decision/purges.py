"""Purge watermarks: from when on a copy must be, by object, by purge group and for all objects."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from hoistplank.decision.requests import Request

# An hour's purges of the largest fleet, all received at once, are 14,000.
MAX_WATERMARKS = 16_384
# The purge group of a purge of all objects, and the key of their watermark: no request has it.
ALL_OBJECTS = -1


class PurgeWatermark(NamedTuple):
    """Copies from before `purged_us` are void."""

    purged_us: int
    received_us: int


NO_WATERMARK = PurgeWatermark(0, 0)


class PurgeWatermarks:
    """The watermarks in the order in which they were last received, each held for `hold_us`."""

    def __init__(self, hold_us: int) -> None:
        self.hold_us = hold_us
        self.by_key: OrderedDict[str | int, PurgeWatermark] = OrderedDict()

    def receive(self, now_us: int, object_key: str, purge_group: int, age_us: int) -> None:
        """A purge from `age_us` ago, of an object or else of a purge group."""
        self._raise(now_us, object_key or purge_group, now_us - age_us)
        # Danger: a watermark that is forgotten while a stale copy from before its purge may still be asked
        # for serves that copy.
        while next(iter(self.by_key.values())).received_us < now_us - self.hold_us:
            self.by_key.popitem(last=False)
        while len(self.by_key) > MAX_WATERMARKS:
            # Danger: a flood of purges takes the memory. The oldest become one watermark of all objects.
            _, oldest = self.by_key.popitem(last=False)
            self._raise(now_us, ALL_OBJECTS, oldest.purged_us)

    def _raise(self, now_us: int, key: str | int, purged_us: int) -> None:
        # Danger: one that is purged again and kept its place would keep all that stand behind it.
        earlier = self.by_key.pop(key, NO_WATERMARK)
        self.by_key[key] = PurgeWatermark(max(earlier.purged_us, purged_us), now_us)

    def watermark_us(self, request: Request) -> int:
        """Rule five: copies from before this moment must not answer the request; 0 for no bound."""
        by_key = self.by_key
        if not by_key:
            return 0
        return max(
            by_key.get(request.object_key, NO_WATERMARK).purged_us,
            by_key.get(request.purge_group, NO_WATERMARK).purged_us,
            by_key.get(ALL_OBJECTS, NO_WATERMARK).purged_us,
        )

    def max_age_us(self, now_us: int, request: Request, wanted_us: int) -> int:
        """The oldest copy that may answer the request: `wanted_us` where no purge counts, 0 for the usual."""
        watermark_us = self.watermark_us(request)
        if not watermark_us:
            return wanted_us
        age_us = now_us - watermark_us
        # An age of 0 would mean the usual one, so the youngest that can be asked for is 1.
        return max(1, min(age_us, wanted_us or request.traffic_class.fresh_us or age_us))
