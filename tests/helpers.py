"""What tests share: the stage for scenarios, and small stand-ins on loopback around a running dispatcher."""

from __future__ import annotations

import asyncio
import copy
import json
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

from hoistplank.choice import Router
from hoistplank.interface import Decision, HostEntry, HouseRules, Result, Site, Tariff
from hoistplank.program import service
from hoistplank.program.berth import Berth, read, read_again
from hoistplank.program.service import Service
from hoistplank.protocol import fastcgi

RULES = HouseRules(
    250_000,
    0.25,
    10_000_000,
    1_000_000,
    3.0,
    0.1,
    20_000_000,
    2.0,
    6_000_000,
    8_000,
    400_000,
    6,
    False,
    True,
    True,
    True,
    True,
    1_000_000,
    False,
    0,
)
VIDEO = Tariff("video", 500_000, 2.0, 5_000_000, 2.0, 0.2, "redoable", "", 0, 0, 0, 0.0, False, False)
TRACKS = (
    VIDEO,
    replace(
        VIDEO,
        name="page",
        goal_us=300_000,
        outer_us=2_500_000,
        earnings=1.0,
        fresh_us=8_000_000,
        grace_us=10_000_000,
    ),
    replace(VIDEO, name="once", redo="irreversible", uncached=True, outer_us=3_000_000),
    replace(VIDEO, name="mark", redo="labelled", redo_group="all", redo_window_us=3_000_000, uncached=True),
    replace(VIDEO, name="zoned", redo="labelled", redo_group="zone", redo_window_us=3_000_000, uncached=True),
)
SITE = Site(
    RULES,
    TRACKS,
    "z1",
    0,
    2,
    1,
    60_000.0,
    10_000.0,
    True,
    True,
    True,
    "none",
    "parent",
    "origin",
    (),
    False,
    2_000,
)
RESULTS = {name.lower(): value for name, value in vars(Result).items() if name.isupper()}


def pairs(words: list[str]) -> dict[str, str]:
    return dict(word.split("=", 1) for word in words)


