"""Tests of the dispatcher's clocks when the wall clock is set."""

from __future__ import annotations

import pytest

from hoistplank.routing.clock import Clock, WallClock

START_US = 50_000_000
HOUR_US = 3_600_000_000


class FakeClocks:
    """Replaces the system's clocks by values set in the test."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.monotonic_us, self.wall_us = 1_000, START_US
        monkeypatch.setattr("time.monotonic_ns", lambda: self.monotonic_us * 1_000)
        monkeypatch.setattr("time.time_ns", lambda: self.wall_us * 1_000)

    def step(self, step_us: int) -> None:
        """Sets the wall clock forward, or back if negative."""
        self.wall_us += step_us

    def advance(self, span_us: int) -> None:
        """Advances both clocks."""
        self.monotonic_us += span_us
        self.wall_us += span_us


@pytest.fixture
def clocks(monkeypatch: pytest.MonkeyPatch) -> FakeClocks:
    return FakeClocks(monkeypatch)


@pytest.mark.parametrize("step_us", [HOUR_US, 5_000_000, -5_000_000, -HOUR_US])
def test_clock_ignores_steps_of_the_wall_clock(clocks: FakeClocks, step_us: int) -> None:
    clock = Clock()
    assert clock.now() == START_US and clock.step_us() == 0
    clocks.step(step_us)
    assert clock.now() == START_US and clock.step_us() == step_us
    clocks.advance(2_000)
    assert clock.now() == START_US + 2_000 and clock.step_us() == step_us
    clocks.step(-step_us)
    assert clock.now() == START_US + 2_000 and clock.step_us() == 0


def test_start_time_after_a_step_is_the_later_interpretation(clocks: FakeClocks) -> None:
    clock = Clock()
    clocks.advance(60_000_000)
    now, old = clock.now(), START_US + 50_000_000
    assert clock.to_local_start(old) == old  # no step: unchanged
    for step_us in (HOUR_US, -HOUR_US):
        clocks.step(step_us)
        assert clock.to_local_start(0) == 0  # unknown start
        stamped_after_the_step = now + step_us - 1_000_000
        # It started a second ago. An earlier result would make a cold host look warm.
        assert now - 1_000_000 <= clock.to_local_start(stamped_after_the_step) <= now
        assert old <= clock.to_local_start(old) <= now
        clocks.step(-step_us)


def test_wall_clock_follows_forward_steps_and_ignores_backward_steps(clocks: FakeClocks) -> None:
    clock = WallClock()
    assert clock.now() == START_US
    clocks.advance(2_000)
    clocks.step(-9_000_000)
    assert clock.now() == START_US + 2_000
    clocks.step(20_000_000)
    assert clock.now() == START_US + 11_002_000
