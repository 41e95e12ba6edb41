"""Holds back what a replica's list adds to the configuration's, until the replica proves to be up to date.

Decision logic: no I/O, no clock. A replica that has lost the change log still sends the list that it holds,
which may be older than the list that a dispatcher was started with: its hosts may be gone, and other hosts
may have their addresses by now.
"""

from __future__ import annotations

from msgspec.structs import replace

from hoistplank.protocol.changelog import Snapshot, Target


class UnprovenRows:
    """The hosts of the configuration's list, and the rows of a replica that were held back.

    Without hosts in the configuration's list there is nothing to compare with, and nothing is held back.
    """

    def __init__(self, known: Snapshot) -> None:
        self._known = _ready_hosts(known)
        self._held_back: dict[str, Target] = {}

    def restrict(self, target: Target) -> Target:
        """Returns a row of the list, as draining if the configuration's list doesn't name its process as
        ready."""
        self._held_back.pop(target.uid, None)
        if not self._known or target.state != "ready":
            return target
        known = self._known.get(target.uid)
        if known is not None and (known.endpoint, known.boot_ms) == (target.endpoint, target.boot_ms):
            return target
        self._held_back[target.uid] = target
        return replace(target, state="draining")

    def release(self) -> list[Target]:
        """Returns the rows that were held back, as the replica sent them; no row is held back any more."""
        released = list(self._held_back.values())
        self._held_back.clear()
        self._known.clear()
        return released


def _ready_hosts(known: Snapshot) -> dict[str, Target]:
    hosts: dict[str, Target] = {}
    for event in known.results:
        if event.fleet is None:
            continue
        if event.fleet.all:
            hosts.clear()
        for target in event.fleet.targets:
            if target.state == "ready":
                hosts[target.uid] = target
            else:
                hosts.pop(target.uid, None)
    return hosts
