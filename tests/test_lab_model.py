"""The simulated world: random streams, links, storage, fault scripts, days of a seed and rule checkers."""

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


def factory_of(kind: Any) -> PolicyFactory:
    return lambda site, seed, world: kind(site, seed)


def run_world(name: str, text: str = "", seed: int = 1, world_settings: WorldSettings = SMALL) -> World:
    world = build_world(world_settings, seed, policy(name), script(text))
    world.run()
    return world


def test_a_seed_gives_the_same_day_on_any_machine() -> None:
    # The policy is independent of the router. The digest is updated when the model changes on purpose.
    text = draw_day("crash+herd", 7, 6.0)
    world = run_world("hash", text, 7)
    assert digest(world) == digest(run_world("hash", text, 7))
    assert digest(world) == "09f1183039291cd39d35a5245254a09e"
    assert digest(world) != digest(run_world("hash", text, 8))


def test_the_router_is_deterministic_for_a_seed() -> None:
    text = draw_day("vanish+flush", 3, 6.0)
    assert digest(run_world("module", text, 3)) == digest(run_world("module", text, 3))


def test_random_streams_are_independent() -> None:
    one, other = RandomStreams(5), RandomStreams(5)
    alone = [one.stream("arrivals").uniform() for _ in range(5)]
    for _ in range(700):
        other.stream("front").uniform()
    assert alone == [other.stream("arrivals").uniform() for _ in range(5)]
    assert alone != [RandomStreams(6).stream("arrivals").uniform() for _ in range(5)]


def test_every_policy_gets_the_same_requests() -> None:
    requested = {
        name: run_world(name, "(at 1s (slow caches 9x for 3s))").clients.utility.asked
        for name in ("module", "random")
    }
    assert requested["module"] == requested["random"]


@settings(deadline=None, max_examples=60)
@given(
    st.lists(st.tuples(st.integers(0, 50_000), st.integers(1, 80_000)), min_size=1, max_size=30),
    st.floats(0.5, 6),
)
def test_a_link_shares_its_capacity_equally_and_completes_every_transfer(
    transfers: list[tuple[int, int]], capacity: float
) -> None:
    events, ended = EventQueue(), list[tuple[int, int, int]]()
    link = Link(events, capacity)

    def start(at: int, size: int) -> None:
        link.start(size, lambda: ended.append((at, size, events.now)))

    for at, size in transfers:
        events.schedule(at, start, at, size)
    events.run_until(60 * SECOND_US)
    assert len(ended) == len(transfers) and link.active == 0
    for at, size, ended_at in ended:
        assert ended_at >= at + size - 1, "faster than the full rate of one transfer"
    # The last ends no sooner than the capacity allows, and no later than if all ran one after another.
    total, first = sum(size for _, size in transfers), min(at for at, _ in transfers)
    last = max(ended_at for _, _, ended_at in ended)
    assert last + len(transfers) >= first + total / max(capacity, len(transfers))
    assert last <= max(at for at, _ in transfers) + total / min(1.0, capacity) + 3 * len(transfers)


def test_a_cancelled_transfer_frees_its_share() -> None:
    events, ended = EventQueue(), list[str]()
    link = Link(events, 1.0)
    first = link.start(100_000, ended.append, "first")
    link.start(100_000, ended.append, "second")
    events.run_until(100_000)
    link.cancel(first)
    events.run_until(151_000)
    assert ended == ["second"]


