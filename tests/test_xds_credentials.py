"""The control service beyond loopback: it serves only followers with a certificate."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

import grpc
import pytest
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2

from hoistplank.fakes.certificate_authority import FakeCertificateAuthority
from hoistplank.fakes.deployment import free_port
from hoistplank.fakes.settings import fleet_event
from hoistplank.xds.resource_types import CLUSTER_TYPE
from tests.helpers import configuration
from tests.xds_rig import ControlRig, run


def test_only_followers_with_a_certificate_are_served_beyond_loopback(tmp_path: Path) -> None:
    authority = FakeCertificateAuthority(tmp_path)
    follower, _ = authority.issue("follower.pem", ["uri:hoistplank:follower"])

    async def first_clusters(channel: grpc.aio.Channel) -> Any:
        call = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel).StreamAggregatedResources()
        node = {"id": "follower"}
        await call.write(discovery_pb2.DiscoveryRequest(node=node, type_url=CLUSTER_TYPE))
        return await asyncio.wait_for(call.read(), 5)

    async def scene() -> None:
        async with ControlRig(tmp_path, hosts=3) as rig:
            known = {"seq": 1, "results": [fleet_event(1, rig.endpoint_entries, whole=True)]}
            configuration(tmp_path, changelog=f"127.0.0.1:{rig.log_port}", known=known)
            address = f"127.0.0.1:{free_port()}"
            files = {"certificate": "server.pem", "key": "server.key", "client-ca": "ca.pem"}
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "hoistplank.cli.main", "control", "run", "--listen", address),
                *("--config", str(tmp_path / "config.json")),
                *(word for name, file in files.items() for word in (f"--{name}", str(tmp_path / file))),
                stdout=asyncio.subprocess.PIPE,
            )
            try:
                assert process.stdout is not None
                while b"control service" not in await process.stdout.readline():
                    pass
                ca = (tmp_path / "ca.pem").read_bytes()
                client_chain = follower.read_bytes()
                target_name = (("grpc.ssl_target_name_override", "localhost"),)
                credentials = grpc.ssl_channel_credentials(ca, client_chain, client_chain)
                async with grpc.aio.secure_channel(address, credentials, target_name) as channel:
                    assert len((await first_clusters(channel)).resources) > 0
                for unauthenticated in (
                    grpc.aio.insecure_channel(address),
                    grpc.aio.secure_channel(address, grpc.ssl_channel_credentials(ca), target_name),
                ):
                    async with unauthenticated as channel:
                        with pytest.raises(grpc.aio.AioRpcError):
                            await first_clusters(channel)
            finally:
                process.terminate()
                exit_code = await process.wait()
            assert exit_code == 0

    run(scene())
