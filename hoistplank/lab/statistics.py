"""Statistics of paired results: bootstrap intervals, verdicts, rank correlation. No I/O; seeded."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

import numpy as np

BOOTSTRAP_SAMPLES = 10_000


class Difference(NamedTuple):
    """The number of pairs, their mean difference, its 95 % interval, and the verdict in words."""

    pairs: int
    mean: float
    low: float
    high: float
    verdict: str


def interval(values: Sequence[float], seed: int = 1) -> tuple[float, float]:
    """Returns the 95 % interval of the mean (percentile bootstrap), infinite for fewer than two values."""
    rows = np.asarray(values, dtype=float)
    if len(rows) < 2:
        return float("-inf"), float("inf")
    drawn = np.random.default_rng(seed).integers(0, len(rows), (BOOTSTRAP_SAMPLES, len(rows)))
    low, high = np.quantile(rows[drawn].mean(axis=1), (0.025, 0.975))
    return float(low), float(high)


def difference(
    first: Sequence[float], second: Sequence[float], min_effect: float = 0.005, seed: int = 1
) -> Difference:
    """Returns the difference `second` - `first`, pair by pair.

    A mean below `min_effect` (0.005 of all utility by default) is reported as negligible. Raises ValueError
    if the numbers of values differ.
    """
    if len(first) != len(second):
        raise ValueError(f"{len(first)} values can't be paired with {len(second)}")
    rows = [b - a for a, b in zip(first, second, strict=True)]
    if len(rows) < 3:
        return Difference(
            len(rows), sum(rows) / max(1, len(rows)), float("-inf"), float("inf"), "too few pairs"
        )
    low, high = interval(rows, seed)
    mean = sum(rows) / len(rows)
    if low > 0:
        verdict = "better" if mean >= min_effect else "better, but by next to nothing"
    elif high < 0:
        verdict = "worse" if mean <= -min_effect else "worse, but by next to nothing"
    else:
        verdict = "alike" if high - low < 4 * min_effect else "not shown either way"
    return Difference(len(rows), mean, low, high, verdict)


def ranks(values: Sequence[float]) -> list[float]:
    """Returns the ranks of values, from 1 for the smallest; equal values share the mean of their ranks."""
    order = sorted(range(len(values)), key=lambda n: values[n])
    ranks = [0.0] * len(values)
    at = 0
    while at < len(order):
        end = at
        while end + 1 < len(order) and values[order[end + 1]] == values[order[at]]:
            end += 1
        for n in order[at : end + 1]:
            ranks[n] = (at + end) / 2 + 1
        at = end + 1
    return ranks


def spearman(first: Sequence[float], second: Sequence[float]) -> float:
    """Returns the rank correlation, -1 to 1, or 0 if all values of one side are equal."""
    a, b = np.asarray(ranks(first)), np.asarray(ranks(second))
    a, b = a - a.mean(), b - b.mean()
    scale = float(np.sqrt((a * a).sum() * (b * b).sum()))
    return float((a * b).sum() / scale) if scale else 0.0


def share_of_gap(value: float, lower: float, upper: float) -> float:
    """Returns a value as its share of the gap from `lower` to `upper`; the gap counts as 0.02 at least."""
    return 1 - (upper - value) / max(0.02, upper - lower)
