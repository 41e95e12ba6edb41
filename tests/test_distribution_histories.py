"""Property tests: any change-log history, lagging replicas, and a dispatcher that moves between them."""

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
from tests.distribution_mirror import HORIZON_US, KEYS, SECOND_US, UIDS, Mirror, listed, target


class LogStep(NamedTuple):
    """One event of the log; `is_restart`: the log restarts in a new epoch before it."""

    is_restart: bool
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
    st.builds(LogStep, st.integers(0, 7).map(lambda n: n == 0), contents), min_size=1, max_size=25
)


def number_events(history: list[LogStep]) -> list[ReplicatedEvent]:
    """Returns the events with their versions, after a first event with a full list, as in a real log."""
    epoch, number, numbered = 1, 0, list[ReplicatedEvent]()
    for step in [LogStep(False, ReplicatedEvent(0, fleet=listed("a", "b"))), *history]:
        epoch, number = (epoch + 1, 1) if step.is_restart else (epoch, number + 1)
        event = step.event
        numbered.append(ReplicatedEvent(number, epoch, 0, event.fleet, event.invalidate, event.configuration))
    return numbered


class ExpectedState(NamedTuple):
    """The state of a follower that received every event up to `version`."""

    version: Version
    hosts: dict[str, Target]
    purges: dict[str | int, float]
    configuration: str | None


def expected_states(events: list[ReplicatedEvent]) -> list[ExpectedState]:
    """Returns the state after each event, computed by a simple reference implementation."""
    hosts, floors, text = dict[str, Target](), dict[str | int, float](), None
    departures = dict[str, tuple[float, int]]()
    states = [ExpectedState(NOTHING, {}, {}, None)]
    for event in events:
        if event.fleet is not None:
            hosts = {} if event.fleet.all else hosts
            for row in event.fleet.targets:
                boot_ms, epoch = departures.get(row.uid, (-1.0, 0))
                if row.state != "ready":
                    departures[row.uid] = (row.boot_ms, event.epoch)
                elif boot_ms == row.boot_ms and epoch < event.epoch:
                    row = target(row.uid, "draining", row.boot_ms)
                else:
                    departures.pop(row.uid, None)
                hosts = {uid: held for uid, held in hosts.items() if uid != row.uid}
                if row.state != "gone":
                    hosts[row.uid] = row
        if event.invalidate is not None:
            key = event.invalidate.object or event.invalidate.bucket
            floors = floors | {key: max(event.invalidate.time, floors.get(key, 0.0))}
        if event.configuration is not None:
            text = event.configuration.text
        states.append(ExpectedState(event.version, hosts, floors, text))
    return states


def check_in_force(mirror: Mirror, expected: list[ExpectedState]) -> None:
    """Checks that everything acknowledged is applied: nothing held is older than the version in force."""
    version = mirror.follower.acknowledgement().version.to_version()
    since = [state for state in expected if state.version >= version]
    for uid in UIDS:
        updated_at = mirror.updated_at.get(uid, NOTHING)
        host_states = [state.hosts.get(uid) for state in since if state.version >= updated_at]
        assert mirror.hosts.get(uid) in host_states, f"{uid} is older than {version} or {updated_at}"
    for key, time in since[0].purges.items():
        assert mirror.floor(key) >= time, f"the purge of {key} is not held at {version}"
    assert mirror.configuration in [state.configuration for state in since]


class Move(NamedTuple):
    """A step: a replica receives events, and the dispatcher connects to it or reads on."""

    replica: int
    event_count: int
    connects: bool
    line_count: int | None  # number of lines before the connection breaks; None: it stays open


moves = st.lists(
    st.builds(Move, st.integers(0, 2), st.integers(0, 4), st.booleans(), st.none() | st.integers(0, 6)),
    max_size=40,
)


