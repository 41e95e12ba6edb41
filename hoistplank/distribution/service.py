"""Runs the distribution in a dispatcher: it follows replicas in place of the change log, and applies the
configuration that they forward."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, Protocol, TypeAlias

from hoistplank.distribution.assignment import ReplicaAddress
from hoistplank.distribution.configuration_applier import ApplyConfiguration
from hoistplank.distribution.errors import ConfigurationRefusedError
from hoistplank.distribution.follower import FollowerSettings, ReplicaFollower
from hoistplank.distribution.versions import Version
from hoistplank.operator_configuration.schema import Section
from hoistplank.program.configuration import Configuration, DispatcherConfigurationError
from hoistplank.routing.endpoint_watcher import EndpointWatcher
from hoistplank.routing.frontend import Frontend
from hoistplank.routing.router_task import RouterTask

# Parses a text, given the name that its faults are reported under; calling the result checks it against the
# running configuration.
ParseConfiguration: TypeAlias = Callable[[bytes, str], Callable[[], ApplyConfiguration]]


class DispatcherProgram(Protocol):
    """The interface of the dispatcher program that the service extends."""

    router_task: RouterTask
    frontend: Frontend
    endpoint_watcher: EndpointWatcher


class DistributionService:
    """The distribution of one dispatcher."""

    def __init__(self, section: Section, configuration: Configuration, parse: ParseConfiguration) -> None:
        """`parse` may be called in a thread; the call that it returns is made on the event loop."""
        self.section = section
        self.configuration = configuration
        self.parse = parse
        self.follower: ReplicaFollower | None = None

    def settings(self) -> FollowerSettings:
        """Returns this dispatcher's settings. Each start has a higher incarnation than the one before."""
        replicas = [
            ReplicaAddress(row.title, row["region"], row["endpoint"]) for row in self.section["replica"]
        ]
        name = self.section["name"] or self.configuration.name
        incarnation = time.time_ns() // 1_000_000
        return FollowerSettings(
            name, self.section["region"], incarnation, replicas, silence_us=self.section["silence"]
        )

    def attach(self, program: DispatcherProgram) -> list[tuple[str, Coroutine[Any, Any, None]]]:
        """Replaces the change log's watcher, before anything else refers to it.

        Returns the names and coroutines of the tasks that the program is to run.
        """
        configuration = self.configuration
        follower = ReplicaFollower(
            program.router_task,
            self.settings(),
            configuration.known,
            Random(configuration.seed),
            configuration.router_settings.rules.shortest_grace_us / 1e6,
            self._prepare,
        )
        self.follower = program.endpoint_watcher = follower
        program.router_task.before_turn = follower.check_silence
        program.frontend.intake.health_detail = follower.detail
        return [("distributed configuration", follower.configurations.run())]

    async def _prepare(self, version: Version, text: str) -> ApplyConfiguration:
        # In a thread: a megabyte takes seconds to parse, in which the event loop would answer no request.
        try:
            check = await asyncio.to_thread(self.parse, text.encode(), f"configuration {version}")
            return check()
        except DispatcherConfigurationError as error:
            raise ConfigurationRefusedError(str(error)) from error

    def close(self) -> None:
        """Releases nothing: the program owns the tasks."""
