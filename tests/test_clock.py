"""The dispatcher's clock."""

from __future__ import annotations

import pytest

from hoistplank.routing.clock import Clock


def test_clock_never_runs_back(monkeypatch: pytest.MonkeyPatch) -> None:
    steady, unix = [1_000_000], [50_000_000_000]
    monkeypatch.setattr("time.monotonic_ns", lambda: steady[0])
    monkeypatch.setattr("time.time_ns", lambda: unix[0])
    clock = Clock()
    assert clock.now() == 50_000_000
    steady[0] += 2_000_000
    unix[0] -= 9_000_000_000  # set back
    assert clock.now() == 50_002_000
    unix[0] += 20_000_000_000  # and forward, past where it was
    assert clock.now() == 61_000_000