@given(histories, moves, st.integers(0, 3), st.integers(1, 5))
@settings(max_examples=400, deadline=None)
def test_catch_up_from_any_version_equals_receiving_every_event(
    history: list[LogStep], walk: list[Move], tombstones: int, max_purges: int
) -> None:
    events = number_events(history)
    expected = expected_states(events)
    replicas = [ReplicatedState(HORIZON_US, tombstones, max_purges) for _ in range(3)]
    applied_counts = [0, 0, 0]
    mirror, followed, sent, is_current = Mirror(), -1, NOTHING, False
    now, before = 0, mirror.follower.acknowledgement()
    for move in walk:
        now += 100_000
        replica = replicas[move.replica]
        for event in events[applied_counts[move.replica] :][: move.event_count]:
            assert replica.apply(now, event) and not replica.apply(now, event)
            applied_counts[move.replica] += 1
        verdicts = list[Verdict]()
        if move.connects or followed != move.replica:
            verdicts = mirror.connect_to(now, replica, move.line_count)
            assert Verdict.GAP not in verdicts, "resumed at the version held"
            followed = move.replica if move.line_count is None else -1
            is_current = Verdict.BEHIND not in verdicts
        else:
            lines = replica.lines_since(sent)[: move.line_count]
            if move.line_count is None:  # otherwise the connection is broken
                lines.append(encode(replica.heartbeat_for(replica.version)))
            verdicts = [mirror.receive_line(now, line) for line in lines]
            assert not (is_current and Verdict.GAP in verdicts)
            followed = -1 if move.line_count is not None or Verdict.GAP in verdicts else followed
        sent = replica.version
        check_in_force(mirror, expected)
        acknowledgement = mirror.follower.acknowledgement()
        assert (
            acknowledgement.version.to_version() >= before.version.to_version()
        ), "the version in force decreased"
        assert acknowledgement.configuration.to_version() >= before.configuration.to_version()
        before = acknowledgement
    for event in events[applied_counts[0] :]:
        replicas[0].apply(now, event)
    assert Verdict.GAP not in mirror.connect_to(now, replicas[0])
    assert mirror.follower.received == expected[-1].version
    assert mirror.follower.acknowledgement().version.to_version() == expected[-1].version
    assert mirror.hosts == expected[-1].hosts
    assert mirror.configuration == expected[-1].configuration
    assert all(mirror.floor(key) >= time for key, time in expected[-1].purges.items())
    expected_purges = expected[-1].purges
    if len(expected_purges) <= max_purges:
        assert mirror.purges == expected_purges
    assert all(
        time <= max(expected_purges.values()) for time in mirror.purges.values()
    ), "a purge is newer than any in the history"


pauses = st.sampled_from((0, 1, 7 * SECOND_US, 20 * SECOND_US, HORIZON_US, HORIZON_US + 1))


@given(
    st.lists(st.tuples(pauses, st.sampled_from((*KEYS, "r", "s")), st.integers(1, 99)), max_size=60),
    st.integers(1, 6),
)
@settings(max_examples=200, deadline=None)
def test_purges_are_kept_for_the_horizon_and_bounded(
    steps: list[tuple[int, str, int]], max_purges: int
) -> None:
    state, now, fits = ReplicatedState(HORIZON_US, max_purges=max_purges), 0, True
    state.apply(0, ReplicatedEvent(1, 1, fleet=listed("a")))
    received = list[tuple[int, str, float]]()
    model = OrderedDict[str, tuple[float, int]]()  # the newest purge of each key, kept for the horizon
    for number, (pause, key, time) in enumerate(steps, 2):
        now += pause
        state.apply(now, ReplicatedEvent(number, 1, invalidate=Purge(float(time), key)))
        model = OrderedDict((k, v) for k, v in model.items() if v[1] >= now - HORIZON_US)
        model[key] = max(float(time), model.pop(key, (0.0, 0))[0]), now
        received.append((now, key, float(time)))
        mirror = Mirror()
        mirror.connect_to(now, state)
        assert all(
            mirror.floor(k) >= purge_time for at, k, purge_time in received if at >= now - HORIZON_US
        ), "a purge was lost"
        assert set(mirror.purges) <= {*model, ALL_OBJECTS_BUCKET}, "a purge beyond the horizon is still held"
        assert pause <= HORIZON_US or set(mirror.purges) == {key}, "all earlier purges are beyond the horizon"
        assert len(mirror.purges) <= max_purges + 1 and state.size().purges <= max_purges + 1
        fits = fits and len(model) <= max_purges
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


@given(st.lists(lines | versions | st.sampled_from(("connect", "refuse", "apply")), max_size=60))
@settings(max_examples=300, deadline=None)
def test_version_in_force_never_decreases_for_any_input(
    walk: list[ReplicatedEvent | Version | str],
) -> None:
    follower, now = FollowerState(), 0
    for step in walk:
        now += SECOND_US
        before, received = follower.acknowledgement(), follower.received
        if isinstance(step, ReplicatedEvent):
            verdict = follower.receive(now, step)
            assert verdict is not Verdict.APPLY or step.catch_up is CatchUp.PART or step.version > received
            assert verdict is Verdict.HEARTBEAT or verdict is Verdict.APPLY or follower.received == received
        elif isinstance(step, Version):
            follower.mark_applied(step)
        elif step == "connect":
            follower.connection_opened(now)
        elif step == "refuse":
            follower.mark_configuration_refused(Version(2, now // SECOND_US), "no")
        else:
            follower.mark_configuration_applied(Version(1, now // SECOND_US))
        acknowledgement = follower.acknowledgement()
        assert before.version.to_version() <= acknowledgement.version.to_version() <= follower.received
        assert before.configuration.to_version() <= acknowledgement.configuration.to_version()
        assert follower.received >= received, "the received version decreased"
