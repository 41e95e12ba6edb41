"""Follows the change log and updates resources and followers from it: `hoistplank control run`."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from random import Random
from typing import Any

import structlog

from hoistplank.decision.list_confirmation import ListConfirmation
from hoistplank.decision.settings import RouterSettings
from hoistplank.program.configuration import Configuration
from hoistplank.protocol.changelog import Target
from hoistplank.routing.clock import Clock
from hoistplank.routing.endpoint_watcher import EndpointWatcher
from hoistplank.routing.events import (
    EndpointListForm,
    EndpointsUpdated,
    EndpointWatchStageChanged,
    Event,
    PurgeReceived,
)
from hoistplank.xds.broadcaster import Broadcaster, StreamLimits
from hoistplank.xds.discovery_service import discovery_server
from hoistplank.xds.resource_messages import Host
from hoistplank.xds.resource_types import ORIGIN_CLUSTER, PARENTS_CLUSTER
from hoistplank.xds.resources import ResourceCache

log = structlog.get_logger()
UPDATE_INTERVAL_S = 0.25
CONFIRMATION_CHECK_S = 0.02
STOP_TIMEOUT_S = 0.2  # for streams to end
CACHES_TIER = "caches"
MIN_SHARE = 0.05  # of its weight, so that a cold host always gets some requests


def host_of(settings: RouterSettings, target: Target, now_us: int) -> Host:
    """Returns a target of the change log as it is sent to followers."""
    address, port = target.address()
    tiers = {settings.origin_kind: ORIGIN_CLUSTER, settings.parent_kind: PARENTS_CLUSTER}
    is_weighted = settings.links_declared and target.capacity_hint > 0
    host = Host(
        uid=target.uid,
        address=address,
        port=port,
        tier=tiers.get(target.model, CACHES_TIER),
        zone=target.az,
        cell=target.pod_group,
        weight=target.capacity_hint if is_weighted else 1.0,
        started_us=int(target.boot_ms * 1000),
        up=target.state == "ready",
    )
    return replace(host, share=slow_start_share(settings, host, now_us))


def slow_start_share(settings: RouterSettings, host: Host, now_us: int) -> float:
    """Returns the share of a host's weight that followers may use now, by the settings of slow start.

    Without slow start all followers together would overload a cold host. The share rises in tenths, so that
    a host's warm-up takes about ten changes and not one at each update.
    """
    rules = settings.rules
    start_share, duration_us = rules.warm_up_initial_share, rules.warm_up_us
    if host.tier == PARENTS_CLUSTER:
        start_share, duration_us = rules.parent_warm_up_initial_share, rules.parent_warm_up_us
    elapsed_us = now_us - host.started_us
    if host.tier == ORIGIN_CLUSTER or host.started_us <= 0 or elapsed_us >= duration_us:
        return 1.0
    share = start_share + (1 - start_share) * max(0, elapsed_us) / duration_us
    return max(MIN_SHARE, int(10 * share) / 10)


class ControlService:
    """One control process: turns events of the change log, from its watcher, into resources."""

    def __init__(self, configuration: Configuration, limits: StreamLimits | None = None) -> None:
        self.settings = configuration.router_settings
        self.clock = Clock()
        self.resources = ResourceCache(configuration.router_settings.purge_hold_us)
        self.broadcaster = Broadcaster(self.resources, self.clock.now, limits)
        rules = configuration.router_settings.rules
        self.list_confirmation = ListConfirmation(rules.drain_grace_us, rules.purge_grace_us)
        self.server: Any = None  # of grpc.aio, which has no types
        self.port = 0
        random = Random(configuration.seed)
        self.endpoint_watcher = EndpointWatcher(
            self, configuration.changelog, configuration.known, random, rules.shortest_grace_us / 1e6
        )

    def submit(self, event: Event) -> None:
        """Applies an event of the change log and publishes its changes at once, drains and purges first."""
        if isinstance(event, PurgeReceived):
            now = self.clock.now()
            changes = self.resources.add_purge(now, event.object_key, event.purge_group, event.made_us)
            self.broadcaster.publish(changes, urgent=True)
        elif isinstance(event, EndpointsUpdated):
            self._update_hosts(event)
        elif isinstance(event, EndpointWatchStageChanged):
            self.list_confirmation.observe(self.clock.now(), event.stage)

    async def wait_until_confirmed(self) -> None:
        """Returns once the endpoint list may be sent: the log has confirmed it, or the maximum wait for that
        is over. The log has to be followed meanwhile (`run`)."""
        while not self.list_confirmation.permits_attempts(self.clock.now()):  # noqa: ASYNC110
            await asyncio.sleep(CONFIRMATION_CHECK_S)  # no event signals the end of the wait

    def _update_hosts(self, event: EndpointsUpdated) -> None:
        now = self.clock.now()
        known = self.resources.hosts
        removed = {target.uid for target in event.targets if target.state == "gone"}
        if event.form != EndpointListForm.CHANGES:
            listed = {target.uid for target in event.targets}
            removed |= {uid for uid in known if uid not in listed}
        unusable = removed | {target.uid for target in event.targets if target.state != "ready"}
        is_urgent = any(uid in known and known[uid].up for uid in unusable)
        hosts = [host_of(self.settings, target, now) for target in event.targets if target.uid not in removed]
        self.broadcaster.publish(self.resources.update_hosts(hosts, removed), urgent=is_urgent)

    def update_warming_hosts(self) -> None:
        """Updates the slow-start share of warming hosts, and drops expired purges."""
        now = self.clock.now()
        self.resources.remove_expired_purges(now)
        warming = [host for host in self.resources.hosts.values() if host.share < 1.0]
        updated = [replace(host, share=slow_start_share(self.settings, host, now)) for host in warming]
        self.broadcaster.publish(self.resources.update_hosts(updated, []))

    async def serve(self, address: str, credentials: Any = None) -> int:
        """Starts serving followers at HOST:PORT; returns the port. Raises OSError."""
        self.server = discovery_server(self.broadcaster)
        try:
            port = (
                self.server.add_secure_port(address, credentials)
                if credentials is not None
                else self.server.add_insecure_port(address)
            )
        except RuntimeError as error:
            raise OSError(str(error)) from error
        await self.server.start()
        self.port = int(port)
        return self.port

    async def run(self) -> None:
        """Follows the log, updates warming hosts and ends late streams, until it is cancelled."""
        following = asyncio.create_task(self.endpoint_watcher.run(), name="change log")
        try:
            while not following.done():
                await asyncio.sleep(UPDATE_INTERVAL_S)
                self.update_warming_hosts()
                for node in self.broadcaster.end_late_streams():
                    log.warning("follower's stream ended: drain or purge not accepted in time", node=node)
        finally:
            following.cancel()
            await asyncio.gather(following, return_exceptions=True)

    async def close(self) -> None:
        """Stops serving followers."""
        if self.server is not None:
            await self.server.stop(STOP_TIMEOUT_S)
