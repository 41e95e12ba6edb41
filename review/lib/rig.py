"""Stand-ins for a small deployment on loopback: change log, cache hosts, web server; starts one dispatcher.

Only the standard library is used. Every server listens on 127.0.0.1.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import tempfile
import time
import tomllib
import traceback
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from hashlib import sha256
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
READY_S = 20.0
HEADER = struct.Struct(">BBHHBx")
BEGIN, ABORT, END, PARAMS, STDIN, STDOUT = 1, 2, 3, 4, 5, 6
BODY_BYTES = 2_000


def now_ms() -> int:
    """Return the Unix time in milliseconds."""
    return int(time.time() * 1000)


class Record:
    """The file `record.txt` of a case: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self.started = time.time()
        self.file = (folder / "record.txt").open("w")

    def write(self, text: str) -> None:
        """Add a line with the seconds since the start."""
        self.file.write(f"{time.time() - self.started:8.3f} {text}\n")

    def say(self, text: str) -> None:
        """Add a line, and print it."""
        self.write(text)
        print(text)
        self.file.flush()


def listening_socket(port: int = 0) -> socket.socket:
    """Return a socket bound to a loopback port that several sockets may be bound to."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind(("127.0.0.1", port))
    sock.setblocking(False)
    return sock


def free_port() -> int:
    """Return a port below the ephemeral ones that is free now."""
    for number in range(2_000):
        port = 12_000 + (os.getpid() * 131 + number * 7) % 18_000
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind(("127.0.0.1", port))
            return port
    raise RuntimeError("no free port")


class ChangeLog:
    """The platform's change log: events by number, and the last number each second.

    `answer_delay_s` holds back all lines of a connection for that long after its `since` line.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[dict[str, Any]] = []
        self.asked_at: list[float] = []  # Unix time of each `since` line
        self.answer_delay_s = 0.0
        self.writers: set[asyncio.StreamWriter] = set()
        self.reservation = listening_socket()  # keeps the port while the log is down
        self.port = int(self.reservation.getsockname()[1])
        self.server: asyncio.Server | None = None
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, sock=listening_socket(self.port))

    def add(self, **event: Any) -> None:
        """Add an event; the followers get it at once."""
        self.events.append({"seq": len(self.events) + 1, **event})
        self._changed.set()
        self._changed.clear()

    def known(self) -> dict[str, Any]:
        """Return the events so far in the form of the configuration's `known`."""
        return {"seq": len(self.events), "results": list(self.events)}

    async def break_off(self, **event: Any) -> None:
        """Add an event, write half of its line to each follower, and close the connections."""
        writers, self.writers = self.writers, set()
        self.events.append({"seq": len(self.events) + 1, **event})
        line = json.dumps(self.events[-1]).encode()
        for writer in writers:
            writer.write(line[: len(line) // 2])
            with contextlib.suppress(OSError):
                await writer.drain()
            writer.close()
        self._changed.set()
        self._changed.clear()

    def stop_listening(self) -> None:
        """Refuse new connections until `start`."""
        if self.server is not None:
            self.server.close()
            self.server = None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, ValueError, IndexError, asyncio.CancelledError):
            position = int((await reader.readline()).split()[1])
            self.asked_at.append(time.time())
            self.record.write(f"change log asked for events since {position}")
            self.writers.add(writer)
            await asyncio.sleep(self.answer_delay_s)
            if position < len(self.events):
                position = self._send_events(writer, position)
            writer.write(b"%d\n" % position)
            next_number_at = time.monotonic() + 1.0
            while writer in self.writers:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(max(0.0, next_number_at - time.monotonic())):
                        await self._changed.wait()
                if writer not in self.writers:
                    break
                position = self._send_events(writer, position)
                if time.monotonic() >= next_number_at:
                    writer.write(b"%d\n" % position)
                    next_number_at = time.monotonic() + 1.0
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    def _send_events(self, writer: asyncio.StreamWriter, position: int) -> int:
        for event in self.events[position:]:
            writer.write(json.dumps(event).encode() + b"\n")
            self.record.write(f"change log sent event {event['seq']}")
        return len(self.events)


@dataclass
class Copy:
    """A stored part of an object; `dated` is when the origin gave it out (Unix ms)."""

    dated: int
    body: bytes


@dataclass
class Get:
    """A request that came to a cache host, with the time at which it had come whole (Unix s)."""

    at: float
    id: str
    fields: dict[str, str]
    dated: int = 0  # of the copy in the answer
    answered: str = ""


def content(path: str, part: str, dated: int) -> bytes:
    """Return the bytes of an object as the origin gives them out at a time."""
    block = sha256(f"{path}/{part}/{dated}".encode()).digest()
    return (block * (BODY_BYTES // len(block) + 1))[:BODY_BYTES]


@dataclass
class CacheHost:
    """A cache host, parent or origin that keeps copies, and fills a miss with a copy dated now.

    `fresh_ms` is by class; 0: a copy is good until it is purged. A purged copy is served to requests that
    accept it until `purge_takes_s` after the purge.
    """

    uid: str
    model: str
    zone: str
    record: Record
    work_s: float = 0.004
    work_by_class: dict[str, float] = field(default_factory=dict)
    fresh_ms: dict[str, int] = field(default_factory=dict)
    purge_takes_s: float = 6.0
    copies: dict[tuple[str, str], Copy] = field(default_factory=dict)
    purges: list[tuple[float, Callable[[str], bool]]] = field(default_factory=list)
    gets: list[Get] = field(default_factory=list)
    port: int = 0
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on a free port."""
        sock = listening_socket()
        self.port = int(sock.getsockname()[1])
        await asyncio.start_server(self._serve, sock=sock)

    def row(self, state: str = "ready") -> dict[str, Any]:
        """Return the host as the change log lists it."""
        return {
            "uid": self.uid,
            "endpoint": f"127.0.0.1:{self.port}",
            "az": self.zone,
            "model": self.model,
            "pod_group": 0,
            "state": state,
            "capacity_hint": 20,
            "boot_ms": 0,
        }

    def purge(self, at: float, matches: Callable[[str], bool]) -> None:
        """Take a purge made at a Unix time of the objects that match."""
        self.purges.append((at, matches))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while line := (await reader.readline()).decode("latin-1").split():
                if line[0] == "GET":
                    await reader.readexactly(int(line[3]) + 2)
                    fields = dict(part.split("=", 1) for part in line[2].split(",") if "=" in part)
                    get = Get(time.time(), line[1], fields)
                    self.gets.append(get)
                    task = asyncio.create_task(self._answer(get, writer))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
                elif line[0] in ("PING", "LOAD"):
                    writer.write(f"{line[1]} green use=inflight:1;util:0.1;x0:0.5;x1:0.1 0\r\n\r\n".encode())
        writer.close()

    async def _answer(self, get: Get, writer: asyncio.StreamWriter) -> None:
        key, detail = (get.fields["path"], get.fields["blk"]), "hit"
        copy = self._acceptable(key, get.fields)
        await asyncio.sleep(self.work_by_class.get(get.fields.get("queue", ""), self.work_s))
        if copy is None and not get.fields.get("parent") and self.model != "origin":
            get.answered = "not_here"
            writer.write(f"{get.id} not_here - 0\r\n\r\n".encode())
        else:
            if copy is None:
                await asyncio.sleep(self.work_s)
                dated = now_ms()
                copy = self.copies[key] = Copy(dated, content(*key, dated))
                detail = "filled"
            get.answered, get.dated = detail, copy.dated
            digest = sha256(copy.body).hexdigest()[:16]
            report = "use=inflight:1;util:0.1;x0:0.5;x1:0.1"
            head = f"{get.id} served detail={detail},digest={digest},dated={copy.dated},{report}"
            writer.write(f"{head} {len(copy.body)}\r\n".encode() + copy.body + b"\r\n")
        accept, parent = get.fields.get("accept", "-"), get.fields.get("parent", "-")
        self.record.write(
            f"{self.uid} GET {get.id} path={key[0]} accept={accept} parent={parent}:"
            f" {get.answered} dated={get.dated}"
        )

    def _acceptable(self, key: tuple[str, str], fields: dict[str, str]) -> Copy | None:
        copy = self.copies.get(key)
        if copy is None:
            return None
        for at, matches in self.purges:
            if copy.dated < at * 1000 and time.time() > at + self.purge_takes_s and matches(key[0]):
                return None
        oldest = int(fields.get("accept", "0")) or self.fresh_ms.get(fields.get("queue", ""), 0)
        if oldest and now_ms() - copy.dated > oldest:
            return None
        return copy


def pair(name: str, value: str) -> bytes:
    """Return a FastCGI name-value pair of short texts."""
    return bytes((len(name), len(value))) + name.encode() + value.encode()


def record_bytes(kind: int, number: int, body: bytes = b"") -> bytes:
    """Return a FastCGI record."""
    return HEADER.pack(1, kind, number, len(body), 0) + body


def request_bytes(number: int, script: str, fields: dict[str, str]) -> bytes:
    """Return a whole FastCGI request with KEEP_CONN and without a body."""
    params = b"".join(pair(name, value) for name, value in ({"SCRIPT_NAME": script} | fields).items())
    return (
        record_bytes(BEGIN, number, struct.pack(">HB5x", 1, 1))
        + record_bytes(PARAMS, number, params)
        + record_bytes(PARAMS, number)
        + record_bytes(STDIN, number)
    )


@dataclass
class Sent:
    """A request of the web server, and what became of it (all times are Unix s)."""

    id: str
    number: int
    written_at: float
    status: int = 0  # 0: no whole answer
    ended_at: float = 0.0
    aborted_at: float = 0.0
    body: bytes = b""


class WebServerConnection:
    """One FastCGI connection of a web server: up to 32 open requests, answers in any order."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.open: dict[int, Sent] = {}
        self.partial: dict[int, bytes] = {}
        self.ended_at = 0.0
        self.answered: asyncio.Future[None] | None = None  # set by the next answer
        self.task = asyncio.create_task(self._read())

    def free_number(self) -> int:
        """Return a request number that is not in use, or 0."""
        return next((number for number in range(1, 33) if number not in self.open), 0)

    async def _read(self) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                _, kind, number, length, padding = HEADER.unpack(await self.reader.readexactly(8))
                body = (await self.reader.readexactly(length + padding))[:length]
                if kind == STDOUT:
                    self.partial[number] = self.partial.get(number, b"") + body
                elif kind == END:
                    self._ended(number)
        self.ended_at = time.time()
        self.writer.close()

    def _ended(self, number: int) -> None:
        answer, sent = self.partial.pop(number, b""), self.open.pop(number, None)
        if sent is None:
            return
        sent.ended_at = time.time()
        if self.answered is not None and not self.answered.done():
            self.answered.set_result(None)
        head, _, sent.body = answer.partition(b"\r\n\r\n")
        if head.startswith(b"Status: "):
            sent.status = int(head.split(b"\r\n")[0].split()[1])


class Dispatcher:
    """One dispatcher, started by the deploy file's `run` from the repository's root."""

    def __init__(self, record: Record, settings: dict[str, Any], change_log: ChangeLog) -> None:
        self.record, self.settings, self.change_log = record, settings, change_log
        self.folder = tempfile.TemporaryDirectory()
        self.port = free_port()
        self.process: asyncio.subprocess.Process | None = None
        self.log = Path(self.folder.name) / "dispatcher.log"

    async def start(self) -> bool:
        """Start the program; return whether it is ready in time."""
        listen = f"127.0.0.1:{self.port}"
        configuration = Path(self.folder.name) / "config.json"
        configuration.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": listen,
                    "seed": "8c1f30d27a5be964",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "changelog": f"127.0.0.1:{self.change_log.port}",
                    "flow_bytes_per_s": 3_100_000,
                    "link_bytes_per_s": 12_400_000,
                    "known": self.change_log.known(),
                    "settings": self.settings,
                }
            )
        )
        temporary = Path(self.folder.name) / "tmp"
        temporary.mkdir()
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            name: value for name, value in os.environ.items() if not name.startswith(("EDGE_", "HOISTPLANK_"))
        } | {
            "EDGE_NAME": "n0",
            "EDGE_LISTEN": listen,
            "EDGE_CONFIG": str(configuration),
            "TMPDIR": str(temporary),
        }
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write(f"dispatcher started on {listen}")
        deadline = time.monotonic() + READY_S
        while time.monotonic() < deadline and self.process.returncode is None:
            with contextlib.suppress(OSError):
                if await self._is_ready():
                    self.record.write("dispatcher ready")
                    return True
            await asyncio.sleep(0.05)
        return False

    async def _is_ready(self) -> bool:
        connection = await self.connect()
        sent = Sent("", 1, time.time())
        connection.open[1] = sent
        connection.answered = asyncio.get_running_loop().create_future()
        connection.writer.write(request_bytes(1, "/-/healthy", {}))
        await asyncio.wait((connection.task, connection.answered), timeout=2.0, return_when="FIRST_COMPLETED")
        connection.writer.close()
        return sent.status == 200

    async def connect(self, port: int = 0) -> WebServerConnection:
        """Open a connection of the web server, to the dispatcher or to a relay's port before it."""
        return WebServerConnection(*await asyncio.open_connection("127.0.0.1", port or self.port))

    def has_ended(self) -> bool:
        """Return whether the program has exited by itself."""
        return self.process is None or self.process.returncode is not None

    async def stop(self) -> None:
        """End the program: SIGTERM, and SIGKILL if it has not ended after 8 s."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(8.0):
                    await self.process.wait()
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
        for line in self.log.read_text(errors="replace").splitlines():
            self.record.write(f"dispatcher: {line}")
        self.folder.cleanup()


def run_case(case: Callable[[], Coroutine[Any, Any, int]]) -> int:
    """Run a case and return its exit code; 2 if the case itself breaks or is ended by a signal."""

    async def until_ended() -> int:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await case()

    try:
        return asyncio.run(until_ended())
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        return 2


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment; `changes` by paths with `__` between the names."""
    out: dict[str, Any] = {
        "areas": ["east-hub", "s1"],
        "models": ["small-box", "parent", "origin"],
        "zone": "s1",
        "group_size": 1,
        "index": 0,
        "tier": 0,
        "tiers": ["cache"],
        "family": "edge",
        "discovery": "automatic",
        "weights": "nominal",
        "round": 0.002,
        "worth_by": "request",
        "callers": {"marks_retry": True},
        "classes": [
            {
                "name": "video",
                "target": 0.4,
                "aim_stretch": 2.0,
                "give_up": 5.0,
                "semantics": "idempotent",
                "group": "all",
                "dedup_window": 5.0,
                "gain": 2.0,
                "late_value": 0.15,
                "stream": False,
            },
            {
                "name": "page",
                "target": 0.25,
                "aim_stretch": 2.0,
                "give_up": 2.5,
                "semantics": "idempotent",
                "group": "all",
                "dedup_window": 5.0,
                "gain": 1.0,
                "late_value": 0.2,
                "stream": False,
            },
        ],
        "family_info": {
            "class_grace": [0.0, 20.0],
            "class_parts": [True, False],
            "home_hub": [0, 0],
            "instances_by_zone": [0, 1],
            "joins": True,
            "lifetime_by_class": [0.0, 12.0],
            "master_kind": 2,
            "second_tier_kind": 1,
            "may_pass_by": True,
            "notes_given": "all",
            "parent_fall_multiple": 2.0,
            "parent_ramp": 21.0,
            "parent_starts_at": 0.064,
            "purge_grace": 1.0,
            "purge_takes": 6.0,
            "sideways": "any",
            "stream_kb_per_s": 4000.0,
            "uncached": [False, False],
            "worth_when_old": [0.7, 0.7],
            "zone_link_kb_per_s": [0.0, 80000.0],
        },
        "limits": {
            "connect_timeout": 0.4,
            "idle_close": 15.0,
            "max_attempts": 6,
            "max_retry_after": 1.0,
            "may_cancel": True,
            "open_cap": 4000,
            "parallel_tries": False,
            "peer_messages": False,
            "probes": True,
            "retry_after": True,
            "streams_per_conn": 100,
        },
        "report": {"fields": ["rif", "busy", "x0", "x1"], "how": "answers"},
        "rules": {
            "answer_slack": 0.008,
            "ask_every": 10.0,
            "cold": 16.0,
            "cold_from": 0.2,
            "fall_multiple": 3.0,
            "stop_sending_within": 0.25,
            "tip_after": 2.0,
        },
    }
    for path, value in changes.items():
        *parents, last = path.split("__")
        section = out
        for name in parents:
            section = section[name]
        section[last] = value
    return out
