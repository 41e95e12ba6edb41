"""A dispatcher that follows control replicas: applied and refused configurations, and its state without
replicas."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from hoistplank.degradation.service import DegradationService
from hoistplank.distribution.follower import ReplicaFollower
from hoistplank.distribution.messages import VersionFields
from hoistplank.distribution.versions import Version
from hoistplank.fakes.settings import fleet_event
from hoistplank.fakes.wire import ScriptedCacheHost
from hoistplank.program.phase import Phase
from tests.distribution_rig import EPOCH, Rig, fetch_status
from tests.helpers import Running, until
from tests.scene_runner import run_scene

LEVELS = "(levels (retries {}))"


def served(id: str, fields: dict[str, str], body: bytes) -> bytes:
    return f"{id} served detail=hit,digest=aa,dated=1 4\r\nwell\r\n".encode()


def at(number: int) -> Version:
    return Version(EPOCH, number)


async def wait_until_serving(dispatcher: Running) -> None:
    """Returns once a request is answered 200: a busy machine makes the dispatcher shed some."""
    status, head = 503, b"X-Pushback-Ms"
    async with asyncio.timeout(20):
        while status != 200:
            assert status == 503 and b"X-Pushback-Ms" in head, head
            dispatcher.client = await dispatcher.connect()
            status, head, _ = await dispatcher.ask(1, "page")


class ConfiguredDispatcher:
    """A dispatcher with its operator's file, and the replicas that it follows."""

    def __init__(self, rig: Rig, dispatcher: Running) -> None:
        self.rig, self.dispatcher = rig, dispatcher

    @property
    def follower(self) -> ReplicaFollower:
        watcher = self.dispatcher.service.endpoint_watcher
        assert isinstance(watcher, ReplicaFollower)
        return watcher

    @property
    def in_force(self) -> Version:
        return self.follower.state.acknowledgement().version.to_version()

    @property
    def configured(self) -> Version:
        return self.follower.state.acknowledgement().configuration.to_version()

    @property
    def retries(self) -> float:
        """The retry share of the levels in force, which shows which configuration was applied."""
        assert self.dispatcher.additions is not None
        levels = self.dispatcher.additions.degradation
        assert isinstance(levels, DegradationService)
        return levels.settings.base.retry_share

    async def health(self) -> tuple[int, bytes]:
        client = await self.dispatcher.connect()
        client.send(1, "", script="/-/healthy")
        _, status, _, body = await asyncio.wait_for(client.read_answer(), 5)
        client.writer.close()
        return status, body


@asynccontextmanager
async def configured_dispatcher(
    folder: Path, silence: str = "7s", replicas: int = 1
) -> AsyncIterator[ConfiguredDispatcher]:
    async with Rig(replicas) as rig:
        rows = "".join(
            f' (replica {one.name} (endpoint "127.0.0.1:{one.address[1]}") (region east))'
            for one in rig.replicas
        )
        (folder / "op.sexp").write_text(
            LEVELS.format(0.5) + f"\n(distribution (name d1) (region east) (silence {silence}){rows})"
        )
        dispatcher = Running(folder, {"a": ScriptedCacheHost(served), "o": ScriptedCacheHost(served)})
        dispatcher.operator = True
        async with dispatcher:
            rig.log.publish(fleet_event(1, dispatcher.targets, whole=True))
            setup = ConfiguredDispatcher(rig, dispatcher)
            await until(lambda: setup.in_force == at(1))
            yield setup


