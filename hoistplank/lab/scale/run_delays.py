"""When what was told came into force at each dispatcher, and at the last one. No I/O, no clock.

A dispatcher's time is cut into stays: stretches in which it can be reached. An event told within a stay is
awaited from the moment it was told; what was told before a stay began is awaited from its beginning, and
counts once, as a return. What a stay's end left open is asked for in the next one.
"""

from __future__ import annotations

from array import array
from bisect import bisect_right
from collections import Counter
from dataclasses import dataclass, field

import msgspec
import numpy as np

NEVER = np.iinfo(np.int64).max
EPOCH_BITS = 40
NAMED = 10  # stragglers that are named


def key(epoch: int, number: int) -> int:
    """One number that orders events over all epochs."""
    return epoch << EPOCH_BITS | number


@dataclass(slots=True)
class Stay:
    """A stretch in which a dispatcher could be reached; `fresh`: it began with nothing."""

    begin_us: int
    fresh: bool
    end_us: int = NEVER


@dataclass(slots=True)
class Record:
    """What one dispatcher acknowledged, in its order, and its stays."""

    name: str
    keys: array[int] = field(default_factory=lambda: array("q"))
    at_us: array[int] = field(default_factory=lambda: array("q"))
    stays: list[Stay] = field(default_factory=list)


class Quantiles(msgspec.Struct, frozen=True):
    """Delays in ms; `never`: how many did not come to their end."""

    many: int
    p50: float
    p99: float
    max: float
    never: int


def quantiles(values_us: list[int]) -> Quantiles:
    done = np.array([value for value in values_us if value != NEVER], dtype=np.int64)
    never = len(values_us) - len(done)
    if not len(done):
        return Quantiles(len(values_us), 0.0, 0.0, 0.0, never)
    p50, p99 = (float(np.percentile(done, q)) / 1e3 for q in (50, 99))
    return Quantiles(len(values_us), round(p50, 1), round(p99, 1), round(float(done.max()) / 1e3, 1), never)


@dataclass(frozen=True, slots=True)
class Delivered:
    """One event: its kind, when it was told, how long until the last reachable dispatcher had it, which one
    that was, and how many were awaited."""

    kind: str
    told_us: int
    last_us: int
    last: str
    awaited: int


@dataclass(frozen=True, slots=True)
class Return:
    """A dispatcher that could be reached again, and how long until it had all that was told before."""

    name: str
    begin_us: int
    took_us: int


@dataclass(frozen=True, slots=True)
class Delays:
    """All of a run."""

    events: list[Delivered]
    returns: list[Return]

    def of(self, kind: str, begin_us: int = 0, end_us: int = NEVER) -> Quantiles:
        """Of the events of a kind told within a time, to the last dispatcher."""
        rows = [row for row in self.events if row.kind == kind and row.awaited]
        return quantiles([row.last_us for row in rows if begin_us <= row.told_us < end_us])

    def back(self, begin_us: int = 0, end_us: int = NEVER) -> Quantiles:
        """Of the returns that began within a time."""
        return quantiles([row.took_us for row in self.returns if begin_us <= row.begin_us < end_us])

    def stragglers(self, budgets_us: dict[str, int], return_us: int) -> dict[str, int]:
        """Those that were last beyond a budget, by name, with how often; the worst first."""
        counts = Counter(
            row.last for row in self.events if row.awaited and row.last_us > budgets_us[row.kind]
        )
        counts.update(row.name for row in self.returns if row.took_us > return_us)
        return dict(counts.most_common(NAMED))

    def slowest(self) -> dict[str, int]:
        """Those that were last most often."""
        counts = Counter(row.last for row in self.events if row.awaited)
        return dict(counts.most_common(NAMED))


class Deliveries:
    """Collects what was told and acknowledged, and works out the delays at the end."""

    def __init__(self, names: list[str]) -> None:
        self.records = [Record(name) for name in names]
        self.kinds: list[str] = []
        self.keys: array[int] = array("q")
        self.told_us: array[int] = array("q")

    def told(self, epoch: int, number: int, kind: str, at_us: int) -> None:
        """In the order in which they are told."""
        self.kinds.append(kind)
        self.keys.append(key(epoch, number))
        self.told_us.append(at_us)

    def acknowledged(self, dispatcher: int, epoch: int, number: int, at_us: int) -> None:
        record = self.records[dispatcher]
        record.keys.append(key(epoch, number))
        record.at_us.append(at_us)

    def reachable(self, dispatcher: int, at_us: int, fresh: bool) -> None:
        self.records[dispatcher].stays.append(Stay(at_us, fresh))

    def unreachable(self, dispatcher: int, at_us: int) -> None:
        stays = self.records[dispatcher].stays
        if stays and stays[-1].end_us == NEVER:
            stays[-1].end_us = at_us

    def having(self, epoch: int, number: int, at_us: int) -> int:
        """How many dispatchers had acknowledged an event by a moment."""
        wanted, found = key(epoch, number), 0
        for record in self.records:
            until = bisect_right(record.at_us, at_us)
            found += any(held >= wanted for held in reversed(record.keys[:until]))
        return found

    def delays(self) -> Delays:
        many = len(self.keys)
        keys, told = np.array(self.keys, dtype=np.int64), np.array(self.told_us, dtype=np.int64)
        last, who = np.full(many, -1, dtype=np.int64), np.full(many, -1, dtype=np.int64)
        awaited, returns = np.zeros(many, dtype=np.int64), list[Return]()
        for number, record in enumerate(self.records):
            acked = np.array(record.keys, dtype=np.int64)
            at = np.array(record.at_us, dtype=np.int64)
            for stay in record.stays:
                first, end = np.searchsorted(told, [stay.begin_us, stay.end_us])
                low, high = np.searchsorted(at, [stay.begin_us, stay.end_us])
                reached, moments = np.maximum.accumulate(acked[low:high]), at[low:high]
                # What was told within the stay.
                applied = _applied(reached, moments, keys[first:end])
                delay = np.where(applied == NEVER, NEVER, applied - told[first:end])
                closed = stay.end_us != NEVER
                counts = (applied != NEVER) | (not closed)
                awaited[first:end] += counts
                later = counts & (delay > last[first:end])
                last[first:end][later], who[first:end][later] = delay[later], number
                # What had been told before it.
                held = 0 if stay.fresh else int(acked[:low].max(initial=0))
                if first and held < keys[first - 1]:
                    caught = int(_applied(reached, moments, keys[first - 1 : first])[0])
                    if caught != NEVER or not closed:
                        took = NEVER if caught == NEVER else caught - stay.begin_us
                        returns.append(Return(record.name, stay.begin_us, took))
        names = [record.name for record in self.records]
        events = [
            Delivered(self.kinds[n], int(told[n]), int(last[n]), names[who[n]], int(awaited[n]))
            for n in range(many)
        ]
        return Delays(events, returns)


def _applied(
    reached: np.typing.NDArray[np.int64], at: np.typing.NDArray[np.int64], keys: np.typing.NDArray[np.int64]
) -> np.typing.NDArray[np.int64]:
    """When each key was reached; NEVER where it was not."""
    found = np.searchsorted(reached, keys, side="left")
    return np.append(at, NEVER)[found]
