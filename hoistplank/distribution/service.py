"""Runs the distribution in a dispatcher: replicas are followed in place of the change log, and the
configuration that they hand on is taken up."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, Protocol

import structlog

from hoistplank.distribution.assignment import Replica
from hoistplank.distribution.configuration_taker import ConfigurationRefused, TakeUp
from hoistplank.distribution.follower import FollowerSettings, ReplicaFollower
from hoistplank.distribution.versions import Version
from hoistplank.operator_configuration.schema import Section
from hoistplank.program.configuration import Configuration, DispatcherConfigurationError
from hoistplank.routing.endpoint_watcher import EndpointWatcher
from hoistplank.routing.frontend import Frontend
from hoistplank.routing.router_task import RouterTask

log = structlog.get_logger()

# A text with the name that its faults are told by: read and checked, and what is returned takes it up.
ReadText = Callable[[bytes, str], Callable[[], TakeUp]]


class Host(Protocol):
    """What this uses of the program that it is part of."""

    router_task: RouterTask
    frontend: Frontend
    endpoint_watcher: EndpointWatcher


class DistributionService:
    """One for the program. `read` parses a configuration's text, which may be done in a thread; the call
    that it returns checks it against what runs, and returns the call that takes it up."""

    def __init__(self, section: Section, configuration: Configuration, read: ReadText) -> None:
        self.section, self.configuration, self.read = section, configuration, read
        self.follower: ReplicaFollower | None = None

    def settings(self) -> FollowerSettings:
        """Who this dispatcher is, as replicas are told. Each start is a later incarnation than the last."""
        replicas = [Replica(row.title, row["region"], row["endpoint"]) for row in self.section["replica"]]
        name = self.section["name"] or self.configuration.name
        incarnation = time.time_ns() // 1_000_000
        return FollowerSettings(
            name, self.section["region"], incarnation, replicas, silence_us=self.section["silence"]
        )

    def attach(self, host: Host) -> list[tuple[str, Coroutine[Any, Any, None]]]:
        """Takes the place of the change log's watch, before anything else watches it."""
        configuration = self.configuration
        follower = ReplicaFollower(
            host.router_task,
            self.settings(),
            configuration.known,
            Random(configuration.seed),
            configuration.router_settings.rules.drain_grace_us / 1e6,
            self._prepare,
        )
        self.follower = host.endpoint_watcher = follower
        host.router_task.before_turn = follower.check_silence
        host.frontend.intake.health_detail = follower.detail
        return [("distributed configuration", follower.configurations.run())]

    async def _prepare(self, version: Version, text: str) -> TakeUp:
        # Danger: a megabyte takes seconds to parse, in which no request would be answered: a thread does it.
        try:
            check = await asyncio.to_thread(self.read, text.encode(), f"configuration {version}")
            return check()
        except DispatcherConfigurationError as wrong:
            raise ConfigurationRefused(str(wrong)) from None

    def close(self) -> None:
        """Nothing is held beside the tasks."""
