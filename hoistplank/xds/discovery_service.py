"""The aggregated discovery service on grpc.aio, state of the world and incremental.

For each stream one task reads requests, another writes responses, one message at a time: no message is built
before the transport has accepted the previous one.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Any, TypeAlias

import grpc
import structlog
from envoy.service.discovery.v3 import discovery_pb2

from hoistplank.xds.broadcaster import Broadcaster, FollowerStream
from hoistplank.xds.errors import InvalidRequestError
from hoistplank.xds.follower import Follower
from hoistplank.xds.response_encoder import ResponseEncoder
from hoistplank.xds.stream_messages import DeltaRequest, StateRequest

log = structlog.get_logger()
MAX_REQUEST_BYTES = 4_194_304
KEEPALIVE_MS = 10_000
FIRST_STATE_SLOT_S = 2.0  # for a follower's first full state; then its slot is free for another
HEARTBEAT_S = 1.0
MAX_NODE_CHARACTERS = 200
MAX_LOGGED_ERROR_CHARACTERS = 300
SERVICE_NAME = "envoy.service.discovery.v3.AggregatedDiscoveryService"

# Checks a caller's certificate, given the node's name and the call's context: returns "" if the caller may be
# that node, else the reason why not.
AuthorizeNode: TypeAlias = Callable[[str, Any], str]
_HandleRequest: TypeAlias = Callable[[Follower, Any], None]


class AggregatedDiscoveryService:
    """Implements the service's two methods, for all streams of a broadcaster."""

    def __init__(self, broadcaster: Broadcaster, authorize_node: AuthorizeNode | None = None) -> None:
        self.broadcaster = broadcaster
        self.authorize_node = authorize_node
        self.encoder = ResponseEncoder()

    def handlers(self) -> Any:
        """Returns the methods by the service's published names; responses are already encoded."""
        return grpc.method_handlers_generic_handler(
            SERVICE_NAME,
            {
                "StreamAggregatedResources": grpc.stream_stream_rpc_method_handler(
                    self.stream_resources,
                    request_deserializer=discovery_pb2.DiscoveryRequest.FromString,
                    response_serializer=None,
                ),
                "DeltaAggregatedResources": grpc.stream_stream_rpc_method_handler(
                    self.delta_resources,
                    request_deserializer=discovery_pb2.DeltaDiscoveryRequest.FromString,
                    response_serializer=None,
                ),
            },
        )

    async def stream_resources(self, requests: AsyncIterator[Any], context: Any) -> None:
        """Serves a state-of-the-world stream."""
        stream = await self._open(context, is_incremental=False)
        await self._serve(stream, requests, context, _handle_state_request)

    async def delta_resources(self, requests: AsyncIterator[Any], context: Any) -> None:
        """Serves an incremental stream."""
        stream = await self._open(context, is_incremental=True)
        await self._serve(stream, requests, context, _handle_delta_request)

    async def _open(self, context: Any, *, is_incremental: bool) -> FollowerStream:
        """Adds a stream; aborts the call if there are too many."""
        broadcaster = self.broadcaster
        if broadcaster.is_full:
            broadcaster.counts.refused_streams += 1
            await context.abort(
                grpc.StatusCode.RESOURCE_EXHAUSTED,
                "this process serves its maximum number of followers",
            )
        stream = FollowerStream(broadcaster.resources, context.peer(), is_incremental=is_incremental)
        broadcaster.streams.add(stream)
        broadcaster.counts.streams += 1
        return stream

    async def _serve(
        self, stream: FollowerStream, requests: AsyncIterator[Any], context: Any, handle: _HandleRequest
    ) -> None:
        reader = asyncio.create_task(self._read(stream, requests, context, handle), name="xds reader")
        writer = asyncio.create_task(self._write(stream, context), name="xds writer")
        stream.writer = writer
        try:
            await asyncio.wait((reader, writer), return_when=asyncio.FIRST_COMPLETED)
            await self._abort_if_failed(stream, reader, context)
            if writer.done():
                await context.abort(
                    grpc.StatusCode.UNAVAILABLE,
                    "drain or purge not accepted in time: reconnect with the held versions",
                )
        finally:
            self.broadcaster.streams.discard(stream)
            stream.follower.close()
            for task in (reader, writer):
                task.cancel()
            await asyncio.gather(reader, writer, return_exceptions=True)

    async def _abort_if_failed(
        self, stream: FollowerStream, reader: asyncio.Task[None], context: Any
    ) -> None:
        error = reader.exception() if reader.done() and not reader.cancelled() else None
        if isinstance(error, InvalidRequestError):
            self.broadcaster.counts.bad_requests += 1
            log.warning("follower's request invalid, stream ended", peer=stream.peer, wrong=str(error))
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))

    async def _read(
        self, stream: FollowerStream, requests: AsyncIterator[Any], context: Any, handle: _HandleRequest
    ) -> None:
        """Handles requests until the follower sends no more; raises InvalidRequestError."""
        follower = stream.follower
        async for request in requests:
            if request.node.id and not follower.node:
                self._identify(follower, request.node.id, context)
            refusals_before = follower.refusal_count
            handle(follower, request)
            if follower.refusal_count > refusals_before:
                _log_refusal(stream, request)
            stream.wake.set()

    def _identify(self, follower: Follower, node: str, context: Any) -> None:
        follower.node = node[:MAX_NODE_CHARACTERS]
        reason = self.authorize_node(follower.node, context) if self.authorize_node is not None else ""
        if reason:
            raise InvalidRequestError(reason)

    async def _write(self, stream: FollowerStream, context: Any) -> None:
        """Sends responses and heartbeats until it is cancelled."""
        await stream.wake.wait()  # a follower that has sent no request yet takes up no slot for a first state
        await self._send_first_state(stream, context)
        while True:
            await self._send_responses(stream, context)
            try:
                async with asyncio.timeout(HEARTBEAT_S):
                    await stream.wake.wait()
            except TimeoutError:
                for heartbeat in stream.follower.heartbeats():
                    await context.write(self.encoder.encode(heartbeat, is_incremental=True))

    async def _send_first_state(self, stream: FollowerStream, context: Any) -> None:
        """Sends a follower's first state; only a bounded number of followers get theirs at a time.

        If 500 followers that reconnect at once all got a full state in the same second, a drain meanwhile
        would be queued behind it. The slot of a follower that does not read is freed after
        `FIRST_STATE_SLOT_S`.
        """
        await self.broadcaster.starting.acquire()
        slot = contextlib.ExitStack()
        slot.callback(self.broadcaster.starting.release)
        timer = asyncio.get_running_loop().call_later(FIRST_STATE_SLOT_S, slot.close)
        try:
            await self._send_responses(stream, context)
        finally:
            timer.cancel()
            slot.close()

    async def _send_responses(self, stream: FollowerStream, context: Any) -> None:
        """Sends all responses that may be sent now."""
        stream.wake.clear()
        follower = stream.follower
        while (response := follower.next_response()) is not None:
            data = self.encoder.encode(response, is_incremental=follower.is_incremental)
            await context.write(data)


