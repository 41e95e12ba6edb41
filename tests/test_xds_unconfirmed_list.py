"""The control service serves no endpoint list before the change log has confirmed it."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import grpc
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2

from hoistplank.fakes.deployment import free_port
from hoistplank.fakes.fault_proxy import FaultProxy
from hoistplank.fakes.settings import fleet_event
from hoistplank.xds.resource_types import CLUSTER_TYPE
from tests.helpers import configuration
from tests.xds_rig import ControlRig, run

ANSWER_DELAY_S = 2.5  # longer than the start of the control service


def test_followers_get_no_resources_before_the_change_log_has_answered(tmp_path: Path) -> None:
    """A host that drained before the service started is still ready in the configuration's list: a service
    that sent that list at once would send the host as ready."""

    async def scene() -> None:
        async with ControlRig(tmp_path, hosts=3) as rig, FaultProxy(rig.log_port) as log_proxy:
            log_proxy.answer_delay_s = ANSWER_DELAY_S
            known = {"seq": 1, "results": [fleet_event(1, rig.endpoint_entries, whole=True)]}
            configuration(tmp_path, changelog=f"127.0.0.1:{log_proxy.port}", known=known)
            address = f"127.0.0.1:{free_port()}"
            started_at = asyncio.get_running_loop().time()
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "hoistplank.cli.main", "control", "run", "--listen", address),
                *("--config", str(tmp_path / "config.json")),
                stdout=asyncio.subprocess.PIPE,
            )
            try:
                async with grpc.aio.insecure_channel(address) as channel:
                    stub = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel)
                    call = stub.StreamAggregatedResources(wait_for_ready=True)
                    request = discovery_pb2.DiscoveryRequest(node={"id": "follower"}, type_url=CLUSTER_TYPE)
                    await call.write(request)
                    answer = await asyncio.wait_for(call.read(), 15)
                    assert len(answer.resources) > 0
                    assert asyncio.get_running_loop().time() - started_at > ANSWER_DELAY_S
            finally:
                process.terminate()
                await process.wait()

    run(scene())