def test_storage_evicts_the_lowest_rank_first_and_never_a_higher_one() -> None:
    storage = CacheStorage(30.0)
    assert (
        storage.put(("a", 0), 1, 10, 3)
        and storage.put(("b", 0), 1, 10, 1)
        and storage.put(("c", 0), 1, 10, 1)
    )
    storage.touch(("b", 0), 0)
    assert storage.put(("d", 0), 1, 10, 2)
    assert storage.peek(("c", 0)) is None and storage.peek(("b", 0)) is not None
    assert storage.put(("e", 0), 1, 10, 2) and not storage.put(("f", 0), 1, 20, 1)
    assert storage.peek(("a", 0)) is not None and storage.used_kb == 30 and len(storage) == 3
    assert not storage.put(("g", 0), 1, 40, 3)


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
def test_script_errors_name_the_place_and_what_was_expected(text: str, found: str, expected: str) -> None:
    with pytest.raises(ConfigurationError) as error:
        script(text, "day.sexp")
    line = str(error.value).splitlines()[0]
    assert line.startswith("day.sexp:1:") and found in line and expected in line.split("expected")[1]


def test_unsupported_names_unknown_classes_and_zones() -> None:
    rows = script("(at 1s (herd pgae 0.5 objects 1 for 2s)) (at 2s (cut z9 hub for 1s))")
    assert len(unsupported(rows, SMALL)) == 2 and not unsupported(script(draw_day("any", 4, 6.0)), SMALL)


def test_an_older_revision_uses_its_own_modules_and_keeps_the_current_ones() -> None:
    root, current_module = Path(hoistplank.__file__).parents[1], sys.modules["hoistplank.decision.router"]
    text = draw_day("crash+herd", 4, 6.0)
    world = build_world(SMALL, 4, policy("text-0000", {"0000": root}), script(text))
    world.run()
    assert (
        load_router(root, "0000") is not Router
        and sys.modules["hoistplank.decision.router"] is current_module
    )
    assert digest(world) == digest(run_world("module", text, 4))
    with pytest.raises(UnknownPolicyError, match="no hoistplank/decision"):
        load_router(root / "tests", "0001")


def test_errors_for_unknown_policies_and_days_list_the_known_ones() -> None:
    with pytest.raises(UnknownPolicyError, match="without-silence"):
        policy("modul")
    with pytest.raises(ValueError, match="origin-slow"):
        draw_day("origin-slwo", 1, 6.0)


@pytest.mark.parametrize("day", ["calm", *sorted(DAYS)])
def test_each_day_has_no_violations_and_accounts_for_every_request(day: str) -> None:
    text = draw_day(day, 2, 6.0)
    world = run_world("module", text, 2)
    utility = world.clients.utility
    assert not world.rules.violations, f"{text}: {world.rules.violations}"
    assert sum(utility.earned) + sum(utility.lost_by_cause.values()) == pytest.approx(
        sum(utility.asked)
    ), text
    assert not world.clients.open and (day == "calm") == (not world.fault_log)


def test_every_kind_of_fault_is_covered_without_violations() -> None:
    other_faults = """(at 1s (refuse c0-1 0.5 for 1s) (purge group 3) (clock 0.5 -2s))
      (at 1s (logstop for 3s) (stall z0:0.5 for 1s))
      (at 2s (drain cell-0 for 1s) (reset parents 0.3 for 2s))"""
    texts = [draw_day(day, 2, 6.0) for day in DAYS]
    seen = {row.kind for text in [*texts, other_faults] for row in script(text)}
    assert seen == set(KINDS)
    assert not run_world("module", other_faults, 2).rules.violations


@pytest.mark.parametrize("name", sorted(BROKEN))
def test_each_checker_detects_the_faulty_dispatcher_for_its_rule(name: str) -> None:
    rule, router_type = BROKEN[name]
    text = {
        2: "(at 1s (reset origin 0.6 for 5s))",
        3: "(at 1s (drain caches:0.5 for 4s))",
        4: "(at 500ms (crash caches:0.17 for 500ms))",
        5: "(at 1s (flush 1)) (at 3s (flush 1))",
    }.get(rule, "(at 1s (crash caches:0.5 for 4s))")
    world_settings = (
        scaled_settings(6, 2, 1, 60.0, seconds=6.0)
        if rule != 4
        else scaled_settings(6, 2, 1, 200.0, load=2.0, seconds=6.0)
    )
    world = build_world(world_settings, 2, factory_of(router_type), script(text))
    world.run()
    assert world.rules.counts[rule] > 0, world.rules.counts
    assert not run_world("module", text, 2, world_settings).rules.violations


