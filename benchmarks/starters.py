"""150 dispatchers that start at once from one old list of 1,000 hosts, all just restarted: scripted clock, no
sockets.

Each has its own `HostRegistry` and `Router`; what all of them together send to a host, fills at parents
counted, is held against rule 4. Simulated, not measured; part of `make bench-discovery`.
"""

from __future__ import annotations

import heapq
import time
from collections import defaultdict, deque
from itertools import count
from random import Random
from typing import Any

from hoistplank.decision.actions import SendAttempt, SetTimer
from hoistplank.decision.events import (
    AttemptEnded,
    CacheStatus,
    Endpoint,
    EndpointListForm,
    EndpointsUpdated,
    Outcome,
    RequestArrived,
    TimerFired,
)
from hoistplank.decision.router import Router
from hoistplank.decision.settings import RouterSettings, RuleLimits, TrafficClass
from hoistplank.membership.host_registry import HostRegistry
from hoistplank.membership.host_states import Evidence, HostState
from hoistplank.store.schemas import PersistedHost, RemovalHistory

S = 1_000_000
COLD_FROM, COLD_S, WINDOW_S, MULTIPLE = 0.2, 10.0, 1.5, 2.5
WORK_US = 50_000  # a transfer
UNITS = {"box": 4.0, "parent": 40.0, "origin": 400.0}
RULES = RuleLimits(
    250_000,
    COLD_FROM,
    int(COLD_S * S),
    int(WINDOW_S * S),
    MULTIPLE,
    COLD_FROM,
    int(COLD_S * S),
    MULTIPLE,
    1_000_000,
    8_000,
    400_000,
    4,
    False,
    True,
    True,
    True,
    True,
    1_000_000,
    False,
    0,
)
PAGE = TrafficClass(
    "page", 300_000, 2.0, 2_500_000, 1.0, 0.2, "idempotent", "", 0, 8_000_000, 10_000_000, 0.7, False, False
)


class Dispatcher:
    """One of many; `tell` puts what comes later on the fleet's clock."""

    def __init__(
        self, number: int, zone: str, here: int, many: int, hosts: list[PersistedHost], age_s: float
    ) -> None:
        site = RouterSettings(
            RULES,
            (PAGE,),
            zone,
            number,
            many,
            here,
            800_000.0,
            3_400.0,
            True,
            True,
            True,
            "none",
            "parent",
            "origin",
            (),
            False,
            1_000,
        )
        self.router, self.registry = Router(site, number), HostRegistry(Random(number), many)
        self.registry.load_persisted(
            S, hosts, S - int(age_s * S), RemovalHistory(1.0, 1e8, 1), lambda host: host.zone in (zone, "hub")
        )
        self.attempts: dict[tuple[str, int], SendAttempt] = {}
        self.given_up = 0

    def list_told(self, now: int) -> None:
        rows = self.registry.usable_hosts()
        endpoints = [
            Endpoint(row.host.uid, row.host.zone, row.host.kind, 0, row.host.units, row.started_us, "up")
            for row in rows
        ]
        self.router.handle(now, EndpointsUpdated(EndpointListForm.UNCONFIRMED, endpoints))


