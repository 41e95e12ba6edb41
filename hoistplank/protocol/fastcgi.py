"""FastCGI 1.0 as an application in the role of a responder: records to requests, answers to records."""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass, field

from hoistplank.protocol.errors import BadBytes

BEGIN, ABORT, END, PARAMS, STDIN, STDOUT = 1, 2, 3, 4, 5, 6
GET_VALUES, GET_VALUES_RESULT, UNKNOWN_TYPE = 9, 10, 11
RESPONDER, KEEP_CONN = 1, 1
COMPLETE, OVERLOADED, UNKNOWN_ROLE = 0, 2, 3

HEADER = struct.Struct(">BBHHBx")
TAIL = struct.Struct(">BBHHBxBBHHBxIB3x")
MOST_CONTENT = 65_535
MOST_PARAMS = 32_768  # all fields of a request; those in use take some 400 bytes
MOST_BODY = 48_000
# Records that belong to nothing: late ones of an answered or aborted request are few, more are nonsense.
MOST_STRAYS = 200


@dataclass(slots=True)
class FastCgiRequest:
    """One request as its records come in; `spoiled` says why it can't be used, as soon as that is known."""

    number: int
    role: int
    keep: bool
    params: bytearray = field(default_factory=bytearray)
    body: bytearray = field(default_factory=bytearray)
    params_over: bool = False
    body_over: bool = False
    spoiled: str = ""
    held: int = 0

    def fields(self) -> dict[str, str]:
        """The parameters; raises BadBytes where lengths and bytes don't agree, or one is given twice."""
        found: dict[str, str] = {}
        for name, value in pairs(self.params):
            if name in found:
                raise BadBytes(f"the parameter '{name[:40]}' is given twice")
            found[name] = value
        told = found.get("CONTENT_LENGTH", "")
        if told and (told.strip("0123456789") or int(told[-9:]) != len(self.body) or len(told) > 9):
            raise BadBytes(f"CONTENT_LENGTH '{told[:40]}' is not the body's {len(self.body)} bytes")
        return found


@dataclass(frozen=True, slots=True)
class Whole:
    """A request has come whole."""

    request: FastCgiRequest


@dataclass(frozen=True, slots=True)
class Aborted:
    """The client no longer waits for a request, which may not have been whole."""

    number: int
    whole: bool


@dataclass(frozen=True, slots=True)
class Reply:
    """Bytes that the protocol itself owes."""

    data: bytes


def pairs(data: bytes | bytearray) -> list[tuple[str, str]]:
    """Names and values: each behind their two lengths, of one byte or of four with the top bit set."""
    found, at, size = list[tuple[str, str]](), 0, len(data)
    text = data.decode("latin-1")  # once for all: byte for byte a character
    while at < size:
        name, at = data[at], at + 1
        if name > 0x7F:
            name, at = _long(data, at)
        if at >= size:
            raise BadBytes("a parameter ends inside its lengths")
        value, at = data[at], at + 1
        if value > 0x7F:
            value, at = _long(data, at)
        middle = at + name
        stop = middle + value
        if stop > size:
            raise BadBytes("a parameter is longer than what was sent")
        found.append((text[at:middle], text[middle:stop]))
        at = stop
    return found


def _long(data: bytes | bytearray, at: int) -> tuple[int, int]:
    if at + 3 > len(data):
        raise BadBytes("a parameter ends inside its lengths")
    return int.from_bytes(data[at - 1 : at + 3], "big") & 0x7FFFFFFF, at + 3


def pair(name: bytes, value: bytes) -> bytes:
    lengths = b"".join(
        bytes((len(word),)) if len(word) < 0x80 else struct.pack(">I", len(word) | 0x80000000)
        for word in (name, value)
    )
    return lengths + name + value


def record(kind: int, number: int, content: bytes = b"") -> bytes:
    return HEADER.pack(1, kind, number, len(content), 0) + content


def ended(number: int, status: int = 0, protocol: int = COMPLETE) -> bytes:
    return record(END, number, struct.pack(">IB3x", status, protocol))


def tail(number: int) -> bytes:
    """The end of an answer's stream and of its request."""
    return TAIL.pack(1, STDOUT, number, 0, 0, 1, END, number, 8, 0, 0, COMPLETE)


def head(status: int, fields: tuple[tuple[str, str], ...], length: int = 0) -> bytes:
    """The CGI head of an answer of `length` bytes; one without a body may be made ahead for `refusal`."""
    text = f"Status: {status}\r\nContent-Type: application/octet-stream\r\nContent-Length: {length}\r\n"
    for name, value in fields:
        text += f"{name}: {value}\r\n"
    return (text + "\r\n").encode("latin-1")


def refusal(number: int, made: bytes) -> bytes:
    """A whole answer without a body, behind a head made ahead by `head`."""
    return HEADER.pack(1, STDOUT, number, len(made), 0) + made + tail(number)


