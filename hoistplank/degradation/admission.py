"""How many requests may be open at once so that the loop keeps up with them: a controller on the loop's
measured lag and on what waits for its turns. No I/O, no clock: `now` is told in whole microseconds.

Once a period the lag of its turns and the most requests open in it are read against the target:

- pressure above 1 in this period and the one before (mean lag over the target, the largest over four
  targets, or more waiting than `most_waiting`): the bound falls to what was open times 1 / sqrt(pressure),
  by half at most, and not below `least`;
- pressure below a half where the bound was nearly reached: it rises by its square root, to `most` at most;
- else it stays. So it neither winds up while nobody presses against it nor jumps at one late turn: a
  stall of the loop (a reload, the collector) is one period's, a full core every period's.

A traffic class is let in while the requests open are below the bound times its share: the dearest traffic
class by utility gets the whole bound, the cheapest `least_share` of it, so that bookings are the last to be
rejected. docs/levels.md has the reasons and the test against a scripted core.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import sqrt


@dataclass(frozen=True, slots=True)
class Bounds:
    """The controller's figures: `target_us` of lag, bounds on open requests, the period (us)."""

    target_us: int = 25_000
    least: int = 8
    most: int = 4_000
    period_us: int = 100_000
    most_waiting: int = 2_000
    least_share: float = 0.6

    def __post_init__(self) -> None:
        if not (self.target_us > 0 and 0 < self.least <= self.most and self.period_us > 0):
            raise ValueError("bounds of admission: target, period and 0 < least <= most")
        if not 0.0 < self.least_share <= 1.0 or self.most_waiting < 1:
            raise ValueError("bounds of admission: least_share above 0 and up to 1, most_waiting at least 1")


class Admission:
    """The bound on open requests, and whether a request of a given share may come in."""

    def __init__(self, bounds: Bounds, now: int = 0) -> None:
        self.bounds, self.limit = bounds, float(bounds.most)
        self.period_end = now + bounds.period_us
        self.lag_total, self.turns, self.peak_lag, self.peak_open, self.peak_waiting = 0, 0, 0, 0, 0
        self.pressure, self.pressed = 0.0, 0  # periods in a row with pressure above 1
        self.cuts = self.rises = 0

    def observe(self, now: int, lag_us: int, open: int, waiting: int = 0) -> None:
        """What a turn of the loop saw: its lag (us), requests open, events that waited for it."""
        self.lag_total += lag_us
        self.turns += 1
        self.peak_lag = max(self.peak_lag, lag_us)
        self.peak_open = max(self.peak_open, open)
        self.peak_waiting = max(self.peak_waiting, waiting)
        if now < self.period_end:
            return
        bounds = self.bounds
        lag = self.lag_total / max(1, self.turns)
        self.pressure = max(
            lag / bounds.target_us,
            self.peak_lag / (4 * bounds.target_us),
            self.peak_waiting / bounds.most_waiting,
        )
        self.pressed = self.pressed + 1 if self.pressure > 1.0 else 0
        if self.pressed >= 2:
            cut = max(0.5, 1.0 / sqrt(self.pressure))
            self.limit = max(float(bounds.least), min(self.limit, float(self.peak_open)) * cut)
            self.cuts += 1
        elif self.pressure < 0.5 and self.peak_open >= 0.75 * self.limit and self.limit < bounds.most:
            self.limit = min(float(bounds.most), self.limit + max(1.0, sqrt(self.limit)))
            self.rises += 1
        # A turn that came after a long stall closes one period, not many.
        self.period_end = max(self.period_end + bounds.period_us, now)
        self.lag_total = self.turns = self.peak_lag = self.peak_open = self.peak_waiting = 0

    def share(self, utility: float, dearest: float) -> float:
        """Of the bound, for a traffic class of `utility` where the dearest traffic class earns `dearest`."""
        least = self.bounds.least_share
        return least + (1.0 - least) * (min(utility, dearest) / dearest if dearest > 0 else 1.0)

    def admits(self, open: int, share: float = 1.0) -> bool:
        return open < self.limit * share

    def binding(self) -> bool:
        """Whether the bound is below what the settings allow."""
        return self.limit < self.bounds.most
