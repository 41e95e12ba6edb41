"""What clients ask for: popularity by rank that moves on, objects of one location, new ones and scans."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field
from itertools import accumulate

from hoistplank.lab.model.streams import RandomStream, RandomStreams
from hoistplank.lab.model.world_settings import SECOND_US, WorldSettings

FIRST_ONE_TIME_NUMBER = 1 << 40  # ids from here on are asked for once only
FIRST_HOT_NUMBER = 1 << 44


@dataclass(slots=True)
class HotObjects:
    """A share of a traffic class's first parts goes to so many new objects."""

    class_index: int
    share: float
    first: int
    count: int


@dataclass(slots=True)
class ObjectCatalog:
    """The objects of all traffic classes. `size` is the same wherever and whenever an object is asked for."""

    settings: WorldSettings
    streams: RandomStreams
    hot: list[HotObjects] = field(default_factory=list)
    enlarged: dict[int, tuple[float, float]] = field(
        default_factory=dict
    )  # by traffic class: share of objects, times as large
    scan_share: float = 0.0  # share of cached first parts that ask for an object once only
    _ranks: list[list[float]] = field(init=False)
    _sizes: list[list[float]] = field(init=False)
    _chance: list[RandomStream] = field(init=False)
    _once: int = 0
    _new: int = 0

    def __post_init__(self) -> None:
        self._ranks, self._sizes, self._chance = [], [], []
        for row in self.settings.classes:
            ranks = list(accumulate(1.0 / (n + 1) ** row.zipf for n in range(row.objects)))
            self._ranks.append([value / ranks[-1] for value in ranks])
            draw = self.streams.stream(f"sizes of {row.name}")
            self._sizes.append(
                [row.kb * 2.718281828459045 ** (row.size_sigma * draw.normal()) for _ in range(1_024)]
            )
            self._chance.append(self.streams.stream(f"popularity of {row.name}"))

    def size_kb(self, class_index: int, object_number: int) -> float:
        """The size of an object's parts, the same at each call."""
        spot = (object_number * 0x9E3779B1 + class_index) & 0xFFFFF
        share, times = self.enlarged.get(class_index, (0.0, 1.0))
        return self._sizes[class_index][spot & 1_023] * (times if (spot >> 10) < share * 1_024 else 1.0)

    def draw_object(self, now: int, class_index: int, zone: int) -> int:
        """The object that a client of a location asks for now."""
        row, chance = self.settings.classes[class_index], self._chance[class_index]
        # As many numbers for each request whatever they decide: what follows stays the same.
        which, local, other, spot = chance.uniform(), chance.uniform(), chance.uniform(), chance.uniform()
        if not row.uncached and other < self.scan_share:
            self._once += 1
            return FIRST_ONE_TIME_NUMBER + self._once
        for hot in self.hot:
            if hot.class_index == class_index and which < hot.share:
                return hot.first + int(spot * hot.count)
        rank = bisect_right(self._ranks[class_index], spot)
        moved = int(now * self.settings.drift / SECOND_US)
        base = (rank * 7_919 + moved * (rank % 13 == 0)) % row.objects + class_index * 1_000_000
        return base + (zone + 1) * 100_000_000 if local < self.settings.local_share else base

    def set_scan_share(self, share: float) -> None:
        """Have this share of cached first parts ask for an object that nobody asks for again."""
        self.scan_share = share

    def add_hot_objects(self, class_index: int, share: float, count: int) -> HotObjects:
        """New objects that are much asked for from now on; returned so that it can be ended."""
        self._new += count
        hot = HotObjects(class_index, share, FIRST_HOT_NUMBER + self._new - count, count)
        self.hot.append(hot)
        return hot


def object_key_of(object_number: int) -> str:
    """The key of an object by its number."""
    return f"{object_number:016x}"


def purge_group_of(object_number: int, settings: WorldSettings) -> int:
    """The purge group that an object belongs to, from 1."""
    return object_number % settings.groups + 1
