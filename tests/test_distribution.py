"""Distribution: the change log's events through control replicas to dispatchers, and what is in force there."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import uvloop

from hoistplank.distribution.versions import Version
from tests.distribution_rig import EPOCH, Rig, asked
from tests.helpers import until


def run(scene: Coroutine[Any, Any, None]) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(scene, 30))


def at(number: int) -> Version:
    return Version(EPOCH, number)


def test_a_purge_a_host_change_and_a_configuration_are_in_force_everywhere() -> None:
    async def scene() -> None:
        async with Rig(replicas=2) as rig:
            rig.hosts(1, whole=True, a="ready", b="ready")
            each = [rig.dispatcher(f"d{number}") for number in range(3)]
            await until(lambda: all(one.in_force == at(1) for one in each))
            rig.purge(2, "ab")
            rig.hosts(3, b="draining")
            rig.log.configure(4, "(log)")
            await until(lambda: all(one.in_force == at(4) for one in each))
            for one in each:
                assert one.owner.purges == ["ab"] and one.owner.hosts == {"a": "ready", "b": "draining"}
                assert one.configurations == [(at(4), "(log)")] and not one.owner.is_blind
            for replica in rig.replicas:
                # A peer hears within a tenth of a second what the dispatchers of the other have in force.
                await until(lambda replica=replica: replica.table.in_force(0, at(4)).in_force == 3)  # type: ignore[misc]
                status = await asked(replica.address, at(4))
                assert status.change is not None
                assert (status.change.in_force, status.change.total, status.change.missing) == (3, 3, [])
                assert status.configuration.version() == at(4) == status.version.version()

    run(scene())
