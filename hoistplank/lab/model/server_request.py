"""A request to a simulated server: an attempt of a dispatcher, or a fill that one server asks of another."""

from __future__ import annotations

from collections.abc import Callable

from hoistplank.lab.model.cache_storage import CacheKey
from hoistplank.lab.model.links import Link, Transfer

OnComplete = Callable[[int, int, int], None]  # result, note, born


class ServerRequest:
    """An attempt, or a fill that a server requests from its source. Sizes in microseconds at full pace."""

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
        end: OnComplete,
    ) -> None:
        self.dispatcher, self.zone, self.class_index, self.cache_key, self.group = (
            dispatcher,
            zone,
            class_index,
            cache_key,
            group,
        )
        self.size_us, self.on_complete = size_us, end
        self.source, self.cache_rank, self.max_age_us, self.idempotency_key = "", 2, 0, ""
        self.may_join = self.may_renew = False
        self.active, self.pending_parts = True, 0
        self.fill_result = (0, -1)  # note and birth of what a fill brought
        self.transfers: list[tuple[Link, Transfer]] = []
        self.extra_links: list[Link] = []  # links beside the server's own that the answer takes
        self.on_first_byte: Callable[[], None] | None = None  # told when the answer begins to flow
        self.return_delay_us = 0  # how long the answer is under way

    def cancel(self) -> None:
        """The asker has left: what flows for it stops."""
        self.active = False
        for link, flow in self.transfers:
            link.cancel(flow)
