"""What the fleet ahead asks of each role: a slope, the size it is taken at, its budget and what carries it.

Decision logic: measurements in, figures out. A figure's value is `slope * size * times`, converted to the
unit of its budget. The fleet's own requirements stand in `requirement_list`.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from hoistplank.lab.scale.measurements import Measurement, of_quantity
from hoistplank.lab.scale.slopes import Slope, judge
from hoistplank.lab.scale.target import Budget


class Basis(Enum):
    """Whether a figure is the fitted value at a size, or the slope for each event times the events."""

    AT_SIZE = "at size"
    PER_EVENT = "per event"


@dataclass(frozen=True, slots=True)
class Unit:
    """What a figure is told in, and the factor from the unit measured."""

    name: str
    factor: float


@dataclass(frozen=True, slots=True)
class Count:
    """A size or a rate, and how it is told."""

    value: float
    text: str


ONCE = Count(1.0, "")


@dataclass(frozen=True, slots=True)
class Mechanism:
    """The standard name of what carries a figure, and the module where it is."""

    name: str
    module: str


@dataclass(frozen=True, slots=True)
class Requirement:
    """One figure of the page: a measured quantity at a size, times a count (events a second, dispatchers).

    `counted` tells that it is part of the steady state's sum against its budget; `measured_role` is the
    role whose measurement it rests on, where that is another.
    """

    role: str
    title: str
    quantity: str
    size: Count
    unit: Unit
    mechanism: Mechanism
    times: Count = ONCE
    basis: Basis = Basis.AT_SIZE
    budget: Budget | None = None
    counted: bool = False
    measured_role: str = ""

    @property
    def source(self) -> tuple[str, str]:
        """The role and quantity measured."""
        return self.measured_role or self.role, self.quantity


@dataclass(frozen=True, slots=True)
class Figure:
    """A requirement worked out: its slope, its value with the 95 % interval, and whether it is
    extrapolated."""

    requirement: Requirement
    slope: Slope
    measured_unit: str
    per: str
    run: str
    value: float
    low: float
    high: float
    extrapolated: bool

    @property
    def budget_share(self) -> float:
        """Of its budget, what it takes; 0 without one."""
        budget = self.requirement.budget
        return self.value / budget.most if budget is not None else 0.0

    @property
    def left(self) -> float:
        """What is left of the budget, below 0 where it is exceeded."""
        budget = self.requirement.budget
        return budget.most - self.value if budget is not None else 0.0


@dataclass(frozen=True, slots=True)
class BudgetSum:
    """All that the steady state counts against one budget."""

    budget: Budget
    value: float
    parts: int

    @property
    def left(self) -> float:
        return self.budget.most - self.value


class NotMeasuredError(ValueError):
    """A requirement whose quantity no result holds; the text names it."""


def figure_of(requirement: Requirement, measurements: Sequence[Measurement]) -> Figure:
    """Works one requirement out. Raises NotMeasuredError and TooFewSizesError."""
    rows = of_quantity(measurements, *requirement.source)
    if not rows:
        raise NotMeasuredError(f"no result holds '{requirement.quantity}' of the {requirement.source[0]}")
    slope = judge([row.size for row in rows], [row.value for row in rows])
    chosen = slope.chosen()
    factor = requirement.times.value * requirement.unit.factor
    if requirement.basis is Basis.PER_EVENT:
        line = slope.line
        bounds = (line.slope, line.slope_low, line.slope_high)
        value, low, high = (bound * requirement.size.value * factor for bound in bounds)
        extrapolated = False
    else:
        estimate = chosen.at(requirement.size.value)
        value, low, high = (bound * factor for bound in (estimate.value, estimate.low, estimate.high))
        extrapolated = estimate.extrapolated
    first = rows[0]
    return Figure(requirement, slope, first.unit, first.per, rows[-1].run, value, low, high, extrapolated)


def figures(requirements: Sequence[Requirement], measurements: Sequence[Measurement]) -> list[Figure]:
    """The requirements worked out, but for those that were not measured."""
    missing = not_measured(requirements, measurements)
    return [figure_of(row, measurements) for row in requirements if row not in missing]


def not_measured(
    requirements: Sequence[Requirement], measurements: Sequence[Measurement]
) -> list[Requirement]:
    """The requirements whose quantity no result holds."""
    measured = {(row.role, row.quantity) for row in measurements}
    return [row for row in requirements if row.source not in measured]


def sums(worked_out: Sequence[Figure]) -> list[BudgetSum]:
    """For each budget with counted figures, their sum."""
    found = []
    for budget in Budget:
        parts = [row for row in worked_out if row.requirement.budget is budget and row.requirement.counted]
        if parts:
            found.append(BudgetSum(budget, sum(row.value for row in parts), len(parts)))
    return found


def over_budget(worked_out: Sequence[Figure]) -> list[Figure]:
    """The figures above their budgets, the furthest first."""
    return sorted((row for row in worked_out if row.budget_share > 1), key=lambda row: -row.budget_share)
