"""The preference order of caches and parents for an object, by weighted rendezvous hashing."""

from __future__ import annotations

from hoistplank.decision.hashing import hash_key, rendezvous_score
from hoistplank.decision.hosts import Host, HostTable
from hoistplank.decision.requests import HostOrder, Request


class HostRanking:
    """Orders hosts for a request; an order is cached until the endpoint list changes."""

    def __init__(self, hosts: HostTable) -> None:
        self.hosts = hosts

    def order(self, request: Request) -> HostOrder:
        """Returns the caches ordered by object and part, and the parents ordered by object alone.

        Parents are ordered by object so that all fills of an object go to one parent. The order is cached in
        the request's herd, if it has one, so that it is computed once for all requests of the herd.
        """
        order_holder = request.herd or request
        if order_holder.order.version != self.hosts.version:
            order_holder.order = HostOrder(
                self.hosts.version,
                _ranked(self.hosts.caches, hash_key(f"{request.object_key}/{request.part}")),
                _ranked(self.hosts.parents, hash_key(request.object_key)),
            )
        return order_holder.order


def _ranked(hosts: list[Host], key: int) -> list[Host]:
    return sorted(hosts, key=lambda host: rendezvous_score(key, host.salt, host.hash_weight))
