"""The resources and the streams that follow them: changes reach each stream as names of resources."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import asdict, dataclass

from hoistplank.xds.follower import TYPES_WITH_TTL, Follower
from hoistplank.xds.resources import ResourceCache, ResourceChange
from hoistplank.xds.subscription import Subscription

LATE_US = 800_000  # a purge or a drain that is not accepted by then: the stream is ended and comes anew


@dataclass(frozen=True, slots=True)
class StreamLimits:
    """`streams` at most at once; `starting`: of them, how many may be getting their first whole state."""

    streams: int = 1_024
    starting: int = 64


@dataclass(slots=True)
class StreamCounts:
    """What has happened to streams so far."""

    streams: int = 0
    refused_streams: int = 0
    bad_requests: int = 0
    renewed: int = 0

    def log_fields(self) -> dict[str, int]:
        """The counts as they stand in a log line."""
        return {name.replace("_", " "): count for name, count in asdict(self).items()}


@dataclass(frozen=True, slots=True)
class SubscriptionStatus:
    """One type of one stream: how many resources are accepted, owed, pending, and of an older version."""

    accepted: int
    owed: int
    pending: int
    error: str
    behind: int


@dataclass(frozen=True, slots=True)
class FollowerStatus:
    """What one follower has, wants, refused and is owed; `types` by the short name of the type."""

    node: str
    peer: str
    is_incremental: bool
    responses: int
    refused: int
    bytes: int
    types: dict[str, SubscriptionStatus]


class FollowerStream:
    """A follower's stream while it lasts."""

    def __init__(self, resources: ResourceCache, peer: str, *, is_incremental: bool) -> None:
        self.peer = peer
        self.follower = Follower(resources, is_incremental=is_incremental)
        self.wake = asyncio.Event()  # something may have to be sent
        self.writer: asyncio.Task[None] | None = None

    @property
    def name(self) -> str:
        """Who it says it is, or else its address."""
        return self.follower.node or self.peer

    def end(self) -> None:
        """Ends the stream. Danger: a follower that reads nothing holds its writer in a write for ever."""
        if self.writer is not None:
            self.writer.cancel()


class Broadcaster:
    """Tells all streams what changed. `now` returns whole microseconds."""

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
        """Whether no more streams are accepted."""
        return len(self.streams) >= self.limits.streams

    def publish(self, changes: set[ResourceChange], *, urgent: bool = False) -> None:
        """Tells all who want it what changed; `urgent`: drains and purges, which go before all else."""
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
        """Ends streams that have not accepted a drain or a purge in time; returns who they are.

        Danger: a proxy that hangs half-way serves a stale pool, and its last state would count as given.
        """
        now_us, late = self.now(), list[str]()
        for stream in list(self.streams):
            if stream.follower.is_late(now_us, LATE_US):
                late.append(stream.name)
                self.counts.renewed += 1
                self.streams.discard(stream)
                stream.end()
        return late

    def status(self) -> list[FollowerStatus]:
        """The status of each follower, by node and address."""
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
            owed=len(subscription.owed),
            pending=len(subscription.pending),
            error=subscription.error,
            behind=sum(
                self._is_behind(type_url, name, version) for name, version in subscription.accepted.items()
            ),
        )

    def _is_behind(self, type_url: str, name: str, version: str) -> bool:
        resource = self.resources.get(type_url, name)
        return resource is None or resource.version != version