def test_an_overloaded_cold_host_crashes_and_restarts() -> None:
    world_settings = scaled_settings(6, 2, 1, 200.0, load=2.0, seconds=6.0)
    world = build_world(
        world_settings,
        2,
        factory_of(BROKEN["loves-new"][1]),
        script("(at 500ms (crash caches:0.17 for 500ms))"),
    )
    world.run()
    assert any(host.overload_crashes for host in world.caches) and all(
        host.phase == "up" for host in world.caches
    )


class CompletionRecorder:
    def __init__(self) -> None:
        self.results: list[tuple[int, int, int]] = []

    def __call__(self, result: int, note: int, created: int) -> None:
        self.results.append((result, note, created))


def send_request(world: World, host: Server, object_key: str, **attributes: Any) -> CompletionRecorder:
    completion = CompletionRecorder()
    request = ServerRequest(0, 0, 0, (object_key, 0), 1, 40_000.0, completion)
    request.source = "p0"
    for name, value in attributes.items():
        setattr(request, name, value)
    host.arrive(request)
    return completion


def test_a_fill_fails_when_its_parent_stops() -> None:
    world = World(SMALL, 1)
    host, parent = world.caches[0], world.servers["p0"]
    completion = send_request(world, host, "x")
    world.events.run_until(20_000)
    parent.stop()
    world.events.run_until(3 * SECOND_US)
    assert (
        [row[0] for row in completion.results] == [Outcome.ERROR]
        and not host.fills
        and host.active_fills == 0
    )


def test_requests_join_a_fill_unless_its_copy_may_be_too_old() -> None:
    world = World(SMALL, 1)
    host = world.caches[0]
    first, second = send_request(world, host, "x"), send_request(world, host, "x", may_join=True)
    world.events.run_until(30_000)
    late = send_request(world, host, "x", may_join=True, max_age_us=1)
    world.events.run_until(3 * SECOND_US)
    assert [completion.results[0][0] for completion in (first, second, late)] == [Outcome.SUCCEEDED] * 3
    assert host.joined_requests == 1 and host.completed_fills == 2


def test_a_herd_and_a_drain_at_the_same_time_cause_no_violations() -> None:
    world = run_world("module", "(at 2s (herd page 0.9 objects 1 for 3s) (drain c0-0 for 3s))", 5)
    assert not world.rules.violations and world.clients.utility.score() > 0.5


def test_a_cold_host_that_crashes_completes_every_request_once() -> None:
    world = World(SMALL, 1)
    host = world.caches[0]
    world.crash_server(host, 1_000)
    world.events.run_until(2_000)
    assert host.phase == "up" and host.uid in world.rules.colds.warming
    completions = [send_request(world, host, f"{n:016x}") for n in range(600)]
    probed = send_request(world, host, "0" * 16, source=host.uid)
    world.events.run_until(20 * SECOND_US)
    assert host.overload_crashes >= 1 and all(
        len(completion.results) == 1 for completion in (*completions, probed)
    )
    assert {completion.results[0][0] for completion in completions} >= {
        Outcome.CONNECTION_LOST,
        Outcome.CONNECT_FAILED,
    }


class UnresponsiveSink:
    """A load balancer that accepts requests and never responds."""

    def __init__(self) -> None:
        self.accepted: list[Request] = []
        self.abandoned: list[Request] = []

    def deliver(self, request: Request) -> bool:
        self.accepted.append(request)
        return True

    def abandon(self, request: Request) -> None:
        self.abandoned.append(request)


