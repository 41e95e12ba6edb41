"""Fake cache hosts, parents and an origin, which cache copies and fill misses over loopback."""

from __future__ import annotations

import asyncio
import hashlib
import time
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import NamedTuple

from hoistplank.fakes.wire import serve

FILL_ID = "fill"  # the request id of a fill, which no dispatcher sends
BOOKING_WINDOW_S = 3.0  # within which the origin runs bookings with the same key only once
COPY_BYTES = 20_000

PartKey = tuple[str, str]  # an object's key and the number of its part


class StoredCopy(NamedTuple):
    """A part's bytes, and when the origin sent them (Unix ms)."""

    body: bytes
    dated_ms: int


class SentAnswer(NamedTuple):
    """An answer that was sent: its time (Unix s), request id and cache status."""

    at: float
    request_id: str
    cache_status: str


class ReceivedRequest(NamedTuple):
    """A received request: its time (Unix s), id, and the source to fill from ("" if it names none)."""

    at: float
    request_id: str
    source: str


@dataclass(slots=True)
class ServerDirectory:
    """The ports of a deployment's servers by uid, for fills, and its purges."""

    ports: dict[str, int] = field(default_factory=dict)
    # By object: its purge time (Unix ms), and the time (Unix s) until which older copies may be served.
    purged: dict[str, tuple[int, float]] = field(default_factory=dict)
    # The ids of requests that got a copy older than its purge after that time.
    stale_answers: list[str] = field(default_factory=list)