def answer(number: int, status: int, fields: tuple[tuple[str, str], ...], body: bytes) -> bytes:
    """A whole CGI response: its STDOUT records, the stream's end, END_REQUEST."""
    made = head(status, fields, len(body))
    first = min(len(body), MOST_CONTENT - len(made))
    if first == len(body):
        return b"".join((HEADER.pack(1, STDOUT, number, len(made) + first, 0), made, body, tail(number)))
    parts = [HEADER.pack(1, STDOUT, number, len(made) + first, 0), made, memoryview(body)[:first]]
    for at in range(first, len(body), MOST_CONTENT):
        piece = memoryview(body)[at : at + MOST_CONTENT]
        parts += [HEADER.pack(1, STDOUT, number, len(piece), 0), piece]
    return b"".join([*parts, tail(number)])


# Load shedding: asked by a request's number and SCRIPT_NAME, and as it begins with b"" where that has not
# come yet: the answer that refuses it there and then, or None to read on.
ShedCheck = Callable[[int, bytes], bytes | None]
SCRIPT = b"SCRIPT_NAME"


def script(buffer: bytearray, start: int, end: int) -> bytes:
    """The value of SCRIPT_NAME among parameters, found without reading the others; b"" where it is not found.
    A text in another value that looks like it misleads only load shedding, on its sender's own request."""
    at = buffer.find(SCRIPT, start, end)
    if at < start + 2 or buffer[at - 2] != len(SCRIPT) or buffer[at - 1] > 0x7F:
        return b""
    stop = at + len(SCRIPT) + buffer[at - 1]
    return bytes(buffer[at + len(SCRIPT) : stop]) if stop <= end else b""


