"""Unit tests of parts of the decision logic: hosts, ejection, slow start, retries."""

from __future__ import annotations

from dataclasses import replace

import pytest

from hoistplank.decision.actions import Action, SendAttempt
from hoistplank.decision.events import (
    AttemptEnded,
    CacheStatus,
    DegradationChanged,
    Endpoint,
    EndpointListForm,
    EndpointState,
    EndpointsUpdated,
    EndpointWatchFailed,
    Outcome,
    RequestArrived,
)
from hoistplank.decision.hosts import CACHE, NO_TIER, ORIGIN, PARENT, WARM, Host
from hoistplank.decision.parts import DEFAULT_TYPES
from hoistplank.decision.router import Router
from hoistplank.decision.settings import Degradation
from hoistplank.decision.slow_start import SlowStart
from tests.helpers import RULES, SITE

S = 1_000_000
ENDPOINTS = [
    Endpoint("a", "z1", "cache", 0, 5.0, 0, EndpointState.UP),
    Endpoint("far", "z9", "cache", 0, 5.0, 0, EndpointState.UP),
    Endpoint("p", "hub", "parent", 0, 5.0, 0, EndpointState.UP),
    Endpoint("o", "hub", "origin", 0, 5.0, 0, EndpointState.UP),
]


def apply_snapshot(router: Router, now_us: int, *rows: Endpoint) -> None:
    router.handle(now_us, EndpointsUpdated(EndpointListForm.SNAPSHOT, list(rows)))


def router_with_hosts() -> Router:
    router = Router(SITE, 1)
    apply_snapshot(router, 0, *ENDPOINTS)
    return router


def next_actions(router: Router, now_us: int) -> list[Action]:
    found = []
    while (action := router.next_action(now_us)) is not None:
        found.append(action)
    return found


def test_host_tier_depends_on_kind_and_zone() -> None:
    hosts = router_with_hosts().parts.hosts
    tiers = {name: host.tier for name, host in hosts.by_name.items()}
    assert tiers == {"a": CACHE, "far": NO_TIER, "p": PARENT, "o": ORIGIN}
    assert [host.name for host in (*hosts.caches, *hosts.parents)] == ["a", "p"]
    assert hosts.origin is hosts.by_name["o"]


def test_late_failure_of_removed_host_is_not_counted_for_new_record() -> None:
    router = router_with_hosts()
    router.handle(1, RequestArrived("r", "video", "x", 0, 0, 100.0, 5 * S, False))
    sent = [action for action in next_actions(router, 1) if isinstance(action, SendAttempt)]
    assert [action.host for action in sent] == ["a"]
    before = router.parts.hosts.by_name["a"]
    apply_snapshot(router, 2, *ENDPOINTS[1:])
    apply_snapshot(router, 3, *ENDPOINTS)
    after = router.parts.hosts.by_name["a"]
    assert before is not after and before.tier == NO_TIER and not before.is_up
    router.handle(4, AttemptEnded("r", 0, Outcome.CONNECT_FAILED, True, 3, CacheStatus.UNKNOWN, []))
    assert before.loss_signs == 2 and after.loss_signs == 0
    assert before.attempts_in_flight == 0 and after.attempts_in_flight == 0


def test_ejections_double_up_to_eight_seconds_until_an_answer() -> None:
    router = router_with_hosts()
    health, host, now, ejection_times_us = (
        router.parts.health,
        router.parts.hosts.by_name["a"],
        S,
        list[int](),
    )
    for _ in range(8):
        health.eject(now, host)
        ejection_times_us.append(host.ejected_until_us - now)
        assert not health.is_usable(host.ejected_until_us - 1, host)
        now = host.ejected_until_us
        assert health.is_usable(now, host) and host.recovery_limit == 1.0
    assert ejection_times_us == [250_000, 500_000, S, 2 * S, 4 * S, 8 * S, 8 * S, 8 * S]
    health.record_answer(now, host, now)
    assert host.ejections == 0 and host.recovery_limit == 1.5


