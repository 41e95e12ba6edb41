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


def test_both_proxies_land_where_the_dispatcher_does_through_a_drain_and_back(tmp_path: Path) -> None:
    async def scene() -> None:
        async with ControlRig(tmp_path) as place:
            plain, extension = place.proxy("n1", False), place.proxy("n2", True)
            await until(lambda: len(plain.hosts) == len(extension.hosts) == 6)
            for object_key, part in OBJECTS:
                plain.request_virtual_host(object_key, part)
            await until(lambda: len(plain.virtual_hosts) == len(OBJECTS))
            router, now = Router(place.control.settings, 1), 100 * S
            names = [f"box-{n}" for n in range(6)]

            def told(states: dict[str, str]) -> None:
                rows = [Endpoint(uid, "z1", "box", 0, 100.0, 0, states.get(uid, "up")) for uid in names]
                router.handle(now, EndpointsUpdated(EndpointListForm.SNAPSHOT, [*rows, *PARENT_AND_ORIGIN]))

            two = {"box-2": "draining", "box-4": "draining"}
            for step, states in enumerate(({}, {"box-2": "draining"}, two, {})):
                for uid in names:
                    up = states.get(uid, "up") == "up"
                    if plain.hosts[uid][0] != up:
                        place.say(uid, "ready" if up else "draining")
                want = {uid: states.get(uid, "up") == "up" for uid in names}
                await until(
                    lambda w=want: all(  # type: ignore[misc]
                        {u: row[0] for u, row in p.hosts.items()} == w for p in (plain, extension)
                    )
                )
                await until(
                    lambda: all(
                        place.control.resources.get(VIRTUAL_HOST_TYPE, name).version == version  # type: ignore[union-attr]
                        for name, version in plain.versions[VIRTUAL_HOST_TYPE].items()
                    )
                )
                told(states)
                for n, (object_key, part) in enumerate(OBJECTS):
                    at = first_choice(router, now, step * 100 + n, "page", object_key, part)
                    assert (
                        extension.choose(object_key, part) == at and plain.choose(object_key, part) == at
                    ), (step, n)

    run(scene())


def test_a_purge_and_a_drain_in_one_tick_reach_a_stalled_streams_neighbours_in_time(tmp_path: Path) -> None:
    async def scene() -> None:
        async with ControlRig(tmp_path) as place:
            quick, hung = place.proxy("quick", True), place.proxy("hung", True)
            await until(lambda: len(quick.hosts) == len(hung.hosts) == 6)
            hung.may_read.clear()
            began = asyncio.get_running_loop().time()
            place.say("box-1", "draining")
            place.purge(40, 1_000.0)
            await until(lambda: not quick.hosts["box-1"][0] and "group.40" in quick.purge_watermarks, 0.25)
            assert asyncio.get_running_loop().time() - began < 0.25
            # The one that hangs is found, its stream ended; back, it gets what it missed.
            await until(lambda: place.control.broadcaster.counts.renewed >= 1)
            hung.may_read.set()
            await until(lambda: not hung.hosts["box-1"][0] and "group.40" in hung.purge_watermarks)
            await until(lambda: hung.counts.streams >= 2)

    run(scene())


def test_a_follower_that_is_cut_off_stops_using_what_it_has(tmp_path: Path) -> None:
    async def scene() -> None:
        async with ControlRig(tmp_path, hosts=2) as place:
            proxy = place.proxy("n", True)
            await until(lambda: len(proxy.hosts) == 2)
            first = proxy.fresh_until
            await until(lambda: proxy.fresh_until > first)  # heartbeats, with nothing new to say
            assert proxy.choose("00" * 8, 0) and place.control.broadcaster.status()[0].responses >= 3
            proxy.fresh_until = 0.0
            assert proxy.choose("00" * 8, 0) == ""

    run(scene())


def test_refusals_are_shown_and_cost_nobody_else(tmp_path: Path) -> None:
    async def scene() -> None:
        async with ControlRig(tmp_path) as place:

            def too_large(kind: str, response: Any) -> str:
                return (
                    "too large"
                    if kind == ENDPOINT_TYPE and proxy.hosts and response.resources[0].HasField("resource")
                    else ""
                )

            other = place.proxy("other", True)
            proxy = place.proxy("refuses", True, refuses=too_large)
            await until(lambda: len(proxy.hosts) == len(other.hosts) == 6)
            place.say("box-3", "draining")
            await until(lambda: proxy.counts.refused > 0 and not other.hosts["box-3"][0])
            await asyncio.sleep(0.3)
            assert proxy.counts.refused == 1 and proxy.hosts["box-3"][0]
            row = next(row for row in place.control.broadcaster.status() if row.node == "refuses")
            assert row.refused == 1
            assert row.types["ClusterLoadAssignment"].error == "too large"

    run(scene())


def test_a_stream_cut_half_way_goes_on_at_another_control_process(tmp_path: Path) -> None:
    async def scene() -> None:
        async with ControlRig(tmp_path) as place:
            second = await place.another()
            proxy = place.proxy("n", False)
            await until(lambda: len(proxy.hosts) == 6)
            for object_key, part in OBJECTS[:20]:
                proxy.request_virtual_host(object_key, part)
            await until(lambda: len(proxy.virtual_hosts) == 20)
            before = proxy.counts.bytes
            place.say("box-0", "draining")
            proxy.address = f"127.0.0.1:{second.port}"
            proxy.drop_stream()
            await until(lambda: not proxy.hosts["box-0"][0])
            await until(lambda: "box-0" not in proxy.virtual_hosts.values())
            assert second.resources.by_type[ENDPOINT_TYPE] == place.control.resources.by_type[ENDPOINT_TYPE]
            assert proxy.counts.bytes - before < before  # what it held was not told again
            await second.close()

    run(scene())


