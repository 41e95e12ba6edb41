"""One FastCGI connection of the load generator: numbers requests and matches their responses."""

from __future__ import annotations

import asyncio
from typing import NamedTuple, Protocol, cast

from hoistplank.lab.load.fastcgi_codec import RequestTemplate, ResponseScanner

MAX_IN_FLIGHT = 30  # on one connection; a dispatcher accepts 32
MAX_STREAM_ID = 60_000


class OutgoingRequest(NamedTuple):
    """A request on the schedule; `due` in seconds of the event loop's clock."""

    template: RequestTemplate
    request_id: int
    object_number: int
    due: float
    class_index: int
    tenant: int


class ResponseRecorder(Protocol):
    """Receives the results of a connection."""

    def record_response(self, request: OutgoingRequest, status: int) -> None:
        """Record the response to a request."""

    def record_protocol_error(self) -> None:
        """Record a connection on which invalid FastCGI was received."""

    def record_lost(self, requests: int) -> None:
        """Record requests whose connection closed before their responses."""


class LoadConnection(asyncio.Protocol):
    """Sends requests and records their responses; with an `only` request, closes after its response."""

    def __init__(self, recorder: ResponseRecorder, only: OutgoingRequest | None = None) -> None:
        self._recorder = recorder
        self._only = only
        self._scanner = ResponseScanner()
        self._in_flight: dict[int, OutgoingRequest] = {}
        self._last_stream_id = 0
        self._transport: asyncio.Transport | None = None
        self._idle_waiter: asyncio.Future[None] | None = None
        self.is_closed = False

    @property
    def in_flight(self) -> int:
        """The number of requests without a response yet."""
        return len(self._in_flight)

    def has_capacity(self) -> bool:
        """Return True if it is connected and may carry one more request."""
        return self._transport is not None and len(self._in_flight) < MAX_IN_FLIGHT

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, and send the `only` request if there is one."""
        # uvloop's transports don't derive from asyncio's class, but have the same methods.
        self._transport = cast(asyncio.Transport, transport)
        if self._only is not None:
            self.send(self._only)

    def send(self, request: OutgoingRequest) -> None:
        """Send a request under a stream id that is not in use."""
        stream_id = self._last_stream_id % MAX_STREAM_ID + 1
        while stream_id in self._in_flight:
            stream_id += 1
        self._last_stream_id = stream_id
        self._in_flight[stream_id] = request
        assert self._transport is not None
        self._transport.write(request.template.encode(stream_id, request.request_id, request.object_number))

    def data_received(self, data: bytes) -> None:
        """Record the complete responses."""
        assert self._transport is not None
        try:
            responses = self._scanner.feed(data)
        except ValueError:
            self._recorder.record_protocol_error()
            self._transport.abort()
            return
        for response in responses:
            request = self._in_flight.pop(response.stream_id, None)
            if request is not None:
                self._recorder.record_response(request, response.status)
        if self._in_flight:
            return
        self._notify_idle()
        if self._only is not None:
            self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 (asyncio's signature)
        """Record the requests that are lost with the connection."""
        self.is_closed = True
        if self._in_flight:
            self._recorder.record_lost(len(self._in_flight))
        self._in_flight.clear()
        self._notify_idle()

    def close(self) -> None:
        """Close without recording what is in flight as lost."""
        if self._transport is not None:
            self._in_flight.clear()
            self._transport.close()

    async def wait_idle(self) -> None:
        """Wait until nothing is in flight."""
        if self._in_flight:
            self._idle_waiter = asyncio.get_running_loop().create_future()
            await self._idle_waiter

    def _notify_idle(self) -> None:
        if self._idle_waiter is not None and not self._idle_waiter.done():
            self._idle_waiter.set_result(None)
