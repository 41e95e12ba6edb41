"""The control service: the order of hosts, resources, the protocol's rules, and proxies on loopback."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from random import Random
from typing import Any

import grpc
import pytest
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hoistplank.decision.events import Endpoint, EndpointListForm, EndpointsUpdated
from hoistplank.decision.router import Router
from hoistplank.fakes.change_log import ChangeLog
from hoistplank.fakes.deployment import free_port
from hoistplank.fakes.first_choice import first_choice
from hoistplank.fakes.proxy import Proxy, name_of
from hoistplank.fakes.settings import listing, target
from hoistplank.fakes.wire import serve
from hoistplank.protocol.changelog import Target
from hoistplank.routing.router_task import Listed, Purged
from hoistplank.xds.control import Control
from hoistplank.xds.follower import BadRequest, Follower
from hoistplank.xds.ranking_cache import Firsts, key_of, order
from hoistplank.xds.resources import (
    CLUSTER,
    ENDPOINT,
    ROUTE,
    ROUTES,
    RUNTIME,
    VHOST,
    Host,
    ResourceCache,
    parsed,
)
from hoistplank.xds.service import Limits
from tests.helpers import configuration

S = 1_000_000
ABOVE = [Endpoint(kind[0], "hub", kind, 0, 100.0, 0, "up") for kind in ("parent", "origin")]


def host(uid: str, up: bool = True, zone: str = "z1", weight: float = 1.0, share: float = 1.0) -> Host:
    return Host(uid, "127.0.0.1", 8080, "caches", zone, 0, weight, 0, up, share)


# The same boxes.


def test_the_order_is_the_modules_own(tmp_path: Path) -> None:
    site, chance = configuration(tmp_path).site, Random(3)
    weights = {f"box-{n}": 100.0 for n in range(30)}
    router, now = Router(site, 1), 100 * S
    entries = [Endpoint(uid, "z1", "box", 0, units, 0, "up") for uid, units in weights.items()]
    router.handle(now, EndpointsUpdated(EndpointListForm.SNAPSHOT, [*entries, *ABOVE]))
    for n in range(300):
        object_key, part = f"{chance.getrandbits(64):016x}", chance.randrange(4)
        assert (
            first_choice(router, now, n, "page", object_key, part)
            == order(key_of(object_key, part), weights)[0]
        ), (
            n,
            object_key,
        )


@settings(deadline=None, max_examples=60)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["came", "went", "follow", "leave"]),
            st.integers(0, 9),
            st.sampled_from([0.1, 1.0, 4.0]),
        ),
        max_size=60,
    )
)
def test_the_index_of_first_hosts_is_the_plain_search(steps: list[tuple[str, int, float]]) -> None:
    firsts, followed = Firsts(), dict[str, int]()
    for what, n, weight in steps:
        before = {name: firsts.first[name][1] for name in followed}
        moved = set[str]()
        if what == "came":
            moved = firsts.came(f"h{n}", weight)
        elif what == "went":
            moved = firsts.went(f"h{n}")
        elif what == "follow":
            followed[f"n{n}"] = key_of(f"n{n}", 0)
            firsts.follow(f"n{n}", followed[f"n{n}"])
        else:
            followed.pop(f"n{n}", None)
            firsts.leave([f"n{n}"])
        for name, key in followed.items():
            want = order(key, firsts.weights)[0] if firsts.weights else ""
            assert firsts.first[name][1] == want
            assert name in firsts.at[want]
            if name in before and before[name] != want:
                assert name in moved


def test_a_host_that_comes_or_goes_moves_its_own_share_alone() -> None:
    keys = [key_of(f"{n:016x}", 0) for n in range(3_000)]
    weights = {f"box-{n}": 1.0 for n in range(20)}
    before = [order(key, weights)[0] for key in keys]
    fewer = {uid: weight for uid, weight in weights.items() if uid != "box-7"}
    after = [order(key, fewer)[0] for key in keys]
    assert all(a == b for a, b in zip(before, after, strict=True) if a != "box-7")
    assert 0.03 < before.count("box-7") / len(keys) < 0.07


# Resources.


def test_the_same_facts_are_the_same_bytes_whatever_came_before() -> None:
    one, two, rows = ResourceCache(), ResourceCache(), [host(f"h{n}") for n in range(12)]
    for row in rows:
        one.put(row)
    one.put(host("h3", up=False))
    for row in reversed(rows):
        two.put(host(row.uid, share=0.4))
    two.put(host("gone"))
    two.drop("gone")
    for row in reversed(rows):
        two.put(row if row.uid != "h3" else host("h3", up=False))
    assert one.by_type[ENDPOINT] == two.by_type[ENDPOINT]
    assert one.by_type[CLUSTER] == two.by_type[CLUSTER]


def test_a_change_that_changes_nothing_is_none_and_one_host_costs_one_host() -> None:
    resources = ResourceCache()
    for n in range(1_000):
        resources.put(host(f"h{n}", zone=f"z{n % 10}"))
    resources.encoded = 0
    assert resources.put(host("h17", zone="z7")) == set()
    assert resources.put(host("h17", zone="z7", up=False)) == {(ENDPOINT, "caches-z7")}
    assert resources.encoded == 1
    assert resources.put(host("h17", zone="z2")) == {(ENDPOINT, "caches-z7"), (ENDPOINT, "caches-z2")}
    assert resources.drop("h17") == {(ENDPOINT, "caches-z2")} and resources.drop("h17") == set()


def test_purges_are_told_as_long_as_copies_may_be_older() -> None:
    resources = ResourceCache(bound_us=10 * S)
    assert resources.purged(5 * S, "", 7, 5 * S) == {(RUNTIME, "purges")}
    assert resources.purged(6 * S, "", 7, 4 * S) == set()  # an older one says nothing new
    assert resources.purged(20 * S, "aa", 0, 20 * S) == {(RUNTIME, "purges")} and resources.floors == {
        "aa": 20 * S
    }


def test_a_purge_heard_late_is_told_for_as_long_as_any_other() -> None:
    resources = ResourceCache(bound_us=10 * S)
    assert resources.purged(3_600 * S, "aa", 0, 5 * S) == {(RUNTIME, "purges")}
    assert resources.floors == {"aa": 5 * S}
    for second in range(3_601, 3_610):
        resources.purged(second * S, "often", 0, second * S)
        assert resources.floors["aa"] == 5 * S
    resources.purged(3_611 * S, "often", 0, 3_611 * S)
    assert resources.floors == {"often": 3_611 * S} and list(resources.told_at) == ["often"]


@given(st.text(max_size=40))
def test_names_on_demand_are_parsed_or_refused(text: str) -> None:
    assert ResourceCache().follow(text) is (parsed(text) is not None)
    found = parsed(f"requests/{text}")
    assert found is None or parsed(name_of(*found)) == found


def test_routes_follow_the_hosts_they_name() -> None:
    resources = ResourceCache()
    for n in range(5):
        resources.put(host(f"h{n}"))
    names = [name_of(f"{n:016x}", 0, "z1") for n in range(40)]
    assert all(resources.follow(name) for name in names)
    first = {name: resources.firsts["caches-z1"].first[name][1] for name in names}
    moved = resources.put(host("h2", up=False))
    assert {name for kind, name in moved if kind == VHOST} == {n for n in names if first[n] == "h2"}
    back = resources.put(host("h2"))
    assert {name for kind, name in back if kind == VHOST} == {n for n in names if first[n] == "h2"}
    for name in names:
        resources.leave(name)
    assert not resources.by_type[VHOST] and not resources.followed


# The protocol.


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


# On loopback.


class Place:
    """A control process that follows a stand-in change log, and proxies."""

    def __init__(self, folder: Path, hosts: int = 6, limits: Limits | None = None) -> None:
        self.folder, self.log, self.limits = folder, ChangeLog(), limits
        self.targets = [target(f"box-{n}", "box", 9_000 + n) for n in range(hosts)]
        self.targets += [target("p", "parent", 9_100), target("o", "origin", 9_101)]
        self.seq, self.tasks = 1, list[asyncio.Task[Any]]()

    async def __aenter__(self) -> Place:
        self.log_port = await serve(self.log.talk)
        self.control = await self.another()
        return self

    async def another(self) -> Control:
        """One more control process on the same log."""
        known = {"seq": 1, "results": [listing(1, self.targets, whole=True)]}
        made = Control(
            configuration(self.folder, changelog=f"127.0.0.1:{self.log_port}", known=known), self.limits
        )
        await made.serve("127.0.0.1:0")
        self.tasks.append(asyncio.create_task(made.run()))
        return made

    async def __aexit__(self, *_: object) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.control.close()

    def proxy(
        self,
        node: str,
        extension: bool,
        control: Control | None = None,
        refuses: Callable[[str, Any], str] | None = None,
    ) -> Proxy:
        port = (control or self.control).port
        made = Proxy(f"127.0.0.1:{port}", node, "z1", extension, refuses)
        self.tasks.append(asyncio.create_task(made.run()))
        return made

    def say(self, uid: str, state: str) -> None:
        self.seq += 1
        row = next(row for row in self.targets if row["uid"] == uid) | {"state": state}
        self.log.tell(listing(self.seq, [row]))

    def purge(self, group: int, at_ms: float) -> None:
        self.seq += 1
        self.log.tell({"seq": self.seq, "invalidate": {"bucket": group, "time": at_ms}})


async def until(true: Callable[[], bool], seconds: float = 5.0) -> None:
    end = asyncio.get_running_loop().time() + seconds
    while not true():
        assert asyncio.get_running_loop().time() < end, "it did not come about"
        await asyncio.sleep(0.002)


def run(scene: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(scene, 30))


THINGS = [(f"{Random(n).getrandbits(64):016x}", n % 3) for n in range(60)]


def test_both_proxies_land_where_the_dispatcher_does_through_a_drain_and_back(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Place(tmp_path) as place:
            plain, extension = place.proxy("n1", False), place.proxy("n2", True)
            await until(lambda: len(plain.hosts) == len(extension.hosts) == 6)
            for object_key, part in THINGS:
                plain.want(object_key, part)
            await until(lambda: len(plain.vhosts) == len(THINGS))
            router, now = Router(place.control.site, 1), 100 * S
            names = [f"box-{n}" for n in range(6)]

            def told(states: dict[str, str]) -> None:
                rows = [Endpoint(uid, "z1", "box", 0, 100.0, 0, states.get(uid, "up")) for uid in names]
                router.handle(now, EndpointsUpdated(EndpointListForm.SNAPSHOT, [*rows, *ABOVE]))

            two = {"box-2": "draining", "box-4": "draining"}
            for step, states in enumerate(({}, {"box-2": "draining"}, two, {})):
                for uid in names:
                    up = states.get(uid, "up") == "up"
                    if plain.hosts[uid][0] != up:
                        place.say(uid, "ready" if up else "draining")
                want = {uid: states.get(uid, "up") == "up" for uid in names}
                await until(
                    lambda w=want: all(  # type: ignore[misc]
                        {u: row[0] for u, row in p.hosts.items()} == w for p in (plain, extension)
                    )
                )
                await until(
                    lambda: all(
                        place.control.resources.get(VHOST, name).version == version  # type: ignore[union-attr]
                        for name, version in plain.versions[VHOST].items()
                    )
                )
                told(states)
                for n, (object_key, part) in enumerate(THINGS):
                    at = first_choice(router, now, step * 100 + n, "page", object_key, part)
                    assert (
                        extension.choose(object_key, part) == at and plain.choose(object_key, part) == at
                    ), (step, n)

    run(scene())


def test_a_purge_and_a_drain_in_one_tick_reach_a_stalled_streams_neighbours_in_time(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Place(tmp_path) as place:
            quick, hung = place.proxy("quick", True), place.proxy("hung", True)
            await until(lambda: len(quick.hosts) == len(hung.hosts) == 6)
            hung.stalled.clear()
            began = asyncio.get_running_loop().time()
            place.say("box-1", "draining")
            place.purge(40, 1_000.0)
            await until(lambda: not quick.hosts["box-1"][0] and "group.40" in quick.floors, 0.25)
            assert asyncio.get_running_loop().time() - began < 0.25
            # The one that hangs is found, its stream ended; back, it gets what it missed.
            await until(lambda: place.control.hub.counts["renewed"] >= 1)
            hung.stalled.set()
            await until(lambda: not hung.hosts["box-1"][0] and "group.40" in hung.floors)
            await until(lambda: hung.counts["streams"] >= 2)

    run(scene())


def test_a_follower_that_is_cut_off_stops_using_what_it_has(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Place(tmp_path, hosts=2) as place:
            proxy = place.proxy("n", True)
            await until(lambda: len(proxy.hosts) == 2)
            first = proxy.fresh_until
            await until(lambda: proxy.fresh_until > first)  # heartbeats, with nothing new to say
            assert proxy.choose("00" * 8, 0) and place.control.hub.look()[0]["responses"] >= 3
            proxy.fresh_until = 0.0
            assert proxy.choose("00" * 8, 0) == ""

    run(scene())


def test_refusals_are_shown_and_cost_nobody_else(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Place(tmp_path) as place:

            def too_large(kind: str, response: Any) -> str:
                return (
                    "too large"
                    if kind == ENDPOINT and proxy.hosts and response.resources[0].HasField("resource")
                    else ""
                )

            other = place.proxy("other", True)
            proxy = place.proxy("refuses", True, refuses=too_large)
            await until(lambda: len(proxy.hosts) == len(other.hosts) == 6)
            place.say("box-3", "draining")
            await until(lambda: proxy.counts["refused"] > 0 and not other.hosts["box-3"][0])
            await asyncio.sleep(0.3)
            assert proxy.counts["refused"] == 1 and proxy.hosts["box-3"][0]
            row = next(row for row in place.control.hub.look() if row["node"] == "refuses")
            assert row["refused"] == 1
            assert row["types"]["ClusterLoadAssignment"]["error"] == "too large"

    run(scene())


def test_a_stream_cut_half_way_goes_on_at_another_control_process(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Place(tmp_path) as place:
            second = await place.another()
            proxy = place.proxy("n", False)
            await until(lambda: len(proxy.hosts) == 6)
            for object_key, part in THINGS[:20]:
                proxy.want(object_key, part)
            await until(lambda: len(proxy.vhosts) == 20)
            before = proxy.counts["bytes"]
            place.say("box-0", "draining")
            proxy.address = f"127.0.0.1:{second.port}"
            proxy.drop()
            await until(lambda: not proxy.hosts["box-0"][0])
            await until(lambda: "box-0" not in proxy.vhosts.values())
            assert second.resources.by_type[ENDPOINT] == place.control.resources.by_type[ENDPOINT]
            assert proxy.counts["bytes"] - before < before  # what it held was not told again
            await second.close()

    run(scene())


def test_bad_requests_and_too_many_streams_cost_their_sender_only(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Place(tmp_path, limits=Limits(streams=2)) as place:
            proxy = place.proxy("good", True)
            await until(lambda: len(proxy.hosts) == 6)

            async def asked(kind: str) -> Any:
                async def requests() -> Any:
                    yield discovery_pb2.DeltaDiscoveryRequest(node={"id": "x"}, type_url=kind)
                    await asyncio.sleep(5)

                async with grpc.aio.insecure_channel(f"127.0.0.1:{place.control.port}") as way:
                    stub = ads_pb2_grpc.AggregatedDiscoveryServiceStub(way)
                    async for _ in stub.DeltaAggregatedResources(requests()):
                        pass

            with pytest.raises(grpc.aio.AioRpcError) as wrong:
                await asked("type.googleapis.com/nonsense")
            assert wrong.value.code() == grpc.StatusCode.INVALID_ARGUMENT
            place.proxy("second", True)
            await until(lambda: len(place.control.hub.streams) == 2)
            with pytest.raises(grpc.aio.AioRpcError) as wrong:
                await asked(CLUSTER)
            assert wrong.value.code() == grpc.StatusCode.RESOURCE_EXHAUSTED
            place.say("box-1", "draining")
            await until(lambda: not proxy.hosts["box-1"][0])

    run(scene())


def test_silent_streams_hold_nobodys_place_and_one_that_reads_nothing_is_cut_once(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Place(tmp_path, hosts=2_500, limits=Limits(starting=2)) as place:
            address = f"127.0.0.1:{place.control.port}"
            ended = asyncio.Event()

            async def requests(kinds: list[tuple[str, str]]) -> Any:
                for kind, name in kinds:
                    yield discovery_pb2.DeltaDiscoveryRequest(
                        node={"id": "mute"}, type_url=kind, resource_names_subscribe=[name]
                    )
                await ended.wait()

            ways = [
                grpc.aio.insecure_channel(address, options=[("grpc.use_local_subchannel_pool", 1), ("n", n)])
                for n in range(4)
            ]
            stubs = [ads_pb2_grpc.AggregatedDiscoveryServiceStub(way) for way in ways]
            silent = [stub.DeltaAggregatedResources(requests([])) for stub in stubs[:3]]
            mute = stubs[3].DeltaAggregatedResources(requests([(ENDPOINT, "caches-z1"), (RUNTIME, "purges")]))
            await until(lambda: len(place.control.hub.streams) == 4)
            await until(lambda: sum(bool(s.follower.types) for s in place.control.hub.streams) == 1)
            proxy = place.proxy("good", True)
            await until(lambda: len(proxy.hosts) == 2_500)
            # What comes to the mute one is never read: its writer stands in a write.
            for n in range(8):
                place.say(f"box-{n}", "draining")
            await until(lambda: not proxy.hosts["box-7"][0])
            await until(lambda: place.control.hub.counts["renewed"] == 1)
            await until(lambda: len(place.control.hub.streams) == 4)  # three silent ones and the good one
            await asyncio.sleep(0.6)  # two more looks at who is late
            assert place.control.hub.counts["renewed"] == 1 and proxy.counts["streams"] == 1
            ended.set()
            for call in (*silent, mute):
                call.cancel()
            for way in ways:
                await way.close()

    run(scene())


def test_cold_hosts_get_their_share_and_warm_up(tmp_path: Path) -> None:
    async def scene() -> None:
        made = Control(configuration(tmp_path))
        now = made.clock.now()
        rows = [Target(f"box-{n}", f"127.0.0.1:{9_000 + n}", "z1", "box", 0, "ready", 1.0) for n in range(5)]
        cold = Target("box-9", "127.0.0.1:9009", "z1", "box", 0, "ready", 1.0, now / 1_000)
        made.tell(Listed("whole", [*rows, cold]))
        assert made.resources.hosts["box-9"].share == pytest.approx(
            made.site.rules.warm_up_initial_share, abs=0.1
        )
        keys = [key_of(f"{n:016x}", 0) for n in range(2_000)]
        weights = made.resources.firsts["caches-z1"].weights
        got = sum(order(key, weights)[0] == "box-9" for key in keys) / len(keys)
        assert got < 1.5 * made.site.rules.warm_up_initial_share / 5.2
        made.clock.ahead += made.site.rules.warm_up_us * 1_000
        made.warm()
        assert made.resources.hosts["box-9"].share == 1.0
        now = made.clock.now()
        made.tell(Purged("", 3, now))
        made.tell(Listed("failed", []))
        made.tell(Listed("whole", rows))
        assert "box-9" not in made.resources.hosts and made.resources.floors == {"group.3": now}

    run(scene())


def test_the_commands_serve_and_tell(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Place(tmp_path, hosts=3) as place:
            known = {"seq": 1, "results": [listing(1, place.targets, whole=True)]}
            configuration(tmp_path, changelog=f"127.0.0.1:{place.log_port}", known=known)
            port = free_port()
            words = (sys.executable, "-m", "hoistplank.cli.main", "control")

            async def dumped(zone: str) -> tuple[int, Any]:
                process = await asyncio.create_subprocess_exec(
                    *words, "dump", f"127.0.0.1:{port}", "--zone", zone, stdout=asyncio.subprocess.PIPE
                )
                out, _ = await process.communicate()
                return process.returncode or 0, json.loads(out) if out else None

            serving = await asyncio.create_subprocess_exec(
                *words,
                "run",
                "--config",
                str(tmp_path / "config.json"),
                "--listen",
                f"127.0.0.1:{port}",
                stdout=asyncio.subprocess.PIPE,
            )
            assert serving.stdout is not None
            while b"control service" not in await serving.stdout.readline():
                pass
            code, told = await dumped("z1")
            rows = told["endpoints"]["caches-z1"][0]["lbEndpoints"]
            assert code == 0 and told["clusters"] == ["caches-z1"] and told["purges"] == {}
            assert sorted(row["metadata"]["filterMetadata"]["envoy.lb"]["uid"] for row in rows) == [
                "box-0",
                "box-1",
                "box-2",
            ]
            code, told = await dumped("nowhere")
            assert code == 0 and told["clusters"] == [] and "endpoints" not in told
            serving.terminate()
            assert await serving.wait() == 0
            assert (await dumped("z1"))[0] == 1
            outside = await asyncio.create_subprocess_exec(
                *words,
                "run",
                "--config",
                str(tmp_path / "config.json"),
                "--listen",
                "192.0.2.1:18000",
                stderr=asyncio.subprocess.PIPE,
            )
            _, wrong = await outside.communicate()
            assert outside.returncode == 2 and b"only a loopback address" in wrong

    run(scene())
