"""The xDS service on grpc.aio: streams of followers, each with its `Follower`, all with one `ResourceCache`.

One task a stream reads requests, another writes what the follower is owed, one message at a time: what the
transport has not taken yet is not made. Changes reach every follower as names before anything is written.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Any

import grpc
import structlog
from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf import any_pb2, duration_pb2
from google.rpc import status_pb2

from hoistplank.xds.follower import WITH_TTL, BadRequest, Follower, Response
from hoistplank.xds.resources import Change, ResourceCache

log = structlog.get_logger()
MOST_MESSAGE = 4_194_304  # bytes of a request
LATE_US = 800_000  # a purge or a drain that is not accepted by then: the stream is ended and comes anew
KEEPALIVE_MS = 10_000
MOST_KEPT, MOST_ALIKE = 64, 16  # messages kept encoded; those of more resources are a follower's own
START_S = 2.0  # for a follower's first whole state, before the next may begin theirs
BEAT_S, TTL_S = 1.0, 3  # heartbeats, and how long endpoints and purges stand without one
TTL = duration_pb2.Duration(seconds=TTL_S)


@dataclass(frozen=True, slots=True)
class Limits:
    """`streams` at most at once; `starting`: of them, how many may be getting their first whole state."""

    streams: int = 1_024
    starting: int = 64


class Stream:
    """A follower's stream while it lasts."""

    def __init__(self, hub: Hub, delta: bool, peer: str) -> None:
        self.hub, self.peer = hub, peer
        self.follower = Follower(hub.resources, delta)
        self.wake = asyncio.Event()
        self.writer: asyncio.Task[None] | None = None

    def end(self) -> None:
        """Danger: a follower that reads nothing holds its writer in a write for ever."""
        if self.writer is not None:
            self.writer.cancel()


class Hub:
    """The resources and who follows it. `now` tells whole microseconds."""

    def __init__(
        self, resources: ResourceCache, now: Callable[[], int], limits: Limits | None = None
    ) -> None:
        self.resources, self.now, self.limits = resources, now, limits or Limits()
        self.streams: set[Stream] = set()
        self.starting = asyncio.Semaphore(self.limits.starting)
        self.counts = {"streams": 0, "refused streams": 0, "bad requests": 0, "renewed": 0}

    def tell(self, changes: set[Change], urgent: bool = False) -> None:
        """What changed in the resources, to all who want it; `urgent`: drains and purges, before all else."""
        if not changes:
            return
        now, by_kind = self.now(), dict[str, set[str]]()
        for kind, name in changes:
            by_kind.setdefault(kind, set()).add(name)
        for stream in self.streams:
            for kind, names in by_kind.items():
                if stream.follower.changed(now, kind, names, urgent and kind in WITH_TTL):
                    stream.wake.set()

    def renew_late(self) -> list[str]:
        """Ends the streams that have not accepted a drain or a purge in time; returns who they are.

        Danger: a proxy that hangs half-way serves a stale pool, and its last state would count as given.
        """
        now, late = self.now(), list[str]()
        for stream in list(self.streams):
            if stream.follower.late(now, LATE_US):
                late.append(stream.follower.node or stream.peer)
                self.counts["renewed"] += 1
                self.streams.discard(stream)
                stream.end()
        return late

    def look(self) -> list[dict[str, Any]]:
        """Each follower: what it has, wants, refused and is owed."""
        rows = []
        for stream in self.streams:
            follower = stream.follower
            rows.append(
                {
                    "node": follower.node,
                    "peer": stream.peer,
                    "delta": follower.delta,
                    "responses": follower.sent,
                    "refused": follower.nacks,
                    "bytes": follower.bytes,
                    "types": {
                        kind.rpartition(".")[2]: {
                            "has": len(interest.accepted),
                            "owed": len(interest.owed),
                            "out": len(interest.out),
                            "error": interest.error,
                            "behind": sum(
                                (found := self.resources.get(kind, name)) is None or found.version != version
                                for name, version in interest.accepted.items()
                            ),
                        }
                        for kind, interest in follower.types.items()
                    },
                }
            )
        return sorted(rows, key=lambda row: (row["node"], row["peer"]))


def _detail(request: Any) -> str:
    return str(request.error_detail.message) if request.HasField("error_detail") else ""


def _asked(follower: Follower, request: Any) -> None:
    follower.asks(request.type_url, list(request.resource_names), request.response_nonce, _detail(request))


def _changed(follower: Follower, request: Any) -> None:
    follower.changes(
        request.type_url,
        list(request.resource_names_subscribe),
        list(request.resource_names_unsubscribe),
        dict(request.initial_resource_versions),
        request.response_nonce,
        _detail(request),
    )


def whole(response: Response) -> Any:
    """A state-of-the-world message, but for its nonce."""
    return discovery_pb2.DiscoveryResponse(
        version_info=response.version,
        type_url=response.kind,
        resources=[any_pb2.Any(type_url=response.kind, value=data) for _, _, data in response.resources],
    )


def delta(response: Response) -> Any:
    """An incremental message, but for its nonce."""
    return discovery_pb2.DeltaDiscoveryResponse(
        system_version_info=response.version,
        type_url=response.kind,
        removed_resources=response.removed,
        resources=[
            discovery_pb2.Resource(
                name=name,
                version=version,
                ttl=TTL if response.kind in WITH_TTL else None,
                resource=None if response.beat else any_pb2.Any(type_url=response.kind, value=data),
            )
            for name, version, data in response.resources
        ],
    )


