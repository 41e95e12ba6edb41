"""The control service's resources: names, versions and bytes as an earlier text made them."""

from __future__ import annotations

from typing import Any

import pytest

from hoistplank.xds.resource_messages import Host
from hoistplank.xds.resources import ResourceCache
from tests.fixture_files import as_json, fixture_json

FIXTURE: dict[str, Any] = fixture_json("xds.json")
FACTS: dict[str, Any] = FIXTURE["facts"]


def test_the_same_facts_give_the_same_resources_byte_for_byte() -> None:
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
def test_a_name_that_was_refused_is_refused(name: str) -> None:
    assert not ResourceCache().follow(name)
