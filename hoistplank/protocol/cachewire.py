"""The line protocol of cache hosts, without I/O: encodes requests and decodes answers."""

from __future__ import annotations

import enum
import re

import msgspec

from hoistplank.decision.events import CacheStatus
from hoistplank.protocol.errors import CacheWireError

MAX_HEAD_BYTES = 4_096  # the first line of an answer: an id, a status, some short fields and the body length
MAX_BODY_BYTES = 240_000
MAX_LOAD_FIGURE = 1e9  # larger figures make a load report invalid
LINE_END = b"\r\n"


class AnswerStatus(enum.StrEnum):
    """The status of an answer; the values are those on the wire."""

    SERVED = "served"
    NOT_MODIFIED = "still_good"
    MISS = "not_here"
    OVERLOADED = "overload"
    ERROR = "crashed"
    NOT_ATTEMPTED = "nobody"
    HEALTHY = "green"
    UNHEALTHY = "red"


SUCCESS_STATUSES = (AnswerStatus.SERVED, AnswerStatus.NOT_MODIFIED)
HEALTH_STATUSES = (AnswerStatus.HEALTHY, AnswerStatus.UNHEALTHY)
_STATUS_BY_NAME = {status.value: status for status in AnswerStatus}
_CACHE_STATUS_BY_NAME = {
    "hit": CacheStatus.HIT,
    "filled": CacheStatus.FILLED,
    "via_origin": CacheStatus.FROM_ORIGIN,
    "joined": CacheStatus.JOINED,
    "stale": CacheStatus.STALE,
    "src_refused": CacheStatus.SOURCE_REFUSED,
    "src_broke": CacheStatus.SOURCE_UNREACHABLE,
    "src_lacks": CacheStatus.SOURCE_MISS,
    "no_slot": CacheStatus.NOT_STORED,
    "origin_failed": CacheStatus.ORIGIN_UNREACHABLE,
}
# Names of load figures on the wire, by their names in the settings, where the two differ.
_WIRE_LOAD_NAMES = {
    "rif": "inflight",
    "busy": "util",
    "q": "queue",
    "lat_ms": "latency_ms",
    "rate": "qps",
    "fail_rate": "eps",
}
_TOKEN = re.compile(r"[!-+\--<>-~]+")  # visible ASCII characters except ',' and '='


class Answer(msgspec.Struct, frozen=True):
    """A complete answer to the request with this id on the same connection."""

    request_id: str
    status: AnswerStatus
    fields: dict[str, str]
    body: bytes

    def cache_status(self) -> int:
        """Returns the `CacheStatus` that tells how the cache host got the object, or UNKNOWN."""
        return _CACHE_STATUS_BY_NAME.get(self.fields.get("detail", ""), CacheStatus.UNKNOWN)

    def load_report(self, names: tuple[str, ...]) -> list[float]:
        """Returns the figures of the load report in the order of `names`, which are those of the settings; an
        empty list if there is no report, or a figure is missing or invalid."""
        reported = dict(part.partition(":")[::2] for part in self.fields.get("use", "").split(";") if part)
        if not reported:
            return []
        try:
            figures = [float(reported.get(name) or reported[_WIRE_LOAD_NAMES[name]]) for name in names]
        except (KeyError, ValueError):
            return []
        # `nan`, `inf` or a huge figure would distort every mean that includes it.
        return figures if all(0 <= figure <= MAX_LOAD_FIGURE for figure in figures) else []


def check_answer(answer: Answer, *, client_digest: str, is_copy: bool) -> None:
    """Raises CacheWireError if the status or the fields of an answer don't match its attempt.

    `client_digest` is the digest of the client's copy that was sent with the attempt, or empty. `is_copy` is
    True for an object that is cached: the answer must have a digest and a date.
    """
    if answer.status in HEALTH_STATUSES:
        raise CacheWireError(f"an answer to an attempt has the status '{answer.status}' of a health probe")
    if answer.status not in SUCCESS_STATUSES:
        return
    if answer.status is AnswerStatus.NOT_MODIFIED:
        _check_not_modified(answer, client_digest)
    if is_copy:
        for name in ("digest", "dated"):
            if not answer.fields.get(name):
                raise CacheWireError(f"a successful answer lacks the field '{name}'")
    if not answer.fields.get("dated", "0").isdecimal():
        raise CacheWireError(f"the field 'dated' is '{answer.fields['dated'][:20]}', expected digits")


