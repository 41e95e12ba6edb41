"""The line protocol of cache hosts, without I/O: requests are encoded, answers are read."""

from __future__ import annotations

import enum
import re

import msgspec

from hoistplank.decision.events import CacheStatus
from hoistplank.protocol.errors import CacheWireError

MAX_HEAD_BYTES = 4_096  # a line of an answer: an id, a status, some short fields and a length
MAX_BODY_BYTES = 240_000
MAX_LOAD_FIGURE = 1e9  # a figure of a load report beyond it is none
LINE_END = b"\r\n"


class AnswerStatus(enum.StrEnum):
    """What an answer says of its request; the values are the wire's words."""

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
_STATUS_OF_WORD = {status.value: status for status in AnswerStatus}
_CACHE_STATUS_OF_WORD = {
    "hit": CacheStatus.HIT,
    "filled": CacheStatus.FILLED,
    "via_origin": CacheStatus.FROM_ORIGIN,
    "joined": CacheStatus.JOINED,
    "stale": CacheStatus.STALE,
    "src_refused": CacheStatus.SOURCE_REFUSED,
    "src_broke": CacheStatus.SOURCE_UNREACHABLE,
    "src_lacks": CacheStatus.SOURCE_LACKS,
    "no_slot": CacheStatus.NOT_STORED,
    "origin_failed": CacheStatus.ORIGIN_UNREACHABLE,
}
# The wire's names of load figures, by the settings' names, where they differ.
_LOAD_NAME_ON_WIRE = {
    "rif": "inflight",
    "busy": "util",
    "q": "queue",
    "lat_ms": "latency_ms",
    "rate": "qps",
    "fail_rate": "eps",
}
_TOKEN = re.compile(r"[!-+\--<>-~]+")  # visible characters but the comma and the equals sign


class Answer(msgspec.Struct, frozen=True):
    """One whole answer: to the request of that id on its connection."""

    request_id: str
    status: AnswerStatus
    fields: dict[str, str]
    body: bytes

    def cache_status(self) -> int:
        """How the cache host got the object: one of `CacheStatus`, UNKNOWN where it is not said."""
        return _CACHE_STATUS_OF_WORD.get(self.fields.get("detail", ""), CacheStatus.UNKNOWN)

    def load_report(self, names: tuple[str, ...]) -> list[float]:
        """The figures of the load report in the order of the settings' `names`; empty where none came, one is
        missing or one can't be read."""
        reported = dict(part.partition(":")[::2] for part in self.fields.get("use", "").split(";") if part)
        if not reported:
            return []
        try:
            figures = [float(reported.get(name) or reported[_LOAD_NAME_ON_WIRE[name]]) for name in names]
        except (KeyError, ValueError):
            return []
        # Danger: `nan`, `inf` or a huge figure would stay in every mean it enters.
        return figures if all(0 <= figure <= MAX_LOAD_FIGURE for figure in figures) else []


def check_answer(answer: Answer, *, client_digest: str, is_copy: bool) -> None:
    """Raises CacheWireError where a status or its fields don't fit the attempt that was asked for.

    `client_digest` is the tag of the client's copy that was passed on, or empty; `is_copy`: the answer is one
    of an object that is cached, and has its digest and date.
    """
    if answer.status in HEALTH_STATUSES:
        raise CacheWireError(f"'{answer.status}' answers a attempt")
    if answer.status not in SUCCESS_STATUSES:
        return
    if answer.status is AnswerStatus.NOT_MODIFIED:
        _check_not_modified(answer, client_digest)
    if is_copy:
        for name in ("digest", "dated"):
            if not answer.fields.get(name):
                raise CacheWireError(f"an ok answer lacks the field '{name}'")
    if not answer.fields.get("dated", "0").isdecimal():
        raise CacheWireError(f"an ok answer is dated '{answer.fields['dated'][:20]}'")


def _check_not_modified(answer: Answer, client_digest: str) -> None:
    if not client_digest or answer.body:
        raise CacheWireError("'still_good' without a copy to be good, or with bytes")
    digest = answer.fields.get("digest", "")
    if digest != client_digest:
        # Danger: the client would be told that its copy is the one, of which nobody has said so.
        raise CacheWireError(f"'still_good' names '{digest[:20]}', not the client's copy")


def is_token(text: str) -> bool:
    """Whether a value can stand in a line without changing what the line says."""
    return _TOKEN.fullmatch(text) is not None


def encode_get(request_id: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    """The request for an object; each value of `fields` has to be a token."""
    field_list = ",".join(f"{name}={value}" for name, value in fields.items()) or "-"
    head = f"GET {request_id} {field_list} {len(body)}\r\n".encode("latin-1")
    return b"".join((head, body, LINE_END))


def encode_drop(request_id: str) -> bytes:
    """Takes a request back; the cache host may answer it all the same."""
    return f"DROP {request_id}\r\n".encode("latin-1")


class _AnswerHead(msgspec.Struct, frozen=True):
    request_id: str
    status: AnswerStatus
    fields: dict[str, str]
    body_bytes: int  # NO_BODY: the answer ends with this line


NO_BODY = -1


class AnswerReader:
    """The answers of one connection; keeps the head of the answer whose body is still to come."""

    def __init__(self) -> None:
        self._head: _AnswerHead | None = None
        self._searched = 0  # bytes of an unfinished line that hold no end

    def read(self, buffer: bytearray, start: int, end: int) -> tuple[int, list[Answer]]:
        """Reads at most one answer between `start` and `end`.

        Returns where it has come to, and the answer, none where the next is not whole; raises CacheWireError
        on what is no answer.
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
            raise CacheWireError("an answer's bytes are not followed by CR LF")
        with memoryview(buffer) as view:
            body = bytes(view[start:body_end])
        self._head = None
        return answer_end, [Answer(head.request_id, head.status, head.fields, body)]

    def _find_line_end(self, buffer: bytearray, start: int, end: int) -> int:
        """Where the line that begins at `start` ends, or -1 where its end has not come."""
        line_end = buffer.find(LINE_END, start + self._searched, end)
        if (end if line_end < 0 else line_end) - start > MAX_HEAD_BYTES:
            raise CacheWireError("an answer's line is too long")
        # The last byte may be the first half of a line's end.
        self._searched = max(0, end - start - 1) if line_end < 0 else 0
        return line_end


def _decode_head(line: bytearray) -> _AnswerHead:
    words = line.decode("latin-1").split(" ")
    if len(words) not in (2, 3, 4):
        raise CacheWireError(f"an answer has {len(words)} words")
    status = _STATUS_OF_WORD.get(words[1])
    if status is None:
        raise CacheWireError(f"an answer has the unknown word '{words[1][:20]}'")
    fields = _decode_fields(words[2]) if len(words) > 2 else {}
    if len(words) < 4:
        if status in SUCCESS_STATUSES:
            raise CacheWireError("an answer has no length")
        return _AnswerHead(words[0], status, fields, NO_BODY)
    length = words[3]
    if not (length.isascii() and length.isdecimal()) or int(length) > MAX_BODY_BYTES:
        raise CacheWireError(f"an answer has the length '{length[:20]}'")
    return _AnswerHead(words[0], status, fields, int(length))


def _decode_fields(text: str) -> dict[str, str]:
    fields: dict[str, str] = {}
    for part in text.split(",") if text != "-" else []:
        name, equals, value = part.partition("=")
        if not equals:
            raise CacheWireError(f"an answer has the field '{part[:20]}' without a value")
        fields[name] = value
    return fields
