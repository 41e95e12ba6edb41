"""The types and names of the served xDS resources, as they are on the wire.

Types of the v3 API: https://www.envoyproxy.io/docs/envoy/latest/api-docs/xds_protocol
"""

from __future__ import annotations

from typing import NamedTuple

_TYPE_PREFIX = "type.googleapis.com/"
CLUSTER_TYPE = _TYPE_PREFIX + "envoy.config.cluster.v3.Cluster"
ENDPOINT_TYPE = _TYPE_PREFIX + "envoy.config.endpoint.v3.ClusterLoadAssignment"
ROUTE_TYPE = _TYPE_PREFIX + "envoy.config.route.v3.RouteConfiguration"
VIRTUAL_HOST_TYPE = _TYPE_PREFIX + "envoy.config.route.v3.VirtualHost"
RUNTIME_TYPE = _TYPE_PREFIX + "envoy.service.runtime.v3.Runtime"
# In make-before-break order: the order in which a follower is sent them.
RESOURCE_TYPES = (CLUSTER_TYPE, ENDPOINT_TYPE, ROUTE_TYPE, VIRTUAL_HOST_TYPE, RUNTIME_TYPE)

# Proxies are configured with these names (docs/operations/xds.md), and would not find renamed resources.
ROUTES_NAME = "visits"
PURGES_NAME = "purges"
ORIGIN_CLUSTER = "origin"
PARENTS_CLUSTER = "parents"
CACHES_PREFIX = "caches-"  # then the zone: the name of the cluster of its cache hosts

MAX_NAME_CHARACTERS = 200
MAX_PART_DIGITS = 5


class VirtualHostName(NamedTuple):
    """The parts of the name of a virtual host on demand, `visits/OBJECT.PART@ZONE`."""

    object_key: str
    part: int
    zone: str

    @property
    def cluster(self) -> str:
        """The cluster of the zone's cache hosts."""
        return CACHES_PREFIX + self.zone


def parse_virtual_host_name(name: str) -> VirtualHostName | None:
    """Returns the parts of a virtual host's name; None if it is not a name of this service."""
    if len(name) > MAX_NAME_CHARACTERS or not name.startswith(ROUTES_NAME + "/"):
        return None
    object_and_part, at, zone = name[len(ROUTES_NAME) + 1 :].partition("@")
    object_key, dot, part = object_and_part.rpartition(".")
    is_number = part.isascii() and part.isdecimal() and len(part) <= MAX_PART_DIGITS
    if not (at and zone and dot and object_key and is_number):
        return None
    return VirtualHostName(object_key, int(part), zone)
