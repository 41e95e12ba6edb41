"""The state tables of the distribution: what a replica hands on, what is in force, and their bounds."""

from __future__ import annotations

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from hoistplank.distribution.assignment import Replica, load_bound, may_accept, preference, return_delay_us
from hoistplank.distribution.catch_up import CatchUpQueue
from hoistplank.distribution.follower_state import FollowerState, Verdict
from hoistplank.distribution.messages import (
    ALL_OBJECTS_BUCKET,
    CatchUp,
    Configuration,
    ReplicatedEvent,
    encode,
    read_replica_line,
)
from hoistplank.distribution.state import ReplicatedState
from hoistplank.distribution.versions import NOTHING, Version
from hoistplank.protocol.changelog import Fleet, Purge, Target

S = 1_000_000
HORIZON = 60 * S


class Mirror:
    """What a dispatcher holds: everything that `FollowerState` lets through, applied as it comes."""

    def __init__(self) -> None:
        self.follower = FollowerState()
        self.hosts: dict[str, Target] = {}
        self.purges: dict[str | int, float] = {}
        self.configuration: str | None = None

    def take(self, now: int, event: ReplicatedEvent) -> Verdict:
        verdict = self.follower.judge(now, event)
        if verdict is Verdict.APPLY:
            self.apply(event)
        return verdict

    def apply(self, event: ReplicatedEvent) -> None:
        if event.fleet is not None:
            if event.fleet.all:
                self.hosts = {}
            for target in event.fleet.targets:
                self.hosts.pop(target.uid, None)
                if target.state != "gone":
                    self.hosts[target.uid] = target
        if event.invalidate is not None:
            key = event.invalidate.object or event.invalidate.bucket
            self.purges[key] = max(event.invalidate.time, self.purges.get(key, 0.0))
        if self.follower.takes_configuration(event) and event.configuration is not None:
            self.configuration = event.configuration.text
            self.follower.configuration_applied(event.version)

    def floor(self, key: str | int) -> float:
        return max(self.purges.get(key, 0.0), self.purges.get(ALL_OBJECTS_BUCKET, 0.0))

    def follow(self, now: int, replica: ReplicatedState, lines: int | None = None) -> list[Verdict]:
        """A new connection to a replica; it breaks off after so many lines, if any number is given."""
        self.follower.connection_began(now)
        sent = replica.lines_since(self.follower.resume_at)[:lines]
        return [self.hear(now, line) for line in sent]

    def hear(self, now: int, line: bytes) -> Verdict:
        event = read_replica_line(line.strip())
        assert isinstance(event, ReplicatedEvent)
        verdict = self.take(now, event)
        self.follower.applied(self.follower.told)
        return verdict


def target(uid: str, state: str = "ready", boot_ms: float = 1, hint: float = 1.0) -> Target:
    return Target(uid, "127.0.0.1:1", state=state, boot_ms=boot_ms, capacity_hint=hint)


def listed(*uids: str) -> Fleet:
    return Fleet(all=True, targets=[target(uid) for uid in uids])


def test_one_missing_event_is_told_as_it_is_and_more_as_a_catch_up() -> None:
    state = ReplicatedState(HORIZON)
    assert state.events_since(NOTHING) == []
    state.apply(0, ReplicatedEvent(1, 7, fleet=listed("a", "b")))
    state.apply(0, ReplicatedEvent(2, 7, invalidate=Purge(1.0, "o")))
    assert state.events_since(Version(7, 1)) == [ReplicatedEvent(2, 7, 1, invalidate=Purge(1.0, "o"))]
    state.apply(0, ReplicatedEvent(3, 7, configuration=Configuration("(a)")))
    places = [event.catch_up for event in state.events_since(Version(7, 1))]
    assert places == [CatchUp.BEGIN, CatchUp.PART, CatchUp.PART, CatchUp.END]
    whole = state.events_since(Version(6, 900))
    assert whole[1].fleet is not None and whole[1].fleet.all
    assert [event.seq for event in whole] == [3, 1, 2, 3, 3]
    assert state.events_since(Version(7, 4)) == [ReplicatedEvent(3, 7)], "its own version"
    assert state.lines_since(Version(6, 900)) == [encode(event) for event in whole]


