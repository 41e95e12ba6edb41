"""What pairs of figures prove: bootstrap intervals, verdicts, rank correlation. No I/O; chance is a seed."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

import numpy as np

DRAWS = 10_000


class Difference(NamedTuple):
    """Of pairs: how many, their mean difference, its 95 % interval, and in words what it shows."""

    pairs: int
    mean: float
    low: float
    high: float
    verdict: str


def interval(values: Sequence[float], seed: int = 1) -> tuple[float, float]:
    """95 % of the means of samples drawn anew (percentile bootstrap)."""
    rows = np.asarray(values, dtype=float)
    if len(rows) < 2:
        return float("-inf"), float("inf")
    drawn = np.random.default_rng(seed).integers(0, len(rows), (DRAWS, len(rows)))
    low, high = np.quantile(rows[drawn].mean(axis=1), (0.025, 0.975))
    return float(low), float(high)


def difference(
    first: Sequence[float], second: Sequence[float], least: float = 0.005, seed: int = 1
) -> Difference:
    """`second` less `first`, pair by pair. `least` is what is worth telling: 0.005 of all utility.

    Raises ValueError where they can't be paired.
    """
    if len(first) != len(second):
        raise ValueError(f"{len(first)} figures can't be paired with {len(second)}")
    rows = [b - a for a, b in zip(first, second, strict=True)]
    if len(rows) < 3:
        return Difference(
            len(rows), sum(rows) / max(1, len(rows)), float("-inf"), float("inf"), "too few pairs"
        )
    low, high = interval(rows, seed)
    mean = sum(rows) / len(rows)
    if low > 0:
        verdict = "better" if mean >= least else "better, but by next to nothing"
    elif high < 0:
        verdict = "worse" if mean <= -least else "worse, but by next to nothing"
    else:
        verdict = "alike" if high - low < 4 * least else "not shown either way"
    return Difference(len(rows), mean, low, high, verdict)


def ranks(values: Sequence[float]) -> list[float]:
    """From 1 for the least; equal ones share the mean of their places."""
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
    """Rank correlation, -1 to 1; 0 where one of them is the same throughout."""
    a, b = np.asarray(ranks(first)), np.asarray(ranks(second))
    a, b = a - a.mean(), b - b.mean()
    scale = float(np.sqrt((a * a).sum() * (b * b).sum()))
    return float((a * b).sum() / scale) if scale else 0.0


def of_way(value: float, floor: float, top: float) -> float:
    """A figure as its share of the way from floor to top; where these lie under 0.02 apart, 0.02 is
    the way.
    """
    return 1 - (top - value) / max(0.02, top - floor)
