"""Follows the change log and keeps resources and followers in step with it: `hoistplank control run`."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from random import Random
from typing import Any

import structlog

from hoistplank.decision.settings import RouterSettings
from hoistplank.program.configuration import Configuration
from hoistplank.protocol.changelog import Target
from hoistplank.routing.clock import Clock
from hoistplank.routing.endpoint_watcher import EndpointWatcher
from hoistplank.routing.events import EndpointsUpdated, Event, PurgeReceived
from hoistplank.xds.resources import ORIGIN, PARENTS, Host, ResourceCache
from hoistplank.xds.service import Hub, Limits, server

log = structlog.get_logger()
TICK_S = 0.25


def seen(site: RouterSettings, target: Target, now: int) -> Host:
    """A target of the change log as followers see it."""
    address, port = target.address()
    kinds = {site.origin_kind: ORIGIN, site.parent_kind: PARENTS}
    tier = kinds.get(target.model, "caches")
    told = site.links_declared and target.capacity_hint > 0
    host = Host(
        target.uid,
        address,
        port,
        tier,
        target.az,
        target.pod_group,
        target.capacity_hint if told else 1.0,
        int(target.boot_ms * 1000),
        target.state == "ready",
    )
    return replace(host, share=warmth(site, host, now))


def warmth(site: RouterSettings, host: Host, now: int) -> float:
    """Of its weight, what a host may have now: what the settings say of a cold one, in tenths, so that
    warming is some ten changes and not one each tick.

    Danger: all followers together would push a cold host over.
    """
    rules = site.rules
    least, long = rules.warm_up_initial_share, rules.warm_up_us
    if host.tier == PARENTS:
        least, long = rules.parent_warm_up_initial_share, rules.parent_warm_up_us
    since = now - host.started_us
    if host.tier == ORIGIN or host.started_us <= 0 or since >= long:
        return 1.0
    return max(0.05, int(10 * (least + (1 - least) * max(0, since) / long)) / 10)


class Control:
    """One control process: the change log in, resources out. It is the `EndpointWatcher`'s hearer."""

    def __init__(self, configuration: Configuration, limits: Limits | None = None) -> None:
        self.site, self.clock = configuration.router_settings, Clock()
        self.resources = ResourceCache(configuration.router_settings.purge_hold_us)
        self.hub = Hub(self.resources, self.clock.now, limits)
        self.server: Any = None
        self.port = 0
        self.endpoint_watcher = EndpointWatcher(
            self, configuration.changelog, configuration.known, Random(configuration.seed)
        )

    def submit(self, event: Event) -> None:
        """What the change log says, in order; followers are told at once, drains and purges first."""
        now = self.clock.now()
        if isinstance(event, PurgeReceived):
            self.hub.tell(
                self.resources.purged(now, event.object_key, event.purge_group, event.made_us), urgent=True
            )
        elif isinstance(event, EndpointsUpdated):
            known, named = self.resources.hosts, {target.uid for target in event.targets}
            gone = {target.uid for target in event.targets if target.state == "gone"}
            if event.form != "changes":
                gone |= {uid for uid in known if uid not in named}
            left = gone | {target.uid for target in event.targets if target.state != "ready"}
            urgent = any(uid in known and known[uid].up for uid in left)
            there = [seen(self.site, target, now) for target in event.targets if target.uid not in gone]
            self.hub.tell(self.resources.listed(there, gone), urgent)

    def warm(self) -> None:
        """Cold hosts get what their time allows by now."""
        now = self.clock.now()
        self.resources.passed(now)
        cold = [host for host in self.resources.hosts.values() if host.share < 1.0]
        warmer = [replace(host, share=warmth(self.site, host, now)) for host in cold]
        self.hub.tell(self.resources.listed(warmer, []))

    async def serve(self, address: str, credentials: Any = None) -> int:
        """Starts to serve followers at HOST:PORT; returns the port. Raises OSError."""
        self.server = server(self.hub)
        try:
            port = (
                self.server.add_secure_port(address, credentials)
                if credentials is not None
                else self.server.add_insecure_port(address)
            )
        except RuntimeError as wrong:
            raise OSError(str(wrong)) from None
        await self.server.start()
        self.port = int(port)
        return self.port

    async def run(self) -> None:
        """Until it is cancelled: the log is followed, hosts warm, late followers are renewed."""
        following = asyncio.create_task(self.endpoint_watcher.run(), name="change log")
        try:
            while not following.done():
                await asyncio.sleep(TICK_S)
                self.warm()
                for node in self.hub.renew_late():
                    log.warning("follower renewed: it did not accept a drain or a purge in time", node=node)
        finally:
            following.cancel()
            await asyncio.gather(following, return_exceptions=True)

    async def close(self) -> None:
        if self.server is not None:
            await self.server.stop(0.2)
