"""The order of hosts that the control service gives is the dispatcher's own."""

from __future__ import annotations

from pathlib import Path
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from hoistplank.decision.events import Endpoint, EndpointListForm, EndpointsUpdated
from hoistplank.decision.router import Router
from hoistplank.fakes.first_choice import first_choice
from hoistplank.xds.ranking_cache import RankingCache, ranked_hosts, ranking_key
from tests.helpers import configuration
from tests.xds_rig import PARENT_AND_ORIGIN, S


def test_the_order_is_the_modules_own(tmp_path: Path) -> None:
    site, chance = configuration(tmp_path).router_settings, Random(3)
    weights = {f"box-{n}": 100.0 for n in range(30)}
    router, now = Router(site, 1), 100 * S
    entries = [Endpoint(uid, "z1", "box", 0, units, 0, "up") for uid, units in weights.items()]
    router.handle(now, EndpointsUpdated(EndpointListForm.SNAPSHOT, [*entries, *PARENT_AND_ORIGIN]))
    for n in range(300):
        object_key, part = f"{chance.getrandbits(64):016x}", chance.randrange(4)
        assert (
            first_choice(router, now, n, "page", object_key, part)
            == ranked_hosts(ranking_key(object_key, part), weights)[0]
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
    ranking, followed = RankingCache(), dict[str, int]()
    for what, n, weight in steps:
        before = {name: ranking.first_hosts[name].uid for name in followed}
        moved = set[str]()
        if what == "came":
            moved = ranking.add_host(f"h{n}", weight)
        elif what == "went":
            moved = ranking.remove_host(f"h{n}")
        elif what == "follow":
            followed[f"n{n}"] = ranking_key(f"n{n}", 0)
            ranking.follow(f"n{n}", followed[f"n{n}"])
        else:
            followed.pop(f"n{n}", None)
            ranking.unfollow([f"n{n}"])
        for name, key in followed.items():
            want = ranked_hosts(key, ranking.weights)[0] if ranking.weights else ""
            assert ranking.first_hosts[name].uid == want
            assert name in ranking.names_by_host[want]
            if name in before and before[name] != want:
                assert name in moved


def test_a_host_that_comes_or_goes_moves_its_own_share_alone() -> None:
    keys = [ranking_key(f"{n:016x}", 0) for n in range(3_000)]
    weights = {f"box-{n}": 1.0 for n in range(20)}
    before = [ranked_hosts(key, weights)[0] for key in keys]
    fewer = {uid: weight for uid, weight in weights.items() if uid != "box-7"}
    after = [ranked_hosts(key, fewer)[0] for key in keys]
    assert all(a == b for a, b in zip(before, after, strict=True) if a != "box-7")
    assert 0.03 < before.count("box-7") / len(keys) < 0.07
