"""The xDS resources that followers are told, kept in step with hosts, purges and followed names.

Decision logic without I/O, but for protobuf's own encoding: facts in, names of changed resources out. A
resource's version is the digest of its bytes, so that a change that changes nothing sends nothing, and two
control processes with the same facts serve the same bytes. A change at one host encodes one endpoint anew;
the assignment around it is put together from the bytes of the others, which are kept.

Resources (types of the v3 API, https://www.envoyproxy.io/docs/envoy/latest/api-docs/xds_protocol):

- Cluster, one for each kind and zone: `caches-ZONE`, `parents`, `origin`; from EDS; ring hash for a proxy
  that has no route for a name yet, subsets by `uid` for routes that name a host.
- ClusterLoadAssignment, one for each cluster: endpoints with `uid`, cell and weight as metadata.
- RouteConfiguration `visits`, and a VirtualHost on demand (VHDS) for each object and part that is asked for:
  `requests/OBJECT.PART@ZONE`, whose route names the host that the dispatcher ranks first.
- Runtime `purges`: for each object or group purged lately, when (ms since 1970) it was purged.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from hashlib import blake2b
from typing import Any

from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.core.v3 import base_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from envoy.config.route.v3 import route_components_pb2, route_pb2
from envoy.service.runtime.v3 import rtds_pb2

from hoistplank.xds.ranking_cache import Firsts, key_of

BASE = "type.googleapis.com/"
CLUSTER = BASE + "envoy.config.cluster.v3.Cluster"
ENDPOINT = BASE + "envoy.config.endpoint.v3.ClusterLoadAssignment"
ROUTE = BASE + "envoy.config.route.v3.RouteConfiguration"
VHOST = BASE + "envoy.config.route.v3.VirtualHost"
RUNTIME = BASE + "envoy.service.runtime.v3.Runtime"
TYPES = (CLUSTER, ENDPOINT, ROUTE, VHOST, RUNTIME)
ROUTES, PURGES, ORIGIN, PARENTS = "visits", "purges", "origin", "parents"
MOST_FOLLOWED = 100_000  # names on demand; beyond them a proxy keeps to the ring

Change = tuple[str, str]  # type, name


@dataclass(frozen=True, slots=True)
class Host:
    """A cache host, parent or origin as followers are to see it. `tier`: caches, parents or origin; `weight`
    above 0, as the module ranks with; `share`: of its weight that followers may use now, 1 once warm."""

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

    def cluster(self) -> str:
        return f"caches-{self.zone}" if self.tier == "caches" else self.tier


@dataclass(frozen=True, slots=True)
class Resource:
    version: str
    data: bytes


def digest(data: bytes) -> str:
    return blake2b(data, digest_size=8).hexdigest()


def _bytes(message: Any) -> bytes:
    return bytes(message.SerializeToString(deterministic=True))


class ResourceCache:
    """All resources, by type and name; `bound_us`: for how long a purge is told (us)."""

    def __init__(self, bound_us: int = 60_000_000) -> None:
        self.bound_us = bound_us
        self.hosts: dict[str, Host] = {}
        self.members: dict[str, dict[str, bytes]] = {}  # cluster -> uid -> its endpoint's bytes
        self.firsts: dict[str, Firsts] = {}  # cluster -> the first host of each name that is followed
        self.followed: dict[str, int] = {}  # name on demand -> how many followers have it
        self.floors: dict[str, int] = {}  # object or "group.N" -> when it was purged (us)
        self.told_at: OrderedDict[str, int] = (
            OrderedDict()
        )  # the same names, by when they were last told (us)
        self.by_type: dict[str, dict[str, Resource]] = {kind: {} for kind in TYPES}
        self.encoded = 0  # endpoints encoded so far: what a change costs
        self._keep(ROUTE, ROUTES, self._routes)
        self._keep(RUNTIME, PURGES, self._purges)

    def get(self, kind: str, name: str) -> Resource | None:
        return self.by_type.get(kind, {}).get(name)

    def names(self, kind: str) -> list[str]:
        return sorted(self.by_type.get(kind, {}))

    def _keep(self, kind: str, name: str, make: Callable[[], Any]) -> bool:
        data = _bytes(make())
        held = self.by_type[kind].get(name)
        if held is not None and held.data == data:
            return False
        self.by_type[kind][name] = Resource(digest(data), data)
        return True

    # What is known changes.

    def put(self, host: Host) -> set[Change]:
        """A host, new or changed; returns what followers are to be told."""
        return self.listed([host], [])

    def drop(self, uid: str) -> set[Change]:
        """A host that is gone. Its cluster stays, empty where it was the last: routes may still name it."""
        return self.listed([], [uid])

    def listed(self, hosts: Iterable[Host], gone: Iterable[str]) -> set[Change]:
        """Hosts, new or changed, and such as are gone; each assignment touched is put together once."""
        changed, touched, moved = set[Change](), set[str](), set[str]()
        for uid in gone:
            self._leaves(uid, touched, moved)
        for host in hosts:
            before, cluster = self.hosts.get(host.uid), host.cluster()
            if before == host:
                continue
            if before is not None and before.cluster() != cluster:
                self._leaves(host.uid, touched, moved)
            self.hosts[host.uid] = host
            self.encoded += 1
            row = endpoint_components_pb2.LocalityLbEndpoints(lb_endpoints=[endpoint(host)])
            self.members.setdefault(cluster, {})[host.uid] = _bytes(row)
            if cluster not in self.by_type[CLUSTER]:
                self._keep(CLUSTER, cluster, partial(_cluster, cluster))
                changed.add((CLUSTER, cluster))
            firsts = self.firsts.setdefault(cluster, Firsts())
            # Danger: routes that name a cold host send it all requests of its names: it gets a share of them.
            moved |= firsts.came(host.uid, host.weight * host.share) if host.up else firsts.went(host.uid)
            touched.add(cluster)
        for cluster in touched:
            changed |= self._assigned(cluster)
        return changed | self._moved(moved)

    def _leaves(self, uid: str, touched: set[str], moved: set[str]) -> None:
        host = self.hosts.pop(uid, None)
        if host is not None:
            cluster = host.cluster()
            self.members[cluster].pop(uid, None)
            moved |= self.firsts[cluster].went(uid)
            touched.add(cluster)

    def _assigned(self, cluster: str) -> set[Change]:
        members = self.members[cluster]
        zone = cluster.removeprefix("caches-")

        def make() -> Any:
            # Encoded messages in a row are one message with all their repeated fields: none is made anew.
            row = _bytes(
                endpoint_components_pb2.LocalityLbEndpoints(
                    locality=base_pb2.Locality(zone=zone), load_balancing_weight={"value": 1}
                )
            )
            whole = row + b"".join(members[uid] for uid in sorted(members))
            locality = endpoint_components_pb2.LocalityLbEndpoints.FromString(whole)
            return endpoint_pb2.ClusterLoadAssignment(cluster_name=cluster, endpoints=[locality])

        return {(ENDPOINT, cluster)} if self._keep(ENDPOINT, cluster, make) else set()

    def _moved(self, names: set[str]) -> set[Change]:
        return {(VHOST, name) for name in names if self._keep(VHOST, name, partial(self._vhost, name))}

    def purged(self, now: int, object_key: str, group: int, made_us: int) -> set[Change]:
        """An object, or a group where `object_key` is empty, has been purged at `made_us`."""
        name = object_key or f"group.{group}"
        self.floors[name] = max(made_us, self.floors.get(name, 0))
        self.told_at[name] = now
        self.told_at.move_to_end(name)
        self.passed(now)
        return {(RUNTIME, PURGES)} if self._keep(RUNTIME, PURGES, self._purges) else set()

    def passed(self, now: int) -> None:
        """Forgets purges that no copy can be older than; followers hear of it with the next purge.

        Danger: a purge heard late, after a cut, and forgotten by its own time would never reach a follower.
        """
        while self.told_at and next(iter(self.told_at.values())) < now - self.bound_us:
            name, _ = self.told_at.popitem(last=False)
            del self.floors[name]

    # Names on demand.

    def follow(self, name: str) -> bool:
        """One more follower wants a virtual host, `requests/OBJECT.PART@ZONE`; False where it can't be
        had."""
        if name in self.followed:
            self.followed[name] += 1
            return True
        found = parsed(name)
        if found is None or len(self.followed) >= MOST_FOLLOWED:
            return False
        object_key, part, zone = found
        firsts = self.firsts.setdefault(f"caches-{zone}", Firsts())
        firsts.follow(name, key_of(object_key, part))
        self.followed[name] = 1
        self._keep(VHOST, name, lambda: self._vhost(name))
        return True

    def leave(self, name: str) -> None:
        if name in self.followed:
            self.followed[name] -= 1
            if not self.followed[name]:
                del self.followed[name]
                self.by_type[VHOST].pop(name, None)
                found = parsed(name)
                if found is not None:
                    self.firsts[f"caches-{found[2]}"].leave([name])

    # Messages.

    def _vhost(self, name: str) -> Any:
        found = parsed(name)
        assert found is not None  # only names that were parsed are followed
        object_key, part, zone = found
        cluster = f"caches-{zone}"
        uid = self.firsts[cluster].first[name][1]
        action = route_components_pb2.RouteAction(cluster=cluster)
        if uid:
            action.metadata_match.filter_metadata["envoy.lb"].update({"uid": uid})
        return route_components_pb2.VirtualHost(
            name=name,
            domains=[f"{object_key}.{part}"],
            routes=[
                route_components_pb2.Route(match=route_components_pb2.RouteMatch(prefix="/"), route=action)
            ],
        )

    def _routes(self) -> Any:
        return route_pb2.RouteConfiguration(
            name=ROUTES, vhds={"config_source": {"ads": {}, "resource_api_version": "V3"}}
        )

    def _purges(self) -> Any:
        made = rtds_pb2.Runtime(name=PURGES)
        made.layer.update({name: self.floors[name] // 1_000 for name in sorted(self.floors)})
        return made


def parsed(name: str) -> tuple[str, int, str] | None:
    """Object, part and zone of a virtual host's name; None where it is none of ours."""
    if len(name) > 200 or not name.startswith(ROUTES + "/"):
        return None
    rest, at, zone = name[len(ROUTES) + 1 :].partition("@")
    object_key, dot, part = rest.rpartition(".")
    if not (at and zone and dot and object_key and part.isascii() and part.isdecimal() and len(part) <= 5):
        return None
    return object_key, int(part), zone


def endpoint(host: Host) -> Any:
    made = endpoint_components_pb2.LbEndpoint(
        endpoint={"address": {"socket_address": {"address": host.address, "port_value": host.port}}},
        health_status="HEALTHY" if host.up else "DRAINING",
        load_balancing_weight={"value": max(1, round(100 * host.weight * host.share))},
    )
    made.metadata.filter_metadata["envoy.lb"].update({"uid": host.uid})
    made.metadata.filter_metadata["hoistplank"].update(
        {"cell": host.cell, "weight": host.weight, "share": host.share, "started_us": str(host.started_us)}
    )
    return made


def _cluster(name: str) -> Any:
    made = cluster_pb2.Cluster(
        name=name,
        type="EDS",
        lb_policy="RING_HASH",
        eds_cluster_config={"eds_config": {"ads": {}, "resource_api_version": "V3"}},
        lb_subset_config={"fallback_policy": "ANY_ENDPOINT", "subset_selectors": [{"keys": ["uid"]}]},
    )
    made.connect_timeout.FromMilliseconds(400)
    return made
