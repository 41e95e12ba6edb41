"""Records the hosts that a dispatcher was sent, so that the full list can be sent again as stale."""

from __future__ import annotations

from hoistplank.distribution.unproven_rows import UnprovenRows
from hoistplank.protocol.changelog import Snapshot, Target
from hoistplank.routing.endpoint_watcher import EventReceiver
from hoistplank.routing.events import EndpointListForm, EndpointsUpdated, Event


class HostRecord:
    """Forwards a follower's events to its receiver, recording the list and marking it as stale where it is.

    A stale list has the form UNCONFIRMED, for which the Router requests no copy past its fresh time: purges
    may have been missed (docs/design.md, "An own list"). `unproven` holds back what a replica's list adds to
    the configuration's until `release_unproven`.
    """

    def __init__(self, receiver: EventReceiver) -> None:
        self.receiver = receiver
        self.clock = receiver.clock
        self.is_stale = True  # until a replica has sent everything
        self.unproven = UnprovenRows(Snapshot())
        self._targets: dict[str, Target] = {}
        self._is_listed = False

    def __len__(self) -> int:
        return len(self._targets)

    def submit(self, event: Event) -> None:
        """Records the event if it is a list, and forwards it to the receiver."""
        if isinstance(event, EndpointsUpdated):
            restricted = [self.unproven.restrict(target) for target in event.targets]
            event = EndpointsUpdated(event.form, restricted)
            self._record(event)
            if self.is_stale:
                # Any other form claims that purges are received, while missed ones may still be pending.
                event = self._stale_list()
        self.receiver.submit(event)

    def release_unproven(self) -> None:
        """Forwards what was held back: the replica's list is known to be up to date."""
        released = self.unproven.release()
        if released:
            self.submit(EndpointsUpdated(EndpointListForm.CHANGES, released))

    def _record(self, event: EndpointsUpdated) -> None:
        self._is_listed = True
        if event.form != EndpointListForm.CHANGES:
            self._targets.clear()
        for target in event.targets:
            if target.state == "gone":
                self._targets.pop(target.uid, None)
            else:
                self._targets[target.uid] = target

    def _stale_list(self) -> EndpointsUpdated:
        return EndpointsUpdated(EndpointListForm.UNCONFIRMED, list(self._targets.values()))

    def mark_stale(self) -> EndpointsUpdated | None:
        """Marks the list as stale; returns the event for the receiver, None if no list is known."""
        self.is_stale = True
        return self._stale_list() if self._is_listed else None

    def mark_current(self) -> None:
        """Marks the list as current, once everything has been forwarded, and notifies the receiver."""
        self.is_stale = False
        if self._is_listed:
            self.receiver.submit(EndpointsUpdated(EndpointListForm.CHANGES, []))
