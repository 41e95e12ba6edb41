"""One text under two unlike configurations in turn: nothing of the first is found in the second."""

from __future__ import annotations

import asyncio
import copy
import json
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import uvloop

from hoistplank.decision.actions import SendAttempt
from hoistplank.decision.events import (
    AttemptEnded,
    CacheStatus,
    ClientDisconnected,
    Endpoint,
    EndpointListForm,
    EndpointsUpdated,
    Outcome,
    PurgeReceived,
    RequestArrived,
)
from hoistplank.decision.router import Router
from hoistplank.decision.settings import RouterSettings
from hoistplank.fakes.settings import SETTINGS
from hoistplank.fakes.wire import ScriptedCacheHost
from tests.helpers import RULES, SITE, VIDEO, Running, until

ONE = SITE
OTHER = replace(
    SITE,
    rules=replace(
        RULES, max_attempts=2, may_cancel=False, may_bypass_caches=False, max_retry_after_us=50_000
    ),
    traffic_classes=(
        replace(
            VIDEO,
            name="page",
            latency_objective_us=900_000,
            deadline_us=1_200_000,
            semantics="non-idempotent",
            uncached=True,
        ),
        replace(
            VIDEO,
            name="reel",
            latency_objective_us=200_000,
            deadline_us=9_000_000,
            priority_weight=7.0,
            fresh_us=2_000_000,
        ),
    ),
    zone="z2",
    caches_join_fills=False,
    links_declared=False,
    zone_link_kb_per_s=0.0,
    cache_status_complete=False,
)


def trace(site: RouterSettings, seed: int) -> list[str]:
    """All that a module decides in two seconds of requests, ends, purges, leaving clients and lists."""
    chance, router, told, now = Random(seed), Router(site, seed), list[str](), 0
    entries = [Endpoint(uid, site.zone, "cache", 0, 5.0, 0, "up") for uid in "abc"]
    entries += [Endpoint(uid, "hub", "parent", 0, 5.0, 0, "up") for uid in "pq"]
    entries_at_first = [*entries, Endpoint("o", "hub", "origin", 0, 5.0, 0, "up")]
    router.handle(0, EndpointsUpdated(EndpointListForm.PERSISTED, entries_at_first))
    open_ones = list[tuple[str, int, int]]()
    for turn in range(1_000):
        now += 2_000
        names = [row.name for row in site.traffic_classes]
        object_key, part, again = f"t{chance.randrange(40)}", chance.randrange(3), chance.random() < 0.2
        arrived = RequestArrived(
            request_id=f"v{turn}",
            class_name=chance.choice(names),
            object_key=object_key,
            part=part,
            purge_group=chance.randrange(4),
            size_kb=0.0,
            deadline_us=now + 1_000_000,
            is_repeat=again,
        )
        router.handle(now, arrived)
        if chance.random() < 0.1:
            router.handle(now, ClientDisconnected(f"v{chance.randrange(turn + 1)}"))
        if chance.random() < 0.02:
            router.handle(now, PurgeReceived("", chance.randrange(1, 4), 0))
        if chance.random() < 0.01:
            restarted = msgspec.structs.replace(entries[chance.randrange(3)], started_us=now)
            router.handle(now, EndpointsUpdated(EndpointListForm.CHANGES, [restarted]))
        while open_ones and chance.random() < 0.6:
            id, attempt, host = open_ones.pop(chance.randrange(len(open_ones)))
            bad = [Outcome.ERROR, Outcome.OVERLOADED, Outcome.CONNECTION_LOST, Outcome.MISS]
            end = chance.choice([Outcome.SUCCEEDED] * 6 + bad)
            good = end == Outcome.SUCCEEDED
            router.handle(now, AttemptEnded(id, attempt, end, good, 90_000, CacheStatus.FILLED, []))
        while (action := router.next_action(now)) is not None:
            told.append(str(action))
            if isinstance(action, SendAttempt):
                open_ones.append((action.request_id, action.attempt, 0))
    return told


def test_a_module_of_other_settings_before_it_changes_no_decision() -> None:
    alone = {seed: trace(OTHER, seed) for seed in range(3)}
    for seed, decisions in alone.items():
        assert trace(ONE, seed) != decisions and len(decisions) > 500, f"seed {seed}"
        assert trace(OTHER, seed) == decisions, f"seed {seed}"


def served(id: str, fields: dict[str, str], body: bytes) -> bytes:
    return f"{id} served detail=hit,digest=aa,dated=1 2\r\nab\r\n".encode()


def test_a_program_of_other_settings_and_a_reload_between_leave_nothing(tmp_path: Path) -> None:
    other: dict[str, Any] = copy.deepcopy(SETTINGS)
    other["classes"] = [
        {"name": "reel", "target": 2.0, "give_up": 9.0, "semantics": "at_most_once", "gain": 7.0},
        {"name": "page", "target": 0.2, "give_up": 0.6, "semantics": "idempotent", "gain": 1.0},
    ]

    async def asked(dispatcher: Running, number: int, name: str, deadline: str) -> int:
        return (await dispatcher.ask(number, name, fields={"HTTP_X_DEADLINE_MS": deadline}))[0]

    async def scene() -> None:
        one, two = ScriptedCacheHost(served), ScriptedCacheHost(served)
        async with Running(tmp_path, {"a": one, "o": ScriptedCacheHost(served)}) as dispatcher:
            assert await asked(dispatcher, 1, "page", "2400") == 200
            assert await asked(dispatcher, 2, "reel", "2400") == 400
            # A file with other settings is read at a reload; they count from the next start, and are told.
            file = tmp_path / "config.json"
            written = json.loads(file.read_text())
            file.write_text(json.dumps(written | {"settings": other}))
            service = dispatcher.service
            service.reload_requested.set()
            await until(lambda: not service.reload_requested.is_set())
            assert await asked(dispatcher, 3, "page", "2400") == 200
            assert await asked(dispatcher, 4, "reel", "2400") == 400
        async with Running(
            tmp_path, {"a": two, "o": ScriptedCacheHost(served)}, settings=other
        ) as dispatcher:
            assert await asked(dispatcher, 1, "page", "2400") == 400  # beyond its deadline here
            assert await asked(dispatcher, 2, "page", "500") == 200
            assert await asked(dispatcher, 3, "reel", "8500") == 200
            assert await asked(dispatcher, 4, "booking", "500") == 400
            assert dispatcher.service.router_task.admission.shares.keys() == {"reel", "page"}
            assert all(
                int(fields["budget"]) <= 500 for _, fields, _ in two.requests if fields["queue"] == "page"
            )

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(scene(), 20))
