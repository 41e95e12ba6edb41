"""The xDS resources that are sent to followers, built from hosts, purges and followed names.

Decision logic without I/O except protobuf's own encoding: state changes in, names of changed resources out. A
resource's version is the digest of its bytes, so a change without effect sends nothing, and two control
processes with the same state serve the same bytes. A change of one host encodes one endpoint; the assignment
around it is assembled from the stored bytes of the others.

Resources:

- Cluster, one for each tier and zone: `caches-ZONE`, `parents`, `origin`.
- ClusterLoadAssignment, one for each cluster.
- RouteConfiguration `visits`, and a VirtualHost on demand (VHDS) for each object and part that is followed:
  `visits/OBJECT.PART@ZONE`, whose route names the host that the dispatcher ranks first.
- Runtime `purges`: the purge time (ms since 1970) of each recently purged object or group.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from hashlib import blake2b
from typing import Any, NamedTuple

from hoistplank.xds.purge_watermarks import PurgeWatermarks
from hoistplank.xds.ranking_cache import RankingCache, ranking_key
from hoistplank.xds.resource_messages import (
    Host,
    assignment_message,
    cluster_message,
    endpoint_bytes,
    purges_message,
    routes_message,
    serialized,
    virtual_host_message,
)
from hoistplank.xds.resource_types import (
    CLUSTER_TYPE,
    ENDPOINT_TYPE,
    PURGES_NAME,
    RESOURCE_TYPES,
    ROUTE_TYPE,
    ROUTES_NAME,
    RUNTIME_TYPE,
    VIRTUAL_HOST_TYPE,
    VirtualHostName,
    parse_virtual_host_name,
)

MAX_FOLLOWED_NAMES = 100_000  # names on demand; for further ones a proxy uses its hash ring
PURGE_RETENTION_US = 60_000_000


class ResourceChange(NamedTuple):
    """A resource that is new, changed or removed."""

    type_url: str
    name: str


@dataclass(frozen=True, slots=True)
class Resource:
    """An encoded resource; its version is the digest of its bytes."""

    version: str
    data: bytes


def digest(data: bytes) -> str:
    """Returns a version for these bytes."""
    return blake2b(data, digest_size=8).hexdigest()


class ResourceCache:
    """All resources, by type and name."""

    def __init__(self, purge_retention_us: int = PURGE_RETENTION_US) -> None:
        self.hosts: dict[str, Host] = {}  # by uid
        self.rankings: dict[str, RankingCache] = {}  # by cluster
        self.follower_counts: dict[str, int] = {}  # number of followers of each name on demand
        self.purges = PurgeWatermarks(purge_retention_us)
        self.by_type: dict[str, dict[str, Resource]] = {type_url: {} for type_url in RESOURCE_TYPES}
        self.endpoints_encoded = 0  # since the start, as a measure of the cost of changes
        self._endpoints: dict[str, dict[str, bytes]] = {}  # cluster -> uid -> its endpoint's bytes
        self._store(ROUTE_TYPE, ROUTES_NAME, routes_message)
        self._store(RUNTIME_TYPE, PURGES_NAME, self._purges_message)

    def get(self, type_url: str, name: str) -> Resource | None:
        """Returns the resource of this type and name; None if there is none."""
        return self.by_type.get(type_url, {}).get(name)

    def names(self, type_url: str) -> list[str]:
        """Returns the names of all resources of a type, sorted."""
        return sorted(self.by_type.get(type_url, {}))

    def _store(self, type_url: str, name: str, build: Callable[[], Any]) -> bool:
        """Encodes and stores a resource; returns True if that changed it."""
        data = serialized(build())
        stored = self.by_type[type_url].get(name)
        if stored is not None and stored.data == data:
            return False
        self.by_type[type_url][name] = Resource(digest(data), data)
        return True

    # Hosts.

    def put_host(self, host: Host) -> set[ResourceChange]:
        """Adds or changes a host; returns the changed resources."""
        return self.update_hosts([host], [])

    def remove_host(self, uid: str) -> set[ResourceChange]:
        """Removes a host; returns the changed resources.

        Its cluster stays, empty if it was the last host: routes may still name it.
        """
        return self.update_hosts([], [uid])

    def update_hosts(self, hosts: Iterable[Host], removed: Iterable[str]) -> set[ResourceChange]:
        """Adds, changes and removes hosts; returns the changed resources.

        Each affected assignment is built once.
        """
        changes, clusters, names = set[ResourceChange](), set[str](), set[str]()
        for uid in removed:
            self._remove(uid, clusters, names)
        for host in hosts:
            previous = self.hosts.get(host.uid)
            if previous == host:
                continue
            if previous is not None and previous.cluster != host.cluster:
                self._remove(host.uid, clusters, names)
            changes |= self._put(host, names)
            clusters.add(host.cluster)
        for cluster in clusters:
            changes |= self._store_assignment(cluster)
        return changes | self._store_virtual_hosts(names)

    def _put(self, host: Host, names: set[str]) -> set[ResourceChange]:
        """Stores a host, and its cluster if that is new; adds the names whose first host changed."""
        changes = set[ResourceChange]()
        cluster = host.cluster
        self.hosts[host.uid] = host
        self.endpoints_encoded += 1
        self._endpoints.setdefault(cluster, {})[host.uid] = endpoint_bytes(host)
        if cluster not in self.by_type[CLUSTER_TYPE]:
            self._store(CLUSTER_TYPE, cluster, partial(cluster_message, cluster))
            changes.add(ResourceChange(CLUSTER_TYPE, cluster))
        ranking = self._ranking(cluster)
        if host.up:
            # Ranked by its share of its weight: a route sends all requests of a name to one host, and a cold
            # host that was first for its full weight would be overloaded.
            names |= ranking.add_host(host.uid, host.weight * host.share)
        else:
            names |= ranking.remove_host(host.uid)
        return changes

    def _ranking(self, cluster: str) -> RankingCache:
        return self.rankings.setdefault(cluster, RankingCache())

    def _remove(self, uid: str, clusters: set[str], names: set[str]) -> None:
        host = self.hosts.pop(uid, None)
        if host is not None:
            self._endpoints[host.cluster].pop(uid, None)
            names |= self.rankings[host.cluster].remove_host(uid)
            clusters.add(host.cluster)

    def _store_assignment(self, cluster: str) -> set[ResourceChange]:
        endpoints = self._endpoints[cluster]
        fragments = [endpoints[uid] for uid in sorted(endpoints)]
        is_changed = self._store(ENDPOINT_TYPE, cluster, partial(assignment_message, cluster, fragments))
        return {ResourceChange(ENDPOINT_TYPE, cluster)} if is_changed else set()

    def _store_virtual_hosts(self, names: set[str]) -> set[ResourceChange]:
        return {
            ResourceChange(VIRTUAL_HOST_TYPE, name)
            for name in names
            if self._store(VIRTUAL_HOST_TYPE, name, partial(self._virtual_host_message, name))
        }

    # Purges.

    def add_purge(self, now_us: int, object_key: str, group: int, purged_us: int) -> set[ResourceChange]:
        """Adds a purge at `purged_us` of an object, or of a group if `object_key` is empty."""
        self.purges.add(now_us, object_key or f"group.{group}", purged_us)
        is_changed = self._store(RUNTIME_TYPE, PURGES_NAME, self._purges_message)
        return {ResourceChange(RUNTIME_TYPE, PURGES_NAME)} if is_changed else set()

    def remove_expired_purges(self, now_us: int) -> None:
        """Drops purges that no copy can be older than; followers receive the removal with the next purge."""
        self.purges.remove_expired(now_us)

    def _purges_message(self) -> Any:
        return purges_message(self.purges.purged_us)

    # Names on demand.

    def follow(self, name: str) -> bool:
        """Counts one more follower of a virtual host; returns False if it can't be served."""
        if name in self.follower_counts:
            self.follower_counts[name] += 1
            return True
        parsed = parse_virtual_host_name(name)
        if parsed is None or len(self.follower_counts) >= MAX_FOLLOWED_NAMES:
            return False
        self._ranking(parsed.cluster).follow(name, ranking_key(parsed.object_key, parsed.part))
        self.follower_counts[name] = 1
        self._store(VIRTUAL_HOST_TYPE, name, partial(self._virtual_host_message, name))
        return True

    def unfollow(self, name: str) -> None:
        """Counts one follower less of a virtual host, which is dropped with its last follower."""
        if name not in self.follower_counts:
            return
        self.follower_counts[name] -= 1
        if self.follower_counts[name]:
            return
        del self.follower_counts[name]
        self.by_type[VIRTUAL_HOST_TYPE].pop(name, None)
        self.rankings[_parse_followed_name(name).cluster].unfollow([name])

    def _virtual_host_message(self, name: str) -> Any:
        parsed = _parse_followed_name(name)
        uid = self.rankings[parsed.cluster].first_hosts[name].uid
        return virtual_host_message(name, parsed, uid)


def _parse_followed_name(name: str) -> VirtualHostName:
    """Returns the parts of a followed name, which `follow` has parsed before."""
    parsed = parse_virtual_host_name(name)
    assert parsed is not None
    return parsed
