"""The reader of FastCGI records, one for each connection: bytes in, events out."""

from __future__ import annotations

from collections.abc import Callable

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

# Records that belong to no active request. A few arrive late for an answered or aborted request; more than
# this many are a protocol error.
MAX_STRAY_RECORDS = 200
_HEADER_BYTES = HEADER.size
_BEGIN_BODY_MIN_BYTES = 3  # of BEGIN_REQUEST: the role and the flags, without the reserved bytes
# Response to GET_VALUES (section 4.1), by which the web server sets its own limits.
_SUPPORTED_VALUES = {"FCGI_MAX_CONNS": b"256", "FCGI_MAX_REQS": b"8192", "FCGI_MPXS_CONNS": b"1"}

# The load shedding callback. Called with a request's number and its SCRIPT_NAME, or b"" if that has not been
# received yet; returns the response that rejects the request, or None to continue reading it.
ShedCheck = Callable[[int, bytes], bytes | None]


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
        # KEEP_CONN flag of requests that were shed before they were complete, until their STDIN ends.
        self.shed_requests: dict[int, bool] = {}
        self._stray_records = 0
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
            start = record_end
        events = [] if event is None else [event]
        if shed:
            events.insert(0, ProtocolReply(b"".join(shed)))
        return start, events

    def release(self, number: int) -> None:
        """Drops a request that has been answered; its number may be used again."""
        request = self.requests.pop(number, None)
        if request is not None:
            self.held_bytes -= request.held_bytes
        self.complete.discard(number)

    def release_all(self) -> None:
        """Drops all requests, once nothing more is read on this connection."""
        self.requests.clear()
        self.complete.clear()
        self.held_bytes = 0

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

    def _count_stray_record(self) -> None:
        self._stray_records += 1
        if self._stray_records > MAX_STRAY_RECORDS:
            raise FastCgiError("too many records belong to no active request")

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
            self.release(number)
            return RequestAborted(number, was_complete)
        return self._read_stream(request, kind, content)

    def _skip_inactive_record(self, kind: int, number: int, content: bytearray) -> None:
        """Ignores a record of a request that is not active, as the specification demands. The last record of
        a request that was shed ends that request."""
        if number not in self.shed_requests:
            self._count_stray_record()
        elif kind == ABORT_REQUEST or (kind == STDIN and not content):
            keep_connection = self.shed_requests.pop(number)
            self.close_requested = self.close_requested or not keep_connection

    def _read_stream(self, request: FastCgiRequest, kind: int, content: bytearray) -> Event | None:
        """Reads a PARAMS or STDIN record of a request; counts any other as a stray record."""
        event: Event | None = None
        if kind == PARAMS and not request.params_complete:
            event = self._read_params(request, content)
        elif kind == STDIN and not request.body_complete:
            event = self._read_body(request, content)
        else:
            self._count_stray_record()
        if event is not None:
            return event
        request.held_bytes += len(content)
        self.held_bytes += len(content)
        if request.params_complete and request.body_complete and request.number not in self.complete:
            self.complete.add(request.number)
            return RequestReceived(request)
        return None

    def _respond_to_management(self, kind: int, content: bytearray) -> ProtocolReply:
        self._count_stray_record()
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
        if len(self.requests) >= self.max_requests:
            return ProtocolReply(encode_end_request(number, 0, OVERLOADED))
        role, keep_connection = content[0] << 8 | content[1], bool(content[2] & KEEP_CONN)
        if role != RESPONDER:
            return ProtocolReply(encode_end_request(number, 0, UNKNOWN_ROLE))
        rejection = self._check_shed(number, b"")
        if rejection is not None:
            if len(self.shed_requests) < self.max_requests:
                self.shed_requests[number] = keep_connection
            return rejection
        self.requests[number] = FastCgiRequest(number, keep_connection)
        return None

    def _read_params(self, request: FastCgiRequest, content: bytearray) -> Event | None:
        if content:
            if len(request.params) + len(content) > MAX_PARAMS_BYTES:
                return self._reject_too_large(request, "the parameters are too long")
            request.params += content
            return None
        request.params_complete = True
        rejection = self._check_shed(request.number, find_script_name(request.params, 0, len(request.params)))
        if rejection is not None:
            self.release(request.number)
            self.shed_requests[request.number] = request.keep_connection
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
