"""The control service ranks hosts as the dispatcher does."""

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


def test_ranking_gives_the_routers_first_choice(tmp_path: Path) -> None:
    router_settings, random = configuration(tmp_path).router_settings, Random(3)
    weights = {f"box-{n}": 100.0 for n in range(30)}
    router, now = Router(router_settings, 1), 100 * S
    entries = [Endpoint(uid, "z1", "box", 0, units, 0, "up") for uid, units in weights.items()]
    router.handle(now, EndpointsUpdated(EndpointListForm.SNAPSHOT, [*entries, *PARENT_AND_ORIGIN]))
    for n in range(300):
        object_key, part = f"{random.getrandbits(64):016x}", random.randrange(4)
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
            st.sampled_from(["add", "remove", "follow", "unfollow"]),
            st.integers(0, 9),
            st.sampled_from([0.1, 1.0, 4.0]),
        ),
        max_size=60,
    )
)
def test_index_of_first_hosts_equals_a_full_ranking(steps: list[tuple[str, int, float]]) -> None:
    ranking, followed = RankingCache(), dict[str, int]()
    for step, n, weight in steps:
        firsts_before = {name: ranking.first_hosts[name].uid for name in followed}
        moved = set[str]()
        if step == "add":
            moved = ranking.add_host(f"h{n}", weight)
        elif step == "remove":
            moved = ranking.remove_host(f"h{n}")
        elif step == "follow":
            followed[f"n{n}"] = ranking_key(f"n{n}", 0)
            ranking.follow(f"n{n}", followed[f"n{n}"])
        else:
            followed.pop(f"n{n}", None)
            ranking.unfollow([f"n{n}"])
        for name, key in followed.items():
            expected = ranked_hosts(key, ranking.weights)[0] if ranking.weights else ""
            assert ranking.first_hosts[name].uid == expected
            assert name in ranking.names_by_host[expected]
            if name in firsts_before and firsts_before[name] != expected:
                assert name in moved


def test_removed_host_moves_only_its_own_names() -> None:
    keys = [ranking_key(f"{n:016x}", 0) for n in range(3_000)]
    weights = {f"box-{n}": 1.0 for n in range(20)}
    firsts_before = [ranked_hosts(key, weights)[0] for key in keys]
    fewer = {uid: weight for uid, weight in weights.items() if uid != "box-7"}
    firsts_after = [ranked_hosts(key, fewer)[0] for key in keys]
    assert all(a == b for a, b in zip(firsts_before, firsts_after, strict=True) if a != "box-7")
    assert 0.03 < firsts_before.count("box-7") / len(keys) < 0.07
