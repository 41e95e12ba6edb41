"""A scene: a fleet's size, its faults in time, and the bounds it is to hold; one text file. No I/O.

    (scene lost-caches
      (doc "All caches of a location are silent for three seconds")
      (seconds 8s)
      (at 2s (gone z0 caches for 3s noticed 600ms))
      (expect earned z1 above 0.85 from 2s to 5s))

Faults are those of the laboratory's days and the fleet's own (`KINDS`). Times count from the first second
after the warm-up. What names only things that processes have plays on processes alone.
"""

from __future__ import annotations

import msgspec

from hoistplank.lab.fleet.scene_faults import KINDS
from hoistplank.lab.model.clients import ABANDONED, FAILED, REJECTED, UNREACHABLE
from hoistplank.lab.model.faults import (
    ScheduledFault,
    read_faults,
)
from hoistplank.lab.model.world_settings import SECOND_US, WorldSettings, scaled_settings
from hoistplank.operator_configuration.errors import Diagnostic
from hoistplank.operator_configuration.parser import parse

MEASURES = {
    "earned": "share of what was asked for, of a location or of all",
    "lost": "utility lost to a cause, as a share of all asked for; the cause's words joined by '-'",
    "displaced": "share of the tries at another location's dispatchers that were served",
    "amplified": "attempts for each first try",
    "asked-again": "tries for each request that reached a dispatcher",
    "cold": "the most that a cold host was sent, as a share of what it can bear",
    "link": "the most that was under way over a location's link, as a share of its capacity",
    "fair": "Jain's index of what the dispatchers of each location were let serve, the worst",
    "fair-places": "Jain's index of the locations' earned shares",
    "wrong": "seconds from a fault to the first right choice of the slowest dispatcher",
    "refused": "share of tries rejected",
}
LOCAL = ("earned", "link")  # measures that may be of one location
CAUSES = (REJECTED, FAILED, UNREACHABLE, ABANDONED, "served late", "served old", "client gave up")


class Bound(msgspec.Struct, frozen=True):
    """What a scene is to hold. `low`, `high`: the window in us from the first second; 0, 0: the whole day."""

    measure: str
    place: str
    above: bool
    value: float
    low: int = 0
    high: int = 0

    def __str__(self) -> str:
        words = [self.measure, self.place, "above" if self.above else "below", f"{self.value:g}"]
        if self.high:
            words.append(f"from {self.low / SECOND_US:g}s to {self.high / SECOND_US:g}s")
        return " ".join(word for word in words if word)


class Scene(msgspec.Struct, frozen=True):
    """One scene, ready to be played; `script` is written so that it can be read again."""

    name: str
    doc: str
    locations: int
    dispatchers: int
    caches: int
    parents: int
    rate: float
    load: float
    seconds: float
    warm: float
    drives: tuple[str, ...]
    operator: str | None
    script: str
    bounds: tuple[Bound, ...]

    def world_settings(self) -> WorldSettings:
        """The settings of the scene's world."""
        made = scaled_settings(
            self.locations * self.caches,
            self.locations * self.dispatchers,
            self.locations,
            self.locations * self.rate,
            self.load,
            seconds=self.seconds,
        )
        # The parents' whole capacity stays what the load needs, however many they are.
        parent_link = made.parent_link * made.parents / self.parents
        return msgspec.structs.replace(
            made,
            warm_up_s=self.warm,
            parents=self.parents,
            parent_link=max(4.0, parent_link),
            log_delay_us=(20_000, 120_000),
        )

    def faults(self) -> list[ScheduledFault]:
        """The scene's faults, in the order of their times."""
        faults: list[Diagnostic] = []
        return read_faults(parse(self.script.encode(), self.name).forms, faults, KINDS)

    def files(self) -> list[str]:
        """The operator's files that it names, beside its own."""
        older = [str(row.values[1]) for row in self.faults() if row.kind == "older"]
        return [*([self.operator] if self.operator is not None else []), *older]
