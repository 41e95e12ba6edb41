"""The lab's model: streams, links, keeps, scripts, the days of a seed, and checkers that fire."""

import sys
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

import hoistplank
from hoistplank.decision.events import CacheStatus, Outcome
from hoistplank.decision.router import Router
from hoistplank.lab.backends.virtual import build_world, digest
from hoistplank.lab.faulty_dispatchers import BROKEN
from hoistplank.lab.model.cache_storage import CacheStorage
from hoistplank.lab.model.clients import ANSWER_GRACE_US, SERVED, Clients, Request
from hoistplank.lab.model.days import DAYS, draw_day
from hoistplank.lab.model.event_queue import EventQueue
from hoistplank.lab.model.faults import KINDS, script, unsupported
from hoistplank.lab.model.links import Link
from hoistplank.lab.model.objects import ObjectCatalog
from hoistplank.lab.model.server_request import ServerRequest
from hoistplank.lab.model.servers import Server
from hoistplank.lab.model.streams import RandomStreams
from hoistplank.lab.model.world import World
from hoistplank.lab.model.world_settings import SECOND_US, WorldSettings, scaled_settings
from hoistplank.lab.older_revisions import load_router
from hoistplank.lab.policies import policy
from hoistplank.lab.policy import PolicyFactory, UnknownPolicyError
from hoistplank.operator_configuration.errors import ConfigurationError
from hoistplank.routing.clock_offset import ClockOffset

SMALL = scaled_settings(6, 2, 1, 60.0, seconds=6.0)


def broken(kind: Any) -> PolicyFactory:
    return lambda site, seed, world: kind(site, seed)


def played(name: str, text: str = "", seed: int = 1, shape: WorldSettings = SMALL) -> World:
    world = build_world(shape, seed, policy(name), script(text))
    world.run()
    return world


def test_a_seed_gives_one_day_on_any_machine() -> None:
    # A policy that no change of the module touches; where the model changes on purpose, so does this line.
    text = draw_day("crash+herd", 7, 6.0)
    world = played("hash", text, 7)
    assert digest(world) == digest(played("hash", text, 7))
    assert digest(world) == "09f1183039291cd39d35a5245254a09e"
    assert digest(world) != digest(played("hash", text, 8))


def test_the_module_plays_one_day_twice_alike() -> None:
    text = draw_day("vanish+flush", 3, 6.0)
    assert digest(played("module", text, 3)) == digest(played("module", text, 3))


def test_streams_do_not_disturb_each_other() -> None:
    one, other = RandomStreams(5), RandomStreams(5)
    alone = [one.stream("arrivals").uniform() for _ in range(5)]
    for _ in range(700):
        other.stream("front").uniform()
    assert alone == [other.stream("arrivals").uniform() for _ in range(5)]
    assert alone != [RandomStreams(6).stream("arrivals").uniform() for _ in range(5)]


def test_every_policy_meets_the_same_clients() -> None:
    asked = {
        name: played(name, "(at 1s (slow caches 9x for 3s))").clients.utility.asked
        for name in ("module", "random")
    }
    assert asked["module"] == asked["random"]


@settings(deadline=None, max_examples=60)
@given(
    st.lists(st.tuples(st.integers(0, 50_000), st.integers(1, 80_000)), min_size=1, max_size=30),
    st.floats(0.5, 6),
)
def test_a_link_gives_each_its_share_and_loses_none(flows: list[tuple[int, int]], room: float) -> None:
    agenda, ended = EventQueue(), list[tuple[int, int, int]]()
    link = Link(agenda, room)

    def begin(at: int, size: int) -> None:
        link.start(size, lambda: ended.append((at, size, agenda.now)))

    for at, size in flows:
        agenda.schedule(at, begin, at, size)
    agenda.run_until(60 * SECOND_US)
    assert len(ended) == len(flows) and link.active == 0
    for at, size, end in ended:
        assert end >= at + size - 1, "quicker than its own pace"
    # All together no sooner than the link could carry them, and no later than one after another.
    total, first = sum(size for _, size in flows), min(at for at, _ in flows)
    last = max(end for _, _, end in ended)
    assert last + len(flows) >= first + total / max(room, len(flows))
    assert last <= max(at for at, _ in flows) + total / min(1.0, room) + 3 * len(flows)