def test_bad_requests_and_too_many_streams_cost_their_sender_only(tmp_path: Path) -> None:
    async def scene() -> None:
        async with ControlRig(tmp_path, limits=StreamLimits(streams=2)) as place:
            proxy = place.proxy("good", True)
            await until(lambda: len(proxy.hosts) == 6)

            async def asked(kind: str) -> Any:
                async def requests() -> Any:
                    if kind:
                        yield discovery_pb2.DeltaDiscoveryRequest(node={"id": "x"}, type_url=kind)
                    await asyncio.sleep(5)

                async with grpc.aio.insecure_channel(f"127.0.0.1:{place.control.port}") as way:
                    stub = ads_pb2_grpc.AggregatedDiscoveryServiceStub(way)
                    async for _ in stub.DeltaAggregatedResources(requests()):
                        pass

            with pytest.raises(grpc.aio.AioRpcError) as wrong:
                await asked("type.googleapis.com/nonsense")
            assert wrong.value.code() == grpc.StatusCode.INVALID_ARGUMENT
            place.proxy("second", True)
            await until(lambda: len(place.control.broadcaster.streams) == 2)
            with pytest.raises(grpc.aio.AioRpcError) as wrong:
                # It is refused before it asks: a message that crosses the refusal fails with INTERNAL at the
                # client.
                await asked("")
            assert wrong.value.code() == grpc.StatusCode.RESOURCE_EXHAUSTED
            place.say("box-1", "draining")
            await until(lambda: not proxy.hosts["box-1"][0])

    run(scene())


def test_silent_streams_hold_nobodys_place_and_one_that_reads_nothing_is_cut_once(tmp_path: Path) -> None:
    async def scene() -> None:
        async with ControlRig(tmp_path, hosts=2_500, limits=StreamLimits(starting=2)) as place:
            address = f"127.0.0.1:{place.control.port}"
            ended = asyncio.Event()

            async def requests(kinds: list[tuple[str, str]]) -> Any:
                for kind, name in kinds:
                    yield discovery_pb2.DeltaDiscoveryRequest(
                        node={"id": "mute"}, type_url=kind, resource_names_subscribe=[name]
                    )
                await ended.wait()

            ways = [
                grpc.aio.insecure_channel(address, options=[("grpc.use_local_subchannel_pool", 1), ("n", n)])
                for n in range(4)
            ]
            stubs = [ads_pb2_grpc.AggregatedDiscoveryServiceStub(way) for way in ways]
            silent = [stub.DeltaAggregatedResources(requests([])) for stub in stubs[:3]]
            mute = stubs[3].DeltaAggregatedResources(
                requests([(ENDPOINT_TYPE, "caches-z1"), (RUNTIME_TYPE, "purges")])
            )
            await until(lambda: len(place.control.broadcaster.streams) == 4)
            await until(
                lambda: sum(bool(s.follower.subscriptions) for s in place.control.broadcaster.streams) == 1
            )
            proxy = place.proxy("good", True)
            await until(lambda: len(proxy.hosts) == 2_500)
            # What comes to the mute one is never read: its writer stands in a write.
            for n in range(8):
                place.say(f"box-{n}", "draining")
            await until(lambda: not proxy.hosts["box-7"][0])
            await until(lambda: place.control.broadcaster.counts.renewed == 1)
            await until(
                lambda: len(place.control.broadcaster.streams) == 4
            )  # three silent ones and the good one
            await asyncio.sleep(0.6)  # two more looks at who is late
            assert place.control.broadcaster.counts.renewed == 1 and proxy.counts.streams == 1
            ended.set()
            for call in (*silent, mute):
                call.cancel()
            for way in ways:
                await way.close()

    run(scene())


def test_the_commands_serve_and_tell(tmp_path: Path) -> None:
    async def scene() -> None:
        async with ControlRig(tmp_path, hosts=3) as place:
            known = {"seq": 1, "results": [fleet_event(1, place.endpoint_entries, whole=True)]}
            configuration(tmp_path, changelog=f"127.0.0.1:{place.log_port}", known=known)
            port = free_port()
            words = (sys.executable, "-m", "hoistplank.cli.main", "control")

            async def dumped(zone: str) -> tuple[int, Any]:
                process = await asyncio.create_subprocess_exec(
                    *words, "dump", f"127.0.0.1:{port}", "--zone", zone, stdout=asyncio.subprocess.PIPE
                )
                out, _ = await process.communicate()
                return process.returncode or 0, json.loads(out) if out else None

            serving = await asyncio.create_subprocess_exec(
                *words,
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
            code, told = await dumped("z1")
            rows = told["endpoints"]["caches-z1"][0]["lbEndpoints"]
            assert code == 0 and told["clusters"] == ["caches-z1"] and told["purges"] == {}
            assert sorted(row["metadata"]["filterMetadata"]["envoy.lb"]["uid"] for row in rows) == [
                "box-0",
                "box-1",
                "box-2",
            ]
            code, told = await dumped("nowhere")
            assert code == 0 and told["clusters"] == [] and "endpoints" not in told
            serving.terminate()
            assert await serving.wait() == 0
            assert (await dumped("z1"))[0] == 1
            outside = await asyncio.create_subprocess_exec(
                *words,
                "run",
                "--config",
                str(tmp_path / "config.json"),
                "--listen",
                "192.0.2.1:18000",
                stderr=asyncio.subprocess.PIPE,
            )
            _, wrong = await outside.communicate()
            assert outside.returncode == 2 and b"only a loopback address" in wrong

    run(scene())
