"""Degradation: signal readings, the level state machine, flapping under oscillating load, admission control
of a scripted core, and the retry budget in the Router."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hoistplank.decision.actions import Reject, SendAttempt
from hoistplank.decision.settings import Degradation
from hoistplank.degradation.admission import AdmissionController, AdmissionSettings
from hoistplank.degradation.conditions import Condition
from hoistplank.degradation.errors import ForbiddenLevelError, FullServiceError, UnknownLevelError
from hoistplank.degradation.levels import FULL, Level, Trigger
from hoistplank.degradation.observer import CompletedFill, SignalObserver
from hoistplank.degradation.readings import STALE_HALF_LIVES, DecayingMean, Reading, SignalReadings
from hoistplank.degradation.state_machine import TRANSITIONS, Effect, Event, LevelStateMachine, State
from hoistplank.lab.model.core import Core, Costs
from tests.helpers import ScenarioPlayer

S = 1_000_000


def known(value: float) -> Reading:
    return Reading(value, 0, 10.0)


def two_levels(dwell_us: int = 10 * S, penalty_half_life_us: int = 120 * S) -> LevelStateMachine:
    """A machine with two levels on the loop's lag: 'busy' is entered above 50 ms and left below 20 ms,
    'full-core' is entered above 200 ms and left below 80 ms. A condition to leave must hold for 2 s."""
    busy = Level(
        "busy",
        (Condition("lag", True, 50.0),),
        (Condition("lag", False, 20.0, 2 * S),),
        dwell_us,
        Degradation("busy", reject=("video",)),
    )
    full = Level(
        "full-core",
        (Condition("lag", True, 200.0),),
        (Condition("lag", False, 80.0, 2 * S),),
        dwell_us,
        Degradation("full-core", fill_share=0.5, max_attempts=1),
    )
    return LevelStateMachine((busy, full), penalty_half_life_us)


# Readings.


def test_decaying_mean_halves_weight_of_observations_each_half_life() -> None:
    mean = DecayingMean(S, 0)
    for _ in range(4):
        mean.add(0, 10.0)
    mean.add(S, 20.0)  # the first four now have a total weight of 2, the last has 1
    assert mean.reading(S).value == pytest.approx((2 * 10 + 20) / 3)


def test_reading_is_unknown_after_stale_half_lives_without_observation() -> None:
    readings = SignalReadings()
    for at in range(0, S, S // 10):
        readings.record(at, "lag", 80.0)
    assert readings.reading(S, "lag").value == pytest.approx(80.0)
    assert readings.reading(S + STALE_HALF_LIVES * S // 2, "lag").value is None  # lag's half-life is 0.5 s


def test_reading_of_too_few_observations_is_unknown() -> None:
    readings = SignalReadings()
    readings.record(0, "goal:booking", 0.0)
    assert readings.reading(0, "goal:booking").value is None


def test_fills_after_purge_count_as_purge_fills_and_not_as_origin_slowdown() -> None:
    readings = SignalReadings()
    observer = SignalObserver(readings, {"page": 1.0})
    now = 0
    for n in range(20_000):  # the baseline: fills at full speed for some minutes
        now += 10_000
        observer.record_fill(now, CompletedFill("p0", f"{n:016x}", n % 32, True, 1.0))
    observer.record_purge(now, "", 7)
    for n in range(1_500):  # a wave of fills of the purged group 7, which loads the origin
        now += 10_000
        observer.record_fill(now, CompletedFill("p0", f"{n:016x}", 7, False, 3.0))
    assert readings.reading(now, "purge-fills").value == pytest.approx(1.0, abs=0.05)
    assert readings.reading(now, "archive").value == pytest.approx(1.0, abs=0.01)
    for n in range(1_500):  # the origin itself is five times slower
        now += 10_000
        observer.record_fill(now, CompletedFill("p0", f"{n:016x}", 9, False, 5.0))
    assert readings.reading(now, "archive").value == pytest.approx(5.0, rel=0.1)
    assert readings.reading(now, "purge-fills").value == pytest.approx(0.0, abs=0.05)


# The state machine.


def test_higher_level_is_entered_at_once_without_the_levels_below() -> None:
    machine = two_levels()
    change = machine.evaluate(0, {"lag": known(300.0)})
    assert change is not None and (change.before, change.after) == (FULL, "full-core")
    assert "lag 300 > 200" in change.describe()
    effects = machine.effects(Degradation())
    assert effects.reject == ("video",) and effects.fill_share == 0.5 and effects.max_attempts == 1


def test_levels_are_left_one_step_at_a_time_after_hold_time_and_dwell() -> None:
    machine = two_levels(dwell_us=10 * S)
    machine.evaluate(0, {"lag": known(300.0)})
    seen = []
    for at in range(S, 40 * S, S // 10):
        change = machine.evaluate(at, {"lag": known(5.0)})
        if change is not None:
            seen.append((at, change.after))
    assert seen == [(10 * S, "busy"), (20 * S, FULL)]


def test_reading_between_thresholds_keeps_level() -> None:
    machine = two_levels()
    machine.evaluate(0, {"lag": known(60.0)})
    for at in range(S, 300 * S, S):
        assert machine.evaluate(at, {"lag": known(35.0)}) is None
    assert machine.level_name == "busy" and machine.state is State.STEADY


def test_unknown_reading_keeps_level() -> None:
    machine = two_levels()
    machine.evaluate(0, {"lag": known(60.0)})
    for at in range(S, 100 * S, S):
        assert machine.evaluate(at, {"lag": Reading(None, at, 0.0)}) is None
    assert machine.level_name == "busy"


def test_pin_and_ban_are_in_force_until_they_expire() -> None:
    machine = two_levels()
    machine.pin(0, "busy", 30 * S)
    assert machine.evaluate(S, {"lag": known(500.0)}) is None and machine.level_name == "busy"
    change = machine.evaluate(31 * S, {"lag": known(500.0)})
    assert change is not None and change.after == "full-core"
    change = machine.forbid(32 * S, "full-core", 60 * S)
    assert change is not None and change.after == "busy" and change.trigger is Trigger.FORBID
    assert machine.evaluate(33 * S, {"lag": known(500.0)}) is None
    assert machine.evaluate(61 * S, {"lag": known(500.0)}) is not None
    with pytest.raises(UnknownLevelError):
        machine.pin(62 * S, "no-such", 0)


def test_reload_keeps_level_in_force_if_its_name_still_exists() -> None:
    old = two_levels()
    old.evaluate(0, {"lag": known(60.0)})
    new = two_levels(dwell_us=5 * S)
    assert new.resume_from(S, old) is None and new.level_name == "busy" and new.since_us == 0
    other = LevelStateMachine(
        (Level("calm-down", (Condition("lag", True, 90.0),), (Condition("lag", False, 9.0),), S),)
    )
    change = other.resume_from(S, old)
    assert change is not None and change.after == FULL and change.trigger is Trigger.RELOAD


def count_level_changes(
    period_s: float, mean_load: float, amplitude: float, minutes: int, load_reduction: float
) -> int:
    """Returns the number of changes of level under a load that oscillates around `mean_load`. A level in
    force reduces the reading by the share `load_reduction`, as rejecting requests does."""
    machine = two_levels()
    readings = SignalReadings()
    tick = 50_000
    for at in range(0, minutes * 60 * S, tick):
        phase = (at / S / period_s) % 1.0
        load = mean_load * (1.0 + amplitude * (1.0 if phase < 0.5 else -1.0))
        reading = load * (1.0 - load_reduction * min(machine.rank, 1))
        readings.record(at, "lag", reading)
        if at % 100_000 == 0:
            machine.evaluate(at, readings.all(at))
    return machine.changes


@pytest.mark.parametrize("period_s", [1, 2, 5, 10, 30, 60, 120])
@pytest.mark.parametrize("mean_load", [50.0, 20.0, 200.0, 80.0])
def test_load_around_threshold_changes_level_less_than_once_a_minute(period_s: int, mean_load: float) -> None:
    changes = count_level_changes(period_s, mean_load, 0.3, 20, 0.0)
    assert changes / 20 < 1.0, changes


@settings(max_examples=40, deadline=None)
@given(st.floats(1.0, 120.0), st.floats(15.0, 300.0), st.floats(0.05, 0.9), st.floats(0.0, 0.8))
def test_oscillating_load_changes_level_less_than_once_a_minute(
    period_s: float, mean_load: float, amplitude: float, load_reduction: float
) -> None:
    changes = count_level_changes(period_s, mean_load, amplitude, 20, load_reduction)
    assert changes / 20 < 1.0, (changes, period_s, mean_load, amplitude, load_reduction)


def test_pinned_state_has_no_transitions_for_readings() -> None:
    by_readings = (Event.ENTRY_MET, Event.EXIT_MET, Event.EXIT_NOT_MET, Event.DWELL_OVER)
    assert not [event for event in by_readings if (State.PINNED, event) in TRANSITIONS]


def test_every_change_of_level_ends_in_steady_or_pinned_state() -> None:
    changing = [row for row in TRANSITIONS.values() if row.effect is not Effect.NONE]
    assert changing and all(row.state in (State.STEADY, State.PINNED) for row in changing)


def test_full_service_cannot_be_forbidden_and_forbidden_level_cannot_be_pinned() -> None:
    machine = two_levels()
    with pytest.raises(FullServiceError):
        machine.forbid(0, FULL, 0)
    machine.forbid(0, "busy", 0)
    with pytest.raises(ForbiddenLevelError):
        machine.pin(S, "busy", 0)
    assert machine.level_name == FULL and machine.state is State.STEADY


class StateMachineWalk(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.machine, self.now, self.lag = two_levels(dwell_us=3 * S), 0, 0.0
        self.rank_before = 0

    @rule(lag=st.sampled_from([0.0, 10.0, 30.0, 60.0, 100.0, 250.0]), seconds=st.integers(0, 12))
    def reading(self, lag: float, seconds: int) -> None:
        self.rank_before = self.machine.rank
        self.now += seconds * S
        self.lag = lag
        change = self.machine.evaluate(self.now, {"lag": known(lag)})
        if change is not None and change.trigger is Trigger.READINGS:
            if self.machine.rank > self.rank_before:
                # A higher level needs its entry condition; a lower one is the next that is not forbidden.
                assert lag > (50.0 if self.machine.rank == 1 else 200.0)
            else:
                allowed = [
                    r
                    for r in range(self.rank_before)
                    if r == 0 or not self.machine.is_forbidden(self.now, self.machine.name_of(r))
                ]
                assert self.machine.rank == allowed[-1]
                assert lag < (20.0 if self.rank_before == 1 else 80.0)

    @rule(name=st.sampled_from(["busy", "full-core", FULL]), seconds=st.integers(0, 60))
    def pin(self, name: str, seconds: int) -> None:
        if name != FULL and self.machine.is_forbidden(self.now, name):
            return
        self.machine.pin(self.now, name, self.now + seconds * S if seconds else 0)

    @rule()
    def unpin(self) -> None:
        self.machine.unpin()

    @rule(name=st.sampled_from(["busy", "full-core"]), seconds=st.integers(1, 60))
    def forbid(self, name: str, seconds: int) -> None:
        self.machine.forbid(self.now, name, self.now + seconds * S)

    @invariant()
    def forbidden_level_is_not_in_force(self) -> None:
        assert self.machine.rank == 0 or not self.machine.is_forbidden(self.now, self.machine.level_name)

    @invariant()
    def pinned_level_is_in_force_until_pin_expires(self) -> None:
        pin = self.machine.pinned
        if pin is not None and (not pin.until_us or self.now < pin.until_us):
            assert self.machine.level_name == pin.level


TestStateMachineWalk = StateMachineWalk.TestCase
TestStateMachineWalk.settings = settings(max_examples=80, stateful_step_count=40, deadline=None)


# Admission control of a scripted core.


def run_core(
    load: float,
    seconds: int,
    seed: int,
    costs: Costs,
    controlled: bool = True,
    rates: list[tuple[int, float]] | None = None,
) -> tuple[float, Core]:
    admission = (
        AdmissionController(AdmissionSettings(target_lag_us=25_000, min_open=8, max_open=4_000))
        if controlled
        else None
    )
    core = Core(costs, admission, Random(seed), rates or [(0, load * costs.max_rate())])
    metrics = core.run(seconds * S)
    return metrics.goodput(seconds) / costs.max_rate(), core


COSTS = Costs(read_us=15.0, refuse_us=10.0, serve_us=285.0)  # a refusal costs what load shedding costs


def test_overloaded_core_without_controller_serves_almost_nothing_in_target() -> None:
    share, _ = run_core(1.5, 20, 1, COSTS, controlled=False)
    assert share < 0.1


@settings(max_examples=12, deadline=None)
@given(st.floats(1.2, 3.0), st.floats(0.1, 0.9), st.integers(0, 10_000))
def test_overloaded_core_with_controller_keeps_goodput_and_limit_settles(
    load: float, spread: float, seed: int
) -> None:
    costs = Costs(read_us=15.0, refuse_us=10.0, serve_us=285.0, spread=spread)
    share, core = run_core(load, 10, seed, costs)
    metrics = core.metrics
    # The maximum that can be served if all other requests are rejected: the share of the core left by that.
    refusing = (costs.read_us + costs.refuse_us) / (costs.read_us + costs.serve_us)
    best = (1 - load * refusing) / (1 - refusing)
    assert share >= 0.95 * best, (share, best, load, spread, seed)
    settled = metrics.limits[len(metrics.limits) // 2 :]
    # Once settled, the limit stays within a band, and the lag of the loop within two targets.
    assert max(settled) <= 2.5 * min(settled), (min(settled), max(settled))
    lags = sorted(metrics.lags[len(metrics.lags) // 2 :])
    assert lags[int(len(lags) * 0.99)] <= 2 * 25_000, lags[int(len(lags) * 0.99)]
    # The step from no load to the full load causes a lag of some tenths of a second at most, once.
    assert max(metrics.lags) <= 250_000, max(metrics.lags)


@settings(max_examples=8, deadline=None)
@given(st.floats(1.5, 3.0), st.integers(0, 10_000))
def test_no_request_is_refused_from_3_s_after_overload_on(load: float, seed: int) -> None:
    rates = [(0, load * COSTS.max_rate()), (10 * S, 0.5 * COSTS.max_rate())]
    _, core = run_core(load, 20, seed, COSTS, rates=rates)
    metrics = core.metrics
    assert min(metrics.limits) < 4_000 and metrics.refused > 0  # the limit was binding during the overload
    assert 10 * S <= metrics.last_refused_us <= 13 * S, metrics.last_refused_us
    assert metrics.lag_us(0.5) < 25_000


# The retry budget in the Router.


def run_failing_attempts(retries: str) -> tuple[int, int]:
    """Returns how many of 60 requests were retried and how many rejected, when every first attempt fails."""
    player = ScenarioPlayer()
    player.play_line(
        "0 hosts kept a:cache:z1:up b:cache:z1:up p:parent:hub:up o:origin:hub:up".split(), "storm"
    )
    player.play_line(f"0 reduced retries={retries}".split(), "storm")
    rejected = retried = 0
    for n in range(60):
        at = 10 + n * 20
        player.play_line(f"{at} request v{n} page x{n}".split(), "storm")
        assert [type(action) for action in player.pending] == [SendAttempt], player.pending
        player.pending.clear()
        # Each attempt may have been executed, and each request may be retried.
        player.play_line(f"{at + 5} end v{n} 0 connection_spoiled".split(), "storm")
        for action in player.pending:
            rejected += isinstance(action, Reject)
            retried += isinstance(action, SendAttempt)
            if isinstance(action, SendAttempt):
                player.play_line(f"{at + 8} end v{n} {action.attempt} succeeded".split(), "storm")
        player.pending.clear()
    return retried, rejected


def test_retry_budget_rejects_requests_beyond_its_share_of_retries() -> None:
    retried, rejected = run_failing_attempts("0.5")
    # Half of 60 first attempts, and the ten retries that are always allowed, over a window of about 10 s.
    assert 35 <= retried <= 42 and rejected == 60 - retried, (retried, rejected)


def test_without_retry_budget_every_request_is_retried() -> None:
    assert run_failing_attempts("0") == (60, 0)
