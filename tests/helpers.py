"""Shared by tests: a player of decision scenarios, and a running dispatcher with fakes on loopback."""

from __future__ import annotations

import asyncio
import copy
import json
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

from hoistplank.decision.actions import Action, CancelAttempt, Fail, Reject, SendAttempt, SetTimer
from hoistplank.decision.events import (
    AttemptEnded,
    ClientDisconnected,
    DegradationChanged,
    Endpoint,
    EndpointListForm,
    EndpointsUpdated,
    EventLoopMeasured,
    Outcome,
    PurgeReceived,
    RequestArrived,
    TimerFired,
)
from hoistplank.decision.router import Router
from hoistplank.decision.settings import Degradation, RouterSettings, RuleLimits, TrafficClass
from hoistplank.fakes.change_log import FakeChangeLog
from hoistplank.fakes.settings import SETTINGS, endpoint_entry, fleet_event
from hoistplank.fakes.wire import FastCgiClient, ScriptedCacheHost, serve
from hoistplank.program import graceful_shutdown
from hoistplank.program.configuration import Configuration, read_configuration, reread_configuration
from hoistplank.program.extensions import load_extensions
from hoistplank.program.service import Service

RULES = RuleLimits(
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
VIDEO = TrafficClass("video", 500_000, 2.0, 5_000_000, 2.0, 0.2, "idempotent", "", 0, 0, 0, 0.0, False, False)
CLASSES = (
    VIDEO,
    replace(
        VIDEO,
        name="page",
        latency_objective_us=300_000,
        deadline_us=2_500_000,
        priority_weight=1.0,
        fresh_us=8_000_000,
        stale_window_us=10_000_000,
    ),
    replace(VIDEO, name="once", semantics="non-idempotent", uncached=True, deadline_us=3_000_000),
    replace(
        VIDEO,
        name="mark",
        semantics="keyed",
        deduplication_scope="all",
        deduplication_window_us=3_000_000,
        uncached=True,
    ),
    replace(VIDEO, name="flat", latency_objective_us=300_000, objective_stretch=0.0),
    replace(
        VIDEO,
        name="zoned",
        semantics="keyed",
        deduplication_scope="zone",
        deduplication_window_us=3_000_000,
        uncached=True,
    ),
)
SITE = RouterSettings(
    RULES,
    CLASSES,
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
OUTCOMES = {name.lower(): value for name, value in vars(Outcome).items() if name.isupper()}

# Actions by their names in scenarios.
ACTIONS = {"attempt": SendAttempt, "reject": Reject, "fail": Fail, "cancel": CancelAttempt}


def pairs(words: list[str]) -> dict[str, str]:
    return dict(word.split("=", 1) for word in words)


class ScenarioPlayer:
    """Plays a scenario's lines at a router; `test_scenarios` describes their syntax."""

    def __init__(self) -> None:
        self.site, self.now = SITE, 0
        self.router = Router(SITE, 1)
        self.pending: list[Action] = []

    def play_line(self, words: list[str], where: str) -> None:
        if words[0] == "site":
            for name, value in pairs(words[1:]).items():
                kind = type(getattr(RULES if hasattr(RULES, name) else SITE, name))
                change: dict[str, Any] = {name: value == "yes" if kind is bool else kind(value)}
                if hasattr(RULES, name):
                    self.site = replace(self.site, rules=replace(self.site.rules, **change))
                else:
                    self.site = replace(self.site, **change)
            self.router = Router(self.site, 1)
        elif words[0] == ">":
            assert self.pending, f"{where}: expected an action, none is pending"
            self.expect_action(self.pending.pop(0), words[1:], where)
        elif words[0] == "!":
            assert not any(
                self.matches(action, words[1:]) for action in self.pending
            ), f"{where}: {self.pending}"
        elif words[0] == "...":
            self.pending.clear()
        elif words[0] == ".":
            assert not self.pending, f"{where}: {self.pending}"
        else:
            self.now = int(float(words[0]) * 1000)
            self.input(words[1], words[2:])
            while words[-1] != "&" and (action := self.router.next_action(self.now)) is not None:
                if not isinstance(action, SetTimer):
                    self.pending.append(action)

    def input(self, name: str, words: list[str]) -> None:
        router, now = self.router, self.now
        words = [word for word in words if word != "&"]
        if name == "hosts":  # hosts FORM host:kind:zone:state[:started_ms] ...
            entries = []
            for word in words[1:]:
                host, kind, zone, state, *started = word.split(":")
                since = int(started[0]) * 1000 if started else 0
                entries.append(Endpoint(host, zone, kind, 0, 5.0, since, state))
            router.handle(now, EndpointsUpdated(EndpointListForm(words[0]), entries))
        elif name == "request":  # request ID CLASS OBJECT [part= group= kb= until_ms= again=yes]
            options = pairs(words[3:])
            until = int(options.get("until_ms", now // 1000 + 2_500)) * 1000
            arrived = RequestArrived(
                request_id=words[0],
                class_name=words[1],
                object_key=words[2],
                part=int(options.get("part", 0)),
                purge_group=int(options.get("group", 0)),
                size_kb=float(options.get("kb", 100)),
                deadline_us=until,
                is_repeat=options.get("again") == "yes",
            )
            router.handle(now, arrived)
        elif name == "end":  # end ID ATTEMPT OUTCOME [note=CACHE_STATUS closed=1 took_ms=]
            options = pairs(words[3:])
            closed = bool(int(options.get("closed", int(words[2] == "succeeded"))))
            note = int(options.get("note", 0))
            took = int(options.get("took_ms", 50)) * 1000
            router.handle(
                now, AttemptEnded(words[0], int(words[1]), OUTCOMES[words[2]], closed, took, note, [])
            )
        elif name == "left":
            router.handle(now, ClientDisconnected(words[0]))
        elif name == "purge":  # purge OBJECT|- GROUP AGE_MS
            key = "" if words[0] == "-" else words[0]
            router.handle(now, PurgeReceived(key, int(words[1]), int(words[2]) * 1000))
        elif name == "loop":  # loop WAITS LATE_MS
            router.handle(now, EventLoopMeasured(int(words[0]), int(words[1]) * 1000))
        elif name == "tick":
            router.handle(now, TimerFired(router.timer_id))
        elif name == "reduced":  # reduced [reject=a+b every_part= stale_first= fills= attempts= retries=]
            options = pairs(words)
            rejected, every_part, stale_first = (
                tuple(options[key].split("+")) if options.get(key) else ()
                for key in ("reject", "every_part", "stale_first")
            )
            degradation = Degradation(
                "told",
                rejected,
                every_part,
                stale_first,
                float(options.get("fills", 1)),
                int(options.get("attempts", 0)),
                float(options.get("retries", 0)),
            )
            router.handle(now, DegradationChanged(degradation))
        else:
            raise AssertionError(f"unknown input {name}")

    def matches(self, action: Action, words: list[str]) -> bool:
        if type(action) is not ACTIONS[words[0]]:
            return False
        return all(str(getattr(action, name)) == value for name, value in pairs(words[1:]).items())

    def expect_action(self, action: Action, words: list[str], where: str) -> None:
        assert self.matches(action, words), f"{where}: got {action}"

    def close(self, where: str) -> None:
        assert not self.pending, f"{where}: unexpected actions: {self.pending}"


# A dispatcher on loopback, with fakes around it.


def configuration(folder: Path, **changes: Any) -> Configuration:
    """Returns a configuration with changed keys; None removes a key. Dots in a name separate nested keys."""
    raw_configuration: dict[str, Any] = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "changelog": "127.0.0.1:9",
        "seed": "7f",
        "limits": {"sockets": 256, "memory_mb": 192},
        "settings": copy.deepcopy(SETTINGS),
    }
    for path, value in changes.items():
        *parents, last = path.split(".")
        section = raw_configuration
        for parent in parents:
            section = section[parent]
        section[last] = value
        if value is None:
            del section[last]
    file = folder / "config.json"
    file.write_text(json.dumps(raw_configuration))
    return read_configuration({"EDGE_CONFIG": str(file)})


class Running:
    """A running dispatcher with scripted cache hosts, a fake change log and a client."""

    operator = False  # True if the dispatcher reads the operator file `folder/op.sexp`

    def __init__(self, folder: Path, hosts: dict[str, ScriptedCacheHost], **changes: Any) -> None:
        self.folder, self.hosts, self.changes = folder, hosts, changes
        self.changelog = FakeChangeLog()
        self.publish_event, self.log, self.log_positions = (
            self.changelog.publish,
            self.changelog.events,
            self.changelog.requested_positions,
        )

    async def __aenter__(self) -> Running:
        self.targets = [
            endpoint_entry(uid, "origin" if uid == "o" else "box", await serve(host.serve_connection))
            for uid, host in self.hosts.items()
        ]
        known = {"seq": 1, "results": [fleet_event(1, self.targets, whole=True)]}
        port = await serve(self.changelog.serve_connection)
        changes = {"changelog": f"127.0.0.1:{port}", "known": known} | self.changes
        loaded = configuration(self.folder, **changes)
        self.additions = load_extensions(str(self.folder / "op.sexp"), loaded) if self.operator else None
        self.service = Service(
            loaded,
            lambda: reread_configuration({"EDGE_CONFIG": str(self.folder / "config.json")}),
            (),
            self.additions,
        )
        self.task = asyncio.create_task(self.service.run())
        self.client = await self.connect()
        return self

    async def connect(self) -> FastCgiClient:
        return FastCgiClient(*await asyncio.open_connection(*self.service.listener.sock.getsockname()))

    async def __aexit__(self, *_: object) -> None:
        window_s, graceful_shutdown.ACCEPT_WINDOW_S = graceful_shutdown.ACCEPT_WINDOW_S, 0.01
        self.service.terminated.set()
        await asyncio.wait_for(self.task, 10)
        graceful_shutdown.ACCEPT_WINDOW_S = window_s

    async def ask(self, number: int, class_name: str, **more: Any) -> tuple[int, bytes, bytes]:
        self.client.send(number, class_name, **more)
        answered_number, status, head, body = await asyncio.wait_for(self.client.read_answer(), 5)
        assert answered_number == number
        return status, head, body


async def until(condition: Callable[[], bool], patience_s: float = 5) -> None:
    """Waits until a condition becomes true; fails after `patience_s`, which passing tests never reach."""
    deadline = time.monotonic() + patience_s
    while not condition():
        assert time.monotonic() < deadline
        await asyncio.sleep(0.001)
