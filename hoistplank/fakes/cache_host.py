"""Cache hosts, parents and an origin that keep copies and fill misses from the source that a request
names."""

from __future__ import annotations

import asyncio
import hashlib
import time
from collections import OrderedDict
from dataclasses import dataclass, field

from hoistplank.fakes.wire import serve


@dataclass(slots=True)
class Directory:
    """Where each stands: a fill goes to a source that is named by its uid."""

    ports: dict[str, int] = field(default_factory=dict)
    purged: dict[str, tuple[int, float]] = field(
        default_factory=dict
    )  # object: Unix ms, and until when old ones may go
    stale: list[str] = field(default_factory=list)  # requests that were answered with what was purged by then


def content(object_key: str, part: str, size: int) -> bytes:
    """An object's bytes: the same wherever it is asked for, so that what is served can be checked."""
    block = hashlib.sha256(f"{object_key}/{part}".encode()).digest()
    return (block * (size // len(block) + 1))[:size]


class Server:
    """One cache host, parent or origin. `takes_s` is how long it works on an answer of its own.

    Bookings (requests with `uniq`) run at the origin once for each key within three seconds; `ran` counts the
    runs of
    each key, which is the truth that a checker looks at.
    """

    def __init__(self, uid: str, kind: str, directory: Directory, takes_s: float, keeps: int = 2_000) -> None:
        self.uid, self.kind, self.directory, self.takes_s, self.keeps = uid, kind, directory, takes_s, keeps
        self.copies: OrderedDict[tuple[str, str], tuple[bytes, int]] = OrderedDict()
        self.filling: dict[tuple[str, str], asyncio.Future[tuple[bytes, int]]] = {}
        self.seen: list[tuple[float, str, str]] = []  # when, the request's id, the note of its answer
        self.ran: dict[str, list[float]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.port, self.ping = 0, "green"
        self.size = 20_000

    async def start(self) -> None:
        self.port = self.directory.ports[self.uid] = await serve(self.talk)

    def hold(self, object_key: str, part: str = "0") -> None:
        """A copy that it has from the start."""
        self.copies[object_key, part] = (content(object_key, part, self.size), int(time.time() * 1e3))

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := (await reader.readline()).decode().split():
                if line[0] == "GET":
                    body = (await reader.readexactly(int(line[3]) + 2))[:-2]
                    fields = dict(part.split("=") for part in line[2].split(",") if "=" in part)
                    task = asyncio.create_task(self._answer(line[1], fields, body, writer))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
                elif line[0] in ("PING", "LOAD"):
                    writer.write(f"{line[1]} {self.ping} - 0\r\n\r\n".encode())
        finally:
            for task in list(self.tasks):
                if writer.is_closing():
                    task.cancel()

    async def _answer(
        self, id: str, fields: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        object_key, part = fields.get("path", ""), fields.get("blk", "0")
        if key := fields.get("uniq"):
            await asyncio.sleep(self.takes_s)
            runs = self.ran.setdefault(key, [])
            if not runs or time.monotonic() - runs[-1] > 3.0:
                runs.append(time.monotonic())
            self._write(
                id, "filled", hashlib.sha256(key.encode() + body).digest(), int(time.time() * 1e3), writer
            )
            return
        note, place = "hit", (object_key, part)
        held = self._young(place, fields)
        if held is None:
            held, note = await self._filled(place, fields)
        else:
            self.copies.move_to_end(place)
            await asyncio.sleep(self.takes_s / 4)
        if held is None:
            writer.write(f"{id} not_here - 0\r\n\r\n".encode())
            return
        made_ms, until = self.directory.purged.get(object_key, (0, 0.0))
        if held[1] < made_ms and time.time() > until and id != "fill":
            self.directory.stale.append(id)
        self._write(id, note, held[0], held[1], writer)

    def _young(self, place: tuple[str, str], fields: dict[str, str]) -> tuple[bytes, int] | None:
        """The copy that is kept, if it is no older than the request takes it."""
        held, most_ms = self.copies.get(place), int(fields.get("accept", "0"))
        return None if held is not None and most_ms and time.time() * 1e3 - held[1] > most_ms else held

    async def _filled(
        self, place: tuple[str, str], fields: dict[str, str]
    ) -> tuple[tuple[bytes, int] | None, str]:
        under_way = self.filling.get(place)
        if under_way is not None:
            return await asyncio.shield(under_way), "joined"
        source = fields.get("parent", "")
        if self.kind != "origin" and source not in self.directory.ports:
            return None, ""
        filling = self.filling[place] = asyncio.get_running_loop().create_future()
        try:
            await asyncio.sleep(self.takes_s)
            if self.kind == "origin":
                found = (content(*place, self.size), int(time.time() * 1e3))
            else:
                found = await self._fetched(source, place, fields)
            self.copies[place] = found
            if len(self.copies) > self.keeps:
                self.copies.popitem(last=False)
            filling.set_result(found)
            return found, "filled"
        except (OSError, ValueError, asyncio.IncompleteReadError) as wrong:
            filling.set_exception(wrong)
            filling.exception()  # looked at: those that joined raise it themselves
            return None, ""
        finally:
            self.filling.pop(place, None)

    async def _fetched(
        self, source: str, place: tuple[str, str], fields: dict[str, str]
    ) -> tuple[bytes, int]:
        """One fill over a connection of its own; a parent fills from the origin."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.directory.ports[source])
        try:
            origin = next(uid for uid in self.directory.ports if uid.startswith("origin"))
            asked = {"queue": fields.get("queue", ""), "path": place[0], "blk": place[1], "parent": origin}
            if "accept" in fields:
                asked["accept"] = fields["accept"]
            words = ",".join(f"{name}={value}" for name, value in asked.items())
            writer.write(f"GET fill {words} 0\r\n\r\n".encode())
            line = (await reader.readline()).decode().split()
            body = (await reader.readexactly(int(line[3]) + 2))[:-2]
            if line[1] != "served":
                raise ValueError(f"the source said {line[1]}")
            return body, int(dict(part.split("=") for part in line[2].split(","))["dated"])
        finally:
            writer.close()

    def _write(self, id: str, note: str, body: bytes, dated: int, writer: asyncio.StreamWriter) -> None:
        if id != "fill":
            self.seen.append((time.time(), id, note))
        digest = hashlib.sha256(body).hexdigest()[:16]
        if not writer.is_closing():
            writer.write(f"{id} served detail={note},digest={digest},dated={dated} {len(body)}\r\n".encode())
            writer.write(body + b"\r\n")
