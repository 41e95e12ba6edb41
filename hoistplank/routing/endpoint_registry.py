"""Where each cache host is, as the last endpoint lists said."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from hoistplank.decision.events import Endpoint, EndpointListForm, EndpointState
from hoistplank.protocol.changelog import Target


@dataclass(slots=True)
class RegisteredEndpoint:
    """A cache host and the address of its process."""

    endpoint: Endpoint
    address: tuple[str, int]

    def is_other_process(self, endpoint: Endpoint, address: tuple[str, int]) -> bool:
        """Whether a newer entry of the list is not of this process, or says that it is gone."""
        return (
            self.address != address
            or self.endpoint.started_us != endpoint.started_us
            or endpoint.state == EndpointState.REMOVED
        )


class EndpointRegistry:
    """The cache hosts by name. `retire` ends the connections that a host has now.

    What is gone is forgotten at once, with all that is held of it: hosts come and go all day.
    """

    def __init__(self, retire: Callable[[str], None]) -> None:
        self.by_host: dict[str, RegisteredEndpoint] = {}
        self._retire = retire

    def is_up(self, host: str) -> bool:
        """Whether a host is known and may get new attempts."""
        registered = self.by_host.get(host)
        return registered is not None and registered.endpoint.state == EndpointState.UP

    def update(self, form: EndpointListForm, targets: list[Target]) -> list[Endpoint]:
        """Takes a list in; returns its entries for the decision logic."""
        endpoints = [target.entry() for target in targets]
        if form is not EndpointListForm.CHANGES:
            self._remove_all_but({endpoint.host for endpoint in endpoints})
        for target, endpoint in zip(targets, endpoints, strict=True):
            self._update(endpoint, target.address())
        return endpoints

    def _remove_all_but(self, hosts: set[str]) -> None:
        # Danger: what an unconfirmed list held and the log's first one does not would stay reachable.
        for host in list(self.by_host):
            if host not in hosts:
                self._retire(host)
                del self.by_host[host]

    def _update(self, endpoint: Endpoint, address: tuple[str, int]) -> None:
        registered = self.by_host.get(endpoint.host)
        if registered is not None and registered.is_other_process(endpoint, address):
            # Danger: a connection to a process that has gone is used for the one that came after it.
            self._retire(endpoint.host)
        if endpoint.state == EndpointState.REMOVED:
            self.by_host.pop(endpoint.host, None)
        else:
            self.by_host[endpoint.host] = RegisteredEndpoint(endpoint, address)