def test_a_stopped_transfer_frees_its_share() -> None:
    agenda, ended = EventQueue(), list[str]()
    link = Link(agenda, 1.0)
    first = link.start(100_000, ended.append, "first")
    link.start(100_000, ended.append, "second")
    agenda.run_until(100_000)
    link.cancel(first)
    agenda.run_until(151_000)
    assert ended == ["second"]


def test_a_keep_evicts_its_lowest_rank_first_and_never_a_higher_one() -> None:
    keep = CacheStorage(30.0)
    assert keep.put(("a", 0), 1, 10, 3) and keep.put(("b", 0), 1, 10, 1) and keep.put(("c", 0), 1, 10, 1)
    keep.touch(("b", 0), 0)
    assert keep.put(("d", 0), 1, 10, 2)
    assert keep.peek(("c", 0)) is None and keep.peek(("b", 0)) is not None
    assert keep.put(("e", 0), 1, 10, 2) and not keep.put(("f", 0), 1, 20, 1)
    assert keep.peek(("a", 0)) is not None and keep.used_kb == 30 and len(keep) == 3
    assert not keep.put(("g", 0), 1, 40, 3)


@pytest.mark.parametrize(
    ("text", "found", "expected"),
    [
        ("(at 3s (slow orgin 4x for 2s))", "orgin", "a target"),
        ("(at 3s (slo origin 4x for 2s))", "unknown fault 'slo'", "'slow'"),
        ("(at 3s (slow origin 4x for))", "3 words", "for"),
        ("(at 3s (slow origin 4x during 2s))", "during", "the word 'for'"),
        ("(at soon (slow origin 4x for 2s))", "soon", "a time"),
        ("(slow origin 4x for 2s)", "slow", "(at TIME"),
        ("(at 3s (slow origin 0x for 2s))", "0x", "a multiple"),
        ("(at 3s (slow origin 4x for 2s)", "never closed", "')'"),
    ],
)
def test_a_script_says_what_is_wrong_and_where(text: str, found: str, expected: str) -> None:
    with pytest.raises(ConfigurationError) as wrong:
        script(text, "day.sexp")
    line = str(wrong.value).splitlines()[0]
    assert line.startswith("day.sexp:1:") and found in line and expected in line.split("expected")[1]


def test_a_script_that_this_world_can_not_play() -> None:
    rows = script("(at 1s (herd pgae 0.5 objects 1 for 2s)) (at 2s (cut z9 hub for 1s))")
    assert len(unsupported(rows, SMALL)) == 2 and not unsupported(script(draw_day("any", 4, 6.0)), SMALL)


def test_an_older_text_decides_by_its_own_files_and_leaves_todays_in_place() -> None:
    root, now = Path(hoistplank.__file__).parents[1], sys.modules["hoistplank.decision.router"]
    text = draw_day("crash+herd", 4, 6.0)
    world = build_world(SMALL, 4, policy("text-0000", {"0000": root}), script(text))
    world.run()
    assert load_router(root, "0000") is not Router and sys.modules["hoistplank.decision.router"] is now
    assert digest(world) == digest(played("module", text, 4))
    with pytest.raises(UnknownPolicyError, match="no hoistplank/decision"):
        load_router(root / "tests", "0001")


def test_an_unknown_policy_or_day_names_what_there_is() -> None:
    with pytest.raises(UnknownPolicyError, match="without-silence"):
        policy("modul")
    with pytest.raises(ValueError, match="origin-slow"):
        draw_day("origin-slwo", 1, 6.0)


@pytest.mark.parametrize("day", ["calm", *sorted(DAYS)])
def test_each_day_keeps_the_rules_and_accounts_for_every_request(day: str) -> None:
    text = draw_day(day, 2, 6.0)
    world = played("module", text, 2)
    utility = world.clients.utility
    assert not world.rules.violations, f"{text}: {world.rules.violations}"
    assert sum(utility.earned) + sum(utility.lost_by_cause.values()) == pytest.approx(
        sum(utility.asked)
    ), text
    assert not world.clients.open and (day == "calm") == (not world.fault_log)


