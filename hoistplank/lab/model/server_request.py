"""A request to a simulated server: an attempt of a dispatcher, or a fill for another server."""

from __future__ import annotations

from collections.abc import Callable

from hoistplank.lab.model.cache_storage import CacheKey
from hoistplank.lab.model.links import Link, Transfer

OnComplete = Callable[[int, int, int], None]  # result, note, creation time of the copy


class ServerRequest:
    """An attempt, or a fill that a server requests from its source. Sizes in microseconds at full rate."""

    __slots__ = (
        "active",
        "cache_key",
        "cache_rank",
        "class_index",
        "dispatcher",
        "extra_links",
        "fill_result",
        "group",
        "idempotency_key",
        "max_age_us",
        "may_join",
        "may_renew",
        "on_complete",
        "on_first_byte",
        "pending_parts",
        "return_delay_us",
        "size_us",
        "source",
        "transfers",
        "zone",
    )

    def __init__(
        self,
        dispatcher: int,
        zone: int,
        class_index: int,
        cache_key: CacheKey,
        group: int,
        size_us: float,
        on_complete: OnComplete,
    ) -> None:
        self.dispatcher, self.zone, self.class_index, self.cache_key, self.group = (
            dispatcher,
            zone,
            class_index,
            cache_key,
            group,
        )
        self.size_us, self.on_complete = size_us, on_complete
        self.source, self.cache_rank, self.max_age_us, self.idempotency_key = "", 2, 0, ""
        self.may_join = self.may_renew = False
        self.active, self.pending_parts = True, 0
        self.fill_result = (0, -1)  # note and creation time of the copy that a fill brought
        self.transfers: list[tuple[Link, Transfer]] = []
        self.extra_links: list[Link] = []  # links besides the server's own that the response uses
        self.on_first_byte: Callable[[], None] | None = None  # called when the response begins
        self.return_delay_us = 0  # network delay of the response

    def cancel(self) -> None:
        """Stop the transfers of a request whose sender has left."""
        self.active = False
        for link, transfer in self.transfers:
            link.cancel(transfer)
