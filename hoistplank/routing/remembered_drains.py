"""Memory of the hosts announced as draining or gone, so that an older list can't revert it. No I/O."""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from hoistplank.protocol.changelog import Target

MAX_HOSTS = 4_096  # the most recent ones; hosts that left earlier are in no list any more


class RememberedDrains:
    """The hosts last announced as not ready, with the start time of the process that was leaving."""

    def __init__(self) -> None:
        self._start_ms_by_host = OrderedDict[str, float]()

    def apply(self, target: Target, *, numbering_restarted: bool) -> Target:
        """Returns an entry of the list, changed to draining if an earlier drain of its host still holds.

        A change log that restarted its numbering, or only lags, sends a list from before a drain that was
        already received, and the host would get new attempts. Once the log has restarted its numbering, only
        a new start of the host's process ends the drain.
        """
        if target.state != "ready":
            self._remember(target)
            return target
        if self._start_ms_by_host.get(target.uid) == target.boot_ms and numbering_restarted:
            return msgspec.structs.replace(target, state="draining")
        self._start_ms_by_host.pop(target.uid, None)
        return target

    def _remember(self, target: Target) -> None:
        self._start_ms_by_host[target.uid] = target.boot_ms
        while len(self._start_ms_by_host) > MAX_HOSTS:
            self._start_ms_by_host.popitem(last=False)
