"""Stand-ins for the platform and its parties, by the protocol page; used by the cases 6 to 10 of this review.

Everything listens on 127.0.0.1. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
READY_S = 30.0
_port_numbers = itertools.count()


class CouldNotRunError(Exception):
    """The case could not run: it says nothing about the rule."""


class Record:
    """`record.txt`: what was sent, answered and run, in order of time."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.began = time.time()

    def write(self, what: str, *, at: float | None = None, **fields: object) -> None:
        """Writes a line; `at` is the Unix time of the event, now if it is absent."""
        moment = (time.time() if at is None else at) - self.began
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{moment:9.3f} {what} {words}".rstrip() + "\n")
        self.file.flush()


def listening_socket(port: int = 0) -> socket.socket:
    """Returns a listening socket on 127.0.0.1; port 0 takes a free one."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", port))
    sock.listen(256)
    sock.setblocking(False)
    return sock


def free_port() -> int:
    """Returns another free port of 127.0.0.1 with each call, below those that connections are given."""
    for _ in range(20_000):
        port = 11_000 + (os.getpid() * 61 + next(_port_numbers)) % 20_000
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind(("127.0.0.1", port))
            return port
    raise CouldNotRunError("no port is free")


class ChangeLog:
    """The change log: later events, one JSON object a line, and each second a line with the last number.

    `write_line` writes the line of one event; a case may replace it by a slower one.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[dict[str, Any]] = []
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.asked: list[tuple[float, int]] = []  # Unix time and number of each line `since N`
        self.server: asyncio.Server | None = None
        self.write_line: Callable[[asyncio.StreamWriter, bytes], Awaitable[None]] = write_whole

    @property
    def last(self) -> int:
        """The number of the last event."""
        return self.events[-1]["seq"] if self.events else 0

    async def up(self) -> None:
        """Listens, at the same port as before."""
        sock = listening_socket(self.port)
        self.port = sock.getsockname()[1]
        self.server = await asyncio.start_server(self._serve, sock=sock)

    def down(self) -> None:
        """Closes the listener and all connections: further connections are refused."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        self.record.write("change log down")

    def outage(self, seconds: float) -> asyncio.Task[None]:
        """Takes it down at once; the task brings it back. What is published meanwhile is told then."""
        self.down()

        async def come_back() -> None:
            await asyncio.sleep(seconds)
            await self.up()
            self.record.write("change log up")

        return asyncio.create_task(come_back())

    def publish(self, **content: Any) -> None:
        """Adds an event, which followers are sent at once."""
        event = {"seq": self.last + 1, **content}
        self.events.append(event)
        self.record.write("change log event", event=json.dumps(event, separators=(",", ":")))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            line = await reader.readline()
            if not line:
                return
            position = int(line.split()[1])
            self.asked.append((time.time(), position))
            self.record.write("change log asked", since=position)
            said_at = 0.0
            while not writer.is_closing() and not reader.at_eof():
                for event in [one for one in self.events if one["seq"] > position]:
                    await self.write_line(writer, json.dumps(event, separators=(",", ":")).encode() + b"\n")
                    position = event["seq"]
                if time.monotonic() - said_at >= 1.0 and position == self.last:
                    said_at = time.monotonic()
                    writer.write(b"%d\n" % position)
                    await writer.drain()
                await asyncio.sleep(0.01)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def write_whole(writer: asyncio.StreamWriter, line: bytes) -> None:
    """Writes a line in one piece."""
    writer.write(line)
    await writer.drain()


@dataclass
class Arrival:
    """A GET that arrived whole at a cache host."""

    at: float
    host: str
    request_id: str
    fields: dict[str, str]
    body: bytes


@dataclass
class Answer:
    """What a cache host answers; no word: it says nothing."""

    word: str = "served"
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    after_s: float = 0.005


def served_now(arrival: Arrival) -> Answer:
    """Returns an answer with a copy that the origin gives out at this moment."""
    body = (arrival.fields.get("path", "") * 128).encode()[:2_000]
    fields = {"digest": "4be0c1927d55a6f3", "dated": str(int(time.time() * 1000)), "detail": "hit"}
    return Answer(fields=fields, body=body)


class CacheHost:
    """A cache host, a parent or the origin; `answer` is asked for each GET."""

    def __init__(
        self,
        uid: str,
        record: Record,
        arrivals: list[Arrival],
        answer: Callable[[Arrival], Answer] = served_now,
        model: str = "box",
        zone: str = "z1",
    ) -> None:
        self.uid, self.record, self.arrivals, self.answer = uid, record, arrivals, answer
        self.model, self.zone = model, zone
        self.port = 0
        self.dropped: list[str] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def up(self) -> None:
        """Listens at a free port, later at the same one."""
        sock = listening_socket(self.port)
        self.port = sock.getsockname()[1]
        self.server = await asyncio.start_server(self._serve, sock=sock)

    def down(self) -> None:
        """Ends the process: its connections are reset, further ones refused."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        self.record.write("host down", host=self.uid)

    def target(self, state: str = "ready", boot_ms: int = 0) -> dict[str, Any]:
        """Returns its row of the list."""
        return {
            "uid": self.uid,
            "endpoint": f"127.0.0.1:{self.port}",
            "az": self.zone,
            "model": self.model,
            "pod_group": 0,
            "state": state,
            "capacity_hint": 40,
            "boot_ms": boot_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (line := await reader.readline()).endswith(b"\r\n"):
                words = line.decode().split()
                if words[0] in ("PING", "LOAD"):
                    writer.write(f"{words[1]} green - 0\r\n\r\n".encode())
                elif words[0] == "DROP":
                    self.dropped.append(words[1])
                    self.record.write("drop", host=self.uid, id=words[1])
                else:
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    fields = dict(part.split("=", 1) for part in words[2].split(",") if "=" in part)
                    arrival = Arrival(time.time(), self.uid, words[1], fields, body)
                    self.arrivals.append(arrival)
                    self.record.write("get", host=self.uid, id=arrival.request_id, fields=words[2])
                    task = asyncio.create_task(self._answer(arrival, writer))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
        answer = self.answer(arrival)
        await asyncio.sleep(answer.after_s)
        if not answer.word or arrival.request_id in self.dropped:
            return
        fields = ",".join(f"{name}={value}" for name, value in answer.fields.items()) or "-"
        head = f"{arrival.request_id} {answer.word} {fields} {len(answer.body)}\r\n"
        with contextlib.suppress(OSError):
            writer.write(head.encode() + answer.body + b"\r\n")
            await writer.drain()
        self.record.write("host answer", host=self.uid, id=arrival.request_id, word=answer.word)


@dataclass
class Sent:
    """A client's request and its answer; status 0: none yet."""

    id: str
    at: float
    deadline_ms: int
    status: int = 0
    answered_at: float = 0.0
    head: str = ""
    body: bytes = b""


def _pair(name: str, value: str) -> bytes:
    lengths = b"".join(
        bytes([len(one)]) if len(one) < 128 else struct.pack(">I", len(one) | 1 << 31)
        for one in (name.encode(), value.encode())
    )
    return lengths + name.encode() + value.encode()


def _records(kind: int, number: int, content: bytes) -> bytes:
    parts = [content[at : at + 32_000] for at in range(0, len(content), 32_000)] + [b""]
    return b"".join(struct.pack(">BBHHBx", 1, kind, number, len(part), 0) + part for part in parts)


def request_bytes(number: int, script: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Returns a whole FastCGI request in the role Responder with KEEP_CONN."""
    params = b"".join(_pair(name, value) for name, value in ({"SCRIPT_NAME": script} | fields).items())
    begin = struct.pack(">BBHHBx", 1, 1, number, 8, 0) + struct.pack(">HB5x", 1, 1)
    return begin + _records(4, number, params) + _records(5, number, body)


class Client:
    """A web server of the front: one connection at a time, with many requests."""

    _ids = itertools.count(1)

    def __init__(self, address: tuple[str, int], record: Record) -> None:
        self.address, self.record = address, record
        self.open: dict[int, Sent] = {}
        self.sent: list[Sent] = []
        self.numbers = itertools.cycle(range(1, 30_000))
        self.writer: asyncio.StreamWriter | None = None
        self.task: asyncio.Task[None] | None = None
        self.partial: dict[int, bytes] = {}

    async def connect(self) -> None:
        """Opens the connection."""
        reader, self.writer = await asyncio.open_connection(*self.address)
        self.task = asyncio.create_task(self._read(reader))

    def send(self, class_name: str, subject: str, *, body: bytes = b"", **fields: str) -> Sent:
        """Sends a request; `fields` add to its parameters, by their names without HTTP_."""
        assert self.writer is not None
        number = next(self.numbers)
        request_id = f"{os.getpid() & 0xFFFF:04x}{next(Client._ids):012x}"
        own = {
            "HTTP_X_CORRELATION_ID": request_id,
            "HTTP_X_DEADLINE_MS": "2000",
            "HTTP_X_SUBJECT": subject,
            "HTTP_X_CHUNK": "0",
            "HTTP_X_TAG": "17",
        }
        own |= {f"HTTP_{name}": value for name, value in fields.items()}
        sent = Sent(own["HTTP_X_CORRELATION_ID"], time.time(), int(own["HTTP_X_DEADLINE_MS"]))
        self.open[number] = sent
        self.sent.append(sent)
        self.writer.write(request_bytes(number, f"/api/v2/{class_name}", own, body))
        self.record.write("sent", id=sent.id, track=class_name, subject=subject, tag=own["HTTP_X_TAG"])
        return sent

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                _, kind, number, length, padding = struct.unpack(">BBHHBx", await reader.readexactly(8))
                content = (await reader.readexactly(length + padding))[:length]
                if kind == 6:
                    self.partial[number] = self.partial.get(number, b"") + content
                elif kind == 3:
                    self._answered(number, self.partial.pop(number, b""))
        self.record.write("client connection ended", open=len(self.open))

    def _answered(self, number: int, answer: bytes) -> None:
        sent = self.open.pop(number, None)
        if sent is None:
            self.record.write("answer to no request", number=number)
            return
        head, _, sent.body = answer.partition(b"\r\n\r\n")
        sent.head, sent.answered_at = head.decode("latin-1"), time.time()
        sent.status = next(
            (int(line[7:].split()[0]) for line in sent.head.splitlines() if line.startswith("Status:")), -1
        )
        self.record.write("answer", id=sent.id, status=sent.status, ms=round((time.time() - sent.at) * 1000))

    async def close(self) -> None:
        """Closes the connection."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        if self.writer is not None:
            self.writer.close()


def settings(**changes: Any) -> dict[str, Any]:
    """Returns settings of a small deployment by the figures of charge-portal; `changes` by dotted paths."""
    out: dict[str, Any] = {
        "areas": ["hub", "z1", "z2"],
        "models": ["box", "parent", "origin"],
        "zone": "z1",
        "group_size": 1,
        "index": 0,
        "classes": [
            {
                "name": "guide-video",
                "target": 0.5,
                "aim_stretch": 2.0,
                "give_up": 5.0,
                "semantics": "idempotent",
                "gain": 2.0,
                "late_value": 0.15,
            },
            {
                "name": "station-page",
                "target": 0.3,
                "aim_stretch": 2.0,
                "give_up": 2.5,
                "semantics": "idempotent",
                "gain": 1.0,
                "late_value": 0.2,
            },
            {
                "name": "slot-booking",
                "target": 0.7,
                "give_up": 3.0,
                "semantics": "deduplicated",
                "group": "all",
                "dedup_window": 3.0,
                "gain": 3.0,
            },
        ],
        "family_info": {
            "second_tier_kind": 1,
            "master_kind": 2,
            "uncached": [False, False, True],
            "lifetime_by_class": [0, 8.0, 0],
            "class_grace": [0, 30.0, 0],
            "worth_when_old": [0, 0.7, 0],
            "may_pass_by": True,
            "joins": True,
            "notes_given": "hit",
            "sideways": "location",
            "stream_kb_per_s": 4000.0,
            "zone_link_kb_per_s": [0.0, 400000.0, 400000.0],
            "instances_by_zone": [0, 1, 1],
            "purge_takes": 6.0,
            "purge_grace": 1.0,
            "parent_starts_at": 0.063,
            "parent_ramp": 22.0,
            "parent_fall_multiple": 2.0,
        },
        "limits": {
            "connect_timeout": 0.4,
            "max_attempts": 6,
            "may_cancel": True,
            "parallel_tries": True,
            "retry_after": True,
            "max_retry_after": 1.0,
            "open_cap": 400,
            "streams_per_conn": 100,
            "idle_close": 30.0,
        },
        "rules": {
            "stop_sending_within": 0.25,
            "cold_from": 0.22,
            "cold": 15.0,
            "fall_multiple": 2.5,
            "tip_after": 1.5,
            "answer_slack": 0.05,
        },
        "discovery": "automatic",
        "weights": "nominal",
        "round": 0.002,
    }
    for path, value in changes.items():
        *parents, last = path.split(".")
        section = out
        for name in parents:
            section = section[name]
        section[last] = value
    return out


class Dispatcher:
    """One dispatcher, started by `run` of the deploy file."""

    def __init__(
        self, name: str, folder: Path, record: Record, environment: dict[str, str] | None = None
    ) -> None:
        self.name, self.folder, self.record = name, folder, record
        self.port = free_port()
        self.environment = environment or {}
        self.process: asyncio.subprocess.Process | None = None
        self.configuration = folder / f"{name}.json"
        self.log = folder / f"{name}.log"

    @property
    def address(self) -> tuple[str, int]:
        """Where its clients connect."""
        return "127.0.0.1", self.port

    def configure(self, changelog_port: int, known: list[dict[str, Any]], **more: Any) -> None:
        """Writes its configuration."""
        content = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "changelog": f"127.0.0.1:{changelog_port}",
            "flow_bytes_per_s": 310_000,
            "link_bytes_per_s": 1_240_000,
            "known": {"seq": known[-1]["seq"] if known else 0, "results": known},
            "settings": settings(),
        }
        temporary = self.configuration.with_suffix(".new")
        temporary.write_text(json.dumps(content | more))
        temporary.replace(self.configuration)

    async def start(self) -> None:
        """Starts it and waits until it answers the health check with 200."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        own = plain_environment()
        temporary = self.folder / f"{self.name}.tmp"
        temporary.mkdir(exist_ok=True)
        own |= {
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": f"127.0.0.1:{self.port}",
            "EDGE_CONFIG": str(self.configuration),
            "TMPDIR": str(temporary),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=own | self.environment, stdout=log, stderr=log
            )
        self.record.write("dispatcher started", name=self.name)
        until = time.monotonic() + READY_S
        while time.monotonic() < until and self.process.returncode is None:
            if await self.is_healthy():
                self.record.write("dispatcher ready", name=self.name)
                return
            await asyncio.sleep(0.05)
        raise CouldNotRunError(f"{self.name} is not ready: {self.log.read_text()[-800:]}")

    async def is_healthy(self) -> bool:
        """Returns whether it answers /-/healthy with status 200."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(2):
                reader, writer = await asyncio.open_connection(*self.address)
                try:
                    writer.write(request_bytes(1, "/-/healthy", {}))
                    head = await reader.readexactly(8)
                    length, padding = struct.unpack(">HB", head[4:7])
                    return b"Status: 200" in (await reader.readexactly(length + padding))[:length]
                finally:
                    writer.close()
        return False

    def signal(self, number: int) -> None:
        """Sends a signal to the program that `run` started."""
        assert self.process is not None
        self.record.write("signal", name=self.name, number=number)
        self.process.send_signal(number)

    async def stop(self) -> None:
        """Ends it."""
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(8):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


def plain_environment() -> dict[str, str]:
    """Returns this process's environment without the variables that a dispatcher reads."""
    return {
        name: value for name, value in os.environ.items() if not name.startswith(("EDGE_", "HOISTPLANK_"))
    }


async def wait_until(condition: Callable[[], object], seconds: float) -> bool:
    """Waits for a condition, `seconds` at most; returns whether it holds."""
    until = time.monotonic() + seconds
    while not condition() and time.monotonic() < until:  # noqa: ASYNC110  several kinds of condition
        await asyncio.sleep(0.01)
    return bool(condition())


Case = Callable[[Path, Record], Awaitable[list[str]]]


async def _run(case: Case, folder: Path, record: Record) -> list[str]:
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(110):
        return await case(folder, record)


def play(case: Case, folder: Path) -> None:
    """Plays a case and exits: `case` returns a line for each breach of the rule.

    Whatever else goes wrong, a signal to end and an error of the script itself included, means that the case
    could not run. `case` ends the processes that it started in each of these.
    """
    record = Record(folder)
    record.write("case begins", trouble=int(TROUBLE))
    code = COULD_NOT_RUN
    with tempfile.TemporaryDirectory() as temporary:
        try:
            breaches = asyncio.run(_run(case, Path(temporary), record))
        except (Exception, asyncio.CancelledError, KeyboardInterrupt):
            why = traceback.format_exc()
            print(f"could not run: {why}")
            record.write("could not run", why=why.strip().splitlines()[-1])
        else:
            code = BROKEN if breaches else HELD
            for line in breaches:
                record.write("breach", of=line.replace(" ", "_"))
            for line in breaches[:20]:
                print("breach:", line)
            print(f"rule {'broken' if breaches else 'held'}: {len(breaches)} breaches")
        for log in Path(temporary).glob("*.log"):
            record.write("log of", name=log.name)
            record.file.write(log.read_text(errors="replace")[-20_000:])
    record.write("case ends", code=code)
    sys.exit(code)


@dataclass
class Site:
    """A small deployment: a change log, nine cache hosts in two branches (four in the dispatcher's own), two
    parents, an origin and one dispatcher."""

    folder: Path
    record: Record
    answer: Callable[[Arrival], Answer] = served_now
    arrivals: list[Arrival] = field(default_factory=list)
    environment: dict[str, str] = field(default_factory=dict)
    settings: dict[str, Any] = field(default_factory=settings)

    def __post_init__(self) -> None:
        self.dispatcher = Dispatcher("n0", self.folder, self.record, self.environment)

    async def up(self) -> None:
        """Starts the stand-ins, and the dispatcher with the whole list under `known`."""
        await self.stand_ins_up()
        await self.dispatcher.start()

    async def stand_ins_up(self) -> None:
        """Starts the stand-ins, and writes the dispatcher's configuration."""
        self.caches = [self._host(f"s-00c41f{n:02x}") for n in range(4)]
        others = [self._host(f"s-00c41f{n:02x}", zone="z2") for n in range(16, 21)]
        self.parents = [self._host(f"p-0000000{n}", "parent", "hub") for n in range(2)]
        self.origin = self._host("o-00000001", "origin", "hub")
        self.hosts = [*self.caches, *others, *self.parents, self.origin]
        for host in self.hosts:
            await host.up()
        self.log = ChangeLog(self.record)
        await self.log.up()
        self.log.publish(fleet={"rev": 1, "all": True, "targets": [host.target() for host in self.hosts]})
        self.dispatcher.configure(self.log.port, list(self.log.events), settings=self.settings)

    def _host(self, uid: str, model: str = "box", zone: str = "z1") -> CacheHost:
        return CacheHost(uid, self.record, self.arrivals, self.answer, model, zone)

    def list_change(self, host: CacheHost, state: str) -> None:
        """Puts a change of a host's state into the change log."""
        self.log.publish(fleet={"rev": self.log.last + 1, "all": False, "targets": [host.target(state)]})

    async def release(self, host: CacheHost, dead_after_s: float, successor_after_s: float) -> None:
        """Takes a cache host away: it is listed as draining, ends, is gone, and a new cache host of another
        branch starts at its address. `successor` is that one, `drained_at` and `gone_at` are Unix times."""
        self.drained_at = time.time()
        self.list_change(host, "draining")
        await asyncio.sleep(dead_after_s)
        host.down()
        self.gone_at = time.time()
        self.list_change(host, "gone")
        await asyncio.sleep(successor_after_s - dead_after_s)
        self.successor = CacheHost("s-00c41fe0", self.record, self.arrivals, self.answer, zone="z2")
        self.successor.port = host.port
        await self.successor.up()
        started = self.successor.target(boot_ms=int(time.time() * 1000))
        self.log.publish(fleet={"rev": self.log.last + 1, "all": False, "targets": [started]})

    async def client(self) -> Client:
        """Returns a connected client."""
        client = Client(self.dispatcher.address, self.record)
        await client.connect()
        return client


async def send_steadily(client: Client, rate: float, seconds: float, first: int = 0) -> int:
    """Sends requests for ever new objects at a steady rate; returns the number of the next one."""
    began, count = time.monotonic(), 0
    while (now := time.monotonic() - began) < seconds:
        while count < rate * now:
            count += 1
            client.send("station-page", f"{first + count:016x}")
        await asyncio.sleep(0.01)
    return first + count