def played(
    dispatchers: int, hosts: int, zones: int, seconds: float, rate: float, alive: float, seed: int
) -> dict[str, Any]:
    """The worst load on any host against its budget, all dispatchers together, and what they served."""
    chance, turn = Random(seed), count()
    listed = [
        PersistedHost(f"b{n}", "", f"z{n % zones}", "box", 0, UNITS["box"], 0.0, "ready", 1)
        for n in range(hosts)
    ]
    listed += [
        PersistedHost(f"p{n}", "", "hub", "parent", 0, UNITS["parent"], 0.0, "ready", 1) for n in range(6)
    ]
    listed.append(PersistedHost("o", "", "hub", "origin", 0, UNITS["origin"], 0.0, "ready", 1))
    there = {row.uid for row in listed if row.kind != "box" or chance.random() < alive}
    many = [
        Dispatcher(n, f"z{n % zones}", dispatchers // zones, dispatchers, listed, 3_600.0)
        for n in range(dispatchers)
    ]
    clock: list[tuple[int, int, str, int, Any]] = []
    work: dict[str, deque[int]] = defaultdict(deque)
    worst: dict[str, float] = {"box": 0.0, "parent": 0.0}
    out = {"visits": 0, "served": 0, "to_absent": 0, "probes": 0}

    def put(at: int, what: str, who: int, more: Any) -> None:
        heapq.heappush(clock, (at, next(turn), what, who, more))

    def sent(now: int, uid: str) -> None:
        kind = "parent" if uid[0] == "p" else "box"
        window = work[uid]
        window.append(now)
        while window[0] <= now - WINDOW_S * S:
            window.popleft()
        # All of them restarted at the first moment: what is believed of their cold time begins later, at
        # their proof.
        warm = min(1.0, max(0.0, (now - S) / S - WINDOW_S) / COLD_S)
        may = MULTIPLE * UNITS[kind] * (COLD_FROM + (1 - COLD_FROM) * warm) * WINDOW_S * S
        worst[kind] = max(worst[kind], len(window) * WORK_US / may)

    def pull(now: int, who: int) -> None:
        one = many[who]
        while (action := one.router.next_action(now)) is not None:
            if isinstance(action, SendAttempt):
                one.attempts[action.request_id, action.attempt] = action
                if action.host not in there:
                    out["to_absent"] += 1
                    put(now + 1_000, "refused", who, action)
                    continue
                if action.host != "o":
                    sent(now, action.host)
                if action.source[:1] == "p" and action.source != action.host:
                    sent(now, action.source)
                put(now + WORK_US * 2, "answer", who, action)
            elif isinstance(action, SetTimer):
                put(now + action.delay_us, "wake", who, action.timer_id)

    for who in range(dispatchers):
        put(S + chance.randrange(200_000), "feel", who, None)
        put(S + chance.randrange(int(S / rate)), "visit", who, None)
    end = S + int(seconds * S)
    while clock and clock[0][0] < end:
        now, _, what, who, more = heapq.heappop(clock)
        one = many[who]
        if what == "feel":
            for host in one.registry.next_probes(now):
                out["probes"] += 1
                mute = host.uid not in there
                evidence = Evidence.NO_RESPONSE if mute else Evidence.HEALTHY
                put(now + (400_000 if mute else 5_000), "probed", who, (host.uid, evidence))
            if one.registry.usable_changed:
                one.list_told(now)
            put(now + 20_000, "feel", who, None)
        elif what == "probed":
            one.registry.probe_completed(now, *more)
        elif what == "visit":
            out["visits"] += 1
            object_key = f"{int(3_000 * chance.random() ** 3):016x}"
            deadline_us = now + 2_500_000
            arrived = RequestArrived(f"v{out['visits']}", "page", object_key, 0, 0, 0.0, deadline_us, False)
            one.router.handle(now, arrived)
            put(now + int(S / rate), "visit", who, None)
        elif what == "wake":
            one.router.handle(now, TimerFired(more))
        else:
            good = what == "answer"
            out["served"] += good
            result, note = (Outcome.SUCCEEDED, CacheStatus.FILLED) if good else (Outcome.CONNECT_FAILED, 0)
            ended = AttemptEnded(more.request_id, more.attempt, result, good, WORK_US * 2, note, [])
            one.router.handle(now, ended)
        pull(now, who)
    return {
        "dispatchers": dispatchers,
        "hosts": hosts,
        "worst_cold_load": {k: round(v, 3) for k, v in worst.items()},
        **out,
    }


def growth() -> dict[str, float]:
    """Microseconds of a registry's work for each host of its list: read, probed once, handed on."""
    out = {}
    for size in (100, 1_000, 10_000):
        hosts = [PersistedHost(f"h{n}", "", "z", "box", 0, 1.0, 0.0, "ready", 1) for n in range(size)]
        began, now = time.perf_counter(), S
        registry = HostRegistry(Random(1))
        registry.load_persisted(now, hosts, S, RemovalHistory())
        while (rows := registry.next_probes(now)) or registry.count_by_state().get(HostState.PERSISTED):
            for row in rows:
                registry.probe_completed(now, row.uid, Evidence.HEALTHY)
            now += 20_000
        registry.usable_hosts()
        out[str(size)] = round((time.perf_counter() - began) / size * 1e6, 1)
    return out
