"""What a scale run cost, and whether it held its bounds."""

from __future__ import annotations

from pathlib import Path

import pytest

from hoistplank.lab.fleet.relay_messages import RelayStatistics
from hoistplank.lab.scale import measurements
from hoistplank.lab.scale.faults import Strike
from hoistplank.lab.scale.hollow_messages import DoorUsage
from hoistplank.lab.scale.hollow_pairing import fitted
from hoistplank.lab.scale.replay import PURGE
from hoistplank.lab.scale.run import Played, ReplicaStatus
from hoistplank.lab.scale.run_record import records
from hoistplank.lab.scale.run_usage import HollowSample, LogSample, UsageSeries, late_ms
from hoistplank.lab.scale.run_verdict import OF_TIME, judged
from hoistplank.lab.scale.scene import S, read
from tests.scale_rig import deliveries


def test_usage_is_shared_out_over_dispatchers_and_time() -> None:
    series = UsageSeries()
    for second in range(3):
        at_us = second * S
        for process, many in enumerate((100, 50, 1)):
            cpu_s = second * (0.2 if process < 2 else 0.9)
            series.hollow.append(HollowSample(at_us, process, cpu_s, 50_000 + 300 * many, many, [1_000] * 50))
        door = DoorUsage(1, 10, 0, second * 5_000, second * 100)
        series.log.append(LogSample(at_us, second * 0.1, 0, [], {"s0": door}))
    found = series.use(0, 10 * S)
    # The process of one is the rig's own: it counts nowhere.
    assert found.dispatcher_core == pytest.approx(0.4 / 150)
    assert found.dispatcher_core_most == pytest.approx(0.2 / 50)
    assert (found.dispatcher_bytes_s, found.dispatcher_lines_s) == (500.0, 10.0)
    assert found.log_core == pytest.approx(0.1)
    assert series.memory_bytes({0: 50_000, 1: 50_000, 2: 50_000}, 0, 10 * S) == 300 * 1_024


def test_lateness_counts_by_the_time_it_stands_for() -> None:
    assert late_ms([[0] * 98, [500_000]]) == 500.0  # a fifth of the time, in one sample of a hundred
    assert late_ms([[0] * 5_000 + [500_000]]) == 0.0
    assert late_ms([]) == 0.0


def test_cost_of_an_event_is_the_slope_over_rates() -> None:
    rates = [0.0, 10.0, 20.0, 40.0]
    slope, half, rest = fitted(rates, [3.0 + 2.0 * rate for rate in rates])
    assert [slope, rest] == pytest.approx([2.0, 3.0]) and half < 1e-9


def played_with(late_us: int, took_us: int, in_force: int) -> Played:
    """A run of two dispatchers and one purge, which the second had `took_us` after it was told."""
    made = read(b"(scale s (dispatchers 2) (processes 1) (seconds 10s))", "s.sexp")
    told = deliveries(2)
    told.told(0, 1, PURGE, 1_000)
    told.acknowledged(0, 0, 1, 1_500)
    told.acknowledged(1, 0, 1, 1_000 + took_us)
    usage = UsageSeries()
    for second in (0, 1):
        usage.hollow.append(HollowSample(second * S, 0, 0.0, 100, 2, [late_us], audited=2))
    status = ReplicaStatus(2_000, "c0", 0, 1, in_force, 2)
    return Played(
        made, 0, 10 * S, told, usage, [], [], {0: 100}, RelayStatistics(late_us={"99": 0}), [status]
    )


def test_a_late_purge_fails_and_is_void_where_the_rig_was_late() -> None:
    assert all(judged(played_with(0, 7 * S, 1)).claims[name] for name in OF_TIME)
    late = judged(played_with(0, 7 * S + 100_000, 1))
    assert not late.claims["purges_in_force"] and not late.void
    assert late.stragglers == {"d1": 1}
    assert judged(played_with(300_000, 7 * S + 100_000, 1)).void
    # A rig that was late makes no claim pass, so one that holds is not void; unless it stood still.
    assert not judged(played_with(300_000, S, 1)).void
    assert judged(played_with(3 * S, S, 1)).void


def test_a_replica_that_counts_more_than_have_it_is_found_out() -> None:
    assert judged(played_with(0, S, 1)).claims["replicas_count_only_what_is_in_force"]
    overstated = judged(played_with(0, S, 2)).claims
    assert not overstated["replicas_count_only_what_is_in_force"]


def test_records_tell_the_steady_state_and_the_worst_of_each_fault(tmp_path: Path) -> None:
    run = played_with(0, S, 1)
    run.strikes.append(Strike("rack 0.5 for 1s", "rack", 5 * S, 6 * S, 1))
    rows = records(run.scene, judged(run), None, "scale now")
    file = tmp_path / "scale-run.parquet"
    measurements.write(file, rows, measurements.RunInfo("scale now", "", "", "quick"))
    assert measurements.read(file) == rows
    delays = {(row.quantity, row.notes): row.value for row in rows if row.role == "delay"}
    assert delays["purge to the last dispatcher, max", "2 dispatchers: steady"] == 1_000.0
    assert {row.notes for row in rows} == {"2 dispatchers: steady", "2 dispatchers: rack 0.5 for 1s"}
    assert all(not row.per and row.run == "scale now" for row in rows)
