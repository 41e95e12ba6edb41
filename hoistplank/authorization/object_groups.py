"""Purge groups of objects, as named by admitted requests. No I/O, no clock."""

from __future__ import annotations

from collections import OrderedDict

MAX_OBJECTS = 32_768


class ObjectGroups:
    """Groups by object key, from the latest admitted request for each; at most MAX_OBJECTS, the oldest go
    first."""

    def __init__(self) -> None:
        self._groups: OrderedDict[str, int] = OrderedDict()

    def record(self, object_key: str, group: int) -> None:
        """Records the group that an admitted request named for an object."""
        if self._groups.get(object_key) == group:
            return
        self._groups[object_key] = group
        if len(self._groups) > MAX_OBJECTS:
            self._groups.popitem(last=False)

    def get(self, object_key: str) -> int | None:
        """Returns the object's group, or None if no recent request named one."""
        return self._groups.get(object_key)
