"""The send times of an open loop, computed in advance from steps and ramps; no I/O, no clock."""

from __future__ import annotations

import re
from collections.abc import Iterator
from math import sqrt
from typing import NamedTuple

from hoistplank.lab.load.errors import LoadPlanError

STEP = re.compile(r"(\d{1,6}(?:\.\d{1,3})?)s:(\d{1,7}(?:\.\d{1,3})?)(?:-(\d{1,7}(?:\.\d{1,3})?))?")
MAX_SECONDS = 86_400.0
FLAT_SLOPE = 1e-9  # below it the formula of a ramp would divide by almost zero: treated as a constant rate
QUOTED_LENGTH = 40  # characters of an invalid word quoted in an error


class Step(NamedTuple):
    """A time at a rate that changes linearly from `first` to `last` requests a second."""

    seconds: float
    first: float
    last: float

    def requests(self) -> float:
        """Return the number of requests of the step."""
        return self.seconds * (self.first + self.last) / 2

    def time_of(self, number: float) -> float:
        """Return the seconds into the step at which its request `number` (from 0) is due."""
        slope = (self.last - self.first) / self.seconds
        if abs(slope) < FLAT_SLOPE:
            return number / self.first
        # The time at which the area under the rate is `number`.
        return (sqrt(max(0.0, self.first**2 + 2 * slope * number)) - self.first) / slope


def parse_schedule(text: str) -> tuple[Step, ...]:
    """Parse steps and ramps such as `10s:500 5s:500-2000`. Raises LoadPlanError."""
    steps = tuple(_parse_step(word) for word in text.split())
    if not steps or sum(step.seconds for step in steps) > MAX_SECONDS:
        raise LoadPlanError(f"{len(steps)} steps in the plan, expected at least one and at most a day in all")
    return steps


def _parse_step(word: str) -> Step:
    match = STEP.fullmatch(word)
    quoted = f"'{word[:QUOTED_LENGTH]}'"
    if match is None:
        raise LoadPlanError(f"{quoted} in the plan, expected SECONDSs:RATE or SECONDSs:RATE-RATE, as 10s:500")
    step = Step(float(match[1]), float(match[2]), float(match[3] or match[2]))
    if not step.seconds or step.requests() <= 0:
        raise LoadPlanError(f"{quoted} in the plan sends nothing, expected a time and a rate above 0")
    return step


def send_times(steps: tuple[Step, ...], part: int = 0, parts: int = 1) -> Iterator[float]:
    """Yield the seconds at which requests are due: every `parts`-th, beginning with `part`."""
    number, step_start, sent_before = part, 0.0, 0.0
    for step in steps:
        step_requests = step.requests()
        while number < sent_before + step_requests:
            yield step_start + step.time_of(number - sent_before)
            number += parts
        step_start += step.seconds
        sent_before += step_requests
