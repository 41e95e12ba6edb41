"""The purge group that requests named for an object. No I/O, no clock."""

from __future__ import annotations

from collections import OrderedDict

MAX_OBJECTS = 32_768


class ObjectGroups:
    """Groups by object key, as the latest admitted request of each named them; MAX_OBJECTS at most."""

    def __init__(self) -> None:
        self._groups: OrderedDict[str, int] = OrderedDict()

    def record(self, object_key: str, group: int) -> None:
        """An admitted request named this group for the object."""
        if self._groups.get(object_key) == group:
            return
        self._groups[object_key] = group
        if len(self._groups) > MAX_OBJECTS:
            self._groups.popitem(last=False)

    def get(self, object_key: str) -> int | None:
        """The object's group, or None where no request named one lately."""
        return self._groups.get(object_key)