def test_a_part_of_a_catch_up_is_not_in_force_before_its_end() -> None:
    """Host a changes at 2 and 4, a purge comes at 3: whoever has heard 3 alone has not heard 2."""
    state, mirror = ReplicatedState(HORIZON), Mirror()
    state.apply(0, ReplicatedEvent(1, 7, fleet=listed("a")))
    mirror.follow(0, state)
    assert mirror.follower.in_force().version.version() == Version(7, 1)
    state.apply(0, ReplicatedEvent(2, 7, fleet=Fleet(targets=[target("a", "draining")])))
    state.apply(0, ReplicatedEvent(3, 7, invalidate=Purge(1.0, "o")))
    behind = ReplicatedState(HORIZON)
    behind.apply(0, ReplicatedEvent(1, 7, fleet=listed("a")))
    behind.apply(0, ReplicatedEvent(2, 7, fleet=Fleet(targets=[target("a", "draining")])))
    state.apply(0, ReplicatedEvent(4, 7, fleet=Fleet(targets=[target("a", hint=2.0)])))
    assert mirror.follow(0, state, lines=2) == [Verdict.HEARTBEAT, Verdict.APPLY]
    mirror.follower.applied(Version(7, 3))
    assert mirror.follower.in_force().version.version() == Version(7, 1)
    assert set(mirror.follow(0, behind)) <= {Verdict.BEHIND}, "a replica at 2, and 3 was heard"
    mirror.follow(0, state)
    assert mirror.follower.in_force().version.version() == Version(7, 4)
    assert mirror.hosts["a"].capacity_hint == 2.0


def test_a_frozen_dispatcher_thaws_unheard_whatever_waits_to_be_read() -> None:
    state, mirror = ReplicatedState(HORIZON), Mirror()
    state.apply(0, ReplicatedEvent(1, 7, fleet=listed("a")))
    mirror.follow(0, state)
    for second in range(1, 4):
        mirror.hear(second * S, encode(state.heartbeat()))
    assert not mirror.follower.unheard(4 * S)
    assert mirror.follower.unheard(64 * S), "before anything is read"
    mirror.hear(64 * S, encode(state.heartbeat()))
    mirror.hear(64 * S + 1_000, encode(state.heartbeat()))
    assert mirror.follower.unheard(64 * S + 2_000), "what waited in the buffer says nothing of now"
    mirror.hear(65 * S, encode(state.heartbeat()))
    assert not mirror.follower.unheard(65 * S)


REGIONS = ("north", "south", "east", "west", "mid")
REPLICAS = [Replica(f"c{number}", region) for number, region in enumerate(REGIONS)]
# 31 sites of 21 to 23 dispatchers
FLEET = [(f"{site}-{i}", REGIONS[site % 5]) for site in range(31) for i in range(22 - (site % 31 == 0) * 2)]


def loads(living: list[Replica]) -> list[int]:
    """How many dispatchers each living replica has after all came, one by one, in an order by chance."""
    had = dict.fromkeys((replica.name for replica in living), 0)
    for dispatcher, region in Random(1).sample(FLEET, len(FLEET)):
        for replica in preference(dispatcher, region, REPLICAS):
            if replica.name in had and may_accept(had[replica.name], len(FLEET), len(living)):
                had[replica.name] += 1
                break
    return list(had.values())


def test_a_dead_replicas_dispatchers_spread_evenly() -> None:
    assert len(FLEET) == 680
    for dead in [set[int]()] + [{i} for i in range(5)] + [{i, j} for i in range(5) for j in range(i)]:
        living = [replica for number, replica in enumerate(REPLICAS) if number not in dead]
        had, share = loads(living), 680 / len(living)
        assert sum(had) == 680, "everyone is taken by someone"
        assert max(had) <= load_bound(680, len(living))
        assert 0.9 * share <= min(had) and max(had) <= 1.1 * share + 1, (dead, had)


def test_dispatchers_go_back_one_by_one() -> None:
    chance, seconds = Random(2), [0] * 60
    for _ in range(136):
        seconds[return_delay_us(chance) // S] += 1
    assert max(seconds) <= 9, "of 136 in 60 s"


@given(st.lists(st.integers(0, 2_000_000), min_size=1, max_size=60), st.integers(1, 20))
@settings(max_examples=60, deadline=None)
def test_a_fleet_that_comes_back_at_once_is_served_in_order(sizes: list[int], most: int) -> None:
    queue = CatchUpQueue[int](most, 4_000_000)
    for key, size in enumerate(sizes):
        assert queue.asked(0, key, size)
    now, served = 0, list[int]()
    while (then := queue.next_us(now)) is not None:
        assert then >= now
        now = then
        lost = queue.overdue(now)
        begun = queue.ready(now)
        assert lost or begun, "asked for nothing"
        assert queue.active <= most
        served += begun
        for key in begun:
            if key % 3:  # each third takes nothing, and holds its turn until the limit
                queue.done(now, key)
    assert served == list(range(len(sizes)))
    assert now >= sum(sizes[:-1]) * S // 4_000_000 - len(sizes), "no more bytes a second than said"
