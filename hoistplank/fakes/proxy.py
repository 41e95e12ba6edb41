"""Fake xDS proxies that follow a control service over incremental aggregated discovery (v3, delta).

A proxy without the extension has standard policies only: a virtual host on demand (VHDS) for each object,
whose route names a host as a subset, and a hash ring over healthy endpoints until it has that route. One with
the extension reads the endpoints' metadata `hoistplank` and ranks hosts by the formula of `decision.hashing`.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from bisect import bisect
from collections.abc import Callable
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any, NamedTuple

import grpc
from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.route.v3 import route_components_pb2
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2
from envoy.service.runtime.v3 import rtds_pb2

from hoistplank.xds.ranking_cache import ranked_hosts, ranking_key
from hoistplank.xds.resource_types import (
    CLUSTER_TYPE,
    ENDPOINT_TYPE,
    PURGES_NAME,
    ROUTES_NAME,
    RUNTIME_TYPE,
    VIRTUAL_HOST_TYPE,
)
from hoistplank.xds.response_encoder import error_detail

HEALTHY = 1  # of an endpoint's health status
POINTS_PER_HOST = 64  # on the hash ring, for a host whose share is 1
RECONNECT_S = 0.05


def _hash(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


class ProxyEndpoint(NamedTuple):
    """A host of the pool, as the control service sent it."""

    is_healthy: bool
    weight: float
    share: float


@dataclass(slots=True)
class ProxyCounts:
    """Counts of a proxy's responses, their bytes, refused responses and opened streams."""

    responses: int = 0
    bytes: int = 0
    refused: int = 0
    streams: int = 0


def _accept_all(_type_url: str, _response: Any) -> str:
    return ""


