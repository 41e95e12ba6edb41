"""Which hosts were announced as draining or gone, so that an older list can't take it back. No I/O."""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from hoistplank.protocol.changelog import Target

MAX_HOSTS = 4_096  # the latest ones: those that left longer ago are in no list any more


class RememberedDrains:
    """The hosts last announced as not ready, with the start of the process that was to leave."""

    def __init__(self) -> None:
        self._start_ms_by_host = OrderedDict[str, float]()

    def apply(self, target: Target, *, numbering_restarted: bool) -> Target:
        """What an entry of the list says, beside what was announced of its host before.

        Danger: a log that counts anew, or only lags, has a list from before a drain that was received, and
        the host would get new work. Once a log counted anew, only another start of the process takes it back.
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
