"""When requests are sent and what they ask for: made ahead, whatever the answers do. No I/O, no clock."""

from __future__ import annotations

import re
from bisect import bisect_right
from collections.abc import Iterator
from itertools import accumulate
from math import sqrt
from random import Random
from typing import NamedTuple

PIECE = re.compile(r"(\d{1,6}(?:\.\d{1,3})?)s:(\d{1,7}(?:\.\d{1,3})?)(?:-(\d{1,7}(?:\.\d{1,3})?))?").fullmatch
MOST_S = 86_400.0


class LoadPlanError(ValueError):
    """Its text says what was found and what was expected."""


class Step(NamedTuple):
    """So many seconds at a rate that goes in a line from `first` to `last` requests a second."""

    seconds: float
    first: float
    last: float

    def requests(self) -> float:
        """How many requests the step sends."""
        return self.seconds * (self.first + self.last) / 2


def plan(text: str) -> tuple[Step, ...]:
    """`10s:500 5s:500-2000`: steps and ramps, one after another."""
    steps = []
    for word in text.split():
        found = PIECE(word)
        if found is None:
            raise LoadPlanError(
                f"'{word[:40]}' in the plan, expected SECONDSs:RATE or SECONDSs:RATE-RATE, as 10s:500"
            )
        step = Step(float(found[1]), float(found[2]), float(found[3] or found[2]))
        if not step.seconds or step.requests() <= 0:
            raise LoadPlanError(
                f"'{word[:40]}' in the plan sends nothing, expected a time and a rate above 0"
            )
        steps.append(step)
    if not steps or sum(step.seconds for step in steps) > MOST_S:
        raise LoadPlanError(f"{len(steps)} steps in the plan, expected at least one and a day in all at most")
    return tuple(steps)


def times(steps: tuple[Step, ...], part: int = 0, parts: int = 1) -> Iterator[float]:
    """The seconds at which requests are due, evenly along the rate; every `parts`-th, beginning with
    `part`."""
    number, began, before = part, 0.0, 0.0
    for step in steps:
        many, slope = step.requests(), (step.last - step.first) / step.seconds
        while number < before + many:
            ahead = number - before
            # The time at which the area under the rate is `ahead`.
            if abs(slope) < 1e-9:
                at = ahead / step.first
            else:
                at = (sqrt(max(0.0, step.first**2 + 2 * slope * ahead)) - step.first) / slope
            yield began + at
            number += parts
        began, before = began + step.seconds, before + many


class Mix(NamedTuple):
    """A traffic class's share of all requests; `keyed` ones carry an operation key of their own."""

    class_name: str
    share: float
    keyed: bool = False


def mixes(text: str) -> tuple[Mix, ...]:
    """`page=9 booking=1!`: traffic classes with weights; '!' gives each request an operation key."""
    found = []
    for word in text.split():
        class_name, equals, weight = word.partition("=")
        keyed, weight = weight.endswith("!"), weight.rstrip("!")
        try:
            share = float(weight) if equals else 1.0
        except ValueError:
            share = 0.0
        if not re.fullmatch(r"[A-Za-z0-9_-]{1,60}", class_name) or not 0 < share < 1e9:
            raise LoadPlanError(f"'{word[:40]}' among the traffic classes, expected TRACK=WEIGHT, as page=9")
        found.append(Mix(class_name, share, keyed))
    if not found:
        raise LoadPlanError("no traffic class, expected at least one, as page=9")
    return tuple(found)


class Wants:
    """What each request asks for, drawn from a seed: a traffic class, and an object by a Zipf popularity."""

    def __init__(self, rows: tuple[Mix, ...], objects: int, zipf: float, tenants: int, seed: int) -> None:
        self.rows, self.tenants, self.chance = rows, max(1, tenants), Random(seed)
        self._shares = list(accumulate(row.share for row in rows))
        self._ranks = list(accumulate(1.0 / (n + 1) ** zipf for n in range(objects)))

    def next(self) -> tuple[int, int, int]:
        """Number of the traffic class's row, object, tenant."""
        draw = self.chance.random
        row = bisect_right(self._shares, draw() * self._shares[-1])
        object_number = bisect_right(self._ranks, draw() * self._ranks[-1])
        return min(row, len(self.rows) - 1), object_number, int(draw() * self.tenants)