class FakeProxy:
    """One proxy. `refuses(type_url, response)` returns why a response is refused, or "" to accept it."""

    def __init__(
        self,
        address: str,
        node: str,
        zone: str,
        extension: bool = False,
        refuses: Callable[[str, Any], str] | None = None,
    ) -> None:
        self.address = address
        self.node = node
        self.zone = zone
        self.extension = extension
        self.refuses = refuses or _accept_all
        self.hosts: dict[str, ProxyEndpoint] = {}  # by uid
        self.clusters: set[str] = set()
        self.virtual_hosts: dict[str, str] = {}  # name -> uid of the host that its route names
        self.purge_watermarks: dict[str, int] = {}
        self.versions: dict[str, dict[str, str]] = {}  # type URL -> resource name -> version
        self.fresh_until = 0.0  # endpoints may be used until then (monotonic s)
        self.ring: list[tuple[int, str]] = []
        self.counts = ProxyCounts()
        self.changed = asyncio.Event()  # set after each accepted response
        self.may_read = asyncio.Event()  # cleared by a test to stall the stream
        self.may_read.set()
        self.call: Any = None
        self.dropped = False
        self._outgoing: asyncio.Queue[Any] = asyncio.Queue()

    # Choices.

    def _pool(self) -> dict[str, float]:
        """Return the weight of each usable host by uid; none once the time to live is over.

        A proxy that is cut off would otherwise use a stale pool for ever.
        """
        if time.monotonic() > self.fresh_until:
            return {}
        return {uid: host.weight * host.share for uid, host in self.hosts.items() if host.is_healthy}

    def choose(self, object_key: str, part: int) -> str:
        """Return the cache host for an object's part; "" if there is no usable host."""
        pool = self._pool()
        if not pool:
            return ""
        if self.extension:
            return ranked_hosts(ranking_key(object_key, part), pool)[0]
        uid = self.virtual_hosts.get(virtual_host_name(object_key, part, self.zone), "")
        if uid in pool:
            return uid
        if not self.ring:
            self.ring = self._build_ring()
        position = bisect(self.ring, (_hash(f"{object_key}/{part}"), ""))
        return self.ring[position % len(self.ring)][1] if self.ring else ""

    def _build_ring(self) -> list[tuple[int, str]]:
        points = []
        for uid, host in self.hosts.items():
            if host.is_healthy:
                count = max(1, round(POINTS_PER_HOST * host.share))
                points += [(_hash(f"{uid}-{number}"), uid) for number in range(count)]
        return sorted(points)

    def request_virtual_host(self, object_key: str, part: int) -> None:
        """Subscribe to the virtual host of an object's part, as a proxy does at the first request for it."""
        name = virtual_host_name(object_key, part, self.zone)
        if name not in self.virtual_hosts:
            self._send(VIRTUAL_HOST_TYPE, added=[name])

    # The stream.

    def _send(
        self,
        type_url: str,
        added: list[str] | None = None,
        nonce: str = "",
        error: str = "",
        held: dict[str, str] | None = None,
    ) -> None:
        self._outgoing.put_nowait(
            discovery_pb2.DeltaDiscoveryRequest(
                node={"id": self.node, "locality": {"zone": self.zone}},
                type_url=type_url,
                resource_names_subscribe=added or [],
                initial_resource_versions=held or {},
                response_nonce=nonce,
                error_detail=error_detail(error) if error else None,
            )
        )

    async def _requests(self) -> Any:
        while True:
            yield await self._outgoing.get()

    async def run(self) -> None:
        """Follow until cancelled; after a stream's end, open another one with the held versions."""
        while True:
            try:
                with contextlib.suppress(grpc.RpcError):
                    await self.follow()
            except asyncio.CancelledError:
                if not self.dropped:
                    raise
            self.dropped = False
            await asyncio.sleep(RECONNECT_S)

    async def follow(self) -> None:
        """Follow over one stream. Raises grpc.RpcError if it ends with an error."""
        self._outgoing = asyncio.Queue()
        self.counts.streams += 1
        options = [("grpc.use_local_subchannel_pool", 1)]  # a separate connection for each proxy
        async with grpc.aio.insecure_channel(self.address, options=options) as channel:
            self.call = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel).DeltaAggregatedResources(
                self._requests()
            )
            self._send(CLUSTER_TYPE, held=self.versions.get(CLUSTER_TYPE))
            names = [f"caches-{self.zone}"]
            self._send(ENDPOINT_TYPE, added=names, held=self.versions.get(ENDPOINT_TYPE))
            self._send(RUNTIME_TYPE, added=[PURGES_NAME], held=self.versions.get(RUNTIME_TYPE))
            if self.virtual_hosts:
                self._send(
                    VIRTUAL_HOST_TYPE,
                    added=sorted(self.virtual_hosts),
                    held=self.versions.get(VIRTUAL_HOST_TYPE),
                )
            async for response in self.call:
                await self.may_read.wait()
                self._handle_response(response)

    def drop_stream(self) -> None:
        """End the stream now, without waiting for messages in flight."""
        if self.call is not None:
            self.dropped = True
            self.call.cancel()

    def _handle_response(self, response: Any) -> None:
        type_url = response.type_url
        self.counts.responses += 1
        self.counts.bytes += response.ByteSize()
        refusal = self.refuses(type_url, response)
        if refusal:
            self.counts.refused += 1
            self._send(type_url, nonce=response.nonce, error=refusal)
            return
        held = self.versions.setdefault(type_url, {})
        for resource in response.resources:
            held[resource.name] = resource.version
            if resource.HasField("resource"):
                self._apply(type_url, resource.name, resource.resource.value)
            if type_url == ENDPOINT_TYPE:
                self.fresh_until = time.monotonic() + resource.ttl.seconds
        for name in response.removed_resources:
            held.pop(name, None)
            self.virtual_hosts.pop(name, None)
            self.clusters.discard(name)
        self._send(type_url, nonce=response.nonce)
        self.changed.set()

    def _apply(self, type_url: str, name: str, data: bytes) -> None:
        if type_url == CLUSTER_TYPE:
            self.clusters.add(cluster_pb2.Cluster.FromString(data).name)
        elif type_url == ENDPOINT_TYPE:
            self._apply_endpoints(endpoint_pb2.ClusterLoadAssignment.FromString(data))
        elif type_url == VIRTUAL_HOST_TYPE:
            action = route_components_pb2.VirtualHost.FromString(data).routes[0].route
            self.virtual_hosts[name] = action.metadata_match.filter_metadata["envoy.lb"]["uid"]
        elif type_url == RUNTIME_TYPE:
            layer = rtds_pb2.Runtime.FromString(data).layer
            self.purge_watermarks = {name: int(layer[name]) for name in layer}

    def _apply_endpoints(self, assignment: Any) -> None:
        self.hosts = {}
        for locality in assignment.endpoints:
            for endpoint in locality.lb_endpoints:
                metadata = endpoint.metadata.filter_metadata
                extension_metadata = metadata["hoistplank"]
                is_healthy = endpoint.health_status == HEALTHY
                uid = metadata["envoy.lb"]["uid"]
                self.hosts[uid] = ProxyEndpoint(
                    is_healthy, extension_metadata["weight"], extension_metadata["share"]
                )
        self.ring = []  # rebuilt by the next choice that needs it


def virtual_host_name(object_key: str, part: int, zone: str) -> str:
    """Return the name of the virtual host of an object's part for the proxies of a zone."""
    return f"{ROUTES_NAME}/{object_key}.{part}@{zone}"
