"""Notifies all follower streams of changed resources, by name."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import asdict, dataclass

from hoistplank.xds.follower import TYPES_WITH_TTL, Follower
from hoistplank.xds.resources import ResourceCache, ResourceChange
from hoistplank.xds.subscription import Subscription

# A stream that has not accepted a purge or a drain by then is ended, so that its follower reconnects.
ACCEPTANCE_TIMEOUT_US = 800_000


@dataclass(frozen=True, slots=True)
class StreamLimits:
    """Bounds on concurrent streams: all of them, and those that are receiving their first full state."""

    streams: int = 1_024
    starting: int = 64


@dataclass(slots=True)
class StreamCounts:
    """Counts of stream events since the start of the process."""

    streams: int = 0
    refused_streams: int = 0
    bad_requests: int = 0
    renewed: int = 0

    def log_fields(self) -> dict[str, int]:
        """Returns the counts under the names that they have in a log line."""
        return {name.replace("_", " "): count for name, count in asdict(self).items()}


@dataclass(frozen=True, slots=True)
class SubscriptionStatus:
    """Numbers of resources of one type on one stream; `behind`: accepted ones that are not current.

    `error` is the message of the last refusal, until a response is accepted.
    """

    accepted: int
    unsent: int
    pending: int
    error: str
    behind: int


@dataclass(frozen=True, slots=True)
class FollowerStatus:
    """The state of one follower's stream; `types` by the short name of the resource type."""

    node: str
    peer: str
    is_incremental: bool
    responses: int
    refused: int
    bytes: int
    types: dict[str, SubscriptionStatus]


class FollowerStream:
    """An open stream of one follower."""

    def __init__(self, resources: ResourceCache, peer: str, *, is_incremental: bool) -> None:
        self.peer = peer
        self.follower = Follower(resources, is_incremental=is_incremental)
        self.wake = asyncio.Event()  # set when something may have to be sent
        self.writer: asyncio.Task[None] | None = None

    @property
    def name(self) -> str:
        """The node name that the follower gave, or else its address."""
        return self.follower.node or self.peer

    def end(self) -> None:
        """Ends the stream by cancelling its writer.

        A writer whose follower does not read is blocked in a write and would not end by itself.
        """
        if self.writer is not None:
            self.writer.cancel()


class Broadcaster:
    """Notifies all streams of changes. `now` returns whole microseconds."""

    def __init__(
        self, resources: ResourceCache, now: Callable[[], int], limits: StreamLimits | None = None
    ) -> None:
        self.resources = resources
        self.now = now
        self.limits = limits or StreamLimits()
        self.streams: set[FollowerStream] = set()
        self.starting = asyncio.Semaphore(self.limits.starting)
        self.counts = StreamCounts()

    @property
    def is_full(self) -> bool:
        """True if no more streams are accepted."""
        return len(self.streams) >= self.limits.streams

    def publish(self, changes: set[ResourceChange], *, urgent: bool = False) -> None:
        """Queues changes on each stream that subscribes to them; `urgent`: drains and purges, sent first."""
        if not changes:
            return
        now_us = self.now()
        names_by_type = dict[str, set[str]]()
        for change in changes:
            names_by_type.setdefault(change.type_url, set()).add(change.name)
        for stream in self.streams:
            for type_url, names in names_by_type.items():
                is_urgent = urgent and type_url in TYPES_WITH_TTL
                if stream.follower.mark_changed(now_us, type_url, names, urgent=is_urgent):
                    stream.wake.set()

    def end_late_streams(self) -> list[str]:
        """Ends streams that have not accepted a drain or a purge in time; returns their names.

        Otherwise a proxy that hangs while it applies a response would go on with a stale pool, and the
        state last sent to it would count as delivered.
        """
        now_us, late = self.now(), list[str]()
        for stream in list(self.streams):
            if stream.follower.is_late(now_us, ACCEPTANCE_TIMEOUT_US):
                late.append(stream.name)
                self.counts.renewed += 1
                self.streams.discard(stream)
                stream.end()
        return late

    def status(self) -> list[FollowerStatus]:
        """Returns the status of each follower, sorted by node and address."""
        statuses = [self._follower_status(stream) for stream in self.streams]
        return sorted(statuses, key=lambda status: (status.node, status.peer))

    def _follower_status(self, stream: FollowerStream) -> FollowerStatus:
        follower = stream.follower
        return FollowerStatus(
            node=follower.node,
            peer=stream.peer,
            is_incremental=follower.is_incremental,
            responses=follower.response_count,
            refused=follower.refusal_count,
            bytes=follower.bytes_sent,
            types={
                type_url.rpartition(".")[2]: self._subscription_status(type_url, subscription)
                for type_url, subscription in follower.subscriptions.items()
            },
        )

    def _subscription_status(self, type_url: str, subscription: Subscription) -> SubscriptionStatus:
        return SubscriptionStatus(
            accepted=len(subscription.accepted),
            unsent=len(subscription.unsent),
            pending=len(subscription.pending),
            error=subscription.error,
            behind=sum(
                self._is_behind(type_url, name, version) for name, version in subscription.accepted.items()
            ),
        )

    def _is_behind(self, type_url: str, name: str, version: str) -> bool:
        resource = self.resources.get(type_url, name)
        return resource is None or resource.version != version
