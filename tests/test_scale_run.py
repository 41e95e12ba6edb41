"""The scale run: its scenes, what it tells and when, its accounting of delays, and hollow dispatchers."""

from __future__ import annotations

import asyncio
import itertools
import os
import signal
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

import msgspec
import pytest
import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st

from hoistplank.decision.events import Endpoint, EndpointListForm, EndpointsUpdated, PurgeReceived
from hoistplank.decision.purges import ALL_OBJECTS, PurgeWatermark
from hoistplank.decision.router import Router
from hoistplank.fakes.change_log import FakeChangeLog
from hoistplank.fakes.wire import serve
from hoistplank.lab.fleet.relay_messages import PathAction, RelayStatistics
from hoistplank.lab.scale import measurements, run_broken
from hoistplank.lab.scale.faults import Strike
from hoistplank.lab.scale.fleet import Fleet
from hoistplank.lab.scale.hollow import Position
from hoistplank.lab.scale.hollow_audit import Auditor
from hoistplank.lab.scale.hollow_messages import DoorUsage, Expect, HostState
from hoistplank.lab.scale.hollow_pairing import fitted
from hoistplank.lab.scale.hollow_process import site_of
from hoistplank.lab.scale.replay import CHANGE, HOST, PURGE, RENEWAL, Teller
from hoistplank.lab.scale.run import Played, ReplicaStatus
from hoistplank.lab.scale.run_delays import NEVER, Deliveries, quantiles
from hoistplank.lab.scale.run_paths import LOG, REPLICAS, Cut, LogPaths, ReplicaPaths
from hoistplank.lab.scale.run_record import records
from hoistplank.lab.scale.run_usage import HollowSample, LogSample, UsageSeries, late_ms
from hoistplank.lab.scale.run_verdict import OF_TIME, judged
from hoistplank.lab.scale.scene import KINDS, S, Scene, read
from hoistplank.lab.scale.scene_schedule import BATCH_US, Change, HostStep, Purge, schedule
from hoistplank.operator_configuration.errors import ConfigurationError
from hoistplank.protocol import changelog

ROOT = Path(__file__).resolve().parents[1]
SCENES = sorted((ROOT / "deploy" / "scale").glob("*.sexp"))
FLEET = "(scale s (dispatchers 100) (sites 10) (zones 5) (regions 2) (seconds 600s)"


def scene(more: str = "") -> Scene:
    return read(f"{FLEET} {more})".encode(), "s.sexp")


# Scenes.


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


# What is told, and when.


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


def test_an_hour_is_played_at_its_pace_while_regions_are_apart() -> None:
    rows = schedule(scene("(at 100s (changes 60 within 30s)) (at 300s (apart 1 for 60s pace 60x))"), 7)
    hour = [row for row in rows if 300 * S <= row.at_us < 360 * S]
    purges = [row for row in hour if isinstance(row, Purge)]
    assert abs(len(purges) - 14_040) < 5 * 14_040**0.5
    assert sum(isinstance(row, Change) for row in hour) in (60, 61)
    # Beside the steady ones they are told in groups.
    assert len({row.at_us for row in purges}) < 60 * S / BATCH_US + 400
    assert sum(isinstance(row, Change) and 100 * S <= row.at_us < 130 * S for row in rows) == 60


def test_teller_counts_within_its_epoch_and_lists_what_there_is() -> None:
    made = scene("(hosts 5)")
    teller = Teller(made.fleet)
    reader = changelog.ChangeLogReader()
    first = teller.first()
    rows = [first, teller.next(Purge(0, "ab"), 17), teller.next(HostStep(0, 3, "gone"), 18)]
    rows += [teller.next(Change(0, 6), 19)]
    assert [row.kind for row in rows] == [RENEWAL, PURGE, HOST, CHANGE]
    assert [(row.expected.epoch, row.expected.number) for row in rows] == [(0, 1), (0, 2), (0, 3), (0, 4)]
    line = msgspec.json.encode(rows[-1].event) + b"\n"
    _, (event,) = reader.read(bytearray(line), 0, len(line))
    assert isinstance(event, changelog.Event) and event.fleet is not None and not event.fleet.all
    # Another capacity for all hosts of one zone.
    assert [(target.uid, target.capacity_hint) for target in event.fleet.targets] == [("cache-0001", 106.0)]
    again = teller.begin_anew()
    assert again.event["fleet"]["all"]
    assert "cache-0003" not in {target["uid"] for target in again.event["fleet"]["targets"]}
    assert [state.state for state in again.expected.hosts] == ["ready"] * 3 + ["gone", "ready"]
    assert [state.units for state in again.expected.hosts] == [100.0, 106.0, 100.0, 100.0, 100.0]
    assert (again.expected.epoch, again.expected.number, again.event["seq"]) == (1, 1, 1)


