"""One client's FastCGI connection: its requests, their responses, and how the connection ends."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

from hoistplank.protocol import fastcgi
from hoistplank.protocol.errors import ProtocolError
from hoistplank.routing.attempts import Request
from hoistplank.routing.events import ClientDisconnected, RequestArrived
from hoistplank.routing.rate_limited_log import RateLimitedLog
from hoistplank.routing.request_intake import RequestIntake, is_health_check
from hoistplank.routing.response import FastCgiResponse
from hoistplank.routing.router_task import RouterTask
from hoistplank.transport.connection import Connection, Consume
from hoistplank.transport.descriptor_budget import ConnectionKind, DescriptorBudget

MAX_REQUESTS = 32  # open ones a connection
MAX_RECORD_BYTES = 131_072  # a record with its padding
MAX_UNSENT_BYTES = 1_048_576  # what may wait for one client before its next requests are deferred
# What may wait for one before nothing more is read from it: beyond all answers that it can be owed at once.
MAX_UNSENT_BEFORE_PAUSE_BYTES = MAX_UNSENT_BYTES + MAX_REQUESTS * 245_760
DEFERRED_ANSWER_US = 250_000  # before its time is over, what was deferred for a slow reader is answered
SHED_READ_PAUSE_S = 0.02  # between reads of a connection whose last read was shed
MAX_BAD_REQUESTS = 8  # requests that can't be used, on one connection: usual clients send none

ConnectionFactory = Callable[[socket.socket, Consume, int, int], Connection]


class SessionOwner(Protocol):
    """What a session uses of the frontend, which owns it and stands above it."""

    router_task: RouterTask
    intake: RequestIntake
    descriptors: DescriptorBudget
    rate_limited_log: RateLimitedLog
    sessions: dict[ClientSession, None]
    unfinished_timeout_s: float  # for a request to become whole

    def shed(self, number: int, script: bytes) -> bytes | None:
        """The answer to a request that is shed as it begins; None where it is read on."""

    def count_held_bytes(self, more: int) -> None:
        """Requests of this client hold so many bytes more, or fewer."""


class ClientSession:
    """One connection of a client, from accept to close.

    `identity` is what its handshake has proven, for the authorizer to read; `peer` its remote address.
    """

    identity: object

    def __init__(
        self, frontend: SessionOwner, sock: socket.socket, peer: str, make_connection: ConnectionFactory
    ) -> None:
        self.frontend, self.intake = frontend, frontend.intake
        # Danger: load shedding is blind to who calls; one tenant's herd would have it shed all.
        shed = frontend.shed if frontend.intake.authorizer is None else None
        self.reader = fastcgi.RequestReader(MAX_REQUESTS, shed)
        self.peer, self.identity = peer, None
        # By FastCGI number; None while it is not a request for the router task (yet).
        self.open_requests: dict[int, Request | None] = {}
        # Whole, and not handed to the router task while too much waits for this client.
        self.deferred: dict[int, Request] = {}
        self.is_closing = False  # it ends once nothing is owed on it any more
        self.given_up = False  # what it sent can't be used: nothing more is read
        self.has_sent_request = False  # whether it has sent a usable request
        self.bad_requests = 0
        self.whole_requests = 0
        self.counted_bytes = 0  # what the frontend knows of the bytes that its requests hold
        self.unfinished_since: dict[
            int, float
        ] = {}  # by number: when a sweep first found a request unfinished
        self.connection = make_connection(sock, self.consume, MAX_RECORD_BYTES, MAX_UNSENT_BEFORE_PAUSE_BYTES)
        loop = asyncio.get_running_loop()
        self.opened_at = loop.time()
        self.task = loop.create_task(self.connection.run(), name="client connection")
        self.task.add_done_callback(self._ended)

    # What comes in.

    def consume(self, buffer: bytearray, start: int, end: int) -> int:
        """Takes the requests that stand whole between start and end; returns how far the buffer is used."""
        shed_before = self.reader.shed_count
        try:
            while not self.given_up:
                start, events = self.reader.read(buffer, start, end)
                if not events:
                    return start
                for event in events:
                    if isinstance(event, fastcgi.RequestReceived):
                        self._request_received(event.request, is_last=start == end)
                    elif isinstance(event, fastcgi.ProtocolReply):
                        self.connection.send(event.data)
                    else:
                        self._request_aborted(event)
        except ProtocolError as error:
            self.give_up(str(error))
        finally:
            self._read_ended(shed_before)
        return end

    def _read_ended(self, shed_before: int) -> None:
        self._count_held_bytes()
        if self.reader.close_requested:
            asyncio.get_running_loop().call_soon(self.close_when_idle)
        if self.reader.shed_count > shed_before:
            # Danger: a usual client that got nothing but refusals for a while would pass for one that
            # never sent a request, and lose its connection with what it sent meanwhile.
            self.has_sent_request = True
            # Danger: while the core is full, a read and a write for each request rejected cost more
            # than serving another: what comes next is read later, in one go.
            self.connection.pause_reading(SHED_READ_PAUSE_S)

    def _count_held_bytes(self) -> None:
        more = self.reader.held_bytes - self.counted_bytes
        self.counted_bytes = self.reader.held_bytes
        self.frontend.count_held_bytes(more)

    def _request_received(self, received: fastcgi.FastCgiRequest, *, is_last: bool) -> None:
        """`is_last`: nothing more has been read behind it."""
        response = FastCgiResponse(self, received.number, received.keep_connection)
        self.open_requests[received.number] = None
        self.whole_requests += 1
        try:
            if received.error:
                raise ProtocolError(received.error)
            fields = received.parameters()
            if is_health_check(fields):
                self.has_sent_request = True
                self.intake.answer_health_check(response)
                return
            request = self.intake.parse(response, fields, received, self._unread_for_us(is_last=is_last))
        except ProtocolError as error:
            self._refuse_bad_request(received, response, str(error))
            return
        self.has_sent_request = True
        authorizer = self.intake.authorizer
        if authorizer is not None and not self.intake.authorize(
            authorizer, request, response, fields, self.identity, self.peer
        ):
            return
        self.open_requests[received.number] = request
        if self.connection.unsent_bytes > MAX_UNSENT_BYTES:
            # Danger: a client that does not read what it is owed would fill the memory. It is read on all the
            # same: an end that nobody reads is an end that nobody sees, and its requests would be forwarded.
            self.deferred[received.number] = request
            self.connection.on_all_written = self._all_sent
        else:
            self.frontend.router_task.submit(RequestArrived(request))

    def _unread_for_us(self, *, is_last: bool) -> int:
        """For how long what has just been read may have lain unread, where that can be long.

        The system tells it of the last bytes alone; what stands before them may have come at any time of the
        standstill at which this connection was not known to be drained.
        """
        standstills = self.frontend.router_task.standstills
        if not standstills.is_recovering():
            return 0
        if is_last:
            return self.connection.last_arrival_age_us()
        unread_since = max(standstills.last_began_at, self.connection.drained_at)
        return int((asyncio.get_running_loop().time() - unread_since) * 1e6)

    def _refuse_bad_request(
        self, received: fastcgi.FastCgiRequest, response: FastCgiResponse, error: str
    ) -> None:
        """Answered at once, and nothing goes to a cache host."""
        self.frontend.rate_limited_log.warning("request can't be used", wrong=error)
        response.send(400, (), b"")
        self.bad_requests += 1
        if received.error or self.bad_requests >= MAX_BAD_REQUESTS:
            self.give_up(error)

    def _request_aborted(self, event: fastcgi.RequestAborted) -> None:
        request = self.open_requests.pop(event.number, None)
        if request is not None:
            self.deferred.pop(event.number, None)
            self.frontend.router_task.submit(ClientDisconnected(request))
            self.intake.ended(request)
        self.connection.send(fastcgi.encode_end_request(event.number, 1))

    # What goes out.

    def send_response(self, response: FastCgiResponse, data: bytes) -> None:
        """Sends a response, unless its request was aborted."""
        if response.number not in self.open_requests:
            return  # aborted meanwhile: no answer is owed, and the number may stand for another request
        request = self.open_requests[response.number]
        if request is not None and request.response is not response:
            return
        del self.open_requests[response.number]
        self.reader.release(response.number)
        self._count_held_bytes()
        self.connection.send(data)
        if request is not None:
            self.intake.ended(request)
        if not response.keep_connection:
            self.close_when_idle()

    def _all_sent(self) -> None:
        """All that waited for this client has been written."""
        deferred, self.deferred = self.deferred, {}
        for request in deferred.values():
            self.frontend.router_task.submit(RequestArrived(request))
        if self.is_closing and self.is_idle():
            self.connection.close_gracefully()

    def release_overdue(self, now_us: int) -> None:
        """What is deferred and nearly out of time goes to the router task after all, for a timely answer."""
        for number, request in list(self.deferred.items()):
            if request.deadline_us - now_us < DEFERRED_ANSWER_US:
                del self.deferred[number]
                self.frontend.router_task.submit(RequestArrived(request))

    # How it ends.

    def give_up(self, reason: str) -> None:
        """What was received can't be used: all that is open is answered at once, no more is read, and it
        closes."""
        if self.given_up:
            return
        self.given_up = True
        self.frontend.rate_limited_log.warning("client connection given up", wrong=reason)
        self._fail_open_requests()
        self.reader.forget_all()
        self._count_held_bytes()
        self.connection.stop_reading()
        self.connection.close_gracefully()

    def _fail_open_requests(self) -> None:
        for number, request in list(self.open_requests.items()):
            if request is not None:
                request.response.fail()
                self.frontend.router_task.submit(ClientDisconnected(request))
            self.open_requests.pop(number, None)
        self.deferred.clear()

    def release_memory(self) -> None:
        """Requests hold too much memory, and this client's most: they are answered at once.

        Danger: what else it has written lies unread, and each whole request is owed an answer: the connection
        goes on, unless what it holds never becomes whole.
        """
        self.frontend.rate_limited_log.warning("requests hold too much memory", bytes=self.reader.held_bytes)
        held_bytes = self.reader.held_bytes
        self._fail_open_requests()
        if self.reader.held_bytes > held_bytes // 2:
            self.give_up("unfinished requests hold too much memory")

    def close_when_idle(self, *, even_if_silent: bool = True) -> None:
        """Ends this connection once all that is open on it has been answered, and the answers are out."""
        self.is_closing, self.connection.on_all_written = True, self._all_sent
        if self.is_idle() and (even_if_silent or self.has_sent_request):
            self.connection.close_gracefully()

    def _ended(self, task: asyncio.Task[BaseException | None]) -> None:
        self.frontend.sessions.pop(self, None)
        self.frontend.descriptors.release(ConnectionKind.CLIENT)
        self.reader.held_bytes = 0
        self._count_held_bytes()
        error = None if task.cancelled() else task.exception() or task.result()
        if error is not None and not isinstance(error, OSError):
            self.frontend.rate_limited_log.warning(
                "client connection closed", wrong=str(error) or type(error).__name__
            )
        self._disconnected()

    def _disconnected(self) -> None:
        """The client is gone: nobody waits for what is open here."""
        for request in self.open_requests.values():
            if request is not None:
                self.frontend.router_task.submit(ClientDisconnected(request))
                self.intake.ended(request)
        self.open_requests.clear()

    def read_pending(self, max_reads: int) -> None:
        """Reads what has come by now, an end included."""
        self.connection.read_pending(max_reads)
        if self.connection.is_closed:
            # Danger: the connection's task ends some turns later, and attempts would be made until then.
            self._disconnected()

    # What the frontend asks before it ends one.

    def has_unfinished_request(self) -> bool:
        """Whether part of a request has come and the rest has not."""
        connection = self.connection
        return len(self.reader.requests) > len(self.reader.complete) or connection.has_partial_message

    def is_idle(self) -> bool:
        """Whether nothing is owed on it, after one more read of what has come.

        Danger: on a full core a request may lie unread for long; a close on it loses an accepted request.
        """
        if self._owes_nothing():
            self.connection.read_now()
        return self._owes_nothing()

    def _owes_nothing(self) -> bool:
        return not (self.reader.requests or self.connection.unsent_bytes or self.has_unfinished_request())

    def is_answered(self) -> bool:
        """Whether every request that came whole has its answer, and the answers are with the system."""
        return not (self.open_requests or self.connection.unsent_bytes)

    def is_silent(self) -> bool:
        """Whether nothing of a request has ever come."""
        return not (self.has_sent_request or self.open_requests or self.has_unfinished_request())

    def overdue(self, now: float) -> str:
        """Why this connection is to end, "" where it may stay: no request became whole in time.

        The clock runs from the start, whatever has come since.
        """
        timeout_s = self.frontend.unfinished_timeout_s
        if not self.has_sent_request and now - self.opened_at > timeout_s:
            self.connection.read_now()
            if not self.has_sent_request:
                return "no whole request in time"
        if not self.has_unfinished_request():
            self.unfinished_since = {}
            return ""
        numbers = [number for number in self.reader.requests if number not in self.reader.complete]
        if not numbers:
            # A record that has begun; the next whole request ends its clock.
            numbers = [-1 - self.whole_requests]
        self.unfinished_since = {number: self.unfinished_since.get(number, now) for number in numbers}
        return "a request does not become whole" if self.is_stalled(now, timeout_s) else ""

    def is_stalled(self, now: float, timeout_s: float) -> bool:
        """Whether one of its requests has been unfinished for longer."""
        return any(now - since > timeout_s for since in self.unfinished_since.values())
