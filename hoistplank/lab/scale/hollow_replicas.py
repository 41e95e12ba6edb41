"""Hollow dispatchers that follow control replicas, by the program's own `ReplicaFollower`.

What stands in for the program: a configuration's text is parsed and checked against its forms once for all
dispatchers of a process, where each real one does that for itself (in a thread; some 6 ms for an operator's
file of 1 KB), and taking it up changes nothing but the version that is in force.
"""

from __future__ import annotations

import asyncio

from hoistplank.distribution.assignment import ReplicaAddress
from hoistplank.distribution.configuration_applier import ApplyConfiguration
from hoistplank.distribution.errors import ConfigurationRefusedError
from hoistplank.distribution.follower import FollowerSettings, ReplicaFollower
from hoistplank.distribution.versions import NOTHING, Version
from hoistplank.lab.scale.hollow import HollowOwner, Position, Source
from hoistplank.operator_configuration.errors import ConfigurationError
from hoistplank.program.sections import parse_file

_checks: dict[Version, asyncio.Task[None]] = {}  # of this process


async def _check(version: Version, text: str) -> None:
    await asyncio.to_thread(parse_file, text.encode(), f"configuration {version}")


class ReplicaFollowing:
    """A `ReplicaFollower` as the rig's follower."""

    def __init__(self, hearer: HollowOwner, source: Source) -> None:
        self.taken = NOTHING  # the configuration in force
        replicas = [
            ReplicaAddress(f"c{number}", f"r{number}", address)
            for number, address in enumerate(source.addresses)
        ]
        settings = FollowerSettings(source.name, source.region, source.life, replicas)
        self.following = ReplicaFollower(
            hearer, settings, source.known, source.chance, source.grace_s, self._prepare
        )
        hearer.before_turn = self.following.check_silence

    async def _prepare(self, version: Version, text: str) -> ApplyConfiguration:
        checking = _checks.get(version)
        if checking is None:
            checking = _checks[version] = asyncio.create_task(_check(version, text))
        try:
            await asyncio.shield(checking)
        except ConfigurationError as wrong:
            raise ConfigurationRefusedError(str(wrong)) from None
        return lambda: self._take_up(version)

    def _take_up(self, version: Version) -> None:
        self.taken = version

    def position(self) -> Position:
        return Position(*self.following.state.resume_at)

    def configured(self) -> Position:
        return Position(*self.taken)

    def reconnects(self) -> int:
        return self.following.rate_limited_log.counts.get("control replica lost", 0)

    async def run(self) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(self.following.run())
            group.create_task(self.following.configurations.run())