@pytest.mark.parametrize("late", [False, True])
def test_a_response_sent_as_the_client_gives_up_is_counted_once(late: bool) -> None:
    events, streams, sink = EventQueue(), RandomStreams(3), UnresponsiveSink()
    world_settings = scaled_settings(6, 2, 1, 20.0, seconds=2.0)
    clients = Clients(events, world_settings, streams, ObjectCatalog(world_settings, streams), sink)
    clients.begin()
    while not sink.accepted:
        events.run_until(events.next_time() or 0)
    request = sink.accepted[0]
    end_at = request.give_up_at + ANSWER_GRACE_US
    events.schedule(end_at, clients.answered, request.id, SERVED)  # runs after the client gave up
    if not late:
        events.schedule(end_at - 1, clients.answered, request.id, SERVED)
    events.run_until(end_at + SECOND_US)
    assert request.done and (request in sink.abandoned) == late
    utility = clients.utility
    events.run_until(60 * SECOND_US)
    assert sum(utility.earned) + sum(utility.lost_by_cause.values()) == pytest.approx(sum(utility.asked))


def test_losing_one_of_two_dispatchers_does_not_raise_utility() -> None:
    world_settings = scaled_settings(6, 2, 1, 120.0, load=0.9, seconds=8.0)
    two_dispatchers = build_world(world_settings, 4, policy("module"))
    one_dispatcher = build_world(world_settings, 4, policy("module"), script("(at 0s (kill 0.5 for 8s))"))
    two_dispatchers.run()
    one_dispatcher.run()
    assert not two_dispatchers.rules.violations and not one_dispatcher.rules.violations
    for world in (two_dispatchers, one_dispatcher):
        seconds = world.events.now / SECOND_US
        assert world.zone_links[0].carried_us / SECOND_US <= world_settings.zone_link * seconds
    # The remaining dispatcher gets all clients but reserves half of the link for the other: it loses utility.
    assert one_dispatcher.clients.utility.score() <= two_dispatchers.clients.utility.score() + 0.02
    assert one_dispatcher.clients.utility.score() > 0.4


@settings(deadline=None)
@given(
    st.integers(-5 * SECOND_US, 5 * SECOND_US),
    st.lists(st.tuples(st.integers(0, SECOND_US), st.integers(0, 2 * SECOND_US)), min_size=1),
)
def test_clock_offset_never_makes_log_times_older_than_they_are(
    offset_us: int, messages: list[tuple[int, int]]
) -> None:
    clock, log_time = ClockOffset(), 100 * SECOND_US
    for interval_us, delay_us in messages:
        log_time += interval_us
        received_at = log_time + delay_us + offset_us  # by the local clock, which runs ahead of the log's
        local_time = clock.to_local_us(received_at, log_time)
        assert local_time >= log_time + max(0, offset_us), (offset_us, messages)
        assert local_time <= max(received_at, log_time)


def test_a_dispatcher_with_a_stepped_clock_applies_purges() -> None:
    # With the log's time taken as local, twelve requests got copies older than their purge (clock ahead).
    for step in ("2s", "-2s"):
        text = f"(at 0s (clock 1 {step})) (at 2s (flush 1)) (at 4s (flush 1))"
        assert not run_world("module", text, 2).rules.violations, step


def test_a_dispatcher_with_a_saturated_core_earns_less_utility() -> None:
    free = run_world("module", "", 3, SMALL).clients.utility.score()
    full = run_world("module", "", 3, replace(SMALL, event_cpu_us=12_000))
    assert full.clients.utility.score() < free - 0.1 and not full.rules.violations


def test_a_copy_near_expiry_is_renewed_in_the_background() -> None:
    world = World(SMALL, 1)
    host = world.caches[0]
    send_request(world, host, "x")
    world.events.run_until(SMALL.classes[0].fresh_us * 9 // 10)
    plain = send_request(world, host, "x")
    world.events.run_until(world.events.now + SECOND_US)
    assert plain.results[0][1] == CacheStatus.HIT and host.completed_fills == 1
    renewed = send_request(world, host, "x", may_renew=True)
    world.events.run_until(world.events.now + SECOND_US)
    assert renewed.results[0][1] == CacheStatus.HIT and host.completed_fills == 2
    copy = host.storage.peek(("x", 0))
    assert copy is not None and copy.created > renewed.results[0][2]
