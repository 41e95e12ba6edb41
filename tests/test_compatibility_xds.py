"""The control service's resources have the names, versions and bytes that an earlier version recorded."""

from __future__ import annotations

from typing import Any

import pytest

from hoistplank.xds.resource_messages import Host
from hoistplank.xds.resources import ResourceCache
from tests.fixture_files import as_json, fixture_json

FIXTURE: dict[str, Any] = fixture_json("xds.json")
FACTS: dict[str, Any] = FIXTURE["facts"]


def test_recorded_state_gives_the_recorded_resources_byte_for_byte() -> None:
    cache = ResourceCache()
    for host in FACTS["hosts"]:
        cache.put_host(Host(*host))
    for name in FACTS["followed"]:
        assert cache.follow(name), name
    for purge in FACTS["purges"]:
        cache.add_purge(*purge)
    found = {
        type_url: {name: [row.version, row.data.hex()] for name, row in rows.items()}
        for type_url, rows in cache.by_type.items()
    }
    assert as_json(found) == as_json(FIXTURE["resources"])


@pytest.mark.parametrize("name", FACTS["refused"])
def test_recorded_invalid_names_are_not_followed(name: str) -> None:
    assert not ResourceCache().follow(name)
