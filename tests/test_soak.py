"""The soak's plan and its truth: what a seed draws, and what counts as told, owed and broken."""

from __future__ import annotations

import pytest

from hoistplank.lab.fleet.soak.classes import BOOKING, PAGE, SoakClass, draw_classes
from hoistplank.lab.fleet.soak.effects import EffectRecord, HostPlace
from hoistplank.lab.fleet.soak.plan import RUN_S, FaultKind, draw_plan
from hoistplank.lab.fleet.soak.truth import LogSight, Rule, SentRequest, Truth


def test_a_seed_draws_the_same_plan_each_time_and_each_has_the_moment_of_the_incident() -> None:
    for seed in range(200):
        plan = draw_plan(seed)
        assert plan == draw_plan(seed)
        times = [fault.at_s for fault in plan.faults]
        assert times == sorted(times) and times[-1] < RUN_S
        assert {
            FaultKind.CRASH,
            FaultKind.DRAIN,
            FaultKind.SLOW_LOG,
            FaultKind.RETIRE,
            FaultKind.FAILING_HOST,
        } <= {fault.kind for fault in plan.faults}
    kinds = {fault.kind for seed in range(200) for fault in draw_plan(seed).faults}
    assert kinds == set(FaultKind)
    assert 0 < sum(draw_plan(seed).is_crowded for seed in range(200)) < 60


def test_what_is_published_counts_as_told_at_once_unless_the_log_can_t_be_heard() -> None:
    sight = LogSight()
    sight.asked(0.0)
    assert sight.told_at(1.0) == 1.0
    sight.lose(2.0)
    assert sight.told_at(2.5) == 9.5  # at the latest
    sight.asked(4.0)
    assert sight.told_at(2.5) == 4.0  # as soon as it is asked again
    sight.regain(4.0)
    assert sight.told_at(5.0) == 5.0 and sight.told_at(2.5) == 4.0


def truth_with_request() -> Truth:
    truth = Truth()
    truth.sights[0] = LogSight()
    truth.requests["r"] = SentRequest(0, 10.0, 1.5, PAGE)
    return truth


RULES: dict[str, tuple[Rule | None, float, str, int]] = {
    # the rule that is broken, when the attempt is read, its source, the time that it is given (ms)
    "in order": (None, 10.1, "p", 1_400),
    "a drained source": (Rule.DRAIN, 10.1, "drained", 1_400),
    "more time than is left": (Rule.BUDGET, 11.0, "p", 1_400),
}


@pytest.mark.parametrize("name", RULES)
def test_an_attempt_breaks_what_it_breaks(name: str) -> None:
    rule, at_s, source, budget_ms = RULES[name]
    truth = truth_with_request()
    truth.drained_at["drained"] = 9.0
    truth.attempt_received(at_s, "r", "host", source, budget_ms)
    assert [row.rule for row in truth.violations] == ([rule] if rule else [])


def test_answers_and_departures_are_counted() -> None:
    truth = truth_with_request()
    truth.answered(10.2, "r", 200)
    truth.answered(10.3, "r", 200)
    assert [row.rule for row in truth.violations] == [Rule.ANSWER]
    late = truth_with_request()
    late.answered(12.5, "r", 200)
    assert [row.rule for row in late.violations] == [Rule.ANSWER]
    never = truth_with_request()
    never.finish(20.0)
    assert [row.rule for row in never.violations] == [Rule.ANSWER]
    killed = truth_with_request()
    killed.excuse(0)
    killed.finish(20.0)
    assert not killed.violations
    left = truth_with_request()
    left.requests["r"].left_at = 10.1
    left.attempt_received(10.5, "r", "host", "p", 900)
    assert [row.rule for row in left.violations] == [Rule.DEPARTURE]


def test_the_classes_of_a_seed_have_each_effect_and_scope_and_short_times() -> None:
    for seed in range(50):
        classes = draw_classes(seed)
        assert classes == draw_classes(seed)
        kinds = {(row.semantics, row.scope) for row in classes if not row.is_idempotent}
        scopes = {("deduplicated", scope) for scope in ("all", "zone", "cell")}
        assert kinds == {("at_most_once", "all"), *scopes}
        assert abs(sum(row.share for row in classes) - 1.0) < 1e-9
    drawn = [row for seed in range(50) for row in draw_classes(seed)]
    assert (
        min(row.deadline_s for row in drawn) < 0.5
        and min(row.window_s for row in drawn if row.is_keyed) < 0.3
    )


ONCE = SoakClass("order", "at_most_once", "all", 0.0, 0.4, False, 0.1)
SHORT = SoakClass("payment", "deduplicated", "all", 0.15, 0.4, False, 0.1)
ZONED = SoakClass("zone-vote", "deduplicated", "zone", 3.0, 0.4, True, 0.1)
CELLED = SoakClass("cell-vote", "deduplicated", "cell", 3.0, 0.4, True, 0.1)
PLACES = {"a": HostPlace("z1", 0), "b": HostPlace("z1", 1), "c": HostPlace("z1", 0), "o": HostPlace("hub", 2)}

# The class, the attempts (host, time, whether the host said that it never ran), the refusal (time, wait), and
# how many violations there are.
COURSES = {
    "a failure is no refusal": (ONCE, [("a", 0.0, False)], None, 0),
    "refused though whole at a host": (ONCE, [("a", 0.0, False)], (0.4, 0.0), 1),
    "refused after the host's refusal": (ONCE, [("a", 0.0, True)], (0.4, 0.0), 0),
    "again though whole at a host": (ONCE, [("a", 0.0, False), ("a", 0.1, False)], None, 1),
    "again after the host's refusal": (ONCE, [("a", 0.0, True), ("a", 0.1, False)], None, 0),
    "an idempotent request": (PAGE, [("a", 0.0, False), ("b", 0.1, False)], (0.4, 0.0), 0),
    "a repeat in the window": (BOOKING, [("o", 0.0, False), ("o", 2.9, False)], None, 0),
    "a repeat after the window": (SHORT, [("o", 0.0, False), ("o", 0.4, False)], None, 1),
    "refused in the window": (BOOKING, [("o", 0.0, False)], (1.0, 1.0), 0),
    "refused after the window": (SHORT, [("o", 0.0, False)], (0.4, 0.0), 1),
    "refused for longer than the window": (BOOKING, [("o", 0.0, False)], (2.5, 0.9), 1),
    "in the same zone": (ZONED, [("a", 0.0, False), ("b", 0.1, False)], None, 0),
    "in another zone": (ZONED, [("a", 0.0, False), ("o", 0.1, False)], None, 1),
    "zoned and refused": (ZONED, [("a", 0.0, False)], (0.1, 0.0), 1),
    "in the same cell": (CELLED, [("a", 0.0, False), ("c", 0.1, False)], None, 0),
    "in another cell": (CELLED, [("a", 0.0, False), ("b", 0.1, False)], None, 1),
}


@pytest.mark.parametrize("name", COURSES)
def test_repeats_and_refusals_are_judged_by_what_hosts_had_whole(name: str) -> None:
    traffic_class, attempts, refusal, expected_count = COURSES[name]
    record = EffectRecord()
    record.places.update(PLACES)
    for host, at_s, never_ran in attempts:
        record.record_taken(at_s, "r", host)
        if never_ran:
            record.record_never_ran("r", host)
    if refusal is not None:
        record.record_refusal(refusal[0], "r", refusal[1])
    assert len(list(record.violations({"r": traffic_class}))) == expected_count