def test_dispatcher_applies_forwarded_purges_and_configurations(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        async with configured_dispatcher(tmp_path) as setup:
            router = setup.dispatcher.service.router_task.router
            await until(lambda: setup.dispatcher.service.phase is Phase.SERVING)
            assert not router.placement.purges_unknown
            assert await setup.health() == (200, b"")
            setup.rig.publish_purge(2, "00" * 8)
            setup.rig.log.publish_configuration(3, LEVELS.format(0.25))
            await until(lambda: setup.in_force == at(3))
            assert "00" * 8 in router.parts.purges.by_key and setup.retries == 0.25
            await wait_until_serving(setup.dispatcher)
            # A reload reads the dispatcher's own file, which is older than the distributed configuration.
            reloaded = list[Any]()
            monkeypatch.setattr(setup.follower, "set_address", reloaded.append)  # the last step of a reload
            os.kill(os.getpid(), signal.SIGHUP)
            await until(lambda: bool(reloaded))
            assert setup.retries == 0.25 and setup.configured == at(3)

    run_scene(scene(), limit_s=40)


REFUSED = {
    "wrong type": (LEVELS.format("often"), "1:18: 'often', expected a number from 0 to 1"),
    "unknown form": ("(levles)", "1:1: the unknown form 'levles', expected 'levels'"),
    "unbalanced": ("(levels (retries 0.5)", "1:1: a form that is never closed"),
    "removed form": (
        "(log (format lines))",
        "'(levels …)' can't be added or removed while the program runs",
    ),
    "local form": (
        LEVELS.format(0.1) + "\n(distribution (replica c9 (endpoint 127.0.0.1:9)))",
        "2:1: '(distribution …)' in a distributed configuration",
    ),
}


@pytest.mark.parametrize("text, reason", REFUSED.values(), ids=REFUSED)
def test_invalid_configuration_is_refused_whole_with_key_and_position(
    tmp_path: Path, text: str, reason: str
) -> None:
    async def scene() -> None:
        async with configured_dispatcher(tmp_path) as setup:
            setup.rig.log.publish_configuration(2, LEVELS.format(0.25))
            await until(lambda: setup.in_force == at(2))
            setup.rig.log.publish_configuration(3, text)
            await until(lambda: setup.in_force == at(3))
            assert setup.retries == 0.25 and setup.configured == at(2)
            await until(lambda: setup.rig.replicas[0].table.change_status(at(3)).missing[0].refused != "")
            status = await fetch_status(setup.rig.replicas[0].address, at(3))
            assert status.change is not None and (status.change.in_force, status.change.total) == (0, 1)
            (row,) = status.change.missing
            assert row.dispatcher == "d1" and row.version == VersionFields(*at(2))
            assert f"configuration {at(3)}" in row.refused and reason in row.refused
            # The next valid configuration is applied.
            setup.rig.log.publish_configuration(4, LEVELS.format(0.75))
            await until(lambda: setup.configured == at(4))
            assert setup.retries == 0.75

    run_scene(scene(), limit_s=40)


def test_dispatcher_without_replicas_reports_it_and_marks_purges_unknown(tmp_path: Path) -> None:
    async def scene() -> None:
        async with configured_dispatcher(tmp_path, silence="3s") as setup:
            router_task = setup.dispatcher.service.router_task
            port = setup.rig.replicas[0].address[1]
            await setup.rig.stop_replica(0)
            setup.rig.publish_purge(2, "ab")
            await until(lambda: router_task.router.placement.purges_unknown)
            status, body = await setup.health()
            assert status == 200 and body == f"no control replica heard; in force: {at(1)}".encode()
            await wait_until_serving(setup.dispatcher)
            assert set(router_task.endpoints.by_host) == {"a", "o"}
            # A replica that returns with the whole state ends the silence, and the purge is applied first.
            setup.rig.start_replica("c1", port)
            setup.rig.connect_peers()
            await until(lambda: not router_task.router.placement.purges_unknown)
            assert "ab" in router_task.router.parts.purges.by_key and (await setup.health())[1] == b""

    run_scene(scene(), limit_s=40)


def test_first_turn_after_a_suspension_marks_the_list_stale(tmp_path: Path) -> None:
    """Pending requests are read before any timer runs: none may be answered as if no event was missed."""

    async def scene() -> None:
        async with configured_dispatcher(tmp_path) as setup:
            router_task = setup.dispatcher.service.router_task
            assert not router_task.router.placement.purges_unknown
            router_task.clock.offset_ns += 60_000_000_000  # a minute, in which this process did not run
            router_task.turn()
            assert router_task.router.placement.purges_unknown and set(router_task.endpoints.by_host) == {
                "a",
                "o",
            }
            await until(lambda: not router_task.router.placement.purges_unknown)

    run_scene(scene(), limit_s=40)


def test_one_megabyte_configuration_is_applied_or_refused_whole(tmp_path: Path) -> None:
    async def scene() -> None:
        async with configured_dispatcher(tmp_path) as setup:
            comment = "; " + "x" * 76 + "\n"
            good = LEVELS.format(0.25) + "\n" + comment * (1_040_000 // len(comment))
            setup.rig.log.publish_configuration(2, good)
            setup.rig.publish_purge(3, "ab")
            await until(lambda: setup.in_force == at(3))
            assert (
                setup.retries == 0.25
                and "ab" in setup.dispatcher.service.router_task.router.parts.purges.by_key
            )
            setup.rig.log.publish_configuration(4, good + LEVELS.format("often"))
            await until(lambda: setup.in_force == at(4))
            refused = setup.follower.state.acknowledgement().refusal
            line = 1 + good.count("\n")
            assert refused is not None and f"{line}:1: 'levels' a second time" in refused.reason
            assert setup.retries == 0.25 and len(json.dumps(good)) > 1_040_000

    run_scene(scene(), limit_s=40)


def test_restart_without_replicas_serves_from_the_stored_list_and_converges(tmp_path: Path) -> None:
    async def scene() -> None:
        async with Rig(replicas=1) as rig:
            port = rig.replicas[0].address[1]
            (tmp_path / "op.sexp").write_text(
                '(membership (state "state") (patience 50ms) (probe-time 200ms))\n'
                f'(distribution (region east) (silence 3s) (replica c1 (endpoint "127.0.0.1:{port}")))'
            )
            hosts = {"a": ScriptedCacheHost(served), "o": ScriptedCacheHost(served)}
            first = Running(tmp_path, hosts, known=None)
            first.operator = True
            async with first:
                rig.log.publish(fleet_event(1, first.targets, whole=True))
                await until(lambda: first.service.phase is Phase.SERVING)
            await rig.stop_replica(0)
            rig.publish_purge(2, "ab")
            again = Running(tmp_path, hosts, known=None)
            again.operator = True
            async with again:
                await until(lambda: again.service.phase is Phase.PROVISIONAL)
                router = again.service.router_task.router
                assert router.placement.purges_unknown
                await wait_until_serving(again)
                rig.publish_hosts(3, b="ready")
                rig.start_replica("c1", port)
                rig.connect_peers()
                await until(
                    lambda: again.service.phase is Phase.SERVING and not router.placement.purges_unknown
                )
                assert (
                    set(again.service.router_task.endpoints.by_host) == {"a", "b", "o"}
                    and "ab" in router.parts.purges.by_key
                )

    run_scene(scene(), limit_s=40)
