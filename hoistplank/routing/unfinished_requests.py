"""How long the requests of a client connection have been unfinished: they have arrived only in part."""

from __future__ import annotations

from collections.abc import Iterable


class UnfinishedRequests:
    """The unfinished requests of one connection, by number, each with the time at which it was first found.

    Times are seconds of one monotonic clock. What arrives of a request meanwhile does not extend its time.
    """

    __slots__ = ("_since",)

    def __init__(self) -> None:
        self._since: dict[int, float] = {}

    def update(self, now: float, numbers: Iterable[int]) -> None:
        """Takes the numbers of all requests that are unfinished now."""
        self._since = {number: self._since.get(number, now) for number in numbers}

    def is_stalled(self, now: float, timeout_s: float) -> bool:
        """Returns whether one of them has been unfinished for longer than `timeout_s`."""
        return any(now - since > timeout_s for since in self._since.values())
