"""Any history of a change log, replicas that lag behind it, and a dispatcher that moves between them."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from hoistplank.distribution.follower_state import FollowerState, Verdict
from hoistplank.distribution.messages import (
    ALL_OBJECTS_BUCKET,
    CatchUp,
    Configuration,
    ReplicatedEvent,
    encode,
)
from hoistplank.distribution.state import ReplicatedState
from hoistplank.distribution.versions import NOTHING, Version
from hoistplank.protocol.changelog import Fleet, Purge, Target
from tests.distribution_mirror import HORIZON, KEYS, UIDS, Mirror, S, listed, target


class Told(NamedTuple):
    """One event of the log; the epoch rises where `is_anew`."""

    is_anew: bool
    event: ReplicatedEvent


targets = st.builds(
    target, st.sampled_from(UIDS), st.sampled_from(("ready", "draining", "gone")), st.sampled_from((1.0, 2.0))
)


fleets = st.builds(Fleet, all=st.booleans(), targets=st.lists(targets, max_size=3, unique_by=lambda t: t.uid))


purges = st.builds(Purge, st.integers(1, 9).map(float), st.sampled_from(KEYS)) | st.builds(
    Purge, st.integers(1, 9).map(float), bucket=st.sampled_from((ALL_OBJECTS_BUCKET, 3))
)


configurations = st.builds(Configuration, st.sampled_from(("(a)", "(b)", "(c)")))


contents = (
    st.builds(ReplicatedEvent, st.just(0), fleet=fleets)
    | st.builds(ReplicatedEvent, st.just(0), invalidate=purges)
    | st.builds(ReplicatedEvent, st.just(0), configuration=configurations)
    | st.builds(ReplicatedEvent, st.just(0), fleet=fleets, invalidate=purges, configuration=configurations)
)


histories = st.lists(
    st.builds(Told, st.integers(0, 7).map(lambda n: n == 0), contents), min_size=1, max_size=25
)


def numbered(history: list[Told]) -> list[ReplicatedEvent]:
    """The events with their versions; the first brings a whole list, as a log does."""
    epoch, number, made = 1, 0, list[ReplicatedEvent]()
    for told in [Told(False, ReplicatedEvent(0, fleet=listed("a", "b"))), *history]:
        epoch, number = (epoch + 1, 1) if told.is_anew else (epoch, number + 1)
        event = told.event
        made.append(ReplicatedEvent(number, epoch, 0, event.fleet, event.invalidate, event.configuration))
    return made


class Truth(NamedTuple):
    """What one who heard every event up to `version` holds."""

    version: Version
    hosts: dict[str, Target]
    purges: dict[str | int, float]
    configuration: str | None


def truths(events: list[ReplicatedEvent]) -> list[Truth]:
    """The state after each event, worked out in the plainest way."""
    hosts, floors, text = dict[str, Target](), dict[str | int, float](), None
    departed = dict[str, tuple[float, int]]()
    made = [Truth(NOTHING, {}, {}, None)]
    for event in events:
        if event.fleet is not None:
            hosts = {} if event.fleet.all else hosts
            for row in event.fleet.targets:
                boot_ms, epoch = departed.get(row.uid, (-1.0, 0))
                if row.state != "ready":
                    departed[row.uid] = (row.boot_ms, event.epoch)
                elif boot_ms == row.boot_ms and epoch < event.epoch:
                    row = target(row.uid, "draining", row.boot_ms)
                else:
                    departed.pop(row.uid, None)
                hosts = {uid: held for uid, held in hosts.items() if uid != row.uid}
                if row.state != "gone":
                    hosts[row.uid] = row
        if event.invalidate is not None:
            key = event.invalidate.object or event.invalidate.bucket
            floors = floors | {key: max(event.invalidate.time, floors.get(key, 0.0))}
        if event.configuration is not None:
            text = event.configuration.text
        made.append(Truth(event.version, hosts, floors, text))
    return made


def check_in_force(mirror: Mirror, known: list[Truth]) -> None:
    """All that is acknowledged is applied: nothing held is of before the version in force."""
    version = mirror.follower.acknowledgement().version.to_version()
    since = [truth for truth in known if truth.version >= version]
    for uid in UIDS:
        as_of = mirror.as_of.get(uid, NOTHING)
        states = [truth.hosts.get(uid) for truth in since if truth.version >= as_of]
        assert mirror.hosts.get(uid) in states, f"{uid} is as before {version} or {as_of}"
    for key, time in since[0].purges.items():
        assert mirror.floor(key) >= time, f"the purge of {key} is not held at {version}"
    assert mirror.configuration in [truth.configuration for truth in since]


class Move(NamedTuple):
    """A step of the walk: a replica hears events, and the dispatcher follows it or hears on."""

    replica: int
    hears: int
    connects: bool
    lines: int | None  # so many lines come, then the connection breaks off


moves = st.lists(
    st.builds(Move, st.integers(0, 2), st.integers(0, 4), st.booleans(), st.none() | st.integers(0, 6)),
    max_size=40,
)


@given(histories, moves, st.integers(0, 3), st.integers(1, 5))
@settings(max_examples=400, deadline=None)
def test_catch_up_from_any_version_ends_as_hearing_every_event(
    history: list[Told], walk: list[Move], tombstones: int, max_purges: int
) -> None:
    events = numbered(history)
    known = truths(events)
    replicas = [ReplicatedState(HORIZON, tombstones, max_purges) for _ in range(3)]
    heard = [0, 0, 0]
    mirror, followed, sent, is_current = Mirror(), -1, NOTHING, False
    now, before = 0, mirror.follower.acknowledgement()
    for move in walk:
        now += 100_000
        replica = replicas[move.replica]
        for event in events[heard[move.replica] :][: move.hears]:
            assert replica.apply(now, event) and not replica.apply(now, event)
            heard[move.replica] += 1
        verdicts = list[Verdict]()
        if move.connects or followed != move.replica:
            verdicts = mirror.follow(now, replica, move.lines)
            assert Verdict.GAP not in verdicts, "asked for at what is held"
            followed = move.replica if move.lines is None else -1
            is_current = Verdict.BEHIND not in verdicts
        else:
            lines = replica.lines_since(sent)[: move.lines]
            if move.lines is None:  # else the connection has broken off
                lines.append(encode(replica.heartbeat_for(replica.version)))
            verdicts = [mirror.hear(now, line) for line in lines]
            assert not (is_current and Verdict.GAP in verdicts)
            followed = -1 if move.lines is not None or Verdict.GAP in verdicts else followed
        sent = replica.version
        check_in_force(mirror, known)
        said = mirror.follower.acknowledgement()
        assert said.version.to_version() >= before.version.to_version(), "in force went back"
        assert said.configuration.to_version() >= before.configuration.to_version()
        before = said
    for event in events[heard[0] :]:
        replicas[0].apply(now, event)
    assert Verdict.GAP not in mirror.follow(now, replicas[0])
    assert mirror.follower.received == known[-1].version
    assert mirror.follower.acknowledgement().version.to_version() == known[-1].version
    assert mirror.hosts == known[-1].hosts
    assert mirror.configuration == known[-1].configuration
    assert all(mirror.floor(key) >= time for key, time in known[-1].purges.items())
    made = known[-1].purges
    if len(made) <= max_purges:
        assert mirror.purges == made
    assert all(time <= max(made.values()) for time in mirror.purges.values()), "made up"


pauses = st.sampled_from((0, 1, 7 * S, 20 * S, HORIZON, HORIZON + 1))


@given(
    st.lists(st.tuples(pauses, st.sampled_from((*KEYS, "r", "s")), st.integers(1, 99)), max_size=60),
    st.integers(1, 6),
)
@settings(max_examples=200, deadline=None)
def test_purges_last_for_the_horizon_and_are_bounded_at_any_order(
    told: list[tuple[int, str, int]], most: int
) -> None:
    state, now, fits = ReplicatedState(HORIZON, max_purges=most), 0, True
    state.apply(0, ReplicatedEvent(1, 1, fleet=listed("a")))
    heard = list[tuple[int, str, float]]()
    model = OrderedDict[str, tuple[float, int]]()  # the newest of each, until the horizon after its last
    for number, (pause, key, time) in enumerate(told, 2):
        now += pause
        state.apply(now, ReplicatedEvent(number, 1, invalidate=Purge(float(time), key)))
        model = OrderedDict((k, v) for k, v in model.items() if v[1] >= now - HORIZON)
        model[key] = max(float(time), model.pop(key, (0.0, 0))[0]), now
        heard.append((now, key, float(time)))
        mirror = Mirror()
        mirror.follow(now, state)
        assert all(
            mirror.floor(k) >= made for at, k, made in heard if at >= now - HORIZON
        ), "a purge was lost"
        assert set(mirror.purges) <= {*model, ALL_OBJECTS_BUCKET}, "beyond the horizon"
        assert pause <= HORIZON or set(mirror.purges) == {key}, "all that was told before is beyond it"
        assert len(mirror.purges) <= most + 1 and state.size().purges <= most + 1
        fits = fits and len(model) <= most
        if fits:
            assert mirror.purges == {k: v[0] for k, v in model.items()}


versions = st.builds(Version, st.integers(1, 3), st.integers(0, 6))


lines = st.builds(
    ReplicatedEvent,
    st.integers(0, 6),
    st.integers(1, 3),
    st.integers(0, 6),
    invalidate=st.none() | purges,
    configuration=st.none() | configurations,
    catch_up=st.none() | st.sampled_from(CatchUp),
)


@given(st.lists(lines | versions | st.sampled_from(("connects", "refuses", "takes")), max_size=60))
@settings(max_examples=300, deadline=None)
def test_in_force_never_goes_back_whatever_a_replica_or_the_caller_says(
    walk: list[ReplicatedEvent | Version | str],
) -> None:
    follower, now = FollowerState(), 0
    for step in walk:
        now += S
        before, told = follower.acknowledgement(), follower.received
        if isinstance(step, ReplicatedEvent):
            verdict = follower.receive(now, step)
            assert verdict is not Verdict.APPLY or step.catch_up is CatchUp.PART or step.version > told
            assert verdict is Verdict.HEARTBEAT or verdict is Verdict.APPLY or follower.received == told
        elif isinstance(step, Version):
            follower.mark_applied(step)
        elif step == "connects":
            follower.connection_opened(now)
        elif step == "refuses":
            follower.mark_configuration_refused(Version(2, now // S), "no")
        else:
            follower.mark_configuration_applied(Version(1, now // S))
        said = follower.acknowledgement()
        assert before.version.to_version() <= said.version.to_version() <= follower.received
        assert before.configuration.to_version() <= said.configuration.to_version()
        assert follower.received >= told, "what is held went back"
