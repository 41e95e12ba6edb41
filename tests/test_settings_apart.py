"""Two unlike configurations one after the other in one process: the first leaves nothing for the second."""

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

SITE_A = SITE
SITE_B = replace(
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


def decision_trace(site: RouterSettings, seed: int) -> list[str]:
    """Returns the decisions in two seconds of requests, ends, purges, disconnecting clients and lists."""
    random, router, decisions, now = Random(seed), Router(site, seed), list[str](), 0
    endpoints = [Endpoint(name, site.zone, "cache", 0, 5.0, 0, "up") for name in "abc"]
    endpoints += [Endpoint(name, "hub", "parent", 0, 5.0, 0, "up") for name in "pq"]
    first_endpoints = [*endpoints, Endpoint("o", "hub", "origin", 0, 5.0, 0, "up")]
    router.handle(0, EndpointsUpdated(EndpointListForm.PERSISTED, first_endpoints))
    open_attempts = list[tuple[str, int, int]]()
    for turn in range(1_000):
        now += 2_000
        names = [row.name for row in site.traffic_classes]
        object_key, part, is_repeat = f"t{random.randrange(40)}", random.randrange(3), random.random() < 0.2
        arrived = RequestArrived(
            request_id=f"v{turn}",
            class_name=random.choice(names),
            object_key=object_key,
            part=part,
            purge_group=random.randrange(4),
            size_kb=0.0,
            deadline_us=now + 1_000_000,
            is_repeat=is_repeat,
        )
        router.handle(now, arrived)
        if random.random() < 0.1:
            router.handle(now, ClientDisconnected(f"v{random.randrange(turn + 1)}"))
        if random.random() < 0.02:
            router.handle(now, PurgeReceived("", random.randrange(1, 4), 0))
        if random.random() < 0.01:
            restarted = msgspec.structs.replace(endpoints[random.randrange(3)], started_us=now)
            router.handle(now, EndpointsUpdated(EndpointListForm.CHANGES, [restarted]))
        while open_attempts and random.random() < 0.6:
            id, attempt, host = open_attempts.pop(random.randrange(len(open_attempts)))
            failures = [Outcome.ERROR, Outcome.OVERLOADED, Outcome.CONNECTION_LOST, Outcome.MISS]
            outcome = random.choice([Outcome.SUCCEEDED] * 6 + failures)
            succeeded = outcome == Outcome.SUCCEEDED
            router.handle(now, AttemptEnded(id, attempt, outcome, succeeded, 90_000, CacheStatus.FILLED, []))
        while (action := router.next_action(now)) is not None:
            decisions.append(str(action))
            if isinstance(action, SendAttempt):
                open_attempts.append((action.request_id, action.attempt, 0))
    return decisions


def test_router_of_other_settings_changes_no_decision() -> None:
    alone = {seed: decision_trace(SITE_B, seed) for seed in range(3)}
    for seed, decisions in alone.items():
        assert decision_trace(SITE_A, seed) != decisions and len(decisions) > 500, f"seed {seed}"
        assert decision_trace(SITE_B, seed) == decisions, f"seed {seed}"


def scripted_hit(id: str, fields: dict[str, str], body: bytes) -> bytes:
    return f"{id} served detail=hit,digest=aa,dated=1 2\r\nab\r\n".encode()


def test_settings_of_an_earlier_start_or_reload_do_not_persist(tmp_path: Path) -> None:
    other: dict[str, Any] = copy.deepcopy(SETTINGS)
    other["classes"] = [
        {"name": "reel", "target": 2.0, "give_up": 9.0, "semantics": "at_most_once", "gain": 7.0},
        {"name": "page", "target": 0.2, "give_up": 0.6, "semantics": "idempotent", "gain": 1.0},
    ]

    async def ask_status(dispatcher: Running, number: int, name: str, deadline: str) -> int:
        return (await dispatcher.ask(number, name, fields={"HTTP_X_DEADLINE_MS": deadline}))[0]

    async def scenario() -> None:
        first_host, second_host = ScriptedCacheHost(scripted_hit), ScriptedCacheHost(scripted_hit)
        async with Running(tmp_path, {"a": first_host, "o": ScriptedCacheHost(scripted_hit)}) as dispatcher:
            assert await ask_status(dispatcher, 1, "page", "2400") == 200
            assert await ask_status(dispatcher, 2, "reel", "2400") == 400
            # A reload reads other settings; they take effect at the next start only, and a message says so.
            file = tmp_path / "config.json"
            written = json.loads(file.read_text())
            file.write_text(json.dumps(written | {"settings": other}))
            service = dispatcher.service
            service.reload_requested.set()
            await until(lambda: not service.reload_requested.is_set())
            assert await ask_status(dispatcher, 3, "page", "2400") == 200
            assert await ask_status(dispatcher, 4, "reel", "2400") == 400
        async with Running(
            tmp_path, {"a": second_host, "o": ScriptedCacheHost(scripted_hit)}, settings=other
        ) as dispatcher:
            assert await ask_status(dispatcher, 1, "page", "2400") == 400  # beyond its deadline here
            assert await ask_status(dispatcher, 2, "page", "500") == 200
            assert await ask_status(dispatcher, 3, "reel", "8500") == 200
            assert await ask_status(dispatcher, 4, "booking", "500") == 400
            assert dispatcher.service.router_task.admission.shares.keys() == {"reel", "page"}
            assert all(
                int(fields["budget"]) <= 500
                for _, fields, _ in second_host.requests
                if fields["queue"] == "page"
            )

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(scenario(), 20))