def test_a_follower_ahead_of_a_log_hears_its_number_while_it_tells_events() -> None:
    async def scene() -> None:
        log = FakeChangeLog()
        port = await serve(log.serve_connection)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"since 100\n")

        async def telling() -> None:
            for number in itertools.count(1):
                log.publish({"seq": number, "invalidate": {"time": 1, "object": "ab"}})
                await asyncio.sleep(0.05)

        told = asyncio.create_task(telling())
        async with asyncio.timeout(5):
            line = await reader.readline()
        told.cancel()
        writer.close()
        number = msgspec.json.decode(line)
        assert list(number) == ["seq"] and 0 < number["seq"] < 100

    uvloop.run(scene())


# What a Router holds, against what was told.


NOTHING = Position(0, 0)


def audited(*events: Expect) -> tuple[Auditor, Router]:
    made = scene("(hosts 3)")
    auditor = Auditor()
    for event in events:
        auditor.expect(event)
    return auditor, Router(site_of(made.fleet.settings(made.fleet.seats()[0], 300.0)), 1)


def test_audit_finds_what_a_router_lacks() -> None:
    now = 1_000 * S
    auditor, router = audited(
        Expect(0, 2, "ab", now - 5),
        Expect(0, 3, "cd", now - 4),
        Expect(0, 4, hosts=[HostState("h", "draining", 7, 1.0)]),
        Expect(0, 5, hosts=[HostState("h", "gone", 7, 1.0)]),
    )
    told = Position(0, 1)
    assert [number for number, _ in auditor.missing(router, NOTHING, told, Position(0, 3))] == [2, 3]
    router.handle(now, PurgeReceived("ab", 0, 5))
    assert [number for number, _ in auditor.missing(router, NOTHING, told, Position(0, 3))] == [3]
    # An older purge of the same object is not enough.
    router.handle(now, PurgeReceived("cd", 0, 6))
    assert [number for number, _ in auditor.missing(router, NOTHING, told, Position(0, 3))] == [3]
    # Of two events on one host the later one counts.
    router.handle(
        now, EndpointsUpdated(EndpointListForm.SNAPSHOT, [Endpoint("h", "z0", "box", 0, 1.0, 7, "up")])
    )
    assert [number for number, _ in auditor.missing(router, NOTHING, Position(0, 3), Position(0, 5))] == [5]
    router.handle(
        now, EndpointsUpdated(EndpointListForm.CHANGES, [Endpoint("h", "z0", "box", 0, 1.0, 7, "gone")])
    )
    assert auditor.missing(router, NOTHING, Position(0, 3), Position(0, 5)) == []
    assert auditor.knows(Position(0, 5)) and not auditor.knows(Position(0, 6))
    assert not auditor.knows(Position(1, 1))


def test_audit_lets_a_router_be_ahead_of_what_its_dispatcher_says_but_not_behind() -> None:
    """As in a catch-up, parts of which are applied before its end moves the position."""
    auditor, router = audited(
        Expect(0, 2, hosts=[HostState("h", "draining", 7, 1.0)]),
        Expect(0, 3, hosts=[HostState("h", "gone", 7, 1.0)]),
        Expect(0, 4, hosts=[HostState("h", "ready", 9, 1.0)]),
    )
    told, configured = Position(0, 1), Position(0, 0)
    router.handle(
        1, EndpointsUpdated(EndpointListForm.SNAPSHOT, [Endpoint("h", "z0", "box", 0, 1.0, 7, "up")])
    )
    for position in (2, 3, 4):
        found = auditor.missing(router, configured, told, Position(0, position))
        assert [number for number, _ in found] == [position]
    router.handle(
        2, EndpointsUpdated(EndpointListForm.CHANGES, [Endpoint("h", "z0", "box", 0, 1.0, 9, "up")])
    )
    for position in (2, 3, 4):
        assert auditor.missing(router, configured, told, Position(0, position)) == []
    router.handle(
        3, EndpointsUpdated(EndpointListForm.CHANGES, [Endpoint("h", "z0", "box", 0, 1.0, 11, "up")])
    )
    assert auditor.missing(router, configured, told, Position(0, 2)) != []


