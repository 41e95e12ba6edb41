"""The control service and its proxies on loopback: streams, drains, refusals and the commands."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

import grpc
import pytest
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2

from hoistplank.decision.events import Endpoint, EndpointListForm, EndpointsUpdated
from hoistplank.decision.router import Router
from hoistplank.fakes.deployment import free_port
from hoistplank.fakes.first_choice import first_choice
from hoistplank.fakes.settings import fleet_event
from hoistplank.xds.broadcaster import StreamLimits
from hoistplank.xds.resource_types import ENDPOINT_TYPE, RUNTIME_TYPE, VIRTUAL_HOST_TYPE
from tests.helpers import configuration
from tests.xds_rig import OBJECTS, PARENT_AND_ORIGIN, ControlRig, S, run, until


def test_proxies_choose_the_dispatchers_host_during_and_after_drains(tmp_path: Path) -> None:
    async def scene() -> None:
        async with ControlRig(tmp_path) as rig:
            plain, extension = rig.proxy("n1", False), rig.proxy("n2", True)
            await until(lambda: len(plain.hosts) == len(extension.hosts) == 6)
            for object_key, part in OBJECTS:
                plain.request_virtual_host(object_key, part)
            await until(lambda: len(plain.virtual_hosts) == len(OBJECTS))
            router, now = Router(rig.control.settings, 1), 100 * S
            names = [f"box-{n}" for n in range(6)]

            def publish_states(states: dict[str, str]) -> None:
                rows = [Endpoint(uid, "z1", "box", 0, 100.0, 0, states.get(uid, "up")) for uid in names]
                router.handle(now, EndpointsUpdated(EndpointListForm.SNAPSHOT, [*rows, *PARENT_AND_ORIGIN]))

            two = {"box-2": "draining", "box-4": "draining"}
            for step, states in enumerate(({}, {"box-2": "draining"}, two, {})):
                for uid in names:
                    up = states.get(uid, "up") == "up"
                    if plain.hosts[uid][0] != up:
                        rig.publish_state(uid, "ready" if up else "draining")
                expected = {uid: states.get(uid, "up") == "up" for uid in names}
                await until(
                    lambda w=expected: all(  # type: ignore[misc]
                        {u: row[0] for u, row in p.hosts.items()} == w for p in (plain, extension)
                    )
                )
                await until(
                    lambda: all(
                        rig.control.resources.get(VIRTUAL_HOST_TYPE, name).version == version  # type: ignore[union-attr]
                        for name, version in plain.versions[VIRTUAL_HOST_TYPE].items()
                    )
                )
                publish_states(states)
                for n, (object_key, part) in enumerate(OBJECTS):
                    at = first_choice(router, now, step * 100 + n, "page", object_key, part)
                    assert (
                        extension.choose(object_key, part) == at and plain.choose(object_key, part) == at
                    ), (step, n)

    run(scene())


def test_stalled_stream_does_not_delay_drains_and_purges_of_others(tmp_path: Path) -> None:
    async def scene() -> None:
        async with ControlRig(tmp_path) as rig:
            quick, hung = rig.proxy("quick", True), rig.proxy("hung", True)
            await until(lambda: len(quick.hosts) == len(hung.hosts) == 6)
            hung.may_read.clear()
            started_at = asyncio.get_running_loop().time()
            rig.publish_state("box-1", "draining")
            rig.purge(40, 1_000.0)
            await until(lambda: not quick.hosts["box-1"][0] and "group.40" in quick.purge_watermarks, 0.25)
            assert asyncio.get_running_loop().time() - started_at < 0.25
            # The stalled stream is ended; on a new one the proxy gets the changes it missed.
            await until(lambda: rig.control.broadcaster.counts.renewed >= 1)
            hung.may_read.set()
            await until(lambda: not hung.hosts["box-1"][0] and "group.40" in hung.purge_watermarks)
            await until(lambda: hung.counts.streams >= 2)

    run(scene())


def test_heartbeats_renew_the_time_to_live_and_expired_hosts_are_not_used(tmp_path: Path) -> None:
    async def scene() -> None:
        async with ControlRig(tmp_path, hosts=2) as rig:
            proxy = rig.proxy("n", True)
            await until(lambda: len(proxy.hosts) == 2)
            first = proxy.fresh_until
            await until(lambda: proxy.fresh_until > first)  # renewed by heartbeats without changes
            assert proxy.choose("00" * 8, 0) and rig.control.broadcaster.status()[0].responses >= 3
            proxy.fresh_until = 0.0
            assert proxy.choose("00" * 8, 0) == ""

    run(scene())


def test_refusals_are_in_the_status_and_do_not_affect_other_followers(tmp_path: Path) -> None:
    async def scene() -> None:
        async with ControlRig(tmp_path) as rig:

            def too_large(type_url: str, response: Any) -> str:
                return (
                    "too large"
                    if type_url == ENDPOINT_TYPE
                    and proxy.hosts
                    and response.resources[0].HasField("resource")
                    else ""
                )

            other = rig.proxy("other", True)
            proxy = rig.proxy("refuses", True, refuses=too_large)
            await until(lambda: len(proxy.hosts) == len(other.hosts) == 6)
            rig.publish_state("box-3", "draining")
            await until(lambda: proxy.counts.refused > 0 and not other.hosts["box-3"][0])
            await asyncio.sleep(0.3)
            assert proxy.counts.refused == 1 and proxy.hosts["box-3"][0]
            row = next(row for row in rig.control.broadcaster.status() if row.node == "refuses")
            assert row.refused == 1
            assert row.types["ClusterLoadAssignment"].error == "too large"

    run(scene())


def test_dropped_stream_resumes_at_another_control_process(tmp_path: Path) -> None:
    async def scene() -> None:
        async with ControlRig(tmp_path) as rig:
            second = await rig.start_control()
            proxy = rig.proxy("n", False)
            await until(lambda: len(proxy.hosts) == 6)
            for object_key, part in OBJECTS[:20]:
                proxy.request_virtual_host(object_key, part)
            await until(lambda: len(proxy.virtual_hosts) == 20)
            before = proxy.counts.bytes
            rig.publish_state("box-0", "draining")
            proxy.address = f"127.0.0.1:{second.port}"
            proxy.drop_stream()
            await until(lambda: not proxy.hosts["box-0"][0])
            await until(lambda: "box-0" not in proxy.virtual_hosts.values())
            assert second.resources.by_type[ENDPOINT_TYPE] == rig.control.resources.by_type[ENDPOINT_TYPE]
            assert proxy.counts.bytes - before < before  # the held resources were not sent again
            await second.close()

    run(scene())


def test_invalid_requests_and_excess_streams_are_rejected_without_effect_on_others(tmp_path: Path) -> None:
    async def scene() -> None:
        async with ControlRig(tmp_path, limits=StreamLimits(streams=2)) as rig:
            proxy = rig.proxy("good", True)
            await until(lambda: len(proxy.hosts) == 6)

            async def send_request(type_url: str) -> Any:
                async def requests() -> Any:
                    if type_url:
                        yield discovery_pb2.DeltaDiscoveryRequest(node={"id": "x"}, type_url=type_url)
                    await asyncio.sleep(5)

                async with grpc.aio.insecure_channel(f"127.0.0.1:{rig.control.port}") as channel:
                    stub = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel)
                    async for _ in stub.DeltaAggregatedResources(requests()):
                        pass

            with pytest.raises(grpc.aio.AioRpcError) as error:
                await send_request("type.googleapis.com/nonsense")
            assert error.value.code() == grpc.StatusCode.INVALID_ARGUMENT
            rig.proxy("second", True)
            await until(lambda: len(rig.control.broadcaster.streams) == 2)
            with pytest.raises(grpc.aio.AioRpcError) as error:
                # The stream is rejected without a request: one that crosses the rejection fails with INTERNAL
                # at the client.
                await send_request("")
            assert error.value.code() == grpc.StatusCode.RESOURCE_EXHAUSTED
            rig.publish_state("box-1", "draining")
            await until(lambda: not proxy.hosts["box-1"][0])

    run(scene())


def test_silent_streams_take_no_first_state_slot_and_unread_streams_are_ended_once(tmp_path: Path) -> None:
    async def scene() -> None:
        async with ControlRig(tmp_path, hosts=2_500, limits=StreamLimits(starting=2)) as rig:
            address = f"127.0.0.1:{rig.control.port}"
            ended = asyncio.Event()

            async def requests(subscriptions: list[tuple[str, str]]) -> Any:
                for type_url, name in subscriptions:
                    yield discovery_pb2.DeltaDiscoveryRequest(
                        node={"id": "unread"}, type_url=type_url, resource_names_subscribe=[name]
                    )
                await ended.wait()

            channels = [
                grpc.aio.insecure_channel(address, options=[("grpc.use_local_subchannel_pool", 1), ("n", n)])
                for n in range(4)
            ]
            stubs = [ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel) for channel in channels]
            silent = [stub.DeltaAggregatedResources(requests([])) for stub in stubs[:3]]
            unread = stubs[3].DeltaAggregatedResources(
                requests([(ENDPOINT_TYPE, "caches-z1"), (RUNTIME_TYPE, "purges")])
            )
            await until(lambda: len(rig.control.broadcaster.streams) == 4)
            await until(
                lambda: sum(bool(s.follower.subscriptions) for s in rig.control.broadcaster.streams) == 1
            )
            proxy = rig.proxy("good", True)
            await until(lambda: len(proxy.hosts) == 2_500)
            # The unread stream's follower reads no response, so that its writer is blocked in a write.
            for n in range(8):
                rig.publish_state(f"box-{n}", "draining")
            await until(lambda: not proxy.hosts["box-7"][0])
            await until(lambda: rig.control.broadcaster.counts.renewed == 1)
            await until(
                lambda: len(rig.control.broadcaster.streams) == 4
            )  # the three silent ones and the proxy's
            await asyncio.sleep(0.6)  # two more checks for late streams
            assert rig.control.broadcaster.counts.renewed == 1 and proxy.counts.streams == 1
            ended.set()
            for call in (*silent, unread):
                call.cancel()
            for channel in channels:
                await channel.close()

    run(scene())


def test_control_commands_serve_and_dump_resources(tmp_path: Path) -> None:
    async def scene() -> None:
        async with ControlRig(tmp_path, hosts=3) as rig:
            known = {"seq": 1, "results": [fleet_event(1, rig.endpoint_entries, whole=True)]}
            configuration(tmp_path, changelog=f"127.0.0.1:{rig.log_port}", known=known)
            port = free_port()
            command = (sys.executable, "-m", "hoistplank.cli.main", "control")

            async def dumped(zone: str) -> tuple[int, Any]:
                process = await asyncio.create_subprocess_exec(
                    *command, "dump", f"127.0.0.1:{port}", "--zone", zone, stdout=asyncio.subprocess.PIPE
                )
                out, _ = await process.communicate()
                return process.returncode or 0, json.loads(out) if out else None

            serving = await asyncio.create_subprocess_exec(
                *command,
                "run",
                "--config",
                str(tmp_path / "config.json"),
                "--listen",
                f"127.0.0.1:{port}",
                stdout=asyncio.subprocess.PIPE,
            )
            assert serving.stdout is not None
            while b"control service" not in await serving.stdout.readline():
                pass
            code, dump = await dumped("z1")
            rows = dump["endpoints"]["caches-z1"][0]["lbEndpoints"]
            assert code == 0 and dump["clusters"] == ["caches-z1"] and dump["purges"] == {}
            assert sorted(row["metadata"]["filterMetadata"]["envoy.lb"]["uid"] for row in rows) == [
                "box-0",
                "box-1",
                "box-2",
            ]
            code, dump = await dumped("nowhere")
            assert code == 0 and dump["clusters"] == [] and "endpoints" not in dump
            serving.terminate()
            assert await serving.wait() == 0
            assert (await dumped("z1"))[0] == 1
            outside = await asyncio.create_subprocess_exec(
                *command,
                "run",
                "--config",
                str(tmp_path / "config.json"),
                "--listen",
                "192.0.2.1:18000",
                stderr=asyncio.subprocess.PIPE,
            )
            _, error = await outside.communicate()
            assert outside.returncode == 2 and b"only a loopback address" in error

    run(scene())
