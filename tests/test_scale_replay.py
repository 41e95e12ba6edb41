"""How the scale run tells its log's events, and whom it cuts off meanwhile."""

from __future__ import annotations

import asyncio
import itertools

import msgspec
import uvloop

from hoistplank.fakes.change_log import FakeChangeLog
from hoistplank.fakes.wire import serve
from hoistplank.lab.fleet.relay_messages import PathAction
from hoistplank.lab.scale.fleet import Fleet
from hoistplank.lab.scale.replay import CHANGE, HOST, PURGE, RENEWAL, EventGenerator
from hoistplank.lab.scale.run_paths import Cut, LogPaths, ReplicaPaths
from hoistplank.lab.scale.scene import S
from hoistplank.lab.scale.scene_schedule import BATCH_US, Change, HostStep, Purge, schedule
from hoistplank.protocol import changelog
from tests.scale_rig import scene


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
    teller = EventGenerator(made.fleet)
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