def _check_not_modified(answer: Answer, client_digest: str) -> None:
    if not client_digest or answer.body:
        raise CacheWireError("'still_good' has a body, or answers a request without a client's copy")
    digest = answer.fields.get("digest", "")
    if digest != client_digest:
        # Otherwise the client would go on using a copy that the cache host has not confirmed.
        raise CacheWireError(f"'still_good' has the digest '{digest[:20]}', expected the client's")


def is_token(text: str) -> bool:
    """True if a text can be a value in a line without being taken for a separator."""
    return _TOKEN.fullmatch(text) is not None


def encode_get(request_id: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Returns a request for an object; each value in `fields` has to be a token."""
    field_list = ",".join(f"{name}={value}" for name, value in fields.items()) or "-"
    head = f"GET {request_id} {field_list} {len(body)}\r\n".encode("latin-1")
    return b"".join((head, body, LINE_END))


def encode_drop(request_id: str) -> bytes:
    """Returns a message that cancels a request; the cache host may answer it nevertheless."""
    return f"DROP {request_id}\r\n".encode("latin-1")


def encode_probe(probe_id: str) -> bytes:
    """Returns a health probe; the cache host answers it under this id, with a status of HEALTH_STATUSES."""
    return f"PING {probe_id}\r\n".encode("latin-1")


class _AnswerHead(msgspec.Struct, frozen=True):
    request_id: str
    status: AnswerStatus
    fields: dict[str, str]
    body_bytes: int  # NO_BODY: the answer has only its head


NO_BODY = -1


class AnswerReader:
    """Decodes the answers on one connection; keeps the head of an answer whose body is incomplete."""

    def __init__(self) -> None:
        self._head: _AnswerHead | None = None
        self._searched_bytes = 0  # bytes of an incomplete line known to hold no line end

    def read(self, buffer: bytearray, start: int, end: int) -> tuple[int, list[Answer]]:
        """Decodes at most one answer between `start` and `end`.

        Returns the position up to which the buffer was consumed, and a list with the answer, empty while that
        is incomplete. Raises CacheWireError if the bytes are not an answer.
        """
        head = self._head
        if head is None:
            line_end = self._find_line_end(buffer, start, end)
            if line_end < 0:
                return start, []
            head = _decode_head(buffer[start:line_end])
            start = line_end + len(LINE_END)
            if head.body_bytes == NO_BODY:
                return start, [Answer(head.request_id, head.status, head.fields, b"")]
            self._head = head
        body_end = start + head.body_bytes
        answer_end = body_end + len(LINE_END)
        if end < answer_end:
            return start, []
        if buffer[body_end:answer_end] != LINE_END:
            raise CacheWireError("an answer's body is not followed by CR LF")
        with memoryview(buffer) as view:
            body = bytes(view[start:body_end])
        self._head = None
        return answer_end, [Answer(head.request_id, head.status, head.fields, body)]

    def _find_line_end(self, buffer: bytearray, start: int, end: int) -> int:
        """Returns the end of the line that begins at `start`, or -1 if it is incomplete."""
        line_end = buffer.find(LINE_END, start + self._searched_bytes, end)
        if (end if line_end < 0 else line_end) - start > MAX_HEAD_BYTES:
            raise CacheWireError("an answer's head is too long")
        # The last byte may be the CR of the line end.
        self._searched_bytes = max(0, end - start - 1) if line_end < 0 else 0
        return line_end


def _decode_head(line: bytearray) -> _AnswerHead:
    words = line.decode("latin-1").split(" ")
    if len(words) not in (2, 3, 4):
        raise CacheWireError(f"an answer's head has {len(words)} words, expected 2 to 4")
    status = _STATUS_BY_NAME.get(words[1])
    if status is None:
        raise CacheWireError(f"an answer has the unknown status '{words[1][:20]}'")
    fields = _decode_fields(words[2]) if len(words) > 2 else {}
    if len(words) < 4:
        if status in SUCCESS_STATUSES:
            raise CacheWireError("a successful answer has no body length")
        return _AnswerHead(words[0], status, fields, NO_BODY)
    length = words[3]
    if not (length.isascii() and length.isdecimal()) or int(length) > MAX_BODY_BYTES:
        raise CacheWireError(f"an answer has the invalid body length '{length[:20]}'")
    return _AnswerHead(words[0], status, fields, int(length))


def _decode_fields(text: str) -> dict[str, str]:
    fields: dict[str, str] = {}
    for part in text.split(",") if text != "-" else []:
        name, equals, value = part.partition("=")
        if not equals:
            raise CacheWireError(f"the field '{part[:20]}' of an answer has no value")
        fields[name] = value
    return fields
