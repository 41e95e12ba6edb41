"""Configurations of the change log that can't be read, kept for operators who request their status."""

from __future__ import annotations

from collections import OrderedDict

from hoistplank.distribution.versions import Version

MAX_UNREADABLE_CHANGES = 64


class UnreadableChanges:
    """The errors of the newest unreadable configurations, by version."""

    def __init__(self) -> None:
        self._reasons = OrderedDict[Version, str]()

    def add(self, version: Version, reason: str) -> None:
        """Records why a configuration can't be read; the oldest ones are dropped."""
        self._reasons[version] = reason
        while len(self._reasons) > MAX_UNREADABLE_CHANGES:
            self._reasons.popitem(last=False)

    def reason(self, version: Version) -> str | None:
        """Returns why the configuration of this version can't be read; None if it can."""
        return self._reasons.get(version)
