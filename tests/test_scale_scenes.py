"""The scale run's scenes: how they are read, and the schedule of what is told."""

from __future__ import annotations

from collections import Counter
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hoistplank.lab.scale.scene import KINDS, S, read
from hoistplank.lab.scale.scene_schedule import Change, HostStep, Purge, schedule
from hoistplank.operator_configuration.errors import ConfigurationError
from tests.scale_rig import FLEET, ROOT, SCENES, scene


@pytest.mark.parametrize("path", SCENES, ids=lambda path: path.stem)
def test_scenes_that_are_kept_can_be_read(path: Path) -> None:
    made = read(path.read_bytes(), path.name)
    kinds = {fault.kind for fault in made.faults}
    assert kinds == set(KINDS)


def test_whole_scene_is_the_fleet_that_is_planned_for() -> None:
    made = read((ROOT / "deploy/scale/fleet.sexp").read_bytes(), "fleet.sexp")
    fleet, budgets = made.fleet, made.budgets
    assert (fleet.dispatchers, fleet.sites, fleet.zones, fleet.regions, fleet.hosts) == (680, 31, 11, 5, 180)
    assert (made.purges_s, made.change_every_us, made.length_us <= 900 * S) == (3.9, 60 * S, True)
    assert (budgets.purge_us, budgets.change_us, budgets.return_us) == (7 * S, 15 * S, 15 * S)
    assert (budgets.core, budgets.memory, budgets.bytes_s) == (0.016, 32 << 20, 19_000)
    seats = fleet.seats()
    assert {len({seat.site for seat in seats}), len({seat.zone for seat in seats})} == {31, 11}
    assert len({seat.name for seat in seats}) == 680


@pytest.mark.parametrize(
    ("text", "line", "column", "wanted"),
    [
        ("(scale s)", 1, 1, "'(dispatchers …)'"),
        ("(scale s (dispatchers 10) (sitse 2))", 1, 27, "'sites'"),
        ("(scale s (dispatchers ten))", 1, 23, "a whole number from 2 to 2000"),
        ("(scale s\n  (dispatchers 10)\n  (sites 11))", 3, 3, "at most 10"),
        ("(scale s (dispatchers 10) (purges 3.9))", 1, 35, "a rate above 0"),
        (f"{FLEET}\n (at 10s (rack 0.5 for 3min)\n (zone z7 for 1s)))", 3, 2, "a zone from z0 to z4"),
        (f"{FLEET}\n (at 10s (apart 2 for 1s pace 60x)))", 2, 10, "1 to 1 regions"),
        (f"{FLEET}\n (at 10s (apart 1 for 1s)))", 2, 10, "'(apart … for … pace …)'"),
        (f"{FLEET}\n (at 599s (stall for 1s)))", 2, 11, "an end 2 s before the scene's"),
        (f"{FLEET}\n (at 1s (machines 100 for 1s)))", 2, 9, "fewer than the 100 dispatchers"),
        (f"{FLEET}\n (at 1s (rack 0.001 for 1s)))", 2, 9, "a share of one dispatcher"),
        (f"{FLEET}\n (at 1s (flood 3)))", 2, 9, "one of"),
        ("(scene s)", 1, 1, "one '(scale NAME …)'"),
        ("(scale s (dispatchers 10)", 1, 1, "')'"),
    ],
)
def test_mistakes_in_scenes_are_told_with_their_place(text: str, line: int, column: int, wanted: str) -> None:
    with pytest.raises(ConfigurationError) as caught:
        read(text.encode(), "s.sexp")
    told = [fault for fault in caught.value.diagnostics if wanted in fault.expected]
    assert told, [str(fault) for fault in caught.value.diagnostics]
    assert (told[0].location.line, told[0].location.column) == (line, column)


@settings(max_examples=20, deadline=None)  # a machine that has other work may hold any of them up
@given(seed=st.integers(0, 1_000))
def test_schedule_depends_on_its_seed_alone(seed: int) -> None:
    made = scene("(host-pace 5000)")
    rows = schedule(made, seed)
    assert rows == schedule(made, seed) != schedule(made, seed + 1)
    assert all(one.at_us <= two.at_us for one, two in zip(rows, rows[1:], strict=False))
    purges = sum(isinstance(row, Purge) for row in rows)
    assert abs(purges - 2_340) < 5 * 2_340**0.5, f"seed {seed}"
    assert [row.at_us for row in rows if isinstance(row, Change)] == [30 * S + n * 60 * S for n in range(10)]


def test_purges_repeat_as_zipf_has_it() -> None:
    counts = Counter(row.object_key for row in schedule(scene("(zipf 2)"), 3) if isinstance(row, Purge))
    shares = [count / counts.total() for _, count in counts.most_common(3)]
    # 1 / n² over the sum of all: 0.608, 0.152, 0.068.
    assert shares[0] == pytest.approx(0.608, abs=0.05)
    assert shares[1] == pytest.approx(0.152, abs=0.04)
    assert all(len(object_key) == 16 and int(object_key, 16) <= 1_000_000 for object_key in counts)


def test_restart_of_a_host_is_three_events_and_hosts_take_turns() -> None:
    steps = [row for row in schedule(scene("(hosts 40) (host-pace 400)"), 5) if isinstance(row, HostStep)]
    by_host: dict[int, list[HostStep]] = {}
    for step in steps:
        by_host.setdefault(step.host, []).append(step)
    for rows in by_host.values():
        assert [row.state for row in rows] == ["draining", "gone", "ready"] * (len(rows) // 3)
    restarts = sum(step.state == "ready" for step in steps)
    assert abs(restarts - 361) < 5 * 361**0.5
    assert len(by_host) == 40 and max(map(len, by_host.values())) - min(map(len, by_host.values())) <= 3
