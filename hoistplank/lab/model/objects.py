"""The objects that clients request: drifting Zipf popularity, objects of one zone, hot objects and scans."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field
from itertools import accumulate

from hoistplank.lab.model.streams import RandomStream, RandomStreams
from hoistplank.lab.model.world_settings import SECOND_US, WorldSettings

FIRST_ONE_TIME_NUMBER = 1 << 40  # objects from this number on are requested only once
FIRST_HOT_NUMBER = 1 << 44


@dataclass(slots=True)
class HotObjects:
    """`count` new objects that get a share of the requests for first parts of a traffic class."""

    class_index: int
    share: float
    first: int
    count: int


@dataclass(slots=True)
class ObjectCatalog:
    """The objects of all traffic classes; the size of an object does not depend on the zone or the time."""

    settings: WorldSettings
    streams: RandomStreams
    hot: list[HotObjects] = field(default_factory=list)
    enlarged: dict[int, tuple[float, float]] = field(
        default_factory=dict
    )  # by traffic class: share of its objects, factor by which they are larger
    scan_share: float = 0.0  # share of cached first parts that request an object only once
    _cumulative_popularity: list[list[float]] = field(init=False)
    _sizes: list[list[float]] = field(init=False)
    _popularity_streams: list[RandomStream] = field(init=False)
    _one_time_count: int = 0
    _hot_count: int = 0

    def __post_init__(self) -> None:
        self._cumulative_popularity, self._sizes, self._popularity_streams = [], [], []
        for row in self.settings.classes:
            ranks = list(accumulate(1.0 / (n + 1) ** row.zipf for n in range(row.objects)))
            self._cumulative_popularity.append([value / ranks[-1] for value in ranks])
            draw = self.streams.stream(f"sizes of {row.name}")
            self._sizes.append(
                [row.kb * 2.718281828459045 ** (row.size_sigma * draw.normal()) for _ in range(1_024)]
            )
            self._popularity_streams.append(self.streams.stream(f"popularity of {row.name}"))

    def size_kb(self, class_index: int, object_number: int) -> float:
        """Return the size of each part of an object in kB."""
        hashed = (object_number * 0x9E3779B1 + class_index) & 0xFFFFF
        share, factor = self.enlarged.get(class_index, (0.0, 1.0))
        return self._sizes[class_index][hashed & 1_023] * (factor if (hashed >> 10) < share * 1_024 else 1.0)

    def draw_object(self, now: int, class_index: int, zone: int) -> int:
        """Draw the object that a client of a zone requests now."""
        traffic_class, stream = self.settings.classes[class_index], self._popularity_streams[class_index]
        # Each request takes the same number of draws whatever they decide, so that later ones don't change.
        hot_draw, local_draw, scan_draw, rank_draw = (
            stream.uniform(),
            stream.uniform(),
            stream.uniform(),
            stream.uniform(),
        )
        if not traffic_class.uncached and scan_draw < self.scan_share:
            self._one_time_count += 1
            return FIRST_ONE_TIME_NUMBER + self._one_time_count
        for hot in self.hot:
            if hot.class_index == class_index and hot_draw < hot.share:
                return hot.first + int(rank_draw * hot.count)
        rank = bisect_right(self._cumulative_popularity[class_index], rank_draw)
        drifted = int(now * self.settings.drift / SECOND_US)
        base = (rank * 7_919 + drifted * (rank % 13 == 0)) % traffic_class.objects + class_index * 1_000_000
        return base + (zone + 1) * 100_000_000 if local_draw < self.settings.local_share else base

    def set_scan_share(self, share: float) -> None:
        """Set the share of cached first parts that request an object only once."""
        self.scan_share = share

    def add_hot_objects(self, class_index: int, share: float, count: int) -> HotObjects:
        """Add new objects that get a share of the requests; remove the result from `hot` to end it."""
        self._hot_count += count
        hot = HotObjects(class_index, share, FIRST_HOT_NUMBER + self._hot_count - count, count)
        self.hot.append(hot)
        return hot


def object_key_of(object_number: int) -> str:
    """Return the key of an object."""
    return f"{object_number:016x}"


def purge_group_of(object_number: int, settings: WorldSettings) -> int:
    """Return the purge group of an object, from 1."""
    return object_number % settings.groups + 1
