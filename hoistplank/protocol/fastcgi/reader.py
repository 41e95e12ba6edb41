"""The reader of FastCGI records: one a connection, bytes in, events out."""

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

# Records that belong to nothing: late ones of an answered or aborted request are few, more are nonsense.
MAX_STRAY_RECORDS = 200
_HEADER_BYTES = HEADER.size
_BEGIN_BODY_MIN_BYTES = 3  # of BEGIN_REQUEST: the role and the flags, without what is reserved
# What GET_VALUES is answered (section 4.1): figures for the web server's own limits.
_VALUES = {"FCGI_MAX_CONNS": b"256", "FCGI_MAX_REQS": b"8192", "FCGI_MPXS_CONNS": b"1"}

# Load shedding: called with a request's number and its SCRIPT_NAME, or b"" where that has not come yet.
# Returns the response that rejects the request there and then, or None to read on.
ShedCheck = Callable[[int, bytes], bytes | None]


class RequestReader:
    """The requests of one connection.

    `shed_check` is called as a request begins and once its parameters have come, in one step where it stands
    whole: what it returns goes out at once, and the rest of that request's records is skipped unread, so that
    a rejection costs the records' headers and no more.
    """

    def __init__(self, max_requests: int, shed_check: ShedCheck | None = None) -> None:
        self.max_requests, self.shed_check = max_requests, shed_check
        self.requests: dict[int, FastCgiRequest] = {}  # by number, until `release`
        self.complete: set[int] = set()  # numbers of those that were reported as received
        self.shed_count = 0  # requests that were shed, in all
        self.held_bytes = 0  # of requests that are incomplete or not answered yet
        self.close_requested = False  # a shed request without KEEP_CONN is complete: the connection is to end
        # Shed as they began, until STDIN ends: whether KEEP_CONN was set.
        self.shed_requests: dict[int, bool] = {}
        self._stray_records = 0
        self._layout = WholeRequestLayout()

    def read(self, buffer: bytearray, start: int, end: int) -> tuple[int, list[Event]]:
        """Reads records between `start` and `end` up to the next event.

        Returns where it has come to, and the events, none where the next record is not whole; raises
        FastCgiError on what is no FastCGI.
        """
        shed: list[bytes] = []  # answers to requests shed one after the other: reported as one reply
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
                break  # what stands behind may be unreadable: these replies go out first
            version, kind, number, length, padding = HEADER.unpack_from(buffer, start)
            if version != VERSION:
                raise FastCgiError(f"a record has version {version}")
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
        """A request has been answered: its number is free for another."""
        request = self.requests.pop(number, None)
        if request is not None:
            self.held_bytes -= request.held_bytes
        self.complete.discard(number)

    def forget_all(self) -> None:
        """Nothing more is read on this connection: what its requests hold is given back."""
        self.requests.clear()
        self.complete.clear()
        self.held_bytes = 0

    def _read_whole_request(
        self, buffer: bytearray, start: int, end: int
    ) -> tuple[int, RequestReceived | ProtocolReply | None]:
        """Reads a request that stands in the buffer whole in one step; with None it is left to the reading of
        single records, as is all that is wrong in any way."""
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
        """The answer where a request is to be shed. Danger: a full core that reads every request it can't
        serve falls further behind with each."""
        rejection = self.shed_check(number, script_name) if self.shed_check is not None else None
        if rejection is None:
            return None
        self.shed_count += 1
        return ProtocolReply(rejection)

    def _count_stray(self) -> None:
        self._stray_records += 1
        if self._stray_records > MAX_STRAY_RECORDS:
            raise FastCgiError("too many records belong to no request")

    def _read_record(self, kind: int, number: int, content: bytearray) -> Event | None:
        if number == MANAGEMENT_NUMBER:
            return self._answer_management(kind, content)
        request = self.requests.get(number)
        if kind == BEGIN_REQUEST:
            self.shed_requests.pop(number, None)  # its END_REQUEST has gone out: the number may come again
            return self._begin(number, content, request)
        if request is None:
            self._skip_inactive(kind, number, content)
            return None
        if kind == ABORT_REQUEST:
            was_complete = number in self.complete
            self.release(number)
            return RequestAborted(number, was_complete)
        return self._read_stream(request, kind, content)

    def _skip_inactive(self, kind: int, number: int, content: bytearray) -> None:
        """A record of a request that is not active: ignored, as the specification says. The last one of a
        request that was shed ends it."""
        if number not in self.shed_requests:
            self._count_stray()
        elif kind == ABORT_REQUEST or (kind == STDIN and not content):
            keep_connection = self.shed_requests.pop(number)
            self.close_requested = self.close_requested or not keep_connection

    def _read_stream(self, request: FastCgiRequest, kind: int, content: bytearray) -> Event | None:
        """A record of a request's PARAMS or STDIN; what is neither belongs to nothing."""
        event: Event | None = None
        if kind == PARAMS and not request.params_complete:
            event = self._read_params(request, content)
        elif kind == STDIN and not request.body_complete:
            event = self._read_body(request, content)
        else:
            self._count_stray()
        if event is not None:
            return event
        request.held_bytes += len(content)
        self.held_bytes += len(content)
        if request.params_complete and request.body_complete and request.number not in self.complete:
            self.complete.add(request.number)
            return RequestReceived(request)
        return None

    def _answer_management(self, kind: int, content: bytearray) -> ProtocolReply:
        self._count_stray()
        if kind != GET_VALUES:
            return ProtocolReply(encode_record(UNKNOWN_TYPE, MANAGEMENT_NUMBER, bytes((kind,)) + bytes(7)))
        names = [name for name, _ in decode_pairs(content) if name in _VALUES]
        values = b"".join(encode_pair(name.encode(), _VALUES[name]) for name in names)
        return ProtocolReply(encode_record(GET_VALUES_RESULT, MANAGEMENT_NUMBER, values))

    def _begin(self, number: int, content: bytearray, request: FastCgiRequest | None) -> ProtocolReply | None:
        if len(content) < _BEGIN_BODY_MIN_BYTES:
            raise FastCgiError("the start of a request is too short")
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
                return self._reject_size(request, "the parameters are too long")
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
            return self._reject_size(request, "the body is too long")
        else:
            request.body += content
        return None

    def _reject_size(self, request: FastCgiRequest, error: str) -> RequestReceived:
        """Danger: what never ends would be stored or parsed to its end; it is reported as soon as it is
        known."""
        request.error = error
        self.complete.add(request.number)
        return RequestReceived(request)
