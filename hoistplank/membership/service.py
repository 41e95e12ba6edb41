"""The membership service of a dispatcher: observes the change log and persists its list; while the change log
is silent, the dispatcher starts from the persisted list or from seeds."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Coroutine
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import structlog

from hoistplank.membership.fallback import DiscoveryFallback, Dispatcher, wait_forever
from hoistplank.membership.host_records import with_start_time
from hoistplank.membership.host_registry import READY, HostRegistry
from hoistplank.membership.list_recorder import ListRecorder
from hoistplank.operator_configuration.errors import ConfigurationError, Diagnostic
from hoistplank.operator_configuration.schema import Section
from hoistplank.program.configuration import Configuration
from hoistplank.protocol.changelog import Event, Fleet
from hoistplank.routing.clock import Clock
from hoistplank.routing.events import PurgeReceived
from hoistplank.store.schemas import PersistedHost, PersistedList, RemovalHistory

log = structlog.get_logger()

# Added to twice the purge delay: for this long a copy older than the purge may still exist.
PURGE_MARGIN_US = 60_000_000


def seed_hosts(section: Section, now: int) -> list[PersistedHost]:
    """Returns the seed hosts of the operator file."""
    return [
        PersistedHost(
            uid=seed.title,
            endpoint="{}:{}".format(*seed["endpoint"]),
            zone=seed["zone"],
            kind=seed["kind"],
            cell=seed["cell"],
            units=seed["units"],
            boot_ms=0,
            state=READY,
            since_us=now,
        )
        for seed in section["seed"]
    ]


class MembershipService:
    """The membership service, one for each dispatcher. Raises ConfigurationError if there are seeds but none
    in this zone. If the state folder fails, only the freshness of the persisted list suffers."""

    def __init__(
        self, section: Section, file: str, configuration: Configuration, clock: Clock | None = None
    ) -> None:
        self._section = section
        self._configuration = configuration
        self._clock = clock or Clock()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._dispatcher: Dispatcher | None = None
        router_settings = configuration.router_settings
        self.registry = HostRegistry(Random(configuration.seed), router_settings.dispatchers)
        folder = Path(file).parent / section["state"] if section["state"] is not None else None
        purge_retention_us = 2 * router_settings.rules.purge_delay_us + PURGE_MARGIN_US
        log_address = configuration.file.changelog
        self._recorder = ListRecorder(folder, log_address, purge_retention_us, self._report)
        self._load_hosts()
        self._fallback = DiscoveryFallback(
            self.registry, router_settings, self._clock, section["probe-time"] / 1e6, section["patience"]
        )

    def _load_hosts(self) -> None:
        """Loads the hosts of the persisted list, or else the seeds, into the registry."""
        now = self._clock.now()
        state = self._recorder.state
        if state is not None:
            self.registry.load_persisted(
                now, state.hosts, state.last_contact_us, state.history, self._is_relevant
            )
        elif self._section["seed"]:
            seeds = seed_hosts(self._section, now)
            self.registry.load_persisted(now, seeds, now, RemovalHistory(), self._is_relevant)
            self._check_seeds(seeds)

    def _check_seeds(self, seeds: list[PersistedHost]) -> None:
        zone = self._configuration.router_settings.zone
        if all(seed.zone != zone for seed in seeds):
            found = f"no seed in this dispatcher's zone '{zone}'"
            location = self._section.location_of("seed")
            raise ConfigurationError([Diagnostic(location, found, "at least one")])

    def _is_relevant(self, host: PersistedHost) -> bool:
        """True for hosts that the router uses: cache hosts of its own zone, and any parent or origin."""
        settings = self._configuration.router_settings
        return host.zone == settings.zone or host.kind in (settings.parent_kind, settings.origin_kind)

    def attach(self, dispatcher: Dispatcher) -> list[tuple[str, Coroutine[Any, Any, None]]]:
        """Starts the writer, observes the change log, and returns the tasks to run beside the program's."""
        self._dispatcher = dispatcher
        self._loop = asyncio.get_running_loop()
        for note in self._recorder.notes:
            log.warning("persisted state not fully readable", note=note)
        self._recorder.start()
        dispatcher.endpoint_watcher.observer = self
        if self._configuration.known.results:
            # The configuration's list takes precedence: it was supplied for this start.
            for event in self._configuration.known.results:
                self.event_received(event)
            return [("membership", wait_forever())]
        if self._recorder.state is not None:
            self._resume(dispatcher, self._recorder.state)
        return [("membership", self._fallback.run(dispatcher))]

    def _resume(self, dispatcher: Dispatcher, state: PersistedList) -> None:
        log.info(
            "starting from persisted endpoint list",
            hosts=len(self.registry.hosts),
            age_s=round((self._clock.now() - state.last_contact_us) / 1e6),
            of=state.log,
            alive=round(self.registry.survival_probability, 3),
            tries=self.registry.max_probe_attempts,
        )
        for purge in state.purges:
            dispatcher.router_task.submit(PurgeReceived(purge.object_key, purge.group, purge.made_us))

    def event_received(self, event: Event) -> Event:
        """Records an event of the change log; returns it with the start times that its hosts keep."""
        now = self._clock.now()
        is_first_list = event.fleet is not None and not self.registry.is_synced
        hosts = self._recorder.record_event(now, event, is_first_list=is_first_list)
        if event.fleet is None:
            return event
        self.registry.update_listed(now, hosts, whole=event.fleet.all)
        if is_first_list and self._dispatcher is not None:
            self._dispatcher.router_task.attempt_observer = None
            hosts_listed, hosts_carried = len(self._recorder.current), len(self.registry.carried_start_times)
            log.info("first endpoint list received", hosts=hosts_listed, kept=hosts_carried)
        return msgspec.structs.replace(event, fleet=self._with_start_times(event.fleet))

    def _with_start_times(self, fleet: Fleet) -> Fleet:
        targets = [
            with_start_time(target, self.registry.start_time_of(target.uid, int(target.boot_ms * 1_000)))
            for target in fleet.targets
        ]
        return msgspec.structs.replace(fleet, targets=targets)

    def confirmed_current(self) -> None:
        """Records that the change log was reached and has nothing newer."""
        self._recorder.record_contact(self._clock.now())

    def _report(self, text: str) -> None:
        """Logs a line from the writing thread, on the event loop."""
        if self._loop is not None and not self._loop.is_closed():
            with contextlib.suppress(RuntimeError):
                self._loop.call_soon_threadsafe(lambda: log.warning("state writer status changed", note=text))

    def close(self) -> None:
        """Writes what is pending and stops the writer."""
        self._recorder.stop(is_synced=self.registry.is_synced)
