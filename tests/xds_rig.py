"""A control service, its change log and proxies on loopback, in one event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from pathlib import Path
from random import Random
from typing import Any

from hoistplank.decision.events import Endpoint
from hoistplank.fakes.change_log import FakeChangeLog
from hoistplank.fakes.proxy import FakeProxy
from hoistplank.fakes.settings import endpoint_entry, fleet_event
from hoistplank.fakes.wire import serve
from hoistplank.xds.broadcaster import StreamLimits
from hoistplank.xds.control import ControlService
from hoistplank.xds.resource_messages import Host
from tests.helpers import configuration

S = 1_000_000


PARENT_AND_ORIGIN = [Endpoint(kind[0], "hub", kind, 0, 100.0, 0, "up") for kind in ("parent", "origin")]


def host(uid: str, up: bool = True, zone: str = "z1", weight: float = 1.0, share: float = 1.0) -> Host:
    return Host(uid, "127.0.0.1", 8080, "caches", zone, 0, weight, 0, up, share)


OBJECTS = [(f"{Random(n).getrandbits(64):016x}", n % 3) for n in range(60)]


class ControlRig:
    """A control process that follows a fake change log, and fake proxies."""

    def __init__(self, folder: Path, hosts: int = 6, limits: StreamLimits | None = None) -> None:
        self.folder, self.log, self.limits = folder, FakeChangeLog(), limits
        self.endpoint_entries = [endpoint_entry(f"box-{n}", "box", 9_000 + n) for n in range(hosts)]
        self.endpoint_entries += [endpoint_entry("p", "parent", 9_100), endpoint_entry("o", "origin", 9_101)]
        self.seq, self.tasks = 1, list[asyncio.Task[Any]]()

    async def __aenter__(self) -> ControlRig:
        self.log_port = await serve(self.log.serve_connection)
        self.control = await self.start_control()
        return self

    async def start_control(self) -> ControlService:
        """Starts a control process that follows the change log."""
        known = {"seq": 1, "results": [fleet_event(1, self.endpoint_entries, whole=True)]}
        control = ControlService(
            configuration(self.folder, changelog=f"127.0.0.1:{self.log_port}", known=known), self.limits
        )
        await control.serve("127.0.0.1:0")
        self.tasks.append(asyncio.create_task(control.run()))
        return control

    async def __aexit__(self, *_: object) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.control.close()

    def proxy(
        self,
        node: str,
        extension: bool,
        control: ControlService | None = None,
        refuses: Callable[[str, Any], str] | None = None,
    ) -> FakeProxy:
        port = (control or self.control).port
        proxy = FakeProxy(f"127.0.0.1:{port}", node, "z1", extension, refuses)
        self.tasks.append(asyncio.create_task(proxy.run()))
        return proxy

    def publish_state(self, uid: str, state: str) -> None:
        self.seq += 1
        entry = next(entry for entry in self.endpoint_entries if entry["uid"] == uid) | {"state": state}
        self.log.publish(fleet_event(self.seq, [entry]))

    def purge(self, group: int, at_ms: float) -> None:
        self.seq += 1
        self.log.publish({"seq": self.seq, "invalidate": {"bucket": group, "time": at_ms}})


async def until(condition: Callable[[], bool], seconds: float = 5.0) -> None:
    deadline = asyncio.get_running_loop().time() + seconds
    while not condition():
        assert asyncio.get_running_loop().time() < deadline, "the condition did not become true in time"
        await asyncio.sleep(0.002)


def run(scene: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(scene, 30))
