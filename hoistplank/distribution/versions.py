"""The version of replicated state: the epoch of the change log, and the number of an event in it."""

from __future__ import annotations

from typing import NamedTuple


class Version(NamedTuple):
    """Ordered by epoch, then by number: a restarted change log has a higher epoch and counts from 1."""

    epoch: int = 0
    number: int = 0

    def __str__(self) -> str:
        return f"{self.epoch}/{self.number}"


NOTHING = Version()  # of a follower that holds no state yet
