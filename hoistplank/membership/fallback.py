"""Serving without the change log: probes the registry's hosts and publishes the usable ones."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Protocol

import structlog

from hoistplank.decision.settings import RouterSettings
from hoistplank.membership.host_records import to_target
from hoistplank.membership.host_registry import HostRegistry
from hoistplank.membership.host_states import USABLE_STATES, Evidence
from hoistplank.membership.probe import probe
from hoistplank.routing.attempt_ending import AttemptEnding
from hoistplank.routing.attempts import Attempt
from hoistplank.routing.clock import Clock
from hoistplank.routing.endpoint_watcher import EndpointWatcher
from hoistplank.routing.events import EndpointListForm, EndpointsUpdated
from hoistplank.routing.router_task import RouterTask
from hoistplank.store.schemas import PersistedHost
from hoistplank.transport.descriptor_budget import ConnectionKind, DescriptorBudget

log = structlog.get_logger()

POLL_INTERVAL_S = 0.02
LOG_INTERVAL_US = 1_000_000
# The evidence that the end of a request's attempt gives on a host that the change log hasn't confirmed. Ends
# that prove nothing are absent.
EVIDENCE_OF_ENDING = {
    AttemptEnding.SERVED: Evidence.REQUEST_SERVED,
    AttemptEnding.NOT_MODIFIED: Evidence.REQUEST_SERVED,
    AttemptEnding.OVERLOADED: Evidence.REQUEST_FAILED,
    AttemptEnding.ERROR: Evidence.REQUEST_FAILED,
    AttemptEnding.TIMED_OUT: Evidence.REQUEST_FAILED,
    AttemptEnding.CONNECTION_REFUSED: Evidence.NO_RESPONSE,
    AttemptEnding.CONNECT_TIMED_OUT: Evidence.NO_RESPONSE,
}
PROBE_RESULTS = (Evidence.HEALTHY, Evidence.DRAINING, Evidence.NO_RESPONSE, Evidence.UNEXPECTED_RESPONSE)


class Dispatcher(Protocol):
    """The parts of the program that membership uses."""

    router_task: RouterTask
    endpoint_watcher: EndpointWatcher
    descriptors: DescriptorBudget
    provisional: bool


async def wait_forever() -> None:
    """Waits until cancelled: the program ends when any of its tasks ends."""
    await asyncio.Event().wait()


class DiscoveryFallback:
    """Probes and publishes the registry's hosts until the change log has sent its list and no probe runs.

    `change_log_wait_us` is the time for which the change log is waited for before registry hosts are used.
    """

    def __init__(
        self,
        registry: HostRegistry,
        router_settings: RouterSettings,
        clock: Clock,
        probe_timeout_s: float,
        change_log_wait_us: int,
    ) -> None:
        self._registry = registry
        self._router_settings = router_settings
        self._clock = clock
        self._probe_timeout_s = probe_timeout_s
        self._change_log_wait_us = change_log_wait_us
        self._probes: set[asyncio.Task[None]] = set()
        self._probe_ended = asyncio.Event()  # so that another can begin
        self._probe_count = 0
        self._result_counts = dict.fromkeys(PROBE_RESULTS, 0)
        self._last_logged_us = 0

    async def run(self, dispatcher: Dispatcher) -> None:
        """Probes until the change log has sent its list, then waits to be cancelled; cancels its probes."""
        run_started_us = self._clock.now()
        dispatcher.router_task.attempt_observer = self._attempt_ended
        try:
            while not (self._registry.is_synced and not self._probes):
                now = self._clock.now()
                self._start_probes(dispatcher, now)
                if now - run_started_us >= self._change_log_wait_us:
                    self._publish(dispatcher, now)
                await self._wait_for_probe()
            await wait_forever()
        finally:
            for task in list(self._probes):
                task.cancel()
            await asyncio.gather(*self._probes, return_exceptions=True)

    async def _wait_for_probe(self) -> None:
        self._probe_ended.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(POLL_INTERVAL_S):
                await self._probe_ended.wait()

    def _start_probes(self, dispatcher: Dispatcher, now: int) -> None:
        for host in self._registry.next_probes(now):
            task = asyncio.create_task(self._probe(dispatcher.descriptors, host), name=f"probe {host.uid}")
            self._probes.add(task)
            task.add_done_callback(self._probes.discard)

    async def _probe(self, descriptors: DescriptorBudget, host: PersistedHost) -> None:
        evidence = Evidence.NO_RESPONSE
        has_descriptor = descriptors.acquire(ConnectionKind.CACHE_HOST)
        try:
            if has_descriptor:
                evidence = await probe(host.endpoint, self._probe_timeout_s)
        finally:
            if has_descriptor:
                descriptors.release(ConnectionKind.CACHE_HOST)
            self._probe_count += 1
            self._result_counts[evidence] += 1
            self._registry.probe_completed(self._clock.now(), host.uid, evidence)
            self._probe_ended.set()

    def _publish(self, dispatcher: Dispatcher, now: int) -> None:
        """Gives the usable hosts to the router task if they changed and the change log has sent no list."""
        if not self._registry.usable_changed or self._registry.is_synced:
            return
        targets = [to_target(row.host, row.started_us) for row in self._registry.usable_hosts()]
        dispatcher.router_task.submit(EndpointsUpdated(EndpointListForm.PROBED, targets))
        dispatcher.provisional |= self._can_serve()
        if now - self._last_logged_us > LOG_INTERVAL_US:
            self._last_logged_us = now
            results = {evidence.value: count for evidence, count in self._result_counts.items()}
            log.info(
                "unconfirmed endpoint list published",
                **self._registry.count_by_state(),
                probes=self._probe_count,
                **results,
            )

    def _can_serve(self) -> bool:
        """True if a cache host of this zone and a source to fill from are usable."""
        sources = (self._router_settings.parent_kind, self._router_settings.origin_kind)
        usable = [entry.host for entry in self._registry.hosts.values() if entry.state in USABLE_STATES]
        has_cache = any(
            host.kind not in sources and host.zone == self._router_settings.zone for host in usable
        )
        return has_cache and any(host.kind in sources for host in usable)

    def _attempt_ended(self, attempt: Attempt, ending: AttemptEnding) -> None:
        """Records the outcome of a request at a host: the only sign of a drain that no log reports."""
        evidence = EVIDENCE_OF_ENDING.get(ending)
        if evidence is not None:
            self._registry.record(self._clock.now(), attempt.host, evidence)
