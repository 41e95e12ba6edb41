"""The hosts that a dispatcher was told of, so that the whole list can be told anew as a stale one."""

from __future__ import annotations

from hoistplank.protocol.changelog import Target
from hoistplank.routing.endpoint_watcher import EventReceiver
from hoistplank.routing.events import EndpointListForm, EndpointsUpdated, Event


class HostRecord:
    """Stands between a follower and its owner: keeps the list, and tells it as `own` while it is stale.

    While a list is `own` the Router asks for no copy past its fresh time: what was purged meanwhile nobody
    can tell (docs/design.md, "An own list").
    """

    def __init__(self, owner: EventReceiver) -> None:
        self.owner, self.clock = owner, owner.clock
        self.is_stale = True  # until a replica has told all that there is
        self._targets: dict[str, Target] = {}
        self._is_listed = False

    def __len__(self) -> int:
        return len(self._targets)

    def submit(self, event: Event) -> None:
        """What the follower tells: lists are kept, all goes on to the owner."""
        if isinstance(event, EndpointsUpdated):
            self._keep(event)
            if self.is_stale:
                # Danger: any other form says that purges are heard, while those missed are still to come.
                event = self._stale_list()
        self.owner.submit(event)

    def _keep(self, event: EndpointsUpdated) -> None:
        self._is_listed = True
        if event.form != "changes":
            self._targets.clear()
        for target in event.targets:
            if target.state == "gone":
                self._targets.pop(target.uid, None)
            else:
                self._targets[target.uid] = target

    def _stale_list(self) -> EndpointsUpdated:
        return EndpointsUpdated(EndpointListForm.UNCONFIRMED, list(self._targets.values()))

    def grown_stale(self) -> EndpointsUpdated | None:
        """Nobody is heard any more: what the owner is to be told; None where no list is known."""
        self.is_stale = True
        return self._stale_list() if self._is_listed else None

    def grown_fresh(self) -> None:
        """All that there is has been told to the owner."""
        self.is_stale = False
        if self._is_listed:
            self.owner.submit(EndpointsUpdated(EndpointListForm.CHANGES, []))