def content(object_key: str, part: str, size: int) -> bytes:
    """Return an object's bytes, which all servers generate alike, so that answers can be checked."""
    block = hashlib.sha256(f"{object_key}/{part}".encode()).digest()
    return (block * (size // len(block) + 1))[:size]


def _now_ms() -> int:
    return int(time.time() * 1e3)


class FakeCacheServer:
    """One cache host (`box`), `parent` or `origin`. `work_s`: processing time of an answer without a fill.

    Bookings (requests with `uniq`) run at the origin once for each key within `BOOKING_WINDOW_S`;
    `runs_by_key` holds the times of the runs (monotonic s), which a checker compares with the answers.
    """

    def __init__(
        self, uid: str, kind: str, directory: ServerDirectory, work_s: float, max_copies: int = 2_000
    ) -> None:
        self.uid = uid
        self.kind = kind
        self.directory = directory
        self.work_s = work_s
        self.max_copies = max_copies
        self.copies: OrderedDict[PartKey, StoredCopy] = OrderedDict()
        self.fills: dict[PartKey, asyncio.Future[StoredCopy]] = {}
        self.received: list[ReceivedRequest] = []  # from dispatchers, without the fills of other servers
        self.answers: list[SentAnswer] = []
        self.runs_by_key: dict[str, list[float]] = {}
        self.port = 0
        self.health = "green"
        self.copy_bytes = COPY_BYTES

    async def start(self) -> None:
        """Listen on a free port, and enter it in the directory."""
        self.port = self.directory.ports[self.uid] = await serve(self.serve_connection)

    def store_copy(self, object_key: str, part: str = "0") -> None:
        """Store a copy as if it had just been filled."""
        self.copies[object_key, part] = self._new_copy((object_key, part))

    def _new_copy(self, key: PartKey) -> StoredCopy:
        return StoredCopy(content(*key, self.copy_bytes), _now_ms())

    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection until it ends; answers may overtake each other."""
        tasks: set[asyncio.Task[None]] = set()
        try:
            while line := (await reader.readline()).decode().split():
                if line[0] == "GET":
                    body = (await reader.readexactly(int(line[3]) + 2))[:-2]
                    fields = dict(part.split("=") for part in line[2].split(",") if "=" in part)
                    task = asyncio.create_task(self._answer(line[1], fields, body, writer))
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)
                elif line[0] in ("PING", "LOAD"):
                    writer.write(f"{line[1]} {self.health} - 0\r\n\r\n".encode())
        finally:
            for task in list(tasks):
                if writer.is_closing():
                    task.cancel()

    async def _answer(
        self, request_id: str, fields: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        if request_id != FILL_ID:
            self.received.append(ReceivedRequest(time.time(), request_id, fields.get("parent", "")))
        if idempotency_key := fields.get("uniq"):
            receipt = await self._run_booking(idempotency_key, body)
            self._write(request_id, "filled", receipt, writer)
            return
        key, cache_status = (fields.get("path", ""), fields.get("blk", "0")), "hit"
        copy = self._fresh_copy(key, fields)
        if copy is not None:
            self.copies.move_to_end(key)
            await asyncio.sleep(self.work_s / 4)
        else:
            copy, cache_status = await self._fill_or_join(key, fields)
        if copy is None:
            self.write_refusal(request_id, "not_here", writer)
            return
        self._check_purge(request_id, key[0], copy)
        self._write(request_id, cache_status, copy, writer)

    def write_refusal(self, request_id: str, status: str, writer: asyncio.StreamWriter) -> None:
        """Answer with a status that says that the request never ran."""
        writer.write(f"{request_id} {status} - 0\r\n\r\n".encode())

    async def _run_booking(self, idempotency_key: str, body: bytes) -> StoredCopy:
        await asyncio.sleep(self.work_s)
        runs = self.runs_by_key.setdefault(idempotency_key, [])
        if not runs or time.monotonic() - runs[-1] > BOOKING_WINDOW_S:
            runs.append(time.monotonic())
        return StoredCopy(hashlib.sha256(idempotency_key.encode() + body).digest(), _now_ms())

    def _check_purge(self, request_id: str, object_key: str, copy: StoredCopy) -> None:
        purged_ms, until = self.directory.purged.get(object_key, (0, 0.0))
        if copy.dated_ms < purged_ms and time.time() > until and request_id != FILL_ID:
            self.directory.stale_answers.append(request_id)

    def _fresh_copy(self, key: PartKey, fields: dict[str, str]) -> StoredCopy | None:
        """Return the cached copy, if it is no older than the request accepts."""
        copy, max_age_ms = self.copies.get(key), int(fields.get("accept", "0"))
        if copy is not None and max_age_ms and time.time() * 1e3 - copy.dated_ms > max_age_ms:
            return None
        return copy

    async def _fill_or_join(self, key: PartKey, fields: dict[str, str]) -> tuple[StoredCopy | None, str]:
        """Return a copy and the answer's cache status; join a fill that is in progress, or start one."""
        in_progress = self.fills.get(key)
        if in_progress is not None:
            return await asyncio.shield(in_progress), "joined"
        source = fields.get("parent", "")
        if self.kind != "origin" and source not in self.directory.ports:
            return None, ""
        fill = self.fills[key] = asyncio.get_running_loop().create_future()
        try:
            await asyncio.sleep(self.work_s)
            copy = self._new_copy(key) if self.kind == "origin" else await self._fetch(source, key, fields)
        except (OSError, ValueError, asyncio.IncompleteReadError) as error:
            fill.set_exception(error)
            fill.exception()  # marks it as retrieved: requests that joined the fill raise it themselves
            return None, ""
        except asyncio.CancelledError:
            fill.cancel()
            raise
        finally:
            self.fills.pop(key, None)
        self.copies[key] = copy
        if len(self.copies) > self.max_copies:
            self.copies.popitem(last=False)
        fill.set_result(copy)
        return copy, "filled"

    async def _fetch(self, source: str, key: PartKey, fields: dict[str, str]) -> StoredCopy:
        """Fetch a copy over a new connection; a parent is told to fill from the origin."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.directory.ports[source])
        try:
            origin = next(uid for uid in self.directory.ports if uid.startswith("origin"))
            sent = {"queue": fields.get("queue", ""), "path": key[0], "blk": key[1], "parent": origin}
            if "accept" in fields:
                sent["accept"] = fields["accept"]
            encoded = ",".join(f"{name}={value}" for name, value in sent.items())
            writer.write(f"GET {FILL_ID} {encoded} 0\r\n\r\n".encode())
            line = (await reader.readline()).decode().split()
            body = (await reader.readexactly(int(line[3]) + 2))[:-2]
            if line[1] != "served":
                raise ValueError(f"expected 'served' from the source, got '{line[1]}'")
            details = dict(part.split("=") for part in line[2].split(","))
            return StoredCopy(body, int(details["dated"]))
        finally:
            writer.close()

    def _write(
        self, request_id: str, cache_status: str, copy: StoredCopy, writer: asyncio.StreamWriter
    ) -> None:
        if request_id != FILL_ID:
            self.answers.append(SentAnswer(time.time(), request_id, cache_status))
        digest = hashlib.sha256(copy.body).hexdigest()[:16]
        if writer.is_closing():
            return
        details = f"detail={cache_status},digest={digest},dated={copy.dated_ms}"
        writer.write(f"{request_id} served {details} {len(copy.body)}\r\n".encode())
        writer.write(copy.body + b"\r\n")