class Encoder:
    """Responses as bytes. What many followers are told alike is encoded once: the last messages are kept
    without their nonce, which is put behind, as encoded messages in a row are one message."""

    def __init__(self) -> None:
        self.kept: dict[Any, bytes] = {}

    def encoded(self, response: Response, incremental: bool) -> bytes:
        rows = tuple((name, version) for name, version, _ in response.resources)
        key = (incremental, response.kind, response.beat, rows, tuple(response.removed))
        data = self.kept.get(key)
        if data is None:
            if len(self.kept) >= MOST_KEPT:
                self.kept.clear()
            data = (delta if incremental else whole)(response).SerializeToString()
            if len(rows) <= MOST_ALIKE:
                self.kept[key] = data
        kind = discovery_pb2.DeltaDiscoveryResponse if incremental else discovery_pb2.DiscoveryResponse
        return bytes(data + kind(nonce=response.nonce).SerializeToString())


class Ads:
    """Aggregated discovery, both variants."""

    def __init__(self, hub: Hub, may_be: Callable[[str, Any], str] | None = None) -> None:
        """`may_be(node, context)`: "" where a caller may be that node by its certificate, else why not."""
        self.hub, self.may_be, self.encoder = hub, may_be, Encoder()

    def handlers(self) -> Any:
        """By the service's published names; responses go out as the bytes they are."""

        def method(call: Any, request: Any) -> Any:
            return grpc.stream_stream_rpc_method_handler(
                call, request_deserializer=request.FromString, response_serializer=None
            )

        return grpc.method_handlers_generic_handler(
            "envoy.service.discovery.v3.AggregatedDiscoveryService",
            {
                "StreamAggregatedResources": method(self.stream, discovery_pb2.DiscoveryRequest),
                "DeltaAggregatedResources": method(self.delta, discovery_pb2.DeltaDiscoveryRequest),
            },
        )

    async def stream(self, requests: AsyncIterator[Any], context: Any) -> None:
        await self._serve(requests, context, False, _asked)

    async def delta(self, requests: AsyncIterator[Any], context: Any) -> None:
        await self._serve(requests, context, True, _changed)

    async def _serve(
        self,
        requests: AsyncIterator[Any],
        context: Any,
        delta: bool,
        take: Callable[[Follower, Any], None],
    ) -> None:
        hub = self.hub
        if len(hub.streams) >= hub.limits.streams:
            hub.counts["refused streams"] += 1
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "as many followers as this process takes")
        stream = Stream(hub, delta, context.peer())
        hub.streams.add(stream)
        hub.counts["streams"] += 1
        reader = asyncio.create_task(self._read(stream, requests, context, take))
        stream.writer = asyncio.create_task(self._write(stream, context))
        try:
            await asyncio.wait((reader, stream.writer), return_when=asyncio.FIRST_COMPLETED)
            wrong = reader.exception() if reader.done() and not reader.cancelled() else None
            if isinstance(wrong, BadRequest):
                hub.counts["bad requests"] += 1
                log.warning("follower's request can't be used", peer=stream.peer, wrong=str(wrong))
                await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(wrong))
            if stream.writer.done():
                await context.abort(grpc.StatusCode.UNAVAILABLE, "renewed: come again with what you hold")
        finally:
            hub.streams.discard(stream)
            stream.follower.ended()
            for task in (reader, stream.writer):
                task.cancel()
            await asyncio.gather(reader, stream.writer, return_exceptions=True)

    async def _read(
        self,
        stream: Stream,
        requests: AsyncIterator[Any],
        context: Any,
        take: Callable[[Follower, Any], None],
    ) -> None:
        """Until the follower says no more; raises BadRequest."""
        follower = stream.follower
        async for request in requests:
            if request.node.id and not follower.node:
                follower.node = request.node.id[:200]
                wrong = self.may_be(follower.node, context) if self.may_be is not None else ""
                if wrong:
                    raise BadRequest(wrong)
            before = follower.nacks
            take(follower, request)
            if follower.nacks > before:
                log.warning(
                    "refused by a follower",
                    node=follower.node,
                    peer=stream.peer,
                    type=request.type_url,
                    error=request.error_detail.message[:300],
                )
            stream.wake.set()

    async def _write(self, stream: Stream, context: Any) -> None:
        """What the follower is owed, until it is cancelled."""
        await stream.wake.wait()  # one that has said nothing yet holds nobody's place
        # Danger: 500 followers that come back at once would all get a whole state in the same second, and a
        # drain meanwhile would stand behind it. One that reads nothing gives its place back after a time.
        await self.hub.starting.acquire()
        place = contextlib.ExitStack()
        place.callback(self.hub.starting.release)
        timer = asyncio.get_running_loop().call_later(START_S, place.close)
        try:
            await self._tell(stream, context)
        finally:
            timer.cancel()
            place.close()
        while True:
            await self._tell(stream, context)
            try:
                async with asyncio.timeout(BEAT_S):
                    await stream.wake.wait()
            except TimeoutError:
                for beat in stream.follower.beat():
                    await context.write(self.encoder.encoded(beat, True))

    async def _tell(self, stream: Stream, context: Any) -> None:
        """All that is owed now."""
        stream.wake.clear()
        while (response := stream.follower.next()) is not None:
            await context.write(self.encoder.encoded(response, stream.follower.delta))


def server(hub: Hub, may_be: Callable[[str, Any], str] | None = None) -> Any:
    """A grpc.aio server of the hub; the caller adds its port and starts it."""
    made = grpc.aio.server(
        options=[
            ("grpc.max_receive_message_length", MOST_MESSAGE),
            ("grpc.keepalive_time_ms", KEEPALIVE_MS),
            ("grpc.so_reuseport", 0),
        ]
    )
    made.add_generic_rpc_handlers((Ads(hub, may_be).handlers(),))
    return made


def refusal(message: str) -> Any:
    """An error detail as a follower sends it when it refuses a response."""
    return status_pb2.Status(code=3, message=message)
