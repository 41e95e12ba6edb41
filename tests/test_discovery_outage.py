"""Long outages of the change log: work goes on, and none goes to a process that nobody vouches for.

The first test guards against attempts at a host that took the address of one that had gone: a dispatcher that
went on by its old list sent them over new connections for as long as the log was down.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from hoistplank.decision.events import EndpointWatchStage
from hoistplank.decision.list_confirmation import CHANGES_RECEIVED_US, ListConfirmation
from hoistplank.decision.process_identity import VERIFYING_WINDOW_US, ProcessIdentity
from hoistplank.fakes.cache_host import FakeCacheServer
from hoistplank.fakes.deployment import Deployment
from hoistplank.fakes.fault_proxy import FaultProxy
from tests.scene_runner import run_scene

INTERVAL_S = 0.02
OUTAGE_S = 11.0
# A change counts as received after 7 s; a drain has a grace of 0.25 s, and 0.05 s are for the sockets.
RECEIVED_S = 7.3
LOST_US = 10_000_000


class Load:
    """Requests for ever new objects at a steady rate, each on a connection of its own."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.answers: list[tuple[float, int]] = []  # time of sending, status
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Sends requests for a time, and waits for the answers."""
        until = time.time() + seconds
        while time.time() < until:
            task = asyncio.create_task(self._send(len(self._tasks)))
            self._tasks.add(task)
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*self._tasks)

    async def _send(self, number: int) -> None:
        sent_at = time.time()
        client = await self.deployment.client()
        object_key = f"{number:016x}"
        client.send(1, "page", {"HTTP_X_SUBJECT": object_key, "HTTP_X_CORRELATION_ID": object_key})
        status = (await asyncio.wait_for(client.read_answer(), 5))[1]
        self.answers.append((sent_at, status))
        client.writer.close()

    def served_share(self, from_s: float, to_s: float) -> float:
        """Returns the share of requests that were served, of those sent between two times."""
        statuses = [status for sent_at, status in self.answers if from_s <= sent_at < to_s]
        assert statuses and set(statuses) <= {200, 503}
        return statuses.count(200) / len(statuses)


@pytest.mark.parametrize("restarts", [False, True])
def test_outage_of_the_change_log_sends_nothing_to_a_process_that_took_an_address(
    tmp_path: Path, restarts: bool
) -> None:
    """One of four hosts is replaced in the outage; with and without a restart of the dispatcher in it."""

    async def scene() -> None:
        async with Deployment(tmp_path, hosts=4) as deployment, FaultProxy(deployment.log_port) as log_proxy:
            await deployment.kill()
            host = deployment.caches[0]
            successor = FakeCacheServer("another", "box", deployment.directory, 0.01)
            await successor.start()
            deployment.log_port = log_proxy.port
            async with FaultProxy(host.port) as address:
                host.port = address.port
                deployment.configure()
                await deployment.start()
                load = Load(deployment)
                await load.run(1.0)
                await log_proxy.refuse()
                began_at = time.time()
                if restarts:
                    await deployment.kill()
                    await deployment.start()
                running = asyncio.create_task(load.run(OUTAGE_S - (time.time() - began_at)))
                await asyncio.sleep(1.5)
                # Later connections to the address lead to the successor.
                address.target_port = successor.port
                await address.cut()
                replaced_at = time.time()
                await running
                late = [one for one in successor.received if one.at > replaced_at + RECEIVED_S]
                assert not late, f"{len(late)} requests reached the successor"
                assert load.served_share(replaced_at + RECEIVED_S, began_at + OUTAGE_S) > 0.95
                await log_proxy.listen()
                await asyncio.sleep(1.5)
                back_at = time.time()
                await load.run(0.5)
                assert load.served_share(back_at, back_at + 0.5) > 0.95

    run_scene(scene())


def lost_list() -> tuple[ListConfirmation, ProcessIdentity]:
    """Returns the parts with a list that was last confirmed at LOST_US and is not any more."""
    confirmation = ListConfirmation(250_000)
    identity = ProcessIdentity(confirmation)
    confirmation.observe(0, EndpointWatchStage.CONNECTING)
    confirmation.observe(10, EndpointWatchStage.CONFIRMED)
    confirmation.observe(LOST_US + 500_000, EndpointWatchStage.CONNECTING, LOST_US)
    confirmation.observe(LOST_US + 600_000, EndpointWatchStage.REFUSED, LOST_US)
    return confirmation, identity


OLD_US = LOST_US + CHANGES_RECEIVED_US


@pytest.mark.parametrize(
    ("established_us", "broken_us", "is_verified"),
    [
        (LOST_US - 1, 0, True),
        (LOST_US + VERIFYING_WINDOW_US, 0, True),
        (LOST_US + VERIFYING_WINDOW_US + 1, 0, False),
        (LOST_US + 100, LOST_US + 50, False),  # an earlier connection broke: it may be another process
        (LOST_US + 100, LOST_US + 200, True),
        (LOST_US + 100, LOST_US - 50, False),  # it broke just before, and the list need not have told yet
        (LOST_US - 10, LOST_US - 50, False),
        (LOST_US - 10, LOST_US - CHANGES_RECEIVED_US - 50, True),
    ],
)
def test_connection_is_verified_by_when_it_was_established(
    established_us: int, broken_us: int, is_verified: bool
) -> None:
    _, identity = lost_list()
    if broken_us:
        identity.connection_broken(broken_us, "a")
    connection = identity.connection_established(established_us, "a")
    if broken_us > established_us:
        identity.connection_broken(broken_us, "a")
    assert identity.is_verified(connection) is is_verified
    assert identity.permits_host(OLD_US - 1, "a")
    assert identity.permits_host(OLD_US, "a") is is_verified


def test_host_whose_last_connection_broke_is_used_again_once_the_list_is_confirmed() -> None:
    confirmation, identity = lost_list()
    connection = identity.connection_established(LOST_US - 1, "a")
    assert identity.permits_host(OLD_US, "a")
    identity.connection_ended(OLD_US, connection, by_host=True)
    assert not identity.permits_host(OLD_US, "a")
    later = identity.connection_established(OLD_US, "a")
    assert not identity.permits_connection(OLD_US, later)
    confirmation.observe(OLD_US + 1, EndpointWatchStage.CONFIRMED)
    assert identity.permits_host(OLD_US + 1, "a") and identity.permits_connection(OLD_US + 1, later)


def test_answer_on_a_verified_connection_attests_those_established_before_the_probe() -> None:
    _, identity = lost_list()
    verified = identity.connection_established(LOST_US, "a")
    before = identity.connection_established(OLD_US + 10, "a")
    after = identity.connection_established(OLD_US + 30, "a")
    identity.probe_answered(after, OLD_US + 20, is_healthy=True)  # it proves nothing itself
    assert not identity.is_verified(before)
    identity.probe_answered(verified, OLD_US + 20, is_healthy=True)
    assert identity.is_verified(before) and not identity.is_verified(after)


def test_host_that_says_it_takes_nothing_gets_nothing_while_the_list_is_not_confirmed() -> None:
    confirmation, identity = lost_list()
    connection = identity.connection_established(LOST_US, "a")
    identity.probe_answered(connection, LOST_US + 10, is_healthy=False)
    assert not identity.permits_host(LOST_US + 20, "a")
    identity.probe_answered(connection, LOST_US + 30, is_healthy=True)
    assert identity.permits_host(LOST_US + 40, "a")
    identity.probe_answered(connection, LOST_US + 50, is_healthy=False)
    confirmation.observe(LOST_US + 60, EndpointWatchStage.CONFIRMED)
    assert identity.permits_host(LOST_US + 70, "a")
