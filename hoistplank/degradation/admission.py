"""Admission control: limits the number of open requests so that the event loop keeps up with them.

A feedback controller on the measured lag of the loop and on the number of events waiting for it. No I/O, no
clock: `now` is whole microseconds. At the end of each period the limit is adjusted by the lag and the peak
number of open requests in the period:

- If the pressure is above 1 in this period and the one before (mean lag above the target, peak lag above four
  targets, or more than `max_waiting` events waiting), the limit falls to the peak of open requests times
  1 / sqrt(pressure), but to no less than half of that peak and not below `min_open`.
- If the pressure is below a half and the limit was nearly reached, the limit rises by its square root, up to
  `max_open`.
- Otherwise the limit stays. It therefore doesn't grow while the load stays far below it, and isn't cut for
  one late turn: a stall of the loop (a reload, the garbage collector) affects one period, a saturated core
  every period.

A traffic class is admitted while the number of open requests is below the limit times the share of the
class: the class of the highest utility gets the whole limit, the class of the lowest about `min_share` of it,
so that the most valuable requests are rejected last. docs/levels.md has the reasons and the test against a
scripted core.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import sqrt

PEAK_LAG_TARGETS = 4  # allowed peak lag of a period, as a multiple of the target for the mean
CUT_AFTER_PERIODS = 2  # consecutive periods under pressure
MIN_CUT_FACTOR = 0.5
RAISE_BELOW_PRESSURE = 0.5
NEARLY_REACHED_SHARE = 0.75  # of the limit


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Target lag, bounds of the limit, period and shares of the controller. Raises ValueError."""

    target_lag_us: int = 25_000
    min_open: int = 8
    max_open: int = 4_000
    period_us: int = 100_000
    max_waiting: int = 2_000
    min_share: float = 0.6

    def __post_init__(self) -> None:
        """Checks the ranges of the settings."""
        if not (self.target_lag_us > 0 and 0 < self.min_open <= self.max_open and self.period_us > 0):
            raise ValueError(
                "admission settings: expected target lag and period above 0, and 0 < min_open <= max_open"
            )
        if not 0.0 < self.min_share <= 1.0 or self.max_waiting < 1:
            raise ValueError("admission settings: expected 0 < min_share <= 1 and max_waiting of at least 1")


@dataclass(slots=True)
class _Period:
    """Lag, open requests and waiting events over the turns of the current period."""

    total_lag_us: int = 0
    turns: int = 0
    peak_lag_us: int = 0
    peak_open: int = 0
    peak_waiting: int = 0


class AdmissionController:
    """Holds the limit on open requests, adjusts it every period and admits requests by their share."""

    def __init__(self, settings: AdmissionSettings, now: int = 0) -> None:
        self.settings = settings
        self.limit = float(settings.max_open)
        self.pressure = 0.0
        self.cuts = 0
        self._period = _Period()
        self._period_end_us = now + settings.period_us
        self._periods_under_pressure = 0  # consecutive

    def observe(self, now: int, lag_us: int, open_requests: int, waiting: int = 0) -> None:
        """Records a turn of the loop: its lag, the open requests and the events that waited for it."""
        period = self._period
        period.total_lag_us += lag_us
        period.turns += 1
        period.peak_lag_us = max(period.peak_lag_us, lag_us)
        period.peak_open = max(period.peak_open, open_requests)
        period.peak_waiting = max(period.peak_waiting, waiting)
        if now >= self._period_end_us:
            self._end_period(now)

    def _end_period(self, now: int) -> None:
        period = self._period
        self.pressure = self._pressure_of(period)
        self._periods_under_pressure = self._periods_under_pressure + 1 if self.pressure > 1.0 else 0
        if self._periods_under_pressure >= CUT_AFTER_PERIODS:
            self._cut(period)
        elif self.pressure < RAISE_BELOW_PRESSURE and period.peak_open >= NEARLY_REACHED_SHARE * self.limit:
            self._raise()
        # The first turn after a long stall ends one period, not many.
        self._period_end_us = max(self._period_end_us + self.settings.period_us, now)
        self._period = _Period()

    def _pressure_of(self, period: _Period) -> float:
        target_us = self.settings.target_lag_us
        mean_lag_us = period.total_lag_us / max(1, period.turns)
        return max(
            mean_lag_us / target_us,
            period.peak_lag_us / (PEAK_LAG_TARGETS * target_us),
            period.peak_waiting / self.settings.max_waiting,
        )

    def _cut(self, period: _Period) -> None:
        factor = max(MIN_CUT_FACTOR, 1.0 / sqrt(self.pressure))
        peak_open = min(self.limit, float(period.peak_open))
        self.limit = max(float(self.settings.min_open), peak_open * factor)
        self.cuts += 1

    def _raise(self) -> None:
        if self.limit < self.settings.max_open:
            self.limit = min(float(self.settings.max_open), self.limit + max(1.0, sqrt(self.limit)))

    def share(self, utility: float, highest_utility: float) -> float:
        """Returns the share of the limit for a traffic class of `utility`; `highest_utility` is that of the
        most valuable class."""
        min_share = self.settings.min_share
        relative = min(utility, highest_utility) / highest_utility if highest_utility > 0 else 1.0
        return min_share + (1.0 - min_share) * relative

    def admits(self, open_requests: int, share: float = 1.0) -> bool:
        """True if a request of a class with this share may be admitted while `open_requests` are open."""
        return open_requests < self.limit * share

    def is_binding(self) -> bool:
        """True if the limit is below the maximum of the settings."""
        return self.limit < self.settings.max_open
