"""Builds the protobuf messages of the served xDS resources. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.core.v3 import base_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from envoy.config.route.v3 import route_components_pb2, route_pb2
from envoy.service.runtime.v3 import rtds_pb2

from hoistplank.xds.resource_types import CACHES_PREFIX, PURGES_NAME, ROUTES_NAME, VirtualHostName

CONNECT_TIMEOUT_MS = 400
ADS_CONFIG_SOURCE = {"ads": {}, "resource_api_version": "V3"}


@dataclass(frozen=True, slots=True)
class Host:
    """A cache host, parent or origin as it is sent to followers.

    `tier`: caches, parents or origin; `weight`: above 0, used for ranking as in the decision module; `share`:
    the part of its weight that followers may use now, 1 once it is warm.
    """

    uid: str
    address: str
    port: int
    tier: str
    zone: str
    cell: int
    weight: float
    started_us: int
    up: bool
    share: float = 1.0

    @property
    def cluster(self) -> str:
        """The name of the host's cluster."""
        return CACHES_PREFIX + self.zone if self.tier == "caches" else self.tier


def serialized(message: Any) -> bytes:
    """Returns a message's bytes, the same for equal messages."""
    return bytes(message.SerializeToString(deterministic=True))


def endpoint_message(host: Host) -> Any:
    """Returns a host as an endpoint, with its uid, cell, weight, share and start time as metadata."""
    endpoint = endpoint_components_pb2.LbEndpoint(
        endpoint={"address": {"socket_address": {"address": host.address, "port_value": host.port}}},
        health_status="HEALTHY" if host.up else "DRAINING",
        load_balancing_weight={"value": max(1, round(100 * host.weight * host.share))},
    )
    endpoint.metadata.filter_metadata["envoy.lb"].update({"uid": host.uid})
    endpoint.metadata.filter_metadata["hoistplank"].update(
        {"cell": host.cell, "weight": host.weight, "share": host.share, "started_us": str(host.started_us)}
    )
    return endpoint


def endpoint_bytes(host: Host) -> bytes:
    """Returns a host as the only endpoint of a locality: a fragment for `assignment_message`."""
    return serialized(endpoint_components_pb2.LocalityLbEndpoints(lb_endpoints=[endpoint_message(host)]))


def assignment_message(cluster: str, fragments: Iterable[bytes]) -> Any:
    """Returns a cluster's endpoints, assembled from results of `endpoint_bytes`.

    Concatenated protobuf messages are one message with all their repeated fields: no endpoint is built again.
    """
    zone = cluster.removeprefix(CACHES_PREFIX)
    locality = endpoint_components_pb2.LocalityLbEndpoints(
        locality=base_pb2.Locality(zone=zone), load_balancing_weight={"value": 1}
    )
    data = serialized(locality) + b"".join(fragments)
    endpoints = endpoint_components_pb2.LocalityLbEndpoints.FromString(data)
    return endpoint_pb2.ClusterLoadAssignment(cluster_name=cluster, endpoints=[endpoints])


def cluster_message(name: str) -> Any:
    """Returns a cluster from EDS: ring hash for names without a route, subsets by uid for routes."""
    cluster = cluster_pb2.Cluster(
        name=name,
        type="EDS",
        lb_policy="RING_HASH",
        eds_cluster_config={"eds_config": ADS_CONFIG_SOURCE},
        lb_subset_config={"fallback_policy": "ANY_ENDPOINT", "subset_selectors": [{"keys": ["uid"]}]},
    )
    cluster.connect_timeout.FromMilliseconds(CONNECT_TIMEOUT_MS)
    return cluster


def virtual_host_message(name: str, parsed: VirtualHostName, uid: str) -> Any:
    """Returns a virtual host whose route names the host `uid`, or no host if that is empty."""
    action = route_components_pb2.RouteAction(cluster=parsed.cluster)
    if uid:
        action.metadata_match.filter_metadata["envoy.lb"].update({"uid": uid})
    match = route_components_pb2.RouteMatch(prefix="/")
    return route_components_pb2.VirtualHost(
        name=name,
        domains=[f"{parsed.object_key}.{parsed.part}"],
        routes=[route_components_pb2.Route(match=match, route=action)],
    )


def routes_message() -> Any:
    """Returns the route configuration: virtual hosts on demand (VHDS)."""
    return route_pb2.RouteConfiguration(name=ROUTES_NAME, vhds={"config_source": ADS_CONFIG_SOURCE})


def purges_message(purged_us: Mapping[str, int]) -> Any:
    """Returns the runtime layer of purges: name -> purge time in ms since 1970."""
    runtime = rtds_pb2.Runtime(name=PURGES_NAME)
    runtime.layer.update({name: purged_us[name] // 1_000 for name in sorted(purged_us)})
    return runtime