def _error_message(request: Any) -> str:
    return str(request.error_detail.message) if request.HasField("error_detail") else ""


def _handle_state_request(follower: Follower, request: Any) -> None:
    names = list(request.resource_names)
    error = _error_message(request)
    follower.handle_state_request(StateRequest(request.type_url, names, request.response_nonce, error))


def _handle_delta_request(follower: Follower, request: Any) -> None:
    follower.handle_delta_request(
        DeltaRequest(
            type_url=request.type_url,
            subscribe=list(request.resource_names_subscribe),
            unsubscribe=list(request.resource_names_unsubscribe),
            initial_versions=dict(request.initial_resource_versions),
            nonce=request.response_nonce,
            error=_error_message(request),
        )
    )


def _log_refusal(stream: FollowerStream, request: Any) -> None:
    log.warning(
        "response refused by follower",
        node=stream.follower.node,
        peer=stream.peer,
        type=request.type_url,
        error=request.error_detail.message[:MAX_LOGGED_ERROR_CHARACTERS],
    )


def discovery_server(broadcaster: Broadcaster, authorize_node: AuthorizeNode | None = None) -> Any:
    """Returns a grpc.aio server of the service; the caller adds its port and starts it."""
    server = grpc.aio.server(
        options=[
            ("grpc.max_receive_message_length", MAX_REQUEST_BYTES),
            ("grpc.keepalive_time_ms", KEEPALIVE_MS),
            ("grpc.so_reuseport", 0),
        ]
    )
    service = AggregatedDiscoveryService(broadcaster, authorize_node)
    server.add_generic_rpc_handlers((service.handlers(),))
    return server
