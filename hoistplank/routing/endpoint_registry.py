"""Where each cache host is, as the last endpoint lists said."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from hoistplank.decision.events import Endpoint, EndpointListForm, EndpointState
from hoistplank.protocol.changelog import Target


@dataclass(slots=True)
class RegisteredEndpoint:
    """A cache host and the address of its process; `announced_start_us`: its start as the list dates it."""

    endpoint: Endpoint
    address: tuple[str, int]
    announced_start_us: int

    def is_other_process(self, endpoint: Endpoint, address: tuple[str, int]) -> bool:
        """Whether a newer entry of the list is not of this process, or says that it is gone."""
        return (
            self.address != address
            or self.endpoint.started_us != endpoint.started_us
            or endpoint.state == EndpointState.REMOVED
        )


class EndpointRegistry:
    """The cache hosts by name. `retire` ends the connections that a host has now; `to_local_start` takes the
    start of a process, as the list dates it, into the time of the decision logic.

    What is gone is forgotten at once, with all that is held of it: hosts come and go all day.
    """

    def __init__(self, retire: Callable[[str], None], to_local_start: Callable[[int], int]) -> None:
        self.by_host: dict[str, RegisteredEndpoint] = {}
        self._retire = retire
        self._to_local_start = to_local_start

    def is_up(self, host: str) -> bool:
        """Whether a host is known and may get new attempts."""
        registered = self.by_host.get(host)
        return registered is not None and registered.endpoint.state == EndpointState.UP

    def update(self, form: EndpointListForm, targets: list[Target]) -> list[Endpoint]:
        """Takes a list in; returns its entries for the decision logic."""
        announced = [target.entry() for target in targets]
        endpoints = [self._with_local_start(endpoint) for endpoint in announced]
        if form is not EndpointListForm.CHANGES:
            self._remove_all_but({endpoint.host for endpoint in endpoints})
        for target, entry, endpoint in zip(targets, announced, endpoints, strict=True):
            self._update(endpoint, target.address(), entry.started_us)
        return endpoints

    def _with_local_start(self, endpoint: Endpoint) -> Endpoint:
        """Danger: another time for a start that is known would pass for another start."""
        registered = self.by_host.get(endpoint.host)
        if registered is not None and registered.announced_start_us == endpoint.started_us:
            started_us = registered.endpoint.started_us
        else:
            started_us = self._to_local_start(endpoint.started_us)
        if started_us == endpoint.started_us:
            return endpoint
        return msgspec.structs.replace(endpoint, started_us=started_us)

    def _remove_all_but(self, hosts: set[str]) -> None:
        # Danger: what an unconfirmed list held and the log's first one does not would stay reachable.
        for host in list(self.by_host):
            if host not in hosts:
                self._retire(host)
                del self.by_host[host]

    def _update(self, endpoint: Endpoint, address: tuple[str, int], announced_start_us: int) -> None:
        registered = self.by_host.get(endpoint.host)
        if registered is not None and registered.is_other_process(endpoint, address):
            # Danger: a connection to a process that has gone is used for the one that came after it.
            self._retire(endpoint.host)
        if endpoint.state == EndpointState.REMOVED:
            self.by_host.pop(endpoint.host, None)
        else:
            self.by_host[endpoint.host] = RegisteredEndpoint(endpoint, address, announced_start_us)