class Stage:
    def __init__(self) -> None:
        self.site, self.now = SITE, 0
        self.router = Router(SITE, 1)
        self.pending: list[Decision] = []

    def play(self, words: list[str], where: str) -> None:
        if words[0] == "site":
            for name, value in pairs(words[1:]).items():
                kind = type(getattr(RULES if hasattr(RULES, name) else SITE, name))
                figure: dict[str, Any] = {name: value == "yes" if kind is bool else kind(value)}
                if hasattr(RULES, name):
                    self.site = replace(self.site, rules=replace(self.site.rules, **figure))
                else:
                    self.site = replace(self.site, **figure)
            self.router = Router(self.site, 1)
        elif words[0] == ">":
            assert self.pending, f"{where}: nothing was decided"
            self.match(self.pending.pop(0), words[1:], where)
        elif words[0] == "!":
            assert not any(self.fits(d, words[1:]) for d in self.pending), f"{where}: {self.pending}"
        elif words[0] == "...":
            self.pending.clear()
        elif words[0] == ".":
            assert not self.pending, f"{where}: {self.pending}"
        else:
            self.now = int(float(words[0]) * 1000)
            self.input(words[1], words[2:])
            while words[-1] != "&" and (decision := self.router.next_decision(self.now)) is not None:
                if decision.act != "wake":
                    self.pending.append(decision)

    def input(self, name: str, words: list[str]) -> None:
        r, now = self.router, self.now
        words = [word for word in words if word != "&"]
        if name == "hosts":  # hosts FORM host:kind:zone:state[:started_ms] ...
            entries = []
            for word in words[1:]:
                host, kind, zone, state, *started = word.split(":")
                since = int(started[0]) * 1000 if started else 0
                entries.append(HostEntry(host, zone, kind, 0, 5.0, since, state))
            r.hosts_listed(now, words[0], entries)
        elif name == "visit":  # visit ID TRACK THING [part= group= kb= until_ms= again=yes]
            p = pairs(words[3:])
            until = int(p.get("until_ms", now // 1000 + 2_500)) * 1000
            r.visit_came(
                now,
                words[0],
                words[1],
                words[2],
                int(p.get("part", 0)),
                int(p.get("group", 0)),
                float(p.get("kb", 100)),
                until,
                p.get("again") == "yes",
            )
        elif name == "end":  # end ID SHOT RESULT [note= closed=1 took_ms=]
            p = pairs(words[3:])
            closed = bool(int(p.get("closed", int(words[2] == "succeeded"))))
            note = int(p.get("note", 0))
            took = int(p.get("took_ms", 50)) * 1000
            r.shot_ended(now, words[0], int(words[1]), RESULTS[words[2]], closed, took, 10_000, note, [])
        elif name == "left":
            r.client_left(now, words[0])
        elif name == "purge":  # purge THING|- GROUP AGE_MS
            r.purged(now, "" if words[0] == "-" else words[0], int(words[1]), int(words[2]) * 1000)
        elif name == "loop":  # loop WAITS LATE_MS
            r.loop_told(int(words[0]), int(words[1]) * 1000)
        elif name == "tick":
            r.timer_due(now, r.token)
        else:
            raise AssertionError(f"no input is called {name}")

    def fits(self, decision: Decision, words: list[str]) -> bool:
        wanted = pairs(words[1:])
        return decision.act == words[0] and all(str(getattr(decision, k)) == v for k, v in wanted.items())

    def match(self, decision: Decision, words: list[str], where: str) -> None:
        assert self.fits(decision, words), f"{where}: decided {decision}"

    def close(self, where: str) -> None:
        assert not self.pending, f"{where}: more was decided: {self.pending}"


# A dispatcher on loopback, and what stands around it.

SETTINGS: dict[str, Any] = {
    "areas": ["hub", "z1"],
    "models": ["box", "parent", "origin"],
    "zone": "z1",
    "group_size": 1,
    "index": 0,
    "classes": [
        {
            "name": "page",
            "target": 0.3,
            "aim_stretch": 2.0,
            "give_up": 2.5,
            "semantics": "idempotent",
            "gain": 1.0,
        },
        {
            "name": "booking",
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
        "uncached": [False, True],
        "may_pass_by": True,
        "joins": True,
        "stream_kb_per_s": 3400.0,
        "zone_link_kb_per_s": [0.0, 800000.0],
        "instances_by_zone": [0, 1],
    },
    "limits": {
        "connect_timeout": 0.4,
        "max_attempts": 3,
        "may_cancel": True,
        "retry_after": True,
        "max_retry_after": 1.0,
        "open_cap": 100,
        "streams_per_conn": 10,
        "idle_close": 30.0,
    },
    "rules": {
        "stop_sending_within": 0.25,
        "cold_from": 0.2,
        "cold": 10.0,
        "fall_multiple": 2.5,
        "tip_after": 1.5,
    },
    "discovery": "automatic",
    "weights": "nominal",
    "round": 0.001,
}


def target(uid: str, model: str, port: int, state: str = "ready") -> dict[str, Any]:
    return {
        "uid": uid,
        "endpoint": f"127.0.0.1:{port}",
        "az": "z1" if model == "box" else "hub",
        "model": model,
        "pod_group": 0,
        "state": state,
        "capacity_hint": 100,
        "boot_ms": 0,
    }


def listing(seq: int, targets: list[dict[str, Any]], whole: bool = False) -> dict[str, Any]:
    return {"seq": seq, "fleet": {"rev": seq, "all": whole, "targets": targets}}


def berth(folder: Path, **changes: Any) -> Berth:
    """The configuration with some keys changed; None takes a key out. A dot in a name goes one deeper."""
    written: dict[str, Any] = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "changelog": "127.0.0.1:9",
        "seed": "7f",
        "limits": {"sockets": 256, "memory_mb": 192},
        "settings": copy.deepcopy(SETTINGS),
    }
    for path, value in changes.items():
        *way, last = path.split(".")
        place = written
        for step in way:
            place = place[step]
        place[last] = value
        if value is None:
            del place[last]
    file = folder / "config.json"
    file.write_text(json.dumps(written))
    return read({"EDGE_CONFIG": str(file)})


async def serve(talk: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]) -> int:
    """A stand-in that talks on each connection; returns its port."""

    async def guarded(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await talk(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(guarded, "127.0.0.1", 0)
    return int(server.sockets[0].getsockname()[1])


class CacheHost:
    """Answers each GET by a function of its id, fields and body; None keeps silent."""

    def __init__(self, answer: Callable[[str, dict[str, str], bytes], bytes | None]) -> None:
        self.answer = answer
        self.seen: list[tuple[str, dict[str, str], bytes]] = []
        self.drops: list[str] = []
        self.connections = 0

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        while line := (await reader.readline()).decode().split():
            if line[0] == "DROP":
                self.drops.append(line[1])
                continue
            body = (await reader.readexactly(int(line[3]) + 2))[:-2]
            fields = dict(part.split("=") for part in line[2].split(","))
            self.seen.append((line[1], fields, body))
            reply = self.answer(line[1], fields, body)
            if reply == b"reset":
                return
            if reply is not None:
                writer.write(reply)


class Client:
    """A web server of the front: sends requests, reads answers as they come."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.out: dict[int, bytes] = {}

    def send(
        self,
        number: int,
        track: str,
        fields: dict[str, str] | None = None,
        body: bytes = b"",
        script: str = "/api/v2/",
    ) -> None:
        pairs = {
            "SCRIPT_NAME": script + track,
            "HTTP_X_CORRELATION_ID": f"{number:016x}",
            "HTTP_X_DEADLINE_MS": "1500",
            "HTTP_X_SUBJECT": "7f3a9c21e0b4d655",
        } | (fields or {})
        params = b"".join(fastcgi.pair(name.encode(), value.encode()) for name, value in pairs.items())
        parts = [
            fastcgi.record(fastcgi.BEGIN, number, struct.pack(">HB5x", 1, 1)),
            fastcgi.record(fastcgi.PARAMS, number, params),
            fastcgi.record(fastcgi.PARAMS, number),
        ]
        parts += [fastcgi.record(fastcgi.STDIN, number, body)] if body else []
        self.writer.write(b"".join([*parts, fastcgi.record(fastcgi.STDIN, number)]))

    async def answer(self) -> tuple[int, int, bytes, bytes]:
        """The next whole answer: its number, status, head and body."""
        while True:
            _, kind, number, length, padding = fastcgi.HEADER.unpack(await self.reader.readexactly(8))
            content = (await self.reader.readexactly(length + padding))[:length]
            if kind == fastcgi.STDOUT:
                self.out[number] = self.out.get(number, b"") + content
            elif kind == fastcgi.END:
                head, _, body = self.out.pop(number, b"Status: 0\r\n\r\n").partition(b"\r\n\r\n")
                return number, int(head.split(b"\r\n")[0].split(b": ")[1]), head, body


class Running:
    """A dispatcher that serves, a change log that tells what it is given, and a client."""

    def __init__(self, folder: Path, hosts: dict[str, CacheHost], **changes: Any) -> None:
        self.folder, self.hosts, self.changes = folder, hosts, changes
        self.log: list[dict[str, Any]] = []
        self.since: list[int] = []
        self.told = asyncio.Event()

    async def _tell(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        at = int((await reader.readline()).split()[1])
        self.since.append(at)
        while True:
            for event in self.log:
                if event["seq"] > at:
                    at = event["seq"]
                    writer.write(json.dumps(event).encode() + b"\n")
            self.told.clear()
            await self.told.wait()

    def tell(self, event: dict[str, Any]) -> None:
        self.log.append(event)
        self.told.set()

    async def __aenter__(self) -> Running:
        self.targets = [
            target(uid, "origin" if uid == "o" else "box", await serve(host.talk))
            for uid, host in self.hosts.items()
        ]
        known = {"seq": 1, "results": [listing(1, self.targets, whole=True)]}
        changes = {"changelog": f"127.0.0.1:{await serve(self._tell)}", "known": known} | self.changes
        self.service = Service(
            berth(self.folder, **changes),
            lambda: read_again({"EDGE_CONFIG": str(self.folder / "config.json")}),
        )
        self.task = asyncio.create_task(self.service.run())
        self.client = await self.connect()
        return self

    async def connect(self) -> Client:
        return Client(*await asyncio.open_connection(*self.service.listener.sock.getsockname()))

    async def __aexit__(self, *_: object) -> None:
        windows, service.WINDOWS_S = service.WINDOWS_S, 0.01
        self.service.terminated.set()
        await asyncio.wait_for(self.task, 10)
        service.WINDOWS_S = windows

    async def ask(self, number: int, track: str, **more: Any) -> tuple[int, bytes, bytes]:
        self.client.send(number, track, **more)
        came, status, head, body = await asyncio.wait_for(self.client.answer(), 5)
        assert came == number
        return status, head, body


async def until(true: Callable[[], bool]) -> None:
    """Waits for something that will come about by itself; gives up after a time that never passes."""
    deadline = time.monotonic() + 5
    while not true():
        assert time.monotonic() < deadline
        await asyncio.sleep(0.001)