def test_every_kind_of_fault_is_in_some_day_or_here() -> None:
    rest = """(at 1s (refuse c0-1 0.5 for 1s) (purge group 3) (clock 0.5 -2s))
      (at 1s (logstop for 3s) (stall z0:0.5 for 1s))
      (at 2s (drain cell-0 for 1s) (reset parents 0.3 for 2s))"""
    texts = [draw_day(day, 2, 6.0) for day in DAYS]
    seen = {row.kind for text in [*texts, rest] for row in script(text)}
    assert seen == set(KINDS)
    assert not played("module", rest, 2).rules.violations


@pytest.mark.parametrize("name", sorted(BROKEN))
def test_a_checker_fires_on_a_dispatcher_made_for_it(name: str) -> None:
    rule, kind = BROKEN[name]
    text = {
        2: "(at 1s (reset origin 0.6 for 5s))",
        3: "(at 1s (drain caches:0.5 for 4s))",
        4: "(at 500ms (crash caches:0.17 for 500ms))",
        5: "(at 1s (flush 1)) (at 3s (flush 1))",
    }.get(rule, "(at 1s (crash caches:0.5 for 4s))")
    shape = (
        scaled_settings(6, 2, 1, 60.0, seconds=6.0)
        if rule != 4
        else scaled_settings(6, 2, 1, 200.0, load=2.0, seconds=6.0)
    )
    world = build_world(shape, 2, broken(kind), script(text))
    world.run()
    assert world.rules.counts[rule] > 0, world.rules.counts
    assert not played("module", text, 2, shape).rules.violations


def test_a_cold_host_that_is_pushed_over_falls_and_comes_back() -> None:
    shape = scaled_settings(6, 2, 1, 200.0, load=2.0, seconds=6.0)
    world = build_world(
        shape, 2, broken(BROKEN["loves-new"][1]), script("(at 500ms (crash caches:0.17 for 500ms))")
    )
    world.run()
    assert any(one.overload_crashes for one in world.caches) and all(
        one.phase == "up" for one in world.caches
    )


class Told:
    def __init__(self) -> None:
        self.ends: list[tuple[int, int, int]] = []

    def __call__(self, result: int, note: int, born: int) -> None:
        self.ends.append((result, note, born))


def asked(world: World, host: Server, object_key: str, **more: Any) -> Told:
    told = Told()
    ask = ServerRequest(0, 0, 0, (object_key, 0), 1, 40_000.0, told)
    ask.source = "p0"
    for name, value in more.items():
        setattr(ask, name, value)
    host.arrive(ask)
    return told


def test_a_fill_in_flight_when_its_parent_goes() -> None:
    world = World(SMALL, 1)
    host, parent = world.caches[0], world.servers["p0"]
    told = asked(world, host, "x")
    world.events.run_until(20_000)
    parent.stop()
    world.events.run_until(3 * SECOND_US)
    assert [row[0] for row in told.ends] == [Outcome.ERROR] and not host.fills and host.active_fills == 0


def test_requests_join_a_fill_unless_it_began_before_what_they_may_get() -> None:
    world = World(SMALL, 1)
    host = world.caches[0]
    first, second = asked(world, host, "x"), asked(world, host, "x", may_join=True)
    world.events.run_until(30_000)
    late = asked(world, host, "x", may_join=True, max_age_us=1)
    world.events.run_until(3 * SECOND_US)
    assert [told.ends[0][0] for told in (first, second, late)] == [Outcome.SUCCEEDED] * 3
    assert host.joined_requests == 1 and host.completed_fills == 2


def test_a_herd_and_a_drain_on_one_tick() -> None:
    world = played("module", "(at 2s (herd page 0.9 objects 1 for 3s) (drain c0-0 for 3s))", 5)
    assert not world.rules.violations and world.clients.utility.score() > 0.5


def test_a_cold_host_that_falls_over_ends_every_ask_once() -> None:
    world = World(SMALL, 1)
    host = world.caches[0]
    world.crash_server(host, 1_000)
    world.events.run_until(2_000)
    assert host.phase == "up" and host.uid in world.rules.colds.warming
    told = [asked(world, host, f"{n:016x}") for n in range(600)]
    probed = asked(world, host, "0" * 16, source=host.uid)
    world.events.run_until(20 * SECOND_US)
    assert host.overload_crashes >= 1 and all(len(one.ends) == 1 for one in (*told, probed))
    assert {one.ends[0][0] for one in told} >= {Outcome.CONNECTION_LOST, Outcome.CONNECT_FAILED}


