"""The line protocol of cache hosts: requests are encoded, answers are read."""

from __future__ import annotations

import re
from dataclasses import dataclass

from hoistplank.protocol.errors import BadBytes

MOST_HEAD = 4_096  # a line of an answer: an id, a word, some short fields and a length
MOST_BODY = 240_000
OK_WORDS, PROBE_WORDS = ("served", "still_good"), ("green", "red")
WORDS = (*OK_WORDS, "not_here", "overload", "crashed", "nobody", *PROBE_WORDS)
MOST_REPORT = 1e9  # a figure of a load report beyond it is none
# Order of the simulator's numbers; an answer without the field tells nothing.
DETAILS = {
    "hit": 1,
    "filled": 2,
    "via_origin": 3,
    "joined": 4,
    "stale": 5,
    "src_refused": 6,
    "src_broke": 7,
    "src_lacks": 8,
    "no_slot": 9,
    "origin_failed": 10,
}
# Words of load reports where they differ from those of the settings.
REPORT_WORDS = {
    "rif": "inflight",
    "busy": "util",
    "q": "queue",
    "lat_ms": "latency_ms",
    "rate": "qps",
    "fail_rate": "eps",
}
TOKEN = re.compile(r"[!-+\--<>-~]+")  # visible characters but the comma and the equals sign


@dataclass(frozen=True, slots=True)
class Answer:
    id: str
    word: str
    fields: dict[str, str]
    body: bytes

    def note(self) -> int:
        return DETAILS.get(self.fields.get("detail", ""), 0)

    def report(self, names: tuple[str, ...]) -> list[float]:
        """The load report in the order of the site's names; empty where none or an unreadable one came."""
        use = dict(part.partition(":")[::2] for part in self.fields.get("use", "").split(";") if part)
        try:
            found = [float(use.get(name) or use[REPORT_WORDS[name]]) for name in names] if use else []
        except (KeyError, ValueError):
            return []
        # Danger: `nan`, `inf` or a huge figure would stay in every mean it enters.
        return found if all(0 <= figure <= MOST_REPORT for figure in found) else []


def check(answer: Answer, probe: bool, holds: str, of_copy: bool) -> None:
    """Raises BadBytes where a word or its fields don't fit what was asked; `holds` is the tag of the client's
    copy that was passed on, or empty."""
    if (answer.word in PROBE_WORDS) != probe:
        raise BadBytes(f"'{answer.word}' answers a {'probe' if probe else 'attempt'}")
    if answer.word not in OK_WORDS:
        return
    if answer.word == "still_good" and (not holds or answer.body):
        raise BadBytes("'still_good' without a copy to be good, or with bytes")
    if answer.word == "still_good" and answer.fields.get("digest", "") != holds:
        # Danger: the client would be told that its copy is the one, of which nobody has said so.
        raise BadBytes(f"'still_good' names '{answer.fields.get('digest', '')[:20]}', not the client's copy")
    for name in ("digest", "dated") if of_copy else ():
        if not answer.fields.get(name):
            raise BadBytes(f"an ok answer lacks the field '{name}'")
    if not answer.fields.get("dated", "0").isdecimal():
        raise BadBytes(f"an ok answer is dated '{answer.fields['dated'][:20]}'")


def is_token(text: str) -> bool:
    """Whether a value can stand in a line without changing what the line says."""
    return TOKEN.fullmatch(text) is not None


def get(id: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    row = ",".join(f"{name}={value}" for name, value in fields.items()) or "-"
    return b"".join((f"GET {id} {row} {len(body)}\r\n".encode("latin-1"), body, b"\r\n"))


def drop(id: str) -> bytes:
    return f"DROP {id}\r\n".encode("latin-1")


class Reader:
    """The answers of one connection; keeps the head of the answer whose body is still to come."""

    def __init__(self) -> None:
        self.head: tuple[str, str, dict[str, str]] | None = None
        self.length, self.seen = 0, 0

    def read(self, buffer: bytearray, start: int, end: int) -> tuple[int, list[Answer]]:
        """Takes the whole answers between start and end, one a call; raises BadBytes on what is none."""
        found: list[Answer] = []
        while not found:
            if self.head is None:
                stop = buffer.find(b"\r\n", start + self.seen, end)
                if stop < 0:
                    if end - start > MOST_HEAD:
                        raise BadBytes("an answer's line is too long")
                    self.seen = max(0, end - start - 1)
                    return start, found
                if stop - start > MOST_HEAD:
                    raise BadBytes("an answer's line is too long")
                self.seen = 0
                answer = self._head(buffer[start:stop])
                start = stop + 2
                if answer is not None:
                    found.append(answer)
                continue
            if end - start < self.length + 2:
                return start, found
            stop = start + self.length
            if buffer[stop : stop + 2] != b"\r\n":
                raise BadBytes("an answer's bytes are not followed by CR LF")
            with memoryview(buffer) as view:
                found.append(Answer(*self.head, bytes(view[start:stop])))
            self.head, start = None, stop + 2
        return start, found

    def _head(self, line: bytearray) -> Answer | None:
        words = line.decode("latin-1").split(" ")
        if len(words) not in (2, 3, 4):
            raise BadBytes(f"an answer has {len(words)} words")
        if words[1] not in WORDS:
            raise BadBytes(f"an answer has the unknown word '{words[1][:20]}'")
        fields: dict[str, str] = {}
        for part in words[2].split(",") if len(words) > 2 and words[2] != "-" else []:
            name, equals, value = part.partition("=")
            if not equals:
                raise BadBytes(f"an answer has the field '{part[:20]}' without a value")
            fields[name] = value
        if len(words) < 4:
            if words[1] in OK_WORDS:
                raise BadBytes("an answer has no length")
            return Answer(words[0], words[1], fields, b"")
        if not (words[3].isascii() and words[3].isdecimal()) or int(words[3]) > MOST_BODY:
            raise BadBytes(f"an answer has the length '{words[3][:20]}'")
        self.head, self.length = (words[0], words[1], fields), int(words[3])
        return None
