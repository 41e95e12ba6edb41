"""The control service's resources, built from hosts, purges and followed names."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hoistplank.fakes.proxy import virtual_host_name
from hoistplank.protocol.changelog import Target
from hoistplank.routing.events import EndpointListForm, EndpointsUpdated, EndpointWatchFailed, PurgeReceived
from hoistplank.xds.control import ControlService
from hoistplank.xds.ranking_cache import ranked_hosts, ranking_key
from hoistplank.xds.resource_types import (
    CLUSTER_TYPE,
    ENDPOINT_TYPE,
    ROUTES_NAME,
    RUNTIME_TYPE,
    VIRTUAL_HOST_TYPE,
    parse_virtual_host_name,
)
from hoistplank.xds.resources import ResourceCache
from tests.helpers import configuration
from tests.xds_rig import S, host, run


def test_equal_hosts_give_equal_bytes_regardless_of_history() -> None:
    one, two, rows = ResourceCache(), ResourceCache(), [host(f"h{n}") for n in range(12)]
    for row in rows:
        one.put_host(row)
    one.put_host(host("h3", up=False))
    for row in reversed(rows):
        two.put_host(host(row.uid, share=0.4))
    two.put_host(host("gone"))
    two.remove_host("gone")
    for row in reversed(rows):
        two.put_host(row if row.uid != "h3" else host("h3", up=False))
    assert one.by_type[ENDPOINT_TYPE] == two.by_type[ENDPOINT_TYPE]
    assert one.by_type[CLUSTER_TYPE] == two.by_type[CLUSTER_TYPE]


def test_changes_without_effect_are_not_reported_and_one_host_encodes_one_endpoint() -> None:
    resources = ResourceCache()
    for n in range(1_000):
        resources.put_host(host(f"h{n}", zone=f"z{n % 10}"))
    resources.endpoints_encoded = 0
    assert resources.put_host(host("h17", zone="z7")) == set()
    assert resources.put_host(host("h17", zone="z7", up=False)) == {(ENDPOINT_TYPE, "caches-z7")}
    assert resources.endpoints_encoded == 1
    assert resources.put_host(host("h17", zone="z2")) == {
        (ENDPOINT_TYPE, "caches-z7"),
        (ENDPOINT_TYPE, "caches-z2"),
    }
    assert (
        resources.remove_host("h17") == {(ENDPOINT_TYPE, "caches-z2")}
        and resources.remove_host("h17") == set()
    )


def test_purges_are_kept_for_the_retention() -> None:
    resources = ResourceCache(purge_retention_us=10 * S)
    assert resources.add_purge(5 * S, "", 7, 5 * S) == {(RUNTIME_TYPE, "purges")}
    assert resources.add_purge(6 * S, "", 7, 4 * S) == set()  # the purge time is not lowered
    assert resources.add_purge(20 * S, "aa", 0, 20 * S) == {
        (RUNTIME_TYPE, "purges")
    } and resources.purges.purged_us == {"aa": 20 * S}


def test_purge_received_late_is_kept_for_the_whole_retention() -> None:
    resources = ResourceCache(purge_retention_us=10 * S)
    assert resources.add_purge(3_600 * S, "aa", 0, 5 * S) == {(RUNTIME_TYPE, "purges")}
    assert resources.purges.purged_us == {"aa": 5 * S}
    for second in range(3_601, 3_610):
        resources.add_purge(second * S, "repeated", 0, second * S)
        assert resources.purges.purged_us["aa"] == 5 * S
    resources.add_purge(3_611 * S, "repeated", 0, 3_611 * S)
    assert resources.purges.purged_us == {"repeated": 3_611 * S} and list(resources.purges.received_us) == [
        "repeated"
    ]


@given(st.text(max_size=40))
def test_names_on_demand_are_parsed_or_not_followed(text: str) -> None:
    assert ResourceCache().follow(text) is (parse_virtual_host_name(text) is not None)
    found = parse_virtual_host_name(f"{ROUTES_NAME}/{text}")
    assert found is None or parse_virtual_host_name(virtual_host_name(*found)) == found


def test_virtual_host_names_are_unchanged_on_the_wire() -> None:
    """Proxies are configured with these names (docs/operations/xds.md)."""
    assert virtual_host_name("00aa", 3, "z1") == "visits/00aa.3@z1"
    assert (
        parse_virtual_host_name("visits/00aa.3@z1") == ("00aa", 3, "z1")
        and parse_virtual_host_name("requests/00aa.3@z1") is None
    )


def test_virtual_hosts_change_with_the_first_host() -> None:
    resources = ResourceCache()
    for n in range(5):
        resources.put_host(host(f"h{n}"))
    names = [virtual_host_name(f"{n:016x}", 0, "z1") for n in range(40)]
    assert all(resources.follow(name) for name in names)
    first = {name: resources.rankings["caches-z1"].first_hosts[name].uid for name in names}
    moved = resources.put_host(host("h2", up=False))
    assert {name for kind, name in moved if kind == VIRTUAL_HOST_TYPE} == {
        n for n in names if first[n] == "h2"
    }
    back = resources.put_host(host("h2"))
    assert {name for kind, name in back if kind == VIRTUAL_HOST_TYPE} == {
        n for n in names if first[n] == "h2"
    }
    for name in names:
        resources.unfollow(name)
    assert not resources.by_type[VIRTUAL_HOST_TYPE] and not resources.follower_counts


def test_cold_hosts_get_their_slow_start_share_until_warm(tmp_path: Path) -> None:
    async def scene() -> None:
        control = ControlService(configuration(tmp_path))
        now = control.clock.now()
        rows = [Target(f"box-{n}", f"127.0.0.1:{9_000 + n}", "z1", "box", 0, "ready", 1.0) for n in range(5)]
        cold = Target("box-9", "127.0.0.1:9009", "z1", "box", 0, "ready", 1.0, now / 1_000)
        control.submit(EndpointsUpdated(EndpointListForm.SNAPSHOT, [*rows, cold]))
        assert control.resources.hosts["box-9"].share == pytest.approx(
            control.settings.rules.warm_up_initial_share, abs=0.1
        )
        keys = [ranking_key(f"{n:016x}", 0) for n in range(2_000)]
        weights = control.resources.rankings["caches-z1"].weights
        got = sum(ranked_hosts(key, weights)[0] == "box-9" for key in keys) / len(keys)
        assert got < 1.5 * control.settings.rules.warm_up_initial_share / 5.2
        control.clock.offset_ns += control.settings.rules.warm_up_us * 1_000
        control.update_warming_hosts()
        assert control.resources.hosts["box-9"].share == 1.0
        now = control.clock.now()
        control.submit(PurgeReceived("", 3, now))
        control.submit(EndpointWatchFailed())
        control.submit(EndpointsUpdated(EndpointListForm.SNAPSHOT, rows))
        assert "box-9" not in control.resources.hosts and control.resources.purges.purged_us == {
            "group.3": now
        }

    run(scene())