def test_audit_takes_a_floor_under_all_objects_for_a_purge() -> None:
    auditor, router = audited(Expect(0, 2, "ab", 50 * S), Expect(0, 3, "cd", 60 * S))
    router.parts.purges.by_key[ALL_OBJECTS] = PurgeWatermark(55 * S, 90 * S)
    assert [number for number, _ in auditor.missing(router, NOTHING, Position(0, 1), Position(0, 3))] == [3]
    # One that is heard long after it was made is in force all the same.
    late_us = 2 * router.parts.purges.hold_us
    router.handle(60 * S + late_us, PurgeReceived("cd", 0, late_us))
    assert auditor.missing(router, NOTHING, Position(0, 2), Position(0, 3)) == []


# Delays.


def deliveries(many: int = 3) -> Deliveries:
    made = Deliveries([f"d{number}" for number in range(many)])
    for number in range(many):
        made.reachable(number, 0, True)
    return made


def test_delay_is_that_of_the_last_dispatcher() -> None:
    made = deliveries()
    made.told(0, 1, PURGE, 100)
    made.told(0, 2, CHANGE, 200)
    made.acknowledged(0, 0, 2, 210)
    made.acknowledged(1, 0, 1, 130)
    made.acknowledged(1, 0, 2, 260)
    made.acknowledged(2, 0, 1, 150)
    found = made.delays()
    assert [(row.kind, row.last_us, row.last, row.awaited) for row in found.events] == [
        (PURGE, 110, "d0", 3),
        (CHANGE, NEVER, "d2", 3),
    ]
    assert found.of(CHANGE).never == 1
    assert found.stragglers({PURGE: 105, CHANGE: 1_000}, 0) == {"d0": 1, "d2": 1}
    assert found.returns == []


def test_who_can_not_be_reached_is_awaited_only_once_it_is_back() -> None:
    made = deliveries(2)
    made.told(0, 1, PURGE, 100)
    made.acknowledged(0, 0, 1, 101)
    made.acknowledged(1, 0, 1, 102)
    made.unreachable(1, 150)
    made.told(0, 2, PURGE, 200)
    made.acknowledged(0, 0, 2, 205)
    made.reachable(1, 300, False)
    made.told(0, 3, PURGE, 310)
    made.acknowledged(0, 0, 3, 311)
    made.acknowledged(1, 0, 2, 340)
    made.acknowledged(1, 0, 3, 350)
    found = made.delays()
    assert [(row.last_us, row.last, row.awaited) for row in found.events] == [
        (2, "d1", 2),
        (5, "d0", 1),
        (40, "d1", 2),
    ]
    assert [(row.name, row.begin_us, row.took_us) for row in found.returns] == [("d1", 300, 40)]


def test_a_restarted_one_needs_all_again_and_one_that_missed_nothing_does_not() -> None:
    made = deliveries(2)
    made.told(0, 1, PURGE, 100)
    for number in range(2):
        made.acknowledged(number, 0, 1, 101)
        made.unreachable(number, 200)
        made.reachable(number, 300, number == 0)
    assert [(row.name, row.took_us) for row in made.delays().returns] == [("d0", NEVER)]
    made.acknowledged(0, 0, 1, 333)
    assert [(row.name, row.took_us) for row in made.delays().returns] == [("d0", 33)]


def test_who_had_an_event_by_a_moment_is_counted() -> None:
    made = deliveries(2)
    made.acknowledged(0, 0, 2, 100)
    made.acknowledged(0, 0, 1, 110)  # another life of it
    made.acknowledged(1, 1, 1, 120)
    assert [made.having(0, 2, at) for at in (99, 100, 115, 120)] == [0, 1, 1, 2]
    assert (made.having(1, 1, 119), made.having(1, 1, 120)) == (0, 1)


def test_an_epoch_goes_before_numbers() -> None:
    made = deliveries(1)
    made.told(0, 9, PURGE, 100)
    made.acknowledged(0, 0, 9, 101)
    made.told(1, 1, RENEWAL, 200)
    made.acknowledged(0, 0, 12, 210)  # of the old epoch: no sign of the new one
    made.acknowledged(0, 1, 1, 230)
    assert [row.last_us for row in made.delays().events] == [1, 30]


@st.composite
def histories(draw: st.DrawFn) -> tuple[list[int], list[list[tuple[int, int]]]]:
    """When each event was told, and for each dispatcher when it acknowledged which number."""
    told = sorted(draw(st.lists(st.integers(0, 50), min_size=1, max_size=6)))
    acknowledged = []
    for _ in range(draw(st.integers(1, 3))):
        moments = sorted(draw(st.lists(st.integers(0, 80), max_size=6)))
        numbers = sorted(draw(st.integers(1, len(told))) for _ in moments)
        acknowledged.append(list(zip(moments, numbers, strict=True)))
    return told, acknowledged


