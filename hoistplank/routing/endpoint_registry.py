"""Addresses and states of the cache hosts, from the endpoint lists received so far."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from hoistplank.decision.events import Endpoint, EndpointListForm, EndpointState
from hoistplank.protocol.changelog import Target


@dataclass(slots=True)
class RegisteredEndpoint:
    """A cache host with the address of its process.

    `announced_start_us` is the start of the process as the endpoint list gives it, by the wall clock.
    """

    endpoint: Endpoint
    address: tuple[str, int]
    announced_start_us: int

    def is_other_process(self, endpoint: Endpoint, address: tuple[str, int]) -> bool:
        """Returns whether a newer entry of the list is of another process, or removes the host."""
        return (
            self.address != address
            or self.endpoint.started_us != endpoint.started_us
            or endpoint.state == EndpointState.REMOVED
        )


class EndpointRegistry:
    """The cache hosts by name.

    `retire` drains the existing connections to a host; `to_local_start` converts the start of a process from
    the list's wall time to the time of the decision logic. A removed host is dropped at once with everything
    known about it, because hosts are replaced all day.
    """

    def __init__(self, retire: Callable[[str], None], to_local_start: Callable[[int], int]) -> None:
        self.by_host: dict[str, RegisteredEndpoint] = {}
        self._retire = retire
        self._to_local_start = to_local_start

    def is_up(self, host: str) -> bool:
        """Returns whether a host is known and may get new attempts."""
        registered = self.by_host.get(host)
        return registered is not None and registered.endpoint.state == EndpointState.UP

    def update(self, form: EndpointListForm, targets: list[Target]) -> list[Endpoint]:
        """Applies an endpoint list and returns its entries for the decision logic."""
        announced = [target.to_endpoint() for target in targets]
        endpoints = [self._with_local_start(endpoint) for endpoint in announced]
        if form is not EndpointListForm.CHANGES:
            self._remove_all_but({endpoint.host for endpoint in endpoints})
        for target, entry, endpoint in zip(targets, announced, endpoints, strict=True):
            self._update(endpoint, target.address(), entry.started_us)
        return endpoints

    def _with_local_start(self, endpoint: Endpoint) -> Endpoint:
        """Converts each start time only once: a second, different result would look like a restart."""
        registered = self.by_host.get(endpoint.host)
        if registered is not None and registered.announced_start_us == endpoint.started_us:
            started_us = registered.endpoint.started_us
        else:
            started_us = self._to_local_start(endpoint.started_us)
        if started_us == endpoint.started_us:
            return endpoint
        return msgspec.structs.replace(endpoint, started_us=started_us)

    def _remove_all_but(self, hosts: set[str]) -> None:
        # Otherwise hosts of an unconfirmed list that the change log's first list lacks would stay reachable.
        for host in list(self.by_host):
            if host not in hosts:
                self._retire(host)
                del self.by_host[host]

    def _update(self, endpoint: Endpoint, address: tuple[str, int], announced_start_us: int) -> None:
        registered = self.by_host.get(endpoint.host)
        if registered is not None and registered.is_other_process(endpoint, address):
            # Otherwise a connection to the previous process would be used for its successor.
            self._retire(endpoint.host)
        if endpoint.state == EndpointState.REMOVED:
            self.by_host.pop(endpoint.host, None)
        else:
            self.by_host[endpoint.host] = RegisteredEndpoint(endpoint, address, announced_start_us)
