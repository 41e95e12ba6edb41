"""The reader of FastCGI records, one for each connection: bytes in, events out."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from hoistplank.protocol.errors import FastCgiError
from hoistplank.protocol.fastcgi.events import (
    Event,
    FastCgiRequest,
    ProtocolReply,
    RequestAborted,
    RequestReceived,
)
from hoistplank.protocol.fastcgi.records import (
    ABORT_REQUEST,
    BEGIN_REQUEST,
    GET_VALUES,
    GET_VALUES_RESULT,
    HEADER,
    KEEP_CONN,
    MANAGEMENT_NUMBER,
    OVERLOADED,
    PARAMS,
    RESPONDER,
    STDIN,
    UNKNOWN_ROLE,
    UNKNOWN_TYPE,
    VERSION,
    decode_pairs,
    encode_end_request,
    encode_pair,
    encode_record,
)
from hoistplank.protocol.fastcgi.script_name import find_script_name
from hoistplank.protocol.fastcgi.whole_request import MAX_BODY_BYTES, MAX_PARAMS_BYTES, WholeRequestLayout

# A long stray record counts as one more for each of these, as its content is read as well.
STRAY_CONTENT_BYTES = 256
# The records of a rejected request, with their headers, that are skipped without counting as stray.
MAX_SKIPPED_BYTES = MAX_PARAMS_BYTES + MAX_BODY_BYTES
_HEADER_BYTES = HEADER.size
_BEGIN_BODY_MIN_BYTES = 3  # of BEGIN_REQUEST: the role and the flags, without the reserved bytes
# Response to GET_VALUES (section 4.1), by which the web server sets its own limits.
_SUPPORTED_VALUES = {"FCGI_MAX_CONNS": b"256", "FCGI_MAX_REQS": b"8192", "FCGI_MPXS_CONNS": b"1"}

# The load shedding callback. Called with a request's number and its SCRIPT_NAME, or b"" if that has not been
# received yet; returns the response that rejects the request, or None to continue reading it.
ShedCheck = Callable[[int, bytes], bytes | None]


@dataclass(slots=True)
class SkippedRequest:
    """A request that was answered before it was complete, whose remaining records are skipped."""

    keep_connection: bool
    skipped_bytes: int = 0


class RequestReader:
    """Decodes the requests on one connection.

    `shed_check` is called when a request begins and when its parameters are complete, or once if the whole
    request is in the buffer. The response that it returns is sent at once, and the content of that request's
    remaining records is skipped, so that a rejection costs no more than reading their headers.
    """

    def __init__(self, max_requests: int, shed_check: ShedCheck | None = None) -> None:
        self.max_requests, self.shed_check = max_requests, shed_check
        self.requests: dict[int, FastCgiRequest] = {}  # by number, until `release`
        self.complete: set[int] = set()  # numbers of the requests that were reported as received
        self.shed_count = 0  # total number of shed requests
        self.held_bytes = 0  # content of the requests that are incomplete or not answered yet
        self.close_requested = False  # a shed request without KEEP_CONN is complete: close the connection
        # Requests that were shed or rejected before they were complete, until their STDIN ends; the latest
        # `max_requests` of them.
        self.shed_requests: dict[int, SkippedRequest] = {}
        self.records_read = 0  # in total; a request that is read in one step counts as one
        # Records so far that belong to no request, and requests that were refused or aborted before they were
        # complete. Only a client that breaks the protocol sends many; the owner limits their rate.
        self.stray_records = 0
        # Answered requests whose ABORT_REQUEST may have crossed the answer. A client has no more than
        # `max_requests` open at once by its own count, so no more can be on their way.
        self._expected_late_aborts = 0
        self._layout = WholeRequestLayout()

    def read(self, buffer: bytearray, start: int, end: int) -> tuple[int, list[Event]]:
        """Reads records between `start` and `end` up to the next event.

        Returns the position up to which the buffer was consumed, and the events, an empty list while the next
        record is incomplete. Raises FastCgiError if the bytes are not FastCGI.
        """
        shed: list[bytes] = []  # responses to consecutive shed requests, reported as one reply
        event: Event | None = None
        while event is None and end - start >= _HEADER_BYTES:
            if buffer[start + 1] == BEGIN_REQUEST:
                start, event = self._read_whole_request(buffer, start, end)
                self.records_read += event is not None
                if isinstance(event, ProtocolReply):
                    shed.append(event.data)
                    event = None
                    continue
                if event is not None:
                    break
            if shed:
                break  # the next record may be malformed: these replies are reported first
            version, kind, number, length, padding = HEADER.unpack_from(buffer, start)
            if version != VERSION:
                raise FastCgiError(f"a record has version {version}, expected 1")
            content_start = start + _HEADER_BYTES
            record_end = content_start + length + padding
            if end < record_end:
                break
            event = self._read_record(kind, number, buffer[content_start : content_start + length])
            self.records_read += 1
            start = record_end
        events = [] if event is None else [event]
        if shed:
            events.insert(0, ProtocolReply(b"".join(shed)))
        return start, events

    def release(self, number: int) -> None:
        """Drops a request that has been answered; its number may be used again."""
        if number in self.requests:
            self._drop(number)
            self._expect_late_abort()

    def release_all(self) -> None:
        """Drops all requests, once nothing more is read on this connection."""
        self.requests.clear()
        self.complete.clear()
        self.held_bytes = 0

    def _drop(self, number: int) -> None:
        request = self.requests.pop(number, None)
        if request is not None:
            self.held_bytes -= request.held_bytes
        self.complete.discard(number)

    def _expect_late_abort(self) -> None:
        """Notes that a request was answered: its client may have aborted it before it read the answer."""
        self._expected_late_aborts = min(self.max_requests, self._expected_late_aborts + 1)

    def _read_whole_request(
        self, buffer: bytearray, start: int, end: int
    ) -> tuple[int, RequestReceived | ProtocolReply | None]:
        """Reads a request that is completely in the buffer in one step. Returns None in place of an event if
        that is not possible: all other input, malformed or not, is read record by record."""
        layout = self._layout
        if not layout.find(buffer, start, end):
            return start, None
        number, keep_connection = layout.number, bool(layout.flags & KEEP_CONN)
        if number in self.requests or len(self.requests) >= self.max_requests:
            return start, None
        self.shed_requests.pop(number, None)
        params_start, params_end = layout.params_start, layout.params_end
        if self.shed_check is not None:
            rejection = self._check_shed(number, find_script_name(buffer, params_start, params_end))
            if rejection is not None:
                self.close_requested = self.close_requested or not keep_connection
                self._expect_late_abort()
                return layout.end, rejection
        params = buffer[params_start:params_end]
        body = buffer[layout.body_start : layout.body_end]
        held_bytes = len(params) + len(body)
        request = FastCgiRequest(
            number,
            keep_connection,
            params,
            body,
            params_complete=True,
            body_complete=True,
            held_bytes=held_bytes,
        )
        self.requests[number] = request
        self.held_bytes += held_bytes
        self.complete.add(number)
        return layout.end, RequestReceived(request)

    def _check_shed(self, number: int, script_name: bytes) -> ProtocolReply | None:
        """Returns the response if the request is to be shed, else None. An overloaded process that read every
        request that it can't serve would fall further behind with each."""
        rejection = self.shed_check(number, script_name) if self.shed_check is not None else None
        if rejection is None:
            return None
        self.shed_count += 1
        return ProtocolReply(rejection)

    def _skip_rest(self, number: int, *, keep_connection: bool) -> None:
        """Skips what follows of a request that was answered before it was complete."""
        self.shed_requests.pop(number, None)
        if len(self.shed_requests) >= self.max_requests:
            # A client need not send the rest of a request that was answered: the oldest may never end.
            del self.shed_requests[next(iter(self.shed_requests))]
        self.shed_requests[number] = SkippedRequest(keep_connection)

    def _count_stray_record(self, content: bytearray) -> None:
        self.stray_records += 1 + len(content) // STRAY_CONTENT_BYTES

    def _read_record(self, kind: int, number: int, content: bytearray) -> Event | None:
        if number == MANAGEMENT_NUMBER:
            return self._respond_to_management(kind, content)
        request = self.requests.get(number)
        if kind == BEGIN_REQUEST:
            # The END_REQUEST of a shed request has been sent: its number may be used again.
            self.shed_requests.pop(number, None)
            return self._begin_request(number, content, request)
        if request is None:
            self._skip_inactive_record(kind, number, content)
            return None
        if kind == ABORT_REQUEST:
            was_complete = number in self.complete
            self._drop(number)
            self.stray_records += not was_complete
            return RequestAborted(number, was_complete)
        return self._read_stream(request, kind, content)

    def _skip_inactive_record(self, kind: int, number: int, content: bytearray) -> None:
        """Ignores a record of a request that is not active, as the specification demands. The last record of
        a request that was shed ends that request."""
        skipped = self.shed_requests.get(number)
        if skipped is not None:
            self._skip_record(number, skipped, kind, content)
        elif kind == ABORT_REQUEST and self._expected_late_aborts:
            self._expected_late_aborts -= 1
        else:
            self._count_stray_record(content)

    def _skip_record(self, number: int, skipped: SkippedRequest, kind: int, content: bytearray) -> None:
        is_last = kind == ABORT_REQUEST or (kind == STDIN and not content)
        if is_last:
            del self.shed_requests[number]
            self.close_requested = self.close_requested or not skipped.keep_connection
            if kind == STDIN:
                self._expect_late_abort()
            return
        skipped.skipped_bytes += _HEADER_BYTES + len(content)
        if skipped.skipped_bytes > MAX_SKIPPED_BYTES:
            self._count_stray_record(content)

    def _read_stream(self, request: FastCgiRequest, kind: int, content: bytearray) -> Event | None:
        """Reads a PARAMS or STDIN record of a request; counts any other as a stray record."""
        event: Event | None = None
        if kind == PARAMS and not request.params_complete:
            event = self._read_params(request, content)
        elif kind == STDIN and not request.body_complete:
            event = self._read_body(request, content)
        else:
            self._count_stray_record(content)
        if event is not None:
            return event
        request.held_bytes += len(content)
        self.held_bytes += len(content)
        if request.params_complete and request.body_complete and request.number not in self.complete:
            self.complete.add(request.number)
            return RequestReceived(request)
        return None

    def _respond_to_management(self, kind: int, content: bytearray) -> ProtocolReply:
        self._count_stray_record(content)
        if kind != GET_VALUES:
            return ProtocolReply(encode_record(UNKNOWN_TYPE, MANAGEMENT_NUMBER, bytes((kind,)) + bytes(7)))
        names = [name for name, _ in decode_pairs(content) if name in _SUPPORTED_VALUES]
        values = b"".join(encode_pair(name.encode(), _SUPPORTED_VALUES[name]) for name in names)
        return ProtocolReply(encode_record(GET_VALUES_RESULT, MANAGEMENT_NUMBER, values))

    def _begin_request(
        self, number: int, content: bytearray, request: FastCgiRequest | None
    ) -> ProtocolReply | None:
        if len(content) < _BEGIN_BODY_MIN_BYTES:
            raise FastCgiError("a BEGIN_REQUEST record is too short")
        if request is not None:
            raise FastCgiError(f"request {number} begins while it is open")
        role, keep_connection = content[0] << 8 | content[1], bool(content[2] & KEEP_CONN)
        rejection = self._refuse(number, role) or self._check_shed(number, b"")
        if rejection is not None:
            self._skip_rest(number, keep_connection=keep_connection)
            return rejection
        self.requests[number] = FastCgiRequest(number, keep_connection, began_at_record=self.records_read)
        return None

    def _refuse(self, number: int, role: int) -> ProtocolReply | None:
        """Returns the response to a request that breaks a limit or has another role, else None."""
        if len(self.requests) >= self.max_requests:
            status = OVERLOADED
        elif role != RESPONDER:
            status = UNKNOWN_ROLE
        else:
            return None
        self.stray_records += 1
        return ProtocolReply(encode_end_request(number, 0, status))

    def _read_params(self, request: FastCgiRequest, content: bytearray) -> Event | None:
        if content:
            if len(request.params) + len(content) > MAX_PARAMS_BYTES:
                return self._reject_too_large(request, "the parameters are too long")
            request.params += content
            return None
        request.params_complete = True
        rejection = self._check_shed(request.number, find_script_name(request.params, 0, len(request.params)))
        if rejection is not None:
            self._drop(request.number)
            self._skip_rest(request.number, keep_connection=request.keep_connection)
        return rejection

    def _read_body(self, request: FastCgiRequest, content: bytearray) -> RequestReceived | None:
        if not content:
            request.body_complete = True
        elif len(request.body) + len(content) > MAX_BODY_BYTES:
            return self._reject_too_large(request, "the body is too long")
        else:
            request.body += content
        return None

    def _reject_too_large(self, request: FastCgiRequest, error: str) -> RequestReceived:
        """Reports a request that exceeds a limit at once, so that an endless one is not stored or parsed."""
        request.error = error
        self.complete.add(request.number)
        return RequestReceived(request)