@given(histories())
def test_delays_are_those_of_a_plain_count(history: tuple[list[int], list[list[tuple[int, int]]]]) -> None:
    told, acknowledged = history
    made = deliveries(len(acknowledged))
    for number, at in enumerate(told, 1):
        made.told(0, number, PURGE, at)
    for dispatcher, rows in enumerate(acknowledged):
        for at, number in rows:
            made.acknowledged(dispatcher, 0, number, at)
    plain = []
    for number, at in enumerate(told, 1):
        reached = [[when for when, held in rows if held >= number] for rows in acknowledged]
        plain.append(max(NEVER if not whens else whens[0] - at for whens in reached))
    assert [row.last_us for row in made.delays().events] == [max(-1, value) for value in plain]


def test_quantiles_count_apart_what_never_came() -> None:
    found = quantiles([1_000 * n for n in range(1, 101)] + [NEVER] * 2)
    assert (found.many, found.p50, found.max, found.never) == (102, 50.5, 100.0, 2)


# What it cost.


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


# Paths, and what a cut closes.


class Noted:
    """Stands in for relays: notes what is done to which paths."""

    def __init__(self) -> None:
        self.done: list[tuple[str, set[str]]] = []

    def set_conditions(self, names: list[str], back: bool, silent: bool) -> None:
        if not back:
            self.done.append((f"silent {silent}", set(names)))

    def apply(self, names: list[str], action: PathAction) -> None:
        self.done.append((action.value, set(names)))


def test_a_cut_of_sites_closes_their_paths_and_no_others() -> None:
    fleet = Fleet(12, 4, 2, 2, 3)
    for paths, names in (
        (LogPaths(fleet), {"s01>log", "s03>log"}),
        (ReplicaPaths(fleet), {f"s{site:02d}>c{replica}" for site in (1, 3) for replica in (0, 1)}),
    ):
        noted = paths.front = Noted()  # type: ignore[assignment]
        cut = Cut(sites=(1, 3))
        paths.set_silent(cut, True)
        paths.set_refused(cut, True)
        assert noted.done == [("silent True", names), ("shut", names)]
        assert sum(cut.holds(seat) for seat in fleet.seats()) == 6


def test_a_region_that_is_apart_keeps_its_own_replica_and_loses_the_log() -> None:
    fleet = Fleet(12, 4, 2, 2, 3)  # sites 1 and 3 stand in region 1
    paths = ReplicaPaths(fleet)
    paths.peer_ports = {(0, 1): 1, (1, 0): 2}
    front, back = Noted(), Noted()
    paths.front, paths.back = front, back  # type: ignore[assignment]
    paths.set_silent(Cut(regions=(1,)), True)
    divided = {"s01>c0", "s03>c0", "s00>c1", "s02>c1"}
    assert front.done == [("silent True", divided)]
    assert back.done == [("silent True", {"c1>log", "c0>c1", "c1>c0"})]


# Verdicts.


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


# Whole runs, small.


@pytest.mark.parametrize("through", [LOG, REPLICAS])
def test_small_run_holds_and_is_found_true(through: str) -> None:
    verdict = uvloop.run(run_broken.played(through=through))
    assert not verdict.void, verdict.void
    assert all(verdict.claims.values()), (verdict.claims, verdict.figures, verdict.stragglers)
    # Each of 12 dispatchers had every event audited: 3 s of 20 purges, and 3 changes.
    assert verdict.figures["audited"] >= 12 * 40


@pytest.mark.parametrize("name", ["drops-purges", "acknowledges-early", "goes-deaf", "holds-back"])
def test_broken_builds_are_found_out(name: str) -> None:
    case = next(case for case in run_broken.CASES if case.name == name)
    assert uvloop.run(run_broken.fires(case)), name


def test_a_killed_run_leaves_no_process_behind() -> None:
    mark = f"SCALE_RUN_TEST={os.getpid()}"
    code = "import uvloop; from hoistplank.lab.scale import run_broken; uvloop.run(run_broken.played())"
    environment = os.environ | dict([mark.split("=")])
    run = subprocess.Popen([sys.executable, "-c", code], env=environment, cwd=ROOT, start_new_session=True)

    def marked() -> list[str]:
        found = []
        for place in Path("/proc").iterdir():
            if place.name.isdecimal():
                try:
                    found += [place.name] if mark.encode() in (place / "environ").read_bytes() else []
                except OSError:
                    continue
        return found

    until = time.monotonic() + 30
    while len(marked()) < 6 and time.monotonic() < until:  # itself, log, relays, hollow dispatchers
        time.sleep(0.05)
    assert len(marked()) >= 6
    run.send_signal(signal.SIGKILL)
    run.wait()
    while marked() and time.monotonic() < until:
        time.sleep(0.05)
    assert marked() == []
