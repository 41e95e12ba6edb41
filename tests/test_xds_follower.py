"""The rules of the xDS protocol, for one follower: versions, nonces, refusals, what is late."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hoistplank.xds.follower import BadRequest, Follower
from hoistplank.xds.resources import (
    CLUSTER,
    ENDPOINT,
    ROUTE,
    ROUTES,
    ResourceCache,
)
from tests.xds_rig import S, host


class Client:
    """A plain model of a follower by the specification: it takes or refuses what it is told."""

    def __init__(self, follower: Follower) -> None:
        self.follower, self.held = follower, dict[str, dict[str, str]]()

    def take(self, refuse: bool = False) -> bool:
        response = self.follower.next()
        if response is None:
            return False
        if not refuse:
            held = self.held.setdefault(response.kind, {})
            held.update({name: version for name, version, _ in response.resources})
            for name in response.removed:
                held.pop(name, None)
        self.follower.changes(response.kind, [], [], {}, response.nonce, "no" if refuse else "")
        return True


def started(
    resources: ResourceCache, kinds: tuple[str, ...] = (CLUSTER,), names: tuple[str, ...] = ()
) -> Client:
    client = Client(Follower(resources, True))
    for kind in kinds:
        client.follower.changes(kind, list(names) if kind != CLUSTER else [], [], {}, "", "")
    return client


def test_what_is_refused_is_not_sent_again_until_it_changes() -> None:
    resources = ResourceCache()
    resources.put(host("a"))
    client = started(resources, (ENDPOINT,), ("caches-z1",))
    assert client.take(refuse=True)
    assert not client.take() and client.follower.types[ENDPOINT].error == "no"
    for kind, name in resources.put(host("b")):
        client.follower.changed(0, kind, {name})
    assert client.take() and not client.take()
    assert client.held[ENDPOINT]["caches-z1"] == resources.by_type[ENDPOINT]["caches-z1"].version
    assert client.follower.types[ENDPOINT].error == ""


def test_a_slow_follower_gets_the_newest_state_and_a_drain_does_not_wait() -> None:
    resources = ResourceCache()
    resources.put(host("a"))
    follower = started(resources, (ENDPOINT,), ("caches-z1",)).follower
    first = follower.next()
    assert first is not None
    for n in range(50):
        for kind, name in resources.put(host(f"h{n}")):
            follower.changed(0, kind, {name})
    assert follower.next() is None  # one is out
    for kind, name in resources.put(host("a", up=False)):
        follower.changed(1, kind, {name}, True)
    second = follower.next()
    assert second is not None and second.resources[0][1] == resources.by_type[ENDPOINT]["caches-z1"].version
    follower.changes(ENDPOINT, [], [], {}, first.nonce, "")
    follower.changes(ENDPOINT, [], [], {}, second.nonce, "")
    assert follower.next() is None  # and nothing of the fifty is left


def test_only_a_drain_or_a_purge_can_be_late_and_heartbeats_hold_up_nothing() -> None:
    resources = ResourceCache()
    resources.put(host("a"))
    follower = started(resources, (ENDPOINT,), ("caches-z1",)).follower
    first = follower.next()
    assert first is not None and not follower.late(
        100 * S, 800_000
    )  # a first state takes as long as it takes
    follower.changes(ENDPOINT, [], [], {}, first.nonce, "")
    beats = follower.beat()
    assert [row[2] for row in beats[0].resources] == [b""] and not follower.types[ENDPOINT].out
    for kind, name in resources.put(host("a", up=False)):
        follower.changed(100 * S, kind, {name}, True)
    assert not follower.late(100 * S + 700_000, 800_000) and follower.late(100 * S + 900_000, 800_000)
    assert follower.beat() == []  # what is due says more
    drain = follower.next()
    assert drain is not None and follower.late(
        100 * S + 900_000, 800_000
    )  # from the notice on, not the writing
    assert follower.beat() == []  # the old version stands no longer
    follower.changes(ENDPOINT, [], [], {}, drain.nonce, "")
    assert not follower.late(200 * S, 800_000) and len(follower.beat()) == 1


def test_a_cluster_goes_only_once_no_route_is_owed_or_out() -> None:
    resources = ResourceCache()
    resources.put(host("a"))
    client = started(resources, (CLUSTER, ROUTE), (ROUTES,))
    while client.take():
        pass
    follower = client.follower
    del resources.by_type[CLUSTER]["caches-z1"]
    resources.by_type[ROUTE][ROUTES] = type(resources.by_type[ROUTE][ROUTES])("other", b"x")
    follower.changed(0, CLUSTER, {"caches-z1"})
    follower.changed(0, ROUTE, {ROUTES})
    route = follower.next()
    assert route is not None and route.kind == ROUTE and follower.next() is None
    follower.changes(ROUTE, [], [], {}, route.nonce, "")
    gone = follower.next()
    assert gone is not None and (gone.kind, gone.removed) == (CLUSTER, ["caches-z1"])


def test_state_of_the_world_ignores_stale_nonces_and_tells_all() -> None:
    resources = ResourceCache()
    resources.put(host("a"))
    follower = Follower(resources, False)
    follower.asks(CLUSTER, [], "", "")
    first = follower.next()
    assert first is not None and [name for name, _, _ in first.resources] == ["caches-z1"]
    follower.asks(CLUSTER, [], first.nonce, "")
    for kind, name in resources.put(host("b", zone="z2")):
        follower.changed(0, kind, {name})
    second = follower.next()
    assert second is not None and [n for n, _, _ in second.resources] == ["caches-z1", "caches-z2"]
    follower.asks(CLUSTER, [], first.nonce, "")  # stale
    assert follower.types[CLUSTER].out
    follower.asks(CLUSTER, [], second.nonce, "no such thing")
    assert follower.next() is None and follower.nacks == 1
    with pytest.raises(BadRequest, match="none of this service"):
        follower.asks("type.googleapis.com/x", [], "", "")


def test_a_stream_that_comes_back_is_told_only_what_it_lacks() -> None:
    resources = ResourceCache()
    resources.put(host("a"))
    resources.put(host("b", zone="z2"))
    held = {name: row.version for name, row in resources.by_type[CLUSTER].items()}
    follower = Follower(resources, True)
    follower.changes(CLUSTER, [], [], {**held, "caches-old": "1"}, "", "")
    response = follower.next()
    assert response is not None and response.resources == [] and response.removed == ["caches-old"]


class Streams(RuleBasedStateMachine):
    """Random changes, subscriptions, answers and refusals: once quiet, the follower has what it wants."""

    def __init__(self) -> None:
        super().__init__()
        self.resources = ResourceCache()
        self.client = started(self.resources, (CLUSTER, ENDPOINT))
        self.wanted = set[str]()
        self.refusing = False

    def tell(self, changes: set[tuple[str, str]], urgent: bool = False) -> None:
        for kind, name in changes:
            self.client.follower.changed(1, kind, {name}, urgent and kind == ENDPOINT)

    @rule(n=st.integers(0, 5), zone=st.sampled_from(["z1", "z2"]), up=st.booleans(), urgent=st.booleans())
    def put(self, n: int, zone: str, up: bool, urgent: bool) -> None:
        self.tell(self.resources.put(host(f"h{n}", up, zone)), urgent)

    @rule(n=st.integers(0, 5))
    def drop(self, n: int) -> None:
        self.tell(self.resources.drop(f"h{n}"), True)

    @rule(zone=st.sampled_from(["z1", "z2"]), more=st.booleans())
    def want(self, zone: str, more: bool) -> None:
        name = f"caches-{zone}"
        (self.wanted.add if more else self.wanted.discard)(name)
        if not more:
            self.client.held.get(ENDPOINT, {}).pop(name, None)
        self.client.follower.changes(ENDPOINT, [name] if more else [], [] if more else [name], {}, "", "")

    @rule(refuse=st.booleans())
    def answer(self, refuse: bool) -> None:
        self.refusing = self.refusing or refuse
        self.client.take(refuse)

    @invariant()
    def out_is_bounded(self) -> None:
        for interest in self.client.follower.types.values():
            assert len(interest.out) <= 4

    def teardown(self) -> None:
        rounds = 0
        while self.client.take():
            rounds += 1
            assert rounds < 50, "it never comes to rest"
        if self.refusing:
            return
        for name in self.wanted:
            found = self.resources.get(ENDPOINT, name)
            assert found is None or self.client.held[ENDPOINT][name] == found.version
        clusters = {name: row.version for name, row in self.resources.by_type[CLUSTER].items()}
        assert self.client.held.get(CLUSTER, {}) == clusters


TestStreams = Streams.TestCase


TestStreams.settings = settings(max_examples=60, stateful_step_count=25, deadline=None)