class Nowhere:
    """A front that takes requests and never answers."""

    def __init__(self) -> None:
        self.taken: list[Request] = []
        self.left: list[Request] = []

    def deliver(self, request: Request) -> bool:
        self.taken.append(request)
        return True

    def abandon(self, request: Request) -> None:
        self.left.append(request)


@pytest.mark.parametrize("late", [False, True])
def test_an_answer_written_as_the_client_gives_up_counts_once(late: bool) -> None:
    agenda, streams, front = EventQueue(), RandomStreams(3), Nowhere()
    shape = scaled_settings(6, 2, 1, 20.0, seconds=2.0)
    clients = Clients(agenda, shape, streams, ObjectCatalog(shape, streams), front)
    clients.begin()
    while not front.taken:
        agenda.run_until(agenda.next_time() or 0)
    request = front.taken[0]
    end = request.give_up_at + ANSWER_GRACE_US
    agenda.schedule(end, clients.answered, request.id, SERVED)  # behind the giving up at the same microsecond
    if not late:
        agenda.schedule(end - 1, clients.answered, request.id, SERVED)
    agenda.run_until(end + SECOND_US)
    assert request.done and (request in front.left) == late
    utility = clients.utility
    agenda.run_until(60 * SECOND_US)
    assert sum(utility.earned) + sum(utility.lost_by_cause.values()) == pytest.approx(sum(utility.asked))


def test_two_dispatchers_meet_only_in_the_load_they_cause() -> None:
    shape = scaled_settings(6, 2, 1, 120.0, load=0.9, seconds=8.0)
    both = build_world(shape, 4, policy("module"))
    one = build_world(shape, 4, policy("module"), script("(at 0s (kill 0.5 for 8s))"))
    both.run()
    one.run()
    assert not both.rules.violations and not one.rules.violations
    for world in (both, one):
        seconds = world.events.now / SECOND_US
        assert world.zone_links[0].carried_us / SECOND_US <= shape.zone_link * seconds
    # The one that lives gets all clients, but keeps a half of the link for the other: it must lose by it.
    assert one.clients.utility.score() <= both.clients.utility.score() + 0.02
    assert one.clients.utility.score() > 0.4


@settings(deadline=None)
@given(
    st.integers(-5 * SECOND_US, 5 * SECOND_US),
    st.lists(st.tuples(st.integers(0, SECOND_US), st.integers(0, 2 * SECOND_US)), min_size=1),
)
def test_a_log_dated_by_another_clock_is_never_taken_as_older_than_it_is(
    ahead: int, rows: list[tuple[int, int]]
) -> None:
    clock, true = ClockOffset(), 100 * SECOND_US
    for wait, late in rows:
        true += wait
        heard = true + late + ahead  # by our clock, which runs ahead of the log's
        ours = clock.to_local_us(heard, true)
        assert ours >= true + max(0, ahead), (ahead, rows)
        assert ours <= max(heard, true)


def test_a_dispatcher_whose_clock_is_wrong_keeps_to_purges() -> None:
    # With the log's time taken as ours, twelve requests got copies older than their purge (clock ahead).
    for step in ("2s", "-2s"):
        text = f"(at 0s (clock 1 {step})) (at 2s (flush 1)) (at 4s (flush 1))"
        assert not played("module", text, 2).rules.violations, step


def test_a_dispatcher_whose_core_is_full_serves_less() -> None:
    free = played("module", "", 3, SMALL).clients.utility.score()
    full = played("module", "", 3, replace(SMALL, event_cpu_us=12_000))
    assert full.clients.utility.score() < free - 0.1 and not full.rules.violations


def test_a_copy_near_its_end_is_renewed_behind_its_answer() -> None:
    world = World(SMALL, 1)
    host = world.caches[0]
    asked(world, host, "x")
    world.events.run_until(SMALL.classes[0].fresh_us * 9 // 10)
    plain = asked(world, host, "x")
    world.events.run_until(world.events.now + SECOND_US)
    assert plain.ends[0][1] == CacheStatus.HIT and host.completed_fills == 1
    renewed = asked(world, host, "x", may_renew=True)
    world.events.run_until(world.events.now + SECOND_US)
    assert renewed.ends[0][1] == CacheStatus.HIT and host.completed_fills == 2
    born = host.storage.peek(("x", 0))
    assert born is not None and born.created > renewed.ends[0][2]
