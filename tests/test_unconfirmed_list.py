"""Attempts while the endpoint list is unconfirmed, after a restart or the loss of the change log.

The tests guard against attempts that use a host which began to drain before a dispatcher's restart. Five
restarted dispatchers each sent one, in the traced case 32 ms after the phase `serving` began. The list of the
configuration is as old as the start and may lack the drain. A dispatcher that served by it without waiting
for the change log's answer sent 1, 88 and 228 requests with the drained fill source when the answer was
delayed by 0, 0.5 and 2 s. The last of them were sent 0.008, 0.503 and 2.001 s after `serving` began, and none
after the answer.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from pathlib import Path

import pytest

from hoistplank.fakes.cache_host import FakeCacheServer
from hoistplank.fakes.deployment import Deployment
from hoistplank.fakes.fault_proxy import FaultProxy
from hoistplank.fakes.settings import endpoint_entry, fleet_event
from hoistplank.fakes.wire import FastCgiClient
from tests.scene_runner import run_scene

REQUEST_INTERVAL_S = 0.01
SERVED_AGAIN_S = 3.0


class Requests:
    """Sends requests at a fixed interval, each over its own connection, and records their statuses."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.statuses = list[int]()
        self._count = 0
        self._sent: set[asyncio.Task[None]] = set()

    @staticmethod
    def object_of(number: int) -> str:
        """Returns the object key that a request asks for."""
        return f"{number:016x}"

    async def send_for(self, seconds: float) -> None:
        """Sends a request every `REQUEST_INTERVAL_S`, then waits for all answers."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            self._sent.add(asyncio.create_task(self._send()))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        await asyncio.gather(*self._sent)

    async def wait_until_served(self) -> None:
        """Sends requests one by one until one is served: a full core may reject some of them."""
        until = asyncio.get_running_loop().time() + SERVED_AGAIN_S
        while asyncio.get_running_loop().time() < until:
            await self._send()
            if self.statuses[-1] == 200:
                return
        raise AssertionError(f"no request was served within {SERVED_AGAIN_S} s")

    async def _send(self) -> None:
        self._count += 1
        number = self._count
        client: FastCgiClient | None = None
        while client is None:  # until the dispatcher listens
            with contextlib.suppress(ConnectionRefusedError):
                client = await self.deployment.client()
            await asyncio.sleep(REQUEST_INTERVAL_S)
        client.send(number, "page", {"HTTP_X_SUBJECT": self.object_of(number)})
        self.statuses.append((await asyncio.wait_for(client.read_answer(), 5))[1])
        client.writer.close()


async def restart_behind(deployment: Deployment, log_proxy: FaultProxy, answer_delay_s: float) -> None:
    """Kills the dispatcher and configures its next start: the current list, and the log via the proxy."""
    await deployment.kill()
    deployment.log_port, log_proxy.answer_delay_s = log_proxy.port, answer_delay_s
    deployment.configure()


def sent_to(deployment: Deployment, drained_host: FakeCacheServer) -> list[str]:
    """Returns the ids of attempts that were sent to a host or name it as their fill source."""
    return [
        received.request_id
        for server in deployment.servers
        for received in server.received
        if server is drained_host or received.source == drained_host.uid
    ]


@pytest.mark.parametrize("answer_delay_s", [0.0, 0.5, 2.0])
def test_restarted_dispatcher_sends_no_attempts_before_the_change_log_answers(
    tmp_path: Path, answer_delay_s: float
) -> None:
    async def scene() -> None:
        async with Deployment(tmp_path) as deployment, FaultProxy(deployment.log_port) as log_proxy:
            await restart_behind(deployment, log_proxy, answer_delay_s)
            for drained_host in (deployment.caches[0], deployment.parent):
                deployment.set_state(drained_host, "draining")
            await deployment.spawn()
            requests = Requests(deployment)
            await requests.send_for(answer_delay_s + 2.0)  # the log sends its position within a second
            assert not sent_to(deployment, deployment.caches[0])
            assert not sent_to(deployment, deployment.parent)
            # Held requests are answered in time, and requests are served once the log has answered.
            assert set(requests.statuses) <= {200, 503}
            await requests.wait_until_served()
            assert not sent_to(deployment, deployment.caches[0]) and not sent_to(
                deployment, deployment.parent
            )

    run_scene(scene())


@pytest.mark.parametrize("answer_delay_s", [0.0, 1.0, 2.0])
def test_dispatcher_that_lost_the_change_log_holds_requests_until_it_answers(
    tmp_path: Path, answer_delay_s: float
) -> None:
    """Without a restart: the connection to the log ends, a host drains, and the log answers the next
    connection late."""

    async def scene() -> None:
        async with Deployment(tmp_path) as deployment, FaultProxy(deployment.log_port) as log_proxy:
            await restart_behind(deployment, log_proxy, 0.0)
            await deployment.start()
            requests = Requests(deployment)
            await requests.send_for(0.3)
            log_proxy.answer_delay_s = answer_delay_s
            await log_proxy.cut()
            drained_host = deployment.caches[0]
            deployment.set_state(drained_host, "draining")
            await requests.send_for(0.3)  # the grace period and attempts in transit
            sent_before = len(sent_to(deployment, drained_host))
            await requests.send_for(answer_delay_s + 2.0)
            assert len(sent_to(deployment, drained_host)) == sent_before
            assert set(requests.statuses) <= {200, 503}
            await requests.wait_until_served()

    run_scene(scene())


def test_restarted_dispatcher_serves_no_copy_that_was_purged_before_its_start(tmp_path: Path) -> None:
    """Purges are in the change log, too: the configuration has none from after it was written."""

    async def scene() -> None:
        async with Deployment(tmp_path) as deployment, FaultProxy(deployment.log_port) as log_proxy:
            requests = Requests(deployment)
            for number in range(1, 40):
                for cache in deployment.caches:
                    cache.store_copy(requests.object_of(number))
            await asyncio.sleep(0.01)
            await restart_behind(deployment, log_proxy, 1.5)
            made_ms = int(time.time() * 1e3)
            for number in range(1, 40):
                deployment.directory.purged[requests.object_of(number)] = (made_ms, time.time())
                deployment.publish(invalidate={"object": requests.object_of(number), "time": made_ms})
            await deployment.spawn()
            await requests.send_for(3.5)
            assert not deployment.directory.stale_answers
            await requests.wait_until_served()

    run_scene(scene())


def test_restarted_dispatcher_sends_nothing_to_a_restarted_host_before_the_log_answers(
    tmp_path: Path,
) -> None:
    """A restarted host is cold: full load by an old list that shows it as warm would overload it."""

    async def scene() -> None:
        async with Deployment(tmp_path) as deployment, FaultProxy(deployment.log_port) as log_proxy:
            await restart_behind(deployment, log_proxy, 1.0)
            cold = deployment.caches[0]
            entry = endpoint_entry(cold.uid, cold.kind, cold.port) | {"boot_ms": int(time.time() * 1e3)}
            deployment.publish(fleet={"rev": 2, "all": False, "targets": [entry]})
            await deployment.spawn()
            requests, answered_at = Requests(deployment), time.time() + 1.0
            await requests.send_for(3.0)
            assert not [each for each in cold.received if each.at < answered_at]
            await requests.wait_until_served()

    run_scene(scene())


def test_dispatcher_holds_requests_until_the_change_log_at_a_new_address_answers(tmp_path: Path) -> None:
    """SIGHUP changes the address to another change log, which has a drain and answers late."""

    async def scene() -> None:
        async with Deployment(tmp_path) as deployment, FaultProxy(deployment.log_port) as log_proxy:
            requests, drained_host = Requests(deployment), deployment.caches[0]
            await requests.send_for(0.3)
            log_proxy.answer_delay_s = 1.0
            configuration = json.loads(deployment.configuration.read_text())
            configuration["changelog"] = f"127.0.0.1:{log_proxy.port}"
            deployment.configuration.write_text(json.dumps(configuration))
            await deployment.reload()
            await asyncio.sleep(0.1)  # the connection to the old log is closed by then
            deployment.set_state(drained_host, "draining")
            await requests.send_for(0.3)
            sent_before = len(sent_to(deployment, drained_host))
            await requests.send_for(3.0)
            assert len(sent_to(deployment, drained_host)) == sent_before
            assert log_proxy.connection_count >= 1
            await requests.wait_until_served()

    run_scene(scene())


def test_dispatcher_waits_for_the_whole_list_of_a_log_that_restarted_its_numbering(tmp_path: Path) -> None:
    """A position below the known one confirms nothing; all events are requested again after 2.2 s."""

    async def scene() -> None:
        async with Deployment(tmp_path) as deployment:
            await deployment.kill()
            deployment.configure()
            configuration = json.loads(deployment.configuration.read_text())
            configuration["known"]["seq"] = configuration["known"]["results"][0]["seq"] = 9
            deployment.configuration.write_text(json.dumps(configuration))
            drained_host = deployment.caches[0]
            entries = deployment.endpoint_entries({drained_host.uid: "draining"})
            deployment.change_log.restart(epoch=0)
            deployment.change_log.publish(fleet_event(1, entries, whole=True))
            await deployment.spawn()
            requests = Requests(deployment)
            await requests.send_for(4.5)
            assert not sent_to(deployment, drained_host)
            await requests.wait_until_served()

    run_scene(scene())


def test_dispatcher_serves_during_an_outage_of_the_change_log(tmp_path: Path) -> None:
    """If the log refuses connections, the dispatcher serves at once. If it is silent, it serves after the
    longest wait, and rejects held requests until then."""

    async def scene() -> None:
        async with Deployment(tmp_path) as deployment, FaultProxy(deployment.log_port) as log_proxy:
            await restart_behind(deployment, log_proxy, 0.0)
            await log_proxy.refuse()
            began = time.monotonic()
            await deployment.start()
            assert time.monotonic() - began < 3.0
            await deployment.kill()
            await log_proxy.listen()
            log_proxy.is_silent = True
            deployment.configure()
            began = time.monotonic()
            await deployment.spawn()
            requests = Requests(deployment)
            sending = asyncio.create_task(requests.send_for(5.0))
            await deployment.wait_until_ready()
            assert 3.0 < time.monotonic() - began < 6.0
            await sending
            assert set(requests.statuses) == {200, 503}
            await requests.wait_until_served()

    run_scene(scene())