def test_origin_is_never_ejected() -> None:
    router = router_with_hosts()
    origin = router.parts.hosts.by_name["o"]
    router.parts.health.eject(S, origin)
    assert router.parts.health.is_usable(S, origin)


@pytest.mark.parametrize("answered_us, warming_since_us", [(0, 2 * S), (S, WARM)])
def test_lost_connections_start_warm_up_of_cell_except_hosts_that_answered_since(
    answered_us: int, warming_since_us: int
) -> None:
    router = Router(SITE, 1)
    rows = [Endpoint(uid, "z1", "cache", 0, 5.0, 0, EndpointState.UP) for uid in "abc"]
    apply_snapshot(router, 0, *rows)
    health, hosts = router.parts.health, router.parts.hosts.by_name
    if answered_us:
        health.record_answer(answered_us, hosts["c"], answered_us)
    health.record_loss(2 * S, hosts["a"], 2, S // 2)
    assert hosts["a"].warming_since_us == WARM
    health.record_loss(2 * S, hosts["b"], 1, S // 2)
    assert [hosts[uid].warming_since_us for uid in "abc"] == [2 * S, 2 * S, warming_since_us]
    health.record_answer(3 * S, hosts["a"], S)
    assert hosts["a"].warming_since_us == WARM, "an answer to an older attempt: it did not restart"


def test_slow_start_limits_each_window_and_ends_after_warm_up() -> None:
    router = Router(replace(SITE, dispatchers=1, dispatchers_in_zone=1), 1)
    apply_snapshot(router, 0, *ENDPOINTS)
    slow_start, host = router.parts.slow_start, router.parts.hosts.by_name["a"]
    slow_start.begin(host, 10 * S)
    budget_us = 0.7 * RULES.overload_multiple * 5.0 * RULES.warm_up_initial_share * RULES.overload_window_us
    count = 0
    while slow_start.fits_budget(10 * S, host, 100_000.0):
        slow_start.record_attempt(10 * S, host, 100_000.0)
        count += 1
    assert count == int(budget_us // 100_000)
    assert slow_start.fits_budget(10 * S + RULES.overload_window_us, host, 100_000.0)
    assert slow_start.fits_budget(10 * S + RULES.warm_up_us, host, 1e9)
    assert host.warming_since_us == WARM


class NoBudget(SlowStart):
    """A slow start that permits no attempt."""

    def fits_budget(self, now_us: int, host: Host, sending_time_us: float) -> bool:
        return False


def test_replaced_part_is_used() -> None:
    router = Router(SITE, 1, replace(DEFAULT_TYPES, slow_start=NoBudget))
    apply_snapshot(router, 0, *ENDPOINTS)
    router.handle(1, RequestArrived("r", "video", "x", 0, 0, 100.0, 5 * S, False))
    assert not any(isinstance(action, SendAttempt) for action in next_actions(router, 1))


def test_watch_is_requested_again_only_after_it_failed() -> None:
    router = Router(replace(SITE, rules=replace(RULES, must_watch_endpoints=True)), 1)
    apply_snapshot(router, 0, *ENDPOINTS)
    assert [type(action).__name__ for action in next_actions(router, 0)] == ["WatchEndpoints"]
    apply_snapshot(router, 1, *ENDPOINTS)
    assert not next_actions(router, 1)
    router.handle(2, EndpointWatchFailed())
    assert [type(action).__name__ for action in next_actions(router, 2)] == ["WatchEndpoints"]


def test_retry_counts_for_host_that_failed_last() -> None:
    router = router_with_hosts()
    router.handle(0, DegradationChanged(Degradation("busy", retry_share=0.1)))
    router.handle(1, RequestArrived("r", "video", "x", 0, 0, 100.0, 5 * S, False))
    (first,) = (action for action in next_actions(router, 1) if isinstance(action, SendAttempt))
    router.handle(2, AttemptEnded("r", 0, Outcome.ERROR, False, 1, CacheStatus.UNKNOWN, []))
    assert any(isinstance(action, SendAttempt) for action in next_actions(router, 2))
    counts = router.parts.hosts.by_name[first.host].attempt_counts
    assert counts is not None and counts.first_attempts == pytest.approx(1) and counts.retries == 1
