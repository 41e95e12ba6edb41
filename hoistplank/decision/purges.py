"""Purge watermarks: the time from which copies are valid, by object, by purge group and for all objects."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from hoistplank.decision.requests import Request

# The purges of an hour in the largest fleet are 14,000, which may all be received at once.
MAX_WATERMARKS = 16_384
# The share of a purge's grace time for which an attempt needs no check beyond that of its decision: a purge
# that was received since, or that is unseen and begins to bind at `PURGE_GRACE_SHARE`, is still in its grace.
UNCHECKED_GRACE_SHARE = 0.3
# The purge group of a purge of all objects, and the key of that watermark; no request belongs to this group.
ALL_OBJECTS = -1


class PurgeWatermark(NamedTuple):
    """The time of a purge: copies from before `purged_us` are invalid."""

    purged_us: int
    received_us: int


NO_WATERMARK = PurgeWatermark(0, 0)


def all_purges_known(now_us: int) -> int:  # noqa: ARG001  has the signature of `copies_valid_from_us`
    """Returns the time before which copies may be invalid by a purge that is not known: 0 for none."""
    return 0


class PurgeWatermarks:
    """The watermarks in the order in which they were last received, each kept for `hold_us`.

    `copies_valid_from_us` returns the time before which a purge that is not known may have invalidated any
    copy, 0 while all purges are known.
    """

    def __init__(self, hold_us: int, copies_valid_from_us: Callable[[int], int] = all_purges_known) -> None:
        self.hold_us, self.copies_valid_from_us = hold_us, copies_valid_from_us
        self.by_key: OrderedDict[str | int, PurgeWatermark] = OrderedDict()

    def receive(self, now_us: int, object_key: str, purge_group: int, age_us: int) -> None:
        """Records a purge made `age_us` ago, of an object or, if the key is empty, of a purge group."""
        self._raise(now_us, object_key or purge_group, now_us - age_us)
        # Watermarks are kept for `hold_us`: without its watermark, a stale copy from before a purge could
        # still be requested and served.
        while next(iter(self.by_key.values())).received_us < now_us - self.hold_us:
            self.by_key.popitem(last=False)
        while len(self.by_key) > MAX_WATERMARKS:
            # A flood of purges would otherwise use up the memory. The oldest are merged into one watermark of
            # all objects.
            _, oldest = self.by_key.popitem(last=False)
            self._raise(now_us, ALL_OBJECTS, oldest.purged_us)

    def _raise(self, now_us: int, key: str | int, purged_us: int) -> None:
        # A key that is purged again moves to the end: in its old place it would keep all watermarks behind it
        # from being removed.
        earlier = self.by_key.pop(key, NO_WATERMARK)
        self.by_key[key] = PurgeWatermark(max(earlier.purged_us, purged_us), now_us)

    def watermark_us(self, now_us: int, request: Request) -> int:
        """Returns the time before which copies must not answer the request (rule five), 0 for no bound."""
        unknown_us = self.copies_valid_from_us(now_us)
        by_key = self.by_key
        if not by_key:
            return unknown_us
        return max(
            unknown_us,
            by_key.get(request.object_key, NO_WATERMARK).purged_us,
            by_key.get(request.purge_group, NO_WATERMARK).purged_us,
            by_key.get(ALL_OBJECTS, NO_WATERMARK).purged_us,
        )

    def max_age_us(self, now_us: int, request: Request, wanted_us: int) -> int:
        """Returns the maximum age of a copy that may answer the request; 0 for that of its class.

        Without a watermark that applies to the request, it is `wanted_us`.
        """
        watermark_us = self.watermark_us(now_us, request)
        if not watermark_us:
            return wanted_us
        age_us = now_us - watermark_us
        # An age of 0 would mean that of the class, so the lowest age is 1.
        return max(1, min(age_us, wanted_us or request.traffic_class.fresh_us or age_us))

    def permits_max_age(self, now_us: int, request: Request, max_age_us: int) -> bool:
        """Returns True if an attempt with this maximum age, 0 for that of its class, may still be sent."""
        watermark_us = self.watermark_us(now_us, request)
        oldest_age_us = max_age_us or request.traffic_class.fresh_us
        return not watermark_us or 0 < oldest_age_us <= max(1, now_us - watermark_us)
