"""How long the requests of a client connection have been unfinished: they have arrived only in part."""

from __future__ import annotations

from collections.abc import Iterable


class UnfinishedRequests:
    """The unfinished requests of one connection, each with the time at which it was first found.

    A request, or a record without one, is identified by the number of records read before it, as request
    numbers are used again. Times are seconds of one monotonic clock. What arrives of
    a request meanwhile does not extend its time.
    """

    __slots__ = ("_since",)

    def __init__(self) -> None:
        self._since: dict[int, float] = {}

    def update(self, now: float, began_at: Iterable[int]) -> None:
        """Takes all requests that are unfinished now."""
        self._since = {record: self._since.get(record, now) for record in began_at}

    def longest_s(self, now: float) -> float:
        """Returns how long the oldest of them has been unfinished, 0 if there is none."""
        return max((now - since for since in self._since.values()), default=0.0)

    def is_stalled(self, now: float, timeout_s: float) -> bool:
        """Returns whether one of them has been unfinished for longer than `timeout_s`."""
        return any(now - since > timeout_s for since in self._since.values())
