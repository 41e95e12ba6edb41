"""The traffic mix of a load run: shares of traffic classes, and a seeded sampler of requests."""

from __future__ import annotations

import re
from bisect import bisect_right
from itertools import accumulate
from random import Random
from typing import NamedTuple

from hoistplank.lab.load.errors import LoadPlanError
from hoistplank.lab.load.schedule import QUOTED_LENGTH

CLASS_NAME = re.compile(r"[A-Za-z0-9_-]{1,60}")
MAX_WEIGHT = 1e9


class ClassShare(NamedTuple):
    """A traffic class's share of all requests; `keyed` requests carry an idempotency key of their own."""

    class_name: str
    share: float
    keyed: bool = False


class SampledRequest(NamedTuple):
    """A drawn request: the indices of its traffic class and tenant, and the rank of its object."""

    class_index: int
    object_number: int
    tenant: int


def parse_mix(text: str) -> tuple[ClassShare, ...]:
    """Parse weights such as `page=9 booking=1!`; '!' gives each request an idempotency key.

    Raises LoadPlanError.
    """
    mix = tuple(_parse_share(word) for word in text.split())
    if not mix:
        raise LoadPlanError("no traffic class, expected at least one, as page=9")
    return mix


def _parse_share(word: str) -> ClassShare:
    class_name, equals, weight = word.partition("=")
    keyed, weight = weight.endswith("!"), weight.rstrip("!")
    try:
        share = float(weight) if equals else 1.0
    except ValueError:
        share = 0.0
    if not CLASS_NAME.fullmatch(class_name) or not 0 < share < MAX_WEIGHT:
        raise LoadPlanError(
            f"'{word[:QUOTED_LENGTH]}' among the traffic classes, expected TRACK=WEIGHT, as page=9"
        )
    return ClassShare(class_name, share, keyed)


class RequestSampler:
    """Draws requests from a seed: a class by its share, an object by Zipf popularity, and a tenant."""

    def __init__(
        self, mix: tuple[ClassShare, ...], objects: int, zipf: float, tenants: int, seed: int
    ) -> None:
        self._classes = len(mix)
        self._tenants = max(1, tenants)
        self._random = Random(seed)
        self._class_weights = list(accumulate(row.share for row in mix))
        self._object_weights = list(accumulate(1.0 / (rank + 1) ** zipf for rank in range(objects)))

    def next_request(self) -> SampledRequest:
        """Draw the next request."""
        draw = self._random.random
        class_index = bisect_right(self._class_weights, draw() * self._class_weights[-1])
        object_number = bisect_right(self._object_weights, draw() * self._object_weights[-1])
        return SampledRequest(min(class_index, self._classes - 1), object_number, int(draw() * self._tenants))

    def chance(self, probability: float) -> bool:
        """Return True with this probability."""
        return self._random.random() < probability
