"""Stand-in proxies that follow a control service over incremental aggregated discovery, from the v3 protocol.

One has standard policies only: a virtual host on demand (VHDS) for what it is asked for, whose route names a
host as a subset, and a ring over healthy endpoints for what it has no route for yet. One with the extension
understands the metadata `hoistplank` of endpoints and ranks hosts by the core's own formula.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from bisect import bisect
from collections.abc import Callable
from hashlib import blake2b
from typing import Any

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

RING = 64  # points of a host of weight 100


def _hash(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


class Proxy:
    """One follower. `refuses(kind, response)` answers why a response is refused, or ""."""

    def __init__(
        self,
        address: str,
        node: str,
        zone: str,
        extension: bool = False,
        refuses: Callable[[str, Any], str] | None = None,
    ) -> None:
        self.address, self.node, self.zone, self.extension = address, node, zone, extension
        self.refuses = refuses or (lambda kind, response: "")
        self.hosts: dict[str, tuple[bool, float, float]] = {}  # uid -> healthy, weight, share
        self.clusters: set[str] = set()
        self.vhosts: dict[str, str] = {}
        self.floors: dict[str, int] = {}
        self.versions: dict[str, dict[str, str]] = {}  # type -> name -> version that it holds
        self.fresh_until = 0.0  # endpoints stand until then (monotonic)
        self.ring: list[tuple[int, str]] = []
        self.counts = {"responses": 0, "bytes": 0, "refused": 0, "streams": 0}
        self.heard = asyncio.Event()  # something was taken in
        self.stalled = asyncio.Event()
        self.stalled.set()
        self.calls: Any = None
        self.dropped = False
        self._out: asyncio.Queue[Any] = asyncio.Queue()

    # What it does with what it holds.

    def _pool(self) -> dict[str, float]:
        """uid -> weight, of those that may be used. Danger: a stale pool is used for ever after a cut."""
        if time.monotonic() > self.fresh_until:
            return {}
        return {uid: weight * share for uid, (up, weight, share) in self.hosts.items() if up}

    def choose(self, object_key: str, part: int) -> str:
        """The cache host for an object's part; "" where it may use none."""
        pool = self._pool()
        if not pool:
            return ""
        if self.extension:
            return ranked_hosts(ranking_key(object_key, part), pool)[0]
        uid = self.vhosts.get(name_of(object_key, part, self.zone), "")
        if uid in pool:
            return uid
        if not self.ring:
            self.ring = sorted(
                (_hash(f"{uid}-{n}"), uid)
                for uid, (up, _, share) in self.hosts.items()
                if up
                for n in range(max(1, round(RING * share)))
            )
        at = bisect(self.ring, (_hash(f"{object_key}/{part}"), ""))
        return self.ring[at % len(self.ring)][1] if self.ring else ""

    def want(self, object_key: str, part: int) -> None:
        """Asks for an object's virtual host, as a proxy does at the first request for it."""
        name = name_of(object_key, part, self.zone)
        if name not in self.vhosts:
            self._send(VIRTUAL_HOST_TYPE, more=[name])

    # The stream.

    def _send(
        self,
        kind: str,
        more: list[str] | None = None,
        nonce: str = "",
        error: str = "",
        held: dict[str, str] | None = None,
    ) -> None:
        self._out.put_nowait(
            discovery_pb2.DeltaDiscoveryRequest(
                node={"id": self.node, "locality": {"zone": self.zone}},
                type_url=kind,
                resource_names_subscribe=more or [],
                initial_resource_versions=held or {},
                response_nonce=nonce,
                error_detail=error_detail(error) if error else None,
            )
        )

    async def _requests(self) -> Any:
        while True:
            yield await self._out.get()

    async def run(self) -> None:
        """Follows until it is cancelled; a stream that ends is taken up again with what is held."""
        while True:
            try:
                with contextlib.suppress(grpc.RpcError):
                    await self.follow()
            except asyncio.CancelledError:
                if not self.dropped:
                    raise
            self.dropped = False
            await asyncio.sleep(0.05)

    async def follow(self) -> None:
        """One stream; raises grpc.RpcError when it ends badly."""
        self._out = asyncio.Queue()
        self.counts["streams"] += 1
        own = [("grpc.use_local_subchannel_pool", 1)]  # a connection of its own, as another process has
        async with grpc.aio.insecure_channel(self.address, options=own) as way:
            self.calls = ads_pb2_grpc.AggregatedDiscoveryServiceStub(way).DeltaAggregatedResources(
                self._requests()
            )
            self._send(CLUSTER_TYPE, held=self.versions.get(CLUSTER_TYPE))
            names = [f"caches-{self.zone}"]
            self._send(ENDPOINT_TYPE, more=names, held=self.versions.get(ENDPOINT_TYPE))
            self._send(RUNTIME_TYPE, more=[PURGES_NAME], held=self.versions.get(RUNTIME_TYPE))
            if self.vhosts:
                self._send(
                    VIRTUAL_HOST_TYPE, more=sorted(self.vhosts), held=self.versions.get(VIRTUAL_HOST_TYPE)
                )
            async for response in self.calls:
                await self.stalled.wait()
                self._take(response)

    def drop(self) -> None:
        """Ends the stream now, whatever is half-way."""
        if self.calls is not None:
            self.dropped = True
            self.calls.cancel()

    def _take(self, response: Any) -> None:
        kind = response.type_url
        self.counts["responses"] += 1
        self.counts["bytes"] += response.ByteSize()
        wrong = self.refuses(kind, response)
        if wrong:
            self.counts["refused"] += 1
            self._send(kind, nonce=response.nonce, error=wrong)
            return
        held = self.versions.setdefault(kind, {})
        for resource in response.resources:
            held[resource.name] = resource.version
            if resource.HasField("resource"):
                self._apply(kind, resource.name, resource.resource.value)
            if kind == ENDPOINT_TYPE:
                self.fresh_until = time.monotonic() + resource.ttl.seconds
        for name in response.removed_resources:
            held.pop(name, None)
            self.vhosts.pop(name, None)
            self.clusters.discard(name)
        self._send(kind, nonce=response.nonce)
        self.heard.set()

    def _apply(self, kind: str, name: str, data: bytes) -> None:
        if kind == CLUSTER_TYPE:
            self.clusters.add(cluster_pb2.Cluster.FromString(data).name)
        elif kind == ENDPOINT_TYPE:
            self.hosts = {}
            for locality in endpoint_pb2.ClusterLoadAssignment.FromString(data).endpoints:
                for row in locality.lb_endpoints:
                    told = row.metadata.filter_metadata
                    mine = told["hoistplank"]
                    self.hosts[told["envoy.lb"]["uid"]] = (
                        row.health_status == 1,
                        mine["weight"],
                        mine["share"],
                    )
            self.ring = []  # made when a choice needs it
        elif kind == VIRTUAL_HOST_TYPE:
            action = route_components_pb2.VirtualHost.FromString(data).routes[0].route
            self.vhosts[name] = action.metadata_match.filter_metadata["envoy.lb"]["uid"]
        elif kind == RUNTIME_TYPE:
            layer = rtds_pb2.Runtime.FromString(data).layer
            self.floors = {name: int(layer[name]) for name in layer}


def name_of(object_key: str, part: int, zone: str) -> str:
    return f"{ROUTES_NAME}/{object_key}.{part}@{zone}"