class Reader:
    """The requests of one connection; gets its buffer after each read and says how far it has come.

    `shed` is asked as a request begins and once its parameters have come, in one step where it stands whole:
    what it answers goes out at once, and the rest of that request's records is skipped unread, so that a
    refusal costs the records' headers and no more.
    """

    def __init__(self, most_requests: int, shed: ShedCheck | None = None) -> None:
        self.requests: dict[int, FastCgiRequest] = {}
        self.whole: set[int] = set()
        self.most_requests, self.strays, self.shed = most_requests, 0, shed
        self.refused: dict[int, bool] = {}  # refused as they began, until STDIN ends: keep the line
        self.parting = False  # a refused request that asked for the end of its connection has come whole
        self.shed_count = 0  # requests that were shed, in all
        self.held = 0  # bytes of requests that are unfinished or not answered yet

    def read(self, buffer: bytearray, start: int, end: int) -> tuple[int, list[Whole | Aborted | Reply]]:
        """Takes records between start and end up to the next event; raises BadBytes on what is no FastCGI."""
        found: list[Whole | Aborted | Reply] = []
        refused: list[bytes] = []  # shed, one after the other: told as one reply
        while not found and end - start >= 8:
            if buffer[start + 1] == BEGIN:
                start, swift = self._at_once(buffer, start, end)
                if isinstance(swift, Reply):
                    refused.append(swift.data)
                    continue
                if swift is not None:
                    found.append(swift)
                    break
            if refused:
                break  # what stands behind may be bad bytes: these replies go out first
            version, kind, number, length, padding = HEADER.unpack_from(buffer, start)
            if version != 1:
                raise BadBytes(f"a record has version {version}")
            if end - start < 8 + length + padding:
                break
            content = buffer[start + 8 : start + 8 + length]
            start += 8 + length + padding
            event = self._record(kind, number, content) if number else self._management(kind, content)
            if event is not None:
                found.append(event)
        if refused:
            found.insert(0, Reply(b"".join(refused)))
        return start, found

    def _at_once(self, buffer: bytearray, start: int, end: int) -> tuple[int, Whole | Reply | None]:
        """A request that stands in the buffer whole, in the records that web servers send, in one step; with
        None it is left to the records' own reading, as is all that is wrong in any way."""
        if end - start < 40:
            return start, None
        version, _, number, length, padding = HEADER.unpack_from(buffer, start)
        role, flags = buffer[start + 8] << 8 | buffer[start + 9], buffer[start + 10]
        if (version, length, padding, role) != (1, 8, 0, RESPONDER) or not number or number in self.requests:
            return start, None
        at = start + 16
        version, kind, named, params, padding = HEADER.unpack_from(buffer, at)
        first = at + 8
        at = first + params + padding
        if (version, kind, named) != (1, PARAMS, number) or not 0 < params <= MOST_PARAMS or end < at + 16:
            return start, None
        if HEADER.unpack_from(buffer, at) != (1, PARAMS, number, 0, 0):
            return start, None
        at += 8
        version, kind, named, size, padding = HEADER.unpack_from(buffer, at)
        body = at + 8
        at = body + size + padding
        if (version, kind, named) != (1, STDIN, number) or size > MOST_BODY or (not size and padding):
            return start, None
        if size:
            if end < at + 8 or HEADER.unpack_from(buffer, at) != (1, STDIN, number, 0, 0):
                return start, None
            at += 8
        if len(self.requests) >= self.most_requests:
            return start, None
        self.refused.pop(number, None)
        keep = bool(flags & KEEP_CONN)
        refused = self._refused(number, script(buffer, first, first + params))
        if refused is not None:
            self.parting = self.parting or not keep
            return at, refused
        request = FastCgiRequest(
            number,
            RESPONDER,
            keep,
            buffer[first : first + params],
            buffer[body : body + size],
            True,
            True,
            "",
            params + size,
        )
        self.requests[number] = request
        self.held += params + size
        self.whole.add(number)
        return at, Whole(request)

    def _refused(self, number: int, name: bytes) -> Reply | None:
        """The answer where a request is to be shed. Danger: a full core that reads every request it can't
        serve falls further behind with each."""
        refused = self.shed(number, name) if self.shed is not None else None
        if refused is None:
            return None
        self.shed_count += 1
        return Reply(refused)

    def done(self, number: int) -> None:
        """A request has been answered: its number is free."""
        request = self.requests.pop(number, None)
        if request is not None:
            self.held -= request.held
        self.whole.discard(number)

    def _stray(self) -> None:
        self.strays += 1
        if self.strays > MOST_STRAYS:
            raise BadBytes("too many records belong to no request")

    def _management(self, kind: int, content: bytearray) -> Reply:
        self._stray()
        if kind != GET_VALUES:
            return Reply(record(UNKNOWN_TYPE, 0, bytes((kind,)) + bytes(7)))
        known = {"FCGI_MAX_CONNS": b"256", "FCGI_MAX_REQS": b"8192", "FCGI_MPXS_CONNS": b"1"}
        asked = [name for name, _ in pairs(content) if name in known]
        return Reply(record(GET_VALUES_RESULT, 0, b"".join(pair(n.encode(), known[n]) for n in asked)))

    def _record(self, kind: int, number: int, content: bytearray) -> Whole | Aborted | Reply | None:
        request = self.requests.get(number)
        if kind == BEGIN:
            self.refused.pop(number, None)  # its END_REQUEST has gone out: the number may come again
            return self._begin(number, content, request)
        if number in self.refused:
            if kind == ABORT or (kind == STDIN and not content):
                self.parting = not self.refused.pop(number) or self.parting
            return None
        if request is None:
            self._stray()  # the specification: records of a request that is not active are ignored
            return None
        if kind == ABORT:
            whole = number in self.whole
            self.done(number)
            return Aborted(number, whole)
        if kind == PARAMS and not request.params_over:
            if not content:
                request.params_over = True
                refused = self._refused(number, script(request.params, 0, len(request.params)))
                if refused is not None:
                    self.done(number)
                    self.refused[number] = request.keep
                    return refused
            elif len(request.params) + len(content) > MOST_PARAMS:
                return self._spoil(request, "the parameters are too long")
            else:
                request.params += content
        elif kind == STDIN and not request.body_over:
            if not content:
                request.body_over = True
            elif len(request.body) + len(content) > MOST_BODY:
                return self._spoil(request, "the body is too long")
            else:
                request.body += content
        else:
            self._stray()
        request.held += len(content)
        self.held += len(content)
        if request.params_over and request.body_over and number not in self.whole:
            self.whole.add(number)
            if request.role != RESPONDER:
                self.done(number)
                return Reply(ended(number, 0, UNKNOWN_ROLE))
            return Whole(request)
        return None

    def _spoil(self, request: FastCgiRequest, why: str) -> Whole:
        """Danger: what never ends would be stored or parsed to its end; it is told as soon as it is known."""
        request.spoiled = why
        self.whole.add(request.number)
        return Whole(request)

    def _begin(self, number: int, content: bytearray, request: FastCgiRequest | None) -> Reply | None:
        if len(content) < 3:
            raise BadBytes("the start of a request is too short")
        if request is not None:
            raise BadBytes(f"request {number} begins while it is open")
        if len(self.requests) >= self.most_requests:
            return Reply(ended(number, 0, OVERLOADED))
        role = content[0] << 8 | content[1]
        if role != RESPONDER:
            return Reply(ended(number, 0, UNKNOWN_ROLE))
        refused = self._refused(number, b"")
        if refused is not None:
            if len(self.refused) < self.most_requests:
                self.refused[number] = bool(content[2] & KEEP_CONN)
            return refused
        self.requests[number] = FastCgiRequest(number, role, bool(content[2] & KEEP_CONN))
        return None
