"""The protocol rules of one follower's stream: versions, nonces, refusals and late acceptance."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hoistplank.xds.errors import InvalidRequestError
from hoistplank.xds.follower import Follower
from hoistplank.xds.resource_types import CLUSTER_TYPE, ENDPOINT_TYPE, ROUTE_TYPE, ROUTES_NAME
from hoistplank.xds.resources import ResourceCache, ResourceChange
from hoistplank.xds.stream_messages import DeltaRequest, StateRequest
from tests.xds_rig import S, host


class Client:
    """A simple model of a follower by the specification: it accepts or refuses responses."""

    def __init__(self, follower: Follower) -> None:
        self.follower, self.held = follower, dict[str, dict[str, str]]()

    def handle_next_response(self, refuse: bool = False) -> bool:
        response = self.follower.next_response()
        if response is None:
            return False
        if not refuse:
            held = self.held.setdefault(response.type_url, {})
            held.update({name: version for name, version, _ in response.resources})
            for name in response.removed:
                held.pop(name, None)
        self.follower.handle_delta_request(
            DeltaRequest(response.type_url, [], [], {}, response.nonce, "no" if refuse else "")
        )
        return True


def subscribed_client(
    resources: ResourceCache, type_urls: tuple[str, ...] = (CLUSTER_TYPE,), names: tuple[str, ...] = ()
) -> Client:
    client = Client(Follower(resources, is_incremental=True))
    for type_url in type_urls:
        client.follower.handle_delta_request(
            DeltaRequest(type_url, list(names) if type_url != CLUSTER_TYPE else [], [], {}, "", "")
        )
    return client


def test_refused_version_is_not_sent_again_until_the_resource_changes() -> None:
    resources = ResourceCache()
    resources.put_host(host("a"))
    client = subscribed_client(resources, (ENDPOINT_TYPE,), ("caches-z1",))
    assert client.handle_next_response(refuse=True)
    assert not client.handle_next_response() and client.follower.subscriptions[ENDPOINT_TYPE].error == "no"
    for type_url, name in resources.put_host(host("b")):
        client.follower.mark_changed(0, type_url, {name})
    assert client.handle_next_response() and not client.handle_next_response()
    assert client.held[ENDPOINT_TYPE]["caches-z1"] == resources.by_type[ENDPOINT_TYPE]["caches-z1"].version
    assert client.follower.subscriptions[ENDPOINT_TYPE].error == ""


def test_slow_follower_gets_the_newest_state_and_drains_without_waiting() -> None:
    resources = ResourceCache()
    resources.put_host(host("a"))
    follower = subscribed_client(resources, (ENDPOINT_TYPE,), ("caches-z1",)).follower
    first = follower.next_response()
    assert first is not None
    for n in range(50):
        for type_url, name in resources.put_host(host(f"h{n}")):
            follower.mark_changed(0, type_url, {name})
    assert follower.next_response() is None  # a response is pending
    for type_url, name in resources.put_host(host("a", up=False)):
        follower.mark_changed(1, type_url, {name}, urgent=True)
    second = follower.next_response()
    assert (
        second is not None and second.resources[0][1] == resources.by_type[ENDPOINT_TYPE]["caches-z1"].version
    )
    follower.handle_delta_request(DeltaRequest(ENDPOINT_TYPE, [], [], {}, first.nonce, ""))
    follower.handle_delta_request(DeltaRequest(ENDPOINT_TYPE, [], [], {}, second.nonce, ""))
    assert follower.next_response() is None  # none of the fifty changes is still to be sent


def test_only_drains_and_purges_can_be_late_and_heartbeats_are_not_pending() -> None:
    resources = ResourceCache()
    resources.put_host(host("a"))
    follower = subscribed_client(resources, (ENDPOINT_TYPE,), ("caches-z1",)).follower
    first = follower.next_response()
    assert first is not None and not follower.is_late(100 * S, 800_000)  # a first state has no time limit
    follower.handle_delta_request(DeltaRequest(ENDPOINT_TYPE, [], [], {}, first.nonce, ""))
    heartbeats = follower.heartbeats()
    assert [row[2] for row in heartbeats[0].resources] == [b""] and not follower.subscriptions[
        ENDPOINT_TYPE
    ].pending
    for type_url, name in resources.put_host(host("a", up=False)):
        follower.mark_changed(100 * S, type_url, {name}, urgent=True)
    assert not follower.is_late(100 * S + 700_000, 800_000) and follower.is_late(100 * S + 900_000, 800_000)
    assert follower.heartbeats() == []  # an unsent response is due instead
    drain = follower.next_response()
    assert drain is not None and follower.is_late(
        100 * S + 900_000, 800_000
    )  # counted from the change, not from the response
    assert follower.heartbeats() == []  # the accepted version is not current
    follower.handle_delta_request(DeltaRequest(ENDPOINT_TYPE, [], [], {}, drain.nonce, ""))
    assert not follower.is_late(200 * S, 800_000) and len(follower.heartbeats()) == 1


def test_cluster_is_removed_only_once_no_route_is_unsent_or_pending() -> None:
    resources = ResourceCache()
    resources.put_host(host("a"))
    client = subscribed_client(resources, (CLUSTER_TYPE, ROUTE_TYPE), (ROUTES_NAME,))
    while client.handle_next_response():
        pass
    follower = client.follower
    del resources.by_type[CLUSTER_TYPE]["caches-z1"]
    resources.by_type[ROUTE_TYPE][ROUTES_NAME] = type(resources.by_type[ROUTE_TYPE][ROUTES_NAME])(
        "other", b"x"
    )
    follower.mark_changed(0, CLUSTER_TYPE, {"caches-z1"})
    follower.mark_changed(0, ROUTE_TYPE, {ROUTES_NAME})
    route = follower.next_response()
    assert route is not None and route.type_url == ROUTE_TYPE and follower.next_response() is None
    follower.handle_delta_request(DeltaRequest(ROUTE_TYPE, [], [], {}, route.nonce, ""))
    removal = follower.next_response()
    assert removal is not None and (removal.type_url, removal.removed) == (CLUSTER_TYPE, ["caches-z1"])


def test_state_of_the_world_ignores_stale_nonces_and_sends_the_full_state() -> None:
    resources = ResourceCache()
    resources.put_host(host("a"))
    follower = Follower(resources, is_incremental=False)
    follower.handle_state_request(StateRequest(CLUSTER_TYPE, [], "", ""))
    first = follower.next_response()
    assert first is not None and [name for name, _, _ in first.resources] == ["caches-z1"]
    follower.handle_state_request(StateRequest(CLUSTER_TYPE, [], first.nonce, ""))
    for type_url, name in resources.put_host(host("b", zone="z2")):
        follower.mark_changed(0, type_url, {name})
    second = follower.next_response()
    assert second is not None and [n for n, _, _ in second.resources] == ["caches-z1", "caches-z2"]
    follower.handle_state_request(StateRequest(CLUSTER_TYPE, [], first.nonce, ""))  # stale
    assert follower.subscriptions[CLUSTER_TYPE].pending
    follower.handle_state_request(StateRequest(CLUSTER_TYPE, [], second.nonce, "no such thing"))
    assert follower.next_response() is None and follower.refusal_count == 1
    with pytest.raises(InvalidRequestError, match="resource type .* is not served"):
        follower.handle_state_request(StateRequest("type.googleapis.com/x", [], "", ""))


def test_reconnected_stream_gets_only_what_differs_from_its_versions() -> None:
    resources = ResourceCache()
    resources.put_host(host("a"))
    resources.put_host(host("b", zone="z2"))
    held = {name: row.version for name, row in resources.by_type[CLUSTER_TYPE].items()}
    follower = Follower(resources, is_incremental=True)
    follower.handle_delta_request(DeltaRequest(CLUSTER_TYPE, [], [], {**held, "caches-old": "1"}, "", ""))
    response = follower.next_response()
    assert response is not None and response.resources == [] and response.removed == ["caches-old"]


class Streams(RuleBasedStateMachine):
    """Random changes, subscriptions, answers and refusals: the follower ends up with all it subscribes to."""

    def __init__(self) -> None:
        super().__init__()
        self.resources = ResourceCache()
        self.client = subscribed_client(self.resources, (CLUSTER_TYPE, ENDPOINT_TYPE))
        self.wanted = set[str]()
        self.has_refused = False

    def mark_changes(self, changes: set[ResourceChange], urgent: bool = False) -> None:
        for type_url, name in changes:
            self.client.follower.mark_changed(
                1, type_url, {name}, urgent=urgent and type_url == ENDPOINT_TYPE
            )

    @rule(n=st.integers(0, 5), zone=st.sampled_from(["z1", "z2"]), up=st.booleans(), urgent=st.booleans())
    def put(self, n: int, zone: str, up: bool, urgent: bool) -> None:
        self.mark_changes(self.resources.put_host(host(f"h{n}", up, zone)), urgent)

    @rule(n=st.integers(0, 5))
    def drop(self, n: int) -> None:
        self.mark_changes(self.resources.remove_host(f"h{n}"), True)

    @rule(zone=st.sampled_from(["z1", "z2"]), added=st.booleans())
    def change_subscription(self, zone: str, added: bool) -> None:
        name = f"caches-{zone}"
        (self.wanted.add if added else self.wanted.discard)(name)
        if not added:
            self.client.held.get(ENDPOINT_TYPE, {}).pop(name, None)
        self.client.follower.handle_delta_request(
            DeltaRequest(ENDPOINT_TYPE, [name] if added else [], [] if added else [name], {}, "", "")
        )

    @rule(refuse=st.booleans())
    def answer(self, refuse: bool) -> None:
        self.has_refused = self.has_refused or refuse
        self.client.handle_next_response(refuse)

    @invariant()
    def pending_responses_are_bounded(self) -> None:
        for subscription in self.client.follower.subscriptions.values():
            assert len(subscription.pending) <= 4

    def teardown(self) -> None:
        rounds = 0
        while self.client.handle_next_response():
            rounds += 1
            assert rounds < 50, "responses are still sent after 50 rounds"
        if self.has_refused:
            return
        for name in self.wanted:
            found = self.resources.get(ENDPOINT_TYPE, name)
            assert found is None or self.client.held[ENDPOINT_TYPE][name] == found.version
        clusters = {name: row.version for name, row in self.resources.by_type[CLUSTER_TYPE].items()}
        assert self.client.held.get(CLUSTER_TYPE, {}) == clusters


TestStreams = Streams.TestCase


TestStreams.settings = settings(max_examples=60, stateful_step_count=25, deadline=None)
