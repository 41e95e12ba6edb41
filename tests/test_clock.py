"""The dispatcher's clocks."""

from __future__ import annotations

import pytest

from hoistplank.routing.clock import Clock, WallClock

START_US = 50_000_000
HOUR_US = 3_600_000_000


class Times:
    """The system's clocks, set by hand."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.monotonic_us, self.wall_us = 1_000, START_US
        monkeypatch.setattr("time.monotonic_ns", lambda: self.monotonic_us * 1_000)
        monkeypatch.setattr("time.time_ns", lambda: self.wall_us * 1_000)

    def step(self, step_us: int) -> None:
        """Sets the wall clock."""
        self.wall_us += step_us

    def pass_by(self, span_us: int) -> None:
        """Both clocks go on."""
        self.monotonic_us += span_us
        self.wall_us += span_us


@pytest.fixture
def times(monkeypatch: pytest.MonkeyPatch) -> Times:
    return Times(monkeypatch)


@pytest.mark.parametrize("step_us", [HOUR_US, 5_000_000, -5_000_000, -HOUR_US])
def test_spans_are_real_time_whatever_the_wall_clock_does(times: Times, step_us: int) -> None:
    clock = Clock()
    assert clock.now() == START_US and clock.step_us() == 0
    times.step(step_us)
    assert clock.now() == START_US and clock.step_us() == step_us
    times.pass_by(2_000)
    assert clock.now() == START_US + 2_000 and clock.step_us() == step_us
    times.step(-step_us)
    assert clock.now() == START_US + 2_000 and clock.step_us() == 0


def test_a_start_is_taken_for_the_younger_of_its_readings(times: Times) -> None:
    clock = Clock()
    times.pass_by(60_000_000)
    now, old = clock.now(), START_US + 50_000_000
    assert clock.to_local_start(old) == old  # no step: as it stands
    for step_us in (HOUR_US, -HOUR_US):
        times.step(step_us)
        assert clock.to_local_start(0) == 0  # no start is known
        stamped_after_the_step = now + step_us - 1_000_000
        # It started a second ago: never older, so that a cold host passes for no warm one.
        assert now - 1_000_000 <= clock.to_local_start(stamped_after_the_step) <= now
        assert old <= clock.to_local_start(old) <= now
        times.step(-step_us)


def test_what_others_have_dated_follows_the_wall_clock_forward_and_never_back(times: Times) -> None:
    clock = WallClock()
    assert clock.now() == START_US
    times.pass_by(2_000)
    times.step(-9_000_000)
    assert clock.now() == START_US + 2_000
    times.step(20_000_000)
    assert clock.now() == START_US + 11_002_000
