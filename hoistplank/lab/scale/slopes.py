"""Least-squares slopes of measured points, their intervals, and whether a straight line fits at all.

Decision logic: points in, fits out; no I/O. A quantity is fitted as `intercept + slope * g(size)` with `g(n)`
one of n, n log n and n squared. The straight line stands unless it misses the means of the sizes by clearly
more than the repeats at a size differ among each other, and another form misses them by much less.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from math import sqrt

import numpy as np
from numpy.typing import NDArray

LEAST_SIZES = 4
# Quantiles 0.975 of Student's t by degrees of freedom 1 to 30; beyond them the normal one is near enough.
_T_975 = (
    *(12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228),
    *(2.201, 2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086),
    *(2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042),
)
_NORMAL_975 = 1.96
# A line does not fit where the mean square of its misses at the sizes is above so many times that of the
# repeats around their means (the F ratio of the lack-of-fit test; 0.99 of chance lies below it from 3 and 8
# degrees of freedom on), and where the best other form leaves less than this share of the squares.
LACK_OF_FIT_RATIO = 7.6
MUCH_BETTER_SHARE = 0.25
# Noise below this share of the value is none: exact counts would otherwise call any rounding a curve.
LEAST_NOISE_SHARE = 0.005

Floats = NDArray[np.float64]


class TooFewSizesError(ValueError):
    """Points at fewer sizes than a slope may be drawn from; the text says how many there were."""


class Form(Enum):
    """How a quantity grows with the size."""

    LINE = "n"
    N_LOG_N = "n log n"
    N_SQUARED = "n²"

    def of(self, sizes: Floats) -> Floats:
        """The form's function of the sizes."""
        if self is Form.N_LOG_N:
            return np.asarray(sizes * np.log(np.maximum(sizes, 1.0)), dtype=np.float64)
        if self is Form.N_SQUARED:
            return np.asarray(sizes**2, dtype=np.float64)
        return sizes


@dataclass(frozen=True, slots=True)
class Estimate:
    """A fitted value at one size with the 95 % interval of the mean there."""

    value: float
    low: float
    high: float
    extrapolated: bool


@dataclass(frozen=True, slots=True)
class Fit:
    """`intercept + slope * form(size)` with the 95 % interval of the slope; `residual` is the standard
    deviation of the points around the curve, in the unit of the value."""

    form: Form
    intercept: float
    slope: float
    slope_low: float
    slope_high: float
    residual: float
    points: int
    sizes: int
    least_size: float
    most_size: float
    mean_term: float
    term_spread: float

    def at(self, size: float) -> Estimate:
        """The value at a size; extrapolated where that lies outside of the sizes measured."""
        term = float(self.form.of(np.asarray([size], dtype=np.float64))[0])
        value = self.intercept + self.slope * term
        error = self.residual * sqrt(1 / self.points + (term - self.mean_term) ** 2 / self.term_spread)
        reach = t_quantile(self.points - 2) * error
        return Estimate(value, value - reach, value + reach, self.is_extrapolated(size))

    def is_extrapolated(self, size: float) -> bool:
        """Whether a size lies outside of those measured."""
        return not self.least_size <= size <= self.most_size


@dataclass(frozen=True, slots=True)
class Slope:
    """The straight line, the form that describes the points best, and whether the line does not fit."""

    line: Fit
    best: Fit
    line_fits: bool
    lack_of_fit: float

    def chosen(self) -> Fit:
        """The line where it fits, else the form that does."""
        return self.line if self.line_fits else self.best


def t_quantile(degrees: int) -> float:
    """The 0.975 quantile of Student's t."""
    if degrees < 1:
        return float("inf")
    return _T_975[degrees - 1] if degrees <= len(_T_975) else _NORMAL_975


def fit(sizes: Sequence[float], values: Sequence[float], form: Form = Form.LINE) -> Fit:
    """Ordinary least squares of one form. Raises TooFewSizesError, and ValueError for points that don't pair
    up."""
    x, y = _checked(sizes, values)
    terms = form.of(x)
    mean_term = float(terms.mean())
    spread = float(((terms - mean_term) ** 2).sum())
    slope = float(((terms - mean_term) * (y - y.mean())).sum()) / spread
    intercept = float(y.mean()) - slope * mean_term
    degrees = len(x) - 2
    squares = float(((y - intercept - slope * terms) ** 2).sum())
    residual = sqrt(squares / degrees)
    reach = t_quantile(degrees) * residual / sqrt(spread)
    return Fit(
        form=form,
        intercept=intercept,
        slope=slope,
        slope_low=slope - reach,
        slope_high=slope + reach,
        residual=residual,
        points=len(x),
        sizes=len(set(x.tolist())),
        least_size=float(x.min()),
        most_size=float(x.max()),
        mean_term=mean_term,
        term_spread=spread,
    )


def judge(sizes: Sequence[float], values: Sequence[float]) -> Slope:
    """The line through the points, and whether n log n or n² describes them where it does not.

    Raises TooFewSizesError, and ValueError for points that don't pair up.
    """
    x, y = _checked(sizes, values)
    fits = [fit(sizes, values, form) for form in Form]
    line = fits[0]
    best = min(fits, key=lambda one: one.residual)
    ratio = _lack_of_fit(line, x, y)
    share = (best.residual / line.residual) ** 2 if line.residual > 0 else 1.0
    line_fits = best is line or ratio <= LACK_OF_FIT_RATIO or share > MUCH_BETTER_SHARE
    return Slope(line, best, line_fits, ratio)


def _checked(sizes: Sequence[float], values: Sequence[float]) -> tuple[Floats, Floats]:
    if len(sizes) != len(values):
        raise ValueError(f"{len(sizes)} sizes can't be paired with {len(values)} values")
    x = np.asarray(sizes, dtype=np.float64)
    y = np.asarray(values, dtype=np.float64)
    if not (np.isfinite(x).all() and np.isfinite(y).all()):
        raise ValueError("a size or value is no finite number")
    distinct = len(set(x.tolist()))
    if distinct < LEAST_SIZES:
        raise TooFewSizesError(f"a slope needs {LEAST_SIZES} sizes, there are {distinct}")
    return x, y


def _lack_of_fit(line: Fit, x: Floats, y: Floats) -> float:
    """Mean square of the misses at the sizes over that of the repeats around their means."""
    distinct = np.unique(x)
    missed = 0.0
    within = 0.0
    for size in distinct:
        at_size = y[x == size]
        mean = float(at_size.mean())
        missed += len(at_size) * (mean - line.intercept - line.slope * float(size)) ** 2
        within += float(((at_size - mean) ** 2).sum())
    repeats = len(x) - len(distinct)
    noise = within / repeats if repeats else 0.0
    least = (LEAST_NOISE_SHARE * float(np.abs(y).mean())) ** 2
    noise = max(noise, least)
    if noise == 0:
        return 0.0
    return missed / (len(distinct) - 2) / noise
