"""Admission control: how many requests may be open at once so that the event loop keeps up with them.

A controller on the loop's measured lag and on what waits for its turns. No I/O, no clock: `now` is whole
microseconds. Once a period the lag of its turns and the most open requests in it are judged:

- pressure above 1 in this period and the one before (mean lag over the target, the largest over four
  targets, or more events waiting than `max_waiting`): the limit falls to what was open times
  1 / sqrt(pressure), by half at most, and not below `min_open`;
- pressure below a half where the limit was nearly reached: it rises by its square root, to `max_open` at
  most;
- else it stays. So it neither winds up while nobody presses against it nor jumps at one late turn: a
  stall of the loop (a reload, the garbage collector) is one period's, a full core every period's.

A traffic class is admitted while the open requests are below the limit times its share: the class of the
highest utility gets the whole limit, the lowest about `min_share` of it, so that the most valuable requests
are the last to be rejected. docs/levels.md has the reasons and the test against a scripted core.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import sqrt

PEAK_LAG_TARGETS = 4  # the largest lag of a period may be so many times the target for the mean
CUT_AFTER_PERIODS = 2  # of pressure in a row
DEEPEST_CUT = 0.5
RAISE_BELOW_PRESSURE = 0.5
NEARLY_REACHED = 0.75  # of the limit


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """The controller's figures: the lag aimed at, bounds of the limit, the period. Raises ValueError."""

    target_lag_us: int = 25_000
    min_open: int = 8
    max_open: int = 4_000
    period_us: int = 100_000
    max_waiting: int = 2_000
    min_share: float = 0.6

    def __post_init__(self) -> None:
        """Checks the figures."""
        if not (self.target_lag_us > 0 and 0 < self.min_open <= self.max_open and self.period_us > 0):
            raise ValueError("admission settings: target, period and 0 < min_open <= max_open")
        if not 0.0 < self.min_share <= 1.0 or self.max_waiting < 1:
            raise ValueError("admission settings: min_share above 0 and up to 1, max_waiting at least 1")


@dataclass(slots=True)
class _Period:
    """What the turns of the present period saw."""

    total_lag_us: int = 0
    turns: int = 0
    peak_lag_us: int = 0
    peak_open: int = 0
    peak_waiting: int = 0


class AdmissionController:
    """The limit on open requests, and whether a request of a given share may be admitted."""

    def __init__(self, settings: AdmissionSettings, now: int = 0) -> None:
        self.settings = settings
        self.limit = float(settings.max_open)
        self.pressure = 0.0
        self.cuts = 0
        self._period = _Period()
        self._period_end_us = now + settings.period_us
        self._periods_under_pressure = 0  # in a row

    def observe(self, now: int, lag_us: int, open_requests: int, waiting: int = 0) -> None:
        """What a turn of the loop saw: its lag, requests open, events that waited for it."""
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
        elif self.pressure < RAISE_BELOW_PRESSURE and period.peak_open >= NEARLY_REACHED * self.limit:
            self._raise()
        # A turn that came after a long stall closes one period, not many.
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
        factor = max(DEEPEST_CUT, 1.0 / sqrt(self.pressure))
        reached = min(self.limit, float(period.peak_open))
        self.limit = max(float(self.settings.min_open), reached * factor)
        self.cuts += 1

    def _raise(self) -> None:
        if self.limit < self.settings.max_open:
            self.limit = min(float(self.settings.max_open), self.limit + max(1.0, sqrt(self.limit)))

    def share(self, utility: float, highest_utility: float) -> float:
        """Of the limit, for a traffic class of `utility`, where the most valuable class has
        `highest_utility`."""
        min_share = self.settings.min_share
        relative = min(utility, highest_utility) / highest_utility if highest_utility > 0 else 1.0
        return min_share + (1.0 - min_share) * relative

    def admits(self, open_requests: int, share: float = 1.0) -> bool:
        """Whether a request of a class with that share may be admitted beside the open ones."""
        return open_requests < self.limit * share

    def is_binding(self) -> bool:
        """Whether the limit is below what the settings allow."""
        return self.limit < self.settings.max_open
