"""`hoistplank control dump`: the resources that the control service first sends to a follower."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import AsyncIterator
from typing import Any

import click

NODE_ID = "hoistplank-control-dump"
TIMEOUT_S = 5
SECTIONS = ("clusters", "endpoints", "purges")


class _DumpFollower:
    """Follows all clusters, or those of one location, until it has received all sections."""

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.sections: dict[str, Any] = {}
        self._requests: asyncio.Queue[Any] = asyncio.Queue()

    async def fetch(self, address: str) -> dict[str, Any]:
        """Returns all sections by name. Raises TimeoutError and grpc.RpcError."""
        import grpc
        from envoy.service.discovery.v3 import ads_pb2_grpc

        from hoistplank.xds.resource_types import CLUSTER_TYPE, PURGES_NAME, RUNTIME_TYPE

        async with grpc.aio.insecure_channel(address) as channel, asyncio.timeout(TIMEOUT_S):
            stub = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel)
            call = stub.StreamAggregatedResources(self._outgoing_requests())
            self._subscribe(CLUSTER_TYPE, [])
            self._subscribe(RUNTIME_TYPE, [PURGES_NAME])
            async for response in call:
                self._receive(response.type_url, [resource.value for resource in response.resources])
                if self._is_complete():
                    break
        return self.sections

    async def _outgoing_requests(self) -> AsyncIterator[Any]:
        while True:
            yield await self._requests.get()

    def _subscribe(self, type_url: str, names: list[str]) -> None:
        from envoy.service.discovery.v3 import discovery_pb2

        self._requests.put_nowait(
            discovery_pb2.DiscoveryRequest(node={"id": NODE_ID}, type_url=type_url, resource_names=names)
        )

    def _receive(self, type_url: str, values: list[bytes]) -> None:
        from envoy.config.cluster.v3 import cluster_pb2
        from envoy.config.endpoint.v3 import endpoint_pb2
        from envoy.service.runtime.v3 import rtds_pb2
        from google.protobuf.json_format import MessageToDict

        from hoistplank.xds.resource_types import CLUSTER_TYPE, ENDPOINT_TYPE, RUNTIME_TYPE

        if type_url == CLUSTER_TYPE:
            names = sorted(cluster_pb2.Cluster.FromString(value).name for value in values)
            wanted = [name for name in names if not self.zone or name == f"caches-{self.zone}"]
            self.sections["clusters"] = wanted
            self._subscribe(ENDPOINT_TYPE, wanted)
        elif type_url == ENDPOINT_TYPE:
            rows = [endpoint_pb2.ClusterLoadAssignment.FromString(value) for value in values]
            self.sections["endpoints"] = {row.cluster_name: MessageToDict(row)["endpoints"] for row in rows}
        elif type_url == RUNTIME_TYPE:
            self.sections["purges"] = MessageToDict(rtds_pb2.Runtime.FromString(values[0]).layer)

    def _is_complete(self) -> bool:
        return len(self.sections) == len(SECTIONS) or self.sections.get("clusters") == []


@click.command()
@click.argument("address")
@click.option("--zone", default="", help="Only the cache hosts of this location.")
def dump(address: str, zone: str) -> None:
    """Print the resources that the control service at ADDRESS sends: clusters, hosts and purges, as JSON."""
    import grpc

    try:
        click.echo(json.dumps(asyncio.run(_DumpFollower(zone).fetch(address)), indent=1, sort_keys=True))
    except (grpc.RpcError, TimeoutError) as error:
        click.echo(f"hoistplank: no answer from {address}: {type(error).__name__}", err=True)
        sys.exit(1)
