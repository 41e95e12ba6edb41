"""A client's FastCGI connection: its requests, their responses, and the end of the connection."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

from hoistplank.protocol import fastcgi
from hoistplank.protocol.errors import ProtocolError
from hoistplank.routing.attempts import Request
from hoistplank.routing.events import ClientDisconnected, RequestArrived
from hoistplank.routing.misuse_throttle import MisuseBudget, MisuseThrottle
from hoistplank.routing.rate_limited_log import RateLimitedLog
from hoistplank.routing.request_intake import RequestIntake, is_health_check
from hoistplank.routing.response import FastCgiResponse
from hoistplank.routing.router_task import RouterTask
from hoistplank.routing.session_memory import SessionMemory
from hoistplank.routing.standstill import unread_for_us
from hoistplank.routing.unfinished_requests import UnfinishedRequests
from hoistplank.transport.connection import INITIAL_BUFFER_BYTES, Connection, Consume
from hoistplank.transport.descriptor_budget import ConnectionKind, DescriptorBudget

MAX_REQUESTS = 32  # open requests per connection
MAX_RECORD_BYTES = 131_072  # of one record with its padding
MAX_UNSENT_BYTES = 1_048_576  # unsent data of a client above which its next requests are deferred
# Unsent data of a client above which reading from it pauses: more than all answers that it can await at once.
MAX_UNSENT_BEFORE_PAUSE_BYTES = MAX_UNSENT_BYTES + MAX_REQUESTS * 245_760
DEFERRED_ANSWER_US = 250_000  # a deferred request is submitted this long before its deadline
SHED_READ_PAUSE_S = 0.02  # reading pause of a connection after one of its requests was shed
# Reads are this small before a connection's first valid request, and while it misuses the protocol; then they
# also wait while it doesn't read the replies.
UNTRUSTED_READ_BYTES = 1_024
MAX_UNSENT_REPLY_BYTES, UNSENT_REPLY_PAUSE_S = 65_536, 0.1

ConnectionFactory = Callable[[socket.socket, Consume, int, int], Connection]


class SessionOwner(Protocol):
    """The interface of the frontend that a session uses; the frontend owns the session."""

    router_task: RouterTask
    intake: RequestIntake
    descriptors: DescriptorBudget
    rate_limited_log: RateLimitedLog
    sessions: dict[ClientSession, None]
    misuse_budget: MisuseBudget
    unfinished_timeout_s: float  # time limit for a request to arrive completely

    def shed(self, number: int, script: bytes) -> bytes | None:
        """Returns the answer to a request that is shed as it begins; None if the request is to be read."""

    def count_held_bytes(self, session: ClientSession) -> None:
        """Counts what a session holds now; above the bound, some sessions are made to release theirs."""

    def session_ended(self, session: ClientSession) -> None:
        """Removes a session whose connection has ended."""


class ClientSession(SessionMemory):
    """One connection of a client, from accept to close.

    `identity` is the identity proven by its handshake, for the authorizer; `peer` is its remote address.
    """

    identity: object

    def __init__(
        self, frontend: SessionOwner, sock: socket.socket, peer: str, make_connection: ConnectionFactory
    ) -> None:
        self.frontend, self.intake = frontend, frontend.intake
        self.rate_limited_log = frontend.rate_limited_log
        # Load shedding doesn't know the caller: with an authorizer, one tenant's herd would cause the
        # requests of all tenants to be shed.
        shed = frontend.shed if frontend.intake.authorizer is None else None
        self.reader = fastcgi.RequestReader(MAX_REQUESTS, shed)
        self.peer, self.identity = peer, None
        # By FastCGI number; None for one that is not (yet) a request for the router task.
        self.open_requests: dict[int, Request | None] = {}
        # Complete requests that are submitted to the router task once this client has less unsent data.
        self.deferred: dict[int, Request] = {}
        self.is_closing = False  # it closes once nothing is pending on it
        self.has_failed = False  # its input is unusable: nothing more is read
        self.has_sent_request = False  # it sent a valid request, or one that was shed
        self.unfinished = UnfinishedRequests()  # as the last sweep found them
        self.connection = make_connection(sock, self.consume, MAX_RECORD_BYTES, MAX_UNSENT_BEFORE_PAUSE_BYTES)
        self.connection.max_read_bytes = UNTRUSTED_READ_BYTES
        self.connection.drops_input_of_departed = True
        loop = asyncio.get_running_loop()
        self.opened_at = loop.time()
        self.misuse_throttle = MisuseThrottle(self.opened_at, frontend.misuse_budget)
        self.task = loop.create_task(self.connection.run(), name="client connection")
        self.task.add_done_callback(self._ended)

    # Input.

    def consume(self, buffer: bytearray, start: int, end: int) -> int:
        """Handles the complete requests between start and end; returns up to where the buffer is consumed."""
        shed_before = self.reader.shed_count
        replies: list[bytes] = []  # of the protocol; sent together, as a message each costs much more
        try:
            while not self.has_failed:
                start, events = self.reader.read(buffer, start, end)
                if not events:
                    return start
                for event in events:
                    if isinstance(event, fastcgi.ProtocolReply):
                        replies.append(event.data)
                        continue
                    if isinstance(event, fastcgi.RequestAborted):
                        replies.append(self._request_aborted(event))
                        continue
                    self._send_replies(replies)
                    self._request_received(event.request, is_last=start == end)
        except ProtocolError as error:
            self._send_replies(replies)
            self.close_with_failure(str(error))
        finally:
            self._send_replies(replies)
            self._read_ended(shed_before)
        return end

    def _send_replies(self, replies: list[bytes]) -> None:
        if replies:
            self.connection.send(b"".join(replies))
            replies.clear()

    def _read_ended(self, shed_before: int) -> None:
        self.frontend.count_held_bytes(self)
        self._throttle_misuse()
        if self.reader.close_requested:
            asyncio.get_running_loop().call_soon(self.close_when_idle)
        if self.reader.shed_count > shed_before:
            # Otherwise a client whose requests were all shed would count as one that never sent a request,
            # and would lose its connection together with the requests it sent meanwhile.
            self.has_sent_request = True
            # While the core is full, a read and a write for each rejected request cost more than serving a
            # request: the next data is read later, in one go.
            self.connection.pause_reading(SHED_READ_PAUSE_S)

    def _throttle_misuse(self) -> None:
        """Reads later what follows, if too much of the input was unusable; what was read is answered."""
        now = asyncio.get_running_loop().time()
        pause_s = self.misuse_throttle.pause_s(now, self.reader.stray_records)
        is_misusing = self.misuse_throttle.is_misusing
        is_trusted = self.has_sent_request and not is_misusing
        self.connection.max_read_bytes = INITIAL_BUFFER_BYTES if is_trusted else UNTRUSTED_READ_BYTES
        if is_misusing and self.connection.unsent_bytes > MAX_UNSENT_REPLY_BYTES:
            pause_s = max(pause_s, UNSENT_REPLY_PAUSE_S)
        if pause_s > 0:
            self.rate_limited_log.warning(
                "unusable input, reading of client connection paused", stray_records=self.reader.stray_records
            )
            self.connection.pause_reading(pause_s)

    def _request_received(self, received: fastcgi.FastCgiRequest, *, is_last: bool) -> None:
        """Handles a complete request; `is_last` says that no further data was read after it."""
        response = FastCgiResponse(self, received.number, received.keep_connection)
        self.open_requests[received.number] = None
        try:
            if received.error:
                raise ProtocolError(received.error)
            fields = received.parameters()
            if is_health_check(fields):
                self.has_sent_request = True
                self.misuse_throttle.record_health_check()
                self.intake.answer_health_check(response)
                return
            standstills = self.frontend.router_task.standstills
            unread_us = unread_for_us(standstills, self.connection, is_last=is_last)
            request = self.intake.parse(response, fields, received, unread_us)
        except ProtocolError as error:
            self._reject_invalid_request(received, response, str(error))
            return
        self.has_sent_request = True
        self.misuse_throttle.record_valid_request()
        authorizer = self.intake.authorizer
        if authorizer is not None and not self.intake.authorize(
            authorizer, request, response, fields, self.identity, self.peer
        ):
            return
        self.open_requests[received.number] = request
        if self.connection.unsent_bytes > MAX_UNSENT_BYTES:
            # Requests are deferred, because a client that doesn't read its answers would fill the memory.
            # Reading goes on: otherwise a disconnect would not be noticed, and the requests would be
            # forwarded.
            self.deferred[received.number] = request
            self.connection.on_all_written = self._on_all_written
        else:
            self.frontend.router_task.submit(RequestArrived(request))

    def _reject_invalid_request(
        self, received: fastcgi.FastCgiRequest, response: FastCgiResponse, error: str
    ) -> None:
        """Answers 400 at once, without an attempt. A request that exceeds a limit closes the connection, as
        the rest of it would have to be read."""
        self.rate_limited_log.warning("invalid request rejected", wrong=error)
        response.send(400, (), b"")
        self.misuse_throttle.record_invalid_request(len(received.params) + len(received.body))
        if received.error:
            self.close_with_failure(error)

    def _request_aborted(self, event: fastcgi.RequestAborted) -> bytes:
        """Ends a request that its client has aborted; returns the reply."""
        request = self.open_requests.pop(event.number, None)
        if request is not None:
            self.deferred.pop(event.number, None)
            self.frontend.router_task.submit(ClientDisconnected(request))
            self.intake.ended(request)
        return fastcgi.encode_end_request(event.number, 1)

    # Output.

    def send_response(self, response: FastCgiResponse, data: bytes) -> None:
        """Sends a response, unless its request was aborted."""
        if response.number not in self.open_requests:
            return  # aborted meanwhile: no answer is due, and its number may be in use by another request
        request = self.open_requests[response.number]
        if request is not None and request.response is not response:
            return
        del self.open_requests[response.number]
        self.reader.release(response.number)
        self.connection.send(data)
        self.frontend.count_held_bytes(self)
        if request is not None:
            self.intake.ended(request)
        if not response.keep_connection:
            self.close_when_idle()

    def _on_all_written(self) -> None:
        """Submits deferred requests, and closes a closing connection, once all data has been written."""
        deferred, self.deferred = self.deferred, {}
        for request in deferred.values():
            self.frontend.router_task.submit(RequestArrived(request))
        if self.is_closing and self.is_idle():
            self.connection.close_gracefully()

    def submit_expiring(self, now_us: int) -> None:
        """Submits deferred requests whose deadline is near, so that they are answered in time."""
        for number, request in list(self.deferred.items()):
            if request.deadline_us - now_us < DEFERRED_ANSWER_US:
                del self.deferred[number]
                self.frontend.router_task.submit(RequestArrived(request))

    # End of the connection.

    def close_with_failure(self, reason: str) -> None:
        """Fails open requests, stops reading and closes gracefully: the input is invalid or incomplete."""
        if self.has_failed:
            return
        self.has_failed = True
        self.rate_limited_log.warning("unusable input, closing client connection", wrong=reason)
        self.fail_open_requests()
        self.reader.release_all()
        self.connection.stop_reading()
        self.connection.close_gracefully()
        self.frontend.count_held_bytes(self)

    def fail_open_requests(self) -> None:
        """Fails all open requests of the client."""
        for number, request in list(self.open_requests.items()):
            if request is not None:
                request.response.fail()
                self.frontend.router_task.submit(ClientDisconnected(request))
            self.open_requests.pop(number, None)
        self.deferred.clear()

    def close_when_idle(self, *, even_if_silent: bool = True) -> None:
        """Closes the connection once all open requests are answered and the answers are written."""
        self.is_closing, self.connection.on_all_written = True, self._on_all_written
        if self.is_idle() and (even_if_silent or self.has_sent_request):
            self.connection.close_gracefully()

    def _ended(self, task: asyncio.Task[BaseException | None]) -> None:
        self.frontend.session_ended(self)
        self.frontend.descriptors.release(ConnectionKind.CLIENT)
        error = None if task.cancelled() else task.exception() or task.result()
        if error is not None and not isinstance(error, OSError):
            self.rate_limited_log.warning(
                "client connection ended with an error", wrong=str(error) or type(error).__name__
            )
        self._disconnected()

    def _disconnected(self) -> None:
        """Reports open requests as disconnected: the client no longer awaits them."""
        for request in self.open_requests.values():
            if request is not None:
                self.frontend.router_task.submit(ClientDisconnected(request))
                self.intake.ended(request)
        self.open_requests.clear()

    def read_pending(self, max_reads: int) -> None:
        """Reads all data that has arrived, including the end of the connection."""
        self.connection.read_pending(max_reads)
        if self.connection.is_closed:
            # The connection's task ends some turns of the loop later; attempts would be made until then.
            self._disconnected()

    # State that the frontend checks before it closes a connection.

    def has_unfinished_request(self) -> bool:
        """Returns whether a request has arrived only in part."""
        connection = self.connection
        return len(self.reader.requests) > len(self.reader.complete) or connection.has_partial_message

    def is_idle(self) -> bool:
        """Returns whether nothing is pending on the connection, after one more read.

        On a full core a request may have been unread for long; closing the connection would lose it.
        """
        if self._has_nothing_pending():
            self.connection.read_now()
        return self._has_nothing_pending()

    def _has_nothing_pending(self) -> bool:
        return not (self.reader.requests or self.connection.unsent_bytes or self.has_unfinished_request())

    def is_answered(self) -> bool:
        """Returns whether all complete requests are answered and the answers were passed to the system."""
        return not (self.open_requests or self.connection.unsent_bytes)

    def is_silent(self) -> bool:
        """Returns whether no part of a request has ever arrived."""
        return not (self.has_sent_request or self.open_requests or self.has_unfinished_request())

    def timeout_reason(self, now: float) -> str:
        """Returns the reason why the connection has timed out, or "" if it has not.

        It times out if a request does not arrive completely within the limit. The time counts from the start
        of the connection or request, whatever has arrived since.
        """
        timeout_s = self.frontend.unfinished_timeout_s
        if not self.has_sent_request and now - self.opened_at > timeout_s:
            self.connection.read_now()
            if not self.has_sent_request:
                return "no complete request in time"
        reader = self.reader
        requests = reader.requests.values()
        began_at = [one.began_at_record for one in requests if one.number not in reader.complete]
        if not began_at and self.connection.has_partial_message:
            # A partial record without a request number; the next one has a time limit of its own.
            began_at = [reader.records_read]
        self.unfinished.update(now, began_at)
        return "request not completed in time" if self.unfinished.is_stalled(now, timeout_s) else ""
