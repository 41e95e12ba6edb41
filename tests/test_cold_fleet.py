"""A cold host under all processes together: many modules on one virtual clock, event they send it summed."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import replace
from math import sqrt
from random import Random

import pytest

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
from hoistplank.decision.settings import RouterSettings
from tests.helpers import RULES, SITE, VIDEO

S = 1_000_000
SENDING_TIME_US, WARM_UP_US, WINDOW_US, OVERLOAD_MULTIPLE, INITIAL_SHARE = (
    100_000,
    10 * S,
    1_500_000,
    2.5,
    0.2,
)
FLEET_RULES = replace(
    RULES,
    warm_up_us=WARM_UP_US,
    warm_up_initial_share=INITIAL_SHARE,
    overload_window_us=WINDOW_US,
    overload_multiple=OVERLOAD_MULTIPLE,
    parent_warm_up_us=WARM_UP_US,
    parent_warm_up_initial_share=INITIAL_SHARE,
    parent_overload_multiple=OVERLOAD_MULTIPLE,
)
PAGE = replace(VIDEO, name="page", latency_objective_us=300_000, deadline_us=2_500_000)


def host(name: str, kind: str, units: float, cold: bool) -> Endpoint:
    return Endpoint(name, "z1" if kind == "cache" else "hub", kind, 0, units, 1 if cold else -60 * S, "up")


def attempts_at_cold_host(
    count: int,
    units: float,
    cold: str,
    assumed_count: int,
    restart_share: float,
    uneven_load: bool,
    seed: int,
    make_router: Callable[[RouterSettings, int], Router] = Router,
) -> list[int]:
    """Returns the times at which all dispatchers together sent an attempt or a fill to the cold host.

    Requests arrive from the start of that host on, a fifth more than its link carries. `assumed_count`:
    the number of dispatchers in the settings of each. `restart_share`: the share of the dispatchers that
    restart during the warm-up and lose their state.
    """
    random = Random(seed)
    endpoints = [
        host("c", "cache", units, cold == "cache"),
        host("p", "parent", units, cold == "parent"),
        host("q", "parent", units, False),
        host("o", "origin", units, False),
    ]

    def start_router(number: int, now: int) -> Router:
        site = replace(
            SITE,
            rules=FLEET_RULES,
            traffic_classes=(PAGE,),
            dispatcher_index=number,
            dispatchers=assumed_count,
            dispatchers_in_zone=assumed_count,
            zone_link_kb_per_s=units * 10_000.0,
            stream_kb_per_s=10_000.0,
        )
        router = make_router(site, seed * 1_000 + number)
        router.handle(now, EndpointsUpdated(EndpointListForm.PERSISTED, endpoints))
        return router

    routers, incarnations = [start_router(number, 0) for number in range(count)], [0] * count
    weights = [random.expovariate(1) + 0.05 if uneven_load else 1.0 for _ in range(count)]
    queue, sent, arrival_us, order = (
        list[tuple[int, int, str, int, tuple[int, str, int]]](),
        list[int](),
        0,
        0,
    )

    def schedule(now: int, event: str, number: int, payload: tuple[int, str, int] = (0, "", 0)) -> None:
        nonlocal order
        order += 1
        heapq.heappush(queue, (now, order, event, number, payload))

    while arrival_us < WARM_UP_US:
        arrival_us += int(random.expovariate(1.2 * units * S / SENDING_TIME_US) * S)
        schedule(arrival_us, "request", random.choices(range(count), weights)[0])
    for number in range(int(count * restart_share)):
        schedule(int(random.uniform(0.3, 6) * S), "restart", number)
    while queue and queue[0][0] <= WARM_UP_US:
        now, token, event, number, (incarnation, id, attempt) = heapq.heappop(queue)
        if event == "restart":
            routers[number], incarnations[number] = start_router(number, now), incarnations[number] + 1
        router = routers[number]
        if event == "request":
            router.handle(
                now, RequestArrived(str(token), "page", f"t{token}", 0, 0, 0.0, now + 2_500_000, False)
            )
        elif incarnation != incarnations[number]:
            continue  # sent before a restart of the dispatcher
        elif event == "attempt_ended":
            ended = AttemptEnded(
                id, attempt, Outcome.SUCCEEDED, True, SENDING_TIME_US, CacheStatus.FILLED, []
            )
            router.handle(now, ended)
        elif event == "timer":
            router.handle(now, TimerFired(attempt))
        while (action := router.next_action(now)) is not None:
            if isinstance(action, SetTimer):
                schedule(now + action.delay_us, "timer", number, (incarnations[number], "", action.timer_id))
            elif isinstance(action, SendAttempt):
                sent += [now] * ((action.host if cold == "cache" else action.source) == cold[0])
                schedule(
                    now + SENDING_TIME_US,
                    "attempt_ended",
                    number,
                    (incarnations[number], action.request_id, action.attempt),
                )
    return sent


def worst_window(sent: list[int], units: float) -> tuple[float, str]:
    """Returns the largest excess of a window over the budget of the host, and a description of that window.

    Chance is allowed for by 2 x root of N + 2, for a budget of N attempts. The bound for N under 30, 3 x root
    of N + 3, is wider: what stays within this one stays within that one.
    """
    found, first = (-1e9, ""), 0
    for last, now in enumerate(sent):
        while sent[first] <= now - WINDOW_US:
            first += 1
        budget = (
            OVERLOAD_MULTIPLE
            * units
            * (INITIAL_SHARE + (1 - INITIAL_SHARE) * now / WARM_UP_US)
            * WINDOW_US
            / SENDING_TIME_US
        )
        excess = last - first + 1 - (budget + 2 * sqrt(budget) + 2)
        found = max(
            found,
            (
                excess,
                f"{last - first + 1} attempts for a budget of {budget:.0f} in a window at {now / S:.2f} s",
            ),
        )
    return found


@pytest.mark.parametrize(
    "count, units", [(1, 1), (1, 6), (5, 1), (3, 6), (20, 2), (20, 20), (30, 6), (200, 6)]
)
@pytest.mark.parametrize("cold", ["cache", "parent"])
@pytest.mark.parametrize(
    "assumed_share, restart_share, uneven_load",
    [(1.0, 0.0, False), (1.0, 1.0, False), (0.8, 0.5, False), (1.2, 0.0, True)],
)
def test_all_dispatchers_together_stay_within_cold_host_budget(
    count: int, units: float, cold: str, assumed_share: float, restart_share: float, uneven_load: bool
) -> None:
    seed = count * 7 + int(units)
    sent = attempts_at_cold_host(
        count, units, cold, max(1, round(count * assumed_share)), restart_share, uneven_load, seed
    )
    excess, where = worst_window(sent, units)
    assert sent and excess <= 0, f"seed {seed}: {where}"


def test_check_fails_if_each_dispatcher_takes_the_whole_budget() -> None:
    def whole_budget_router(site: RouterSettings, seed: int) -> Router:
        return Router(replace(site, dispatchers=1, dispatchers_in_zone=1), seed)

    excess, where = worst_window(
        attempts_at_cold_host(20, 6, "cache", 20, 0.0, False, 1, whole_budget_router), 6
    )
    assert excess > 0, where
