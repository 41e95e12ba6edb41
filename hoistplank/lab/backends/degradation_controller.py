"""Levels of reduced service and the admission by the core at a laboratory dispatcher: the same decision
logic as a dispatcher on sockets runs (`hoistplank.degradation`), fed by the virtual seat's events."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from hoistplank.decision.settings import Degradation
from hoistplank.degradation import sections
from hoistplank.degradation.admission import Admission, Bounds
from hoistplank.degradation.signals import Gauges, Watch
from hoistplank.degradation.state_machine import Change, Ladder, Level
from hoistplank.operator_configuration.errors import ConfigurationError, Diagnostic
from hoistplank.program.sections import understood


@dataclass(frozen=True, slots=True)
class Plan:
    """What each dispatcher of a world runs: levels (may be none), the admission's bounds (or none), how
    often the ladder is judged (us), and what holds at full service. `shed_share`: of a core's event cost,
    what a request costs that is shed."""

    levels: tuple[Level, ...] = ()
    calm_us: int = 120_000_000
    ages: dict[str, int] = field(default_factory=dict)
    bounds: Bounds | None = None
    every_us: int = 100_000
    base: Degradation = field(default_factory=Degradation)
    shed_share: float = 0.1


def plan(text: str, classes: dict[str, str], admission: bool = True) -> Plan:
    """A plan from the text of a `(levels …)` form, as the operator's file has it; raises ConfigurationError.
    `traffic classes`: name -> semantics, of the world's settings."""
    section = understood(text.encode(), "levels")["levels"]
    if section is None:
        raise ConfigurationError(
            [Diagnostic(understood(b"", "levels").location, "no '(levels …)'", "the form of the levels")]
        )
    faults: list[Diagnostic] = []
    sections.classes_known(section, classes, faults)
    made, ages = sections.levels(section, faults), sections.ages(section, faults)
    if faults:
        raise ConfigurationError(faults)
    bounds = sections.bounds(section, 4_000) if admission else None
    base = Degradation(retry_share=section["retries"])
    return Plan(made, section["calm"], ages, bounds, section["every"], base)


class Steward:
    """One dispatcher's levels and admission in virtual time; `changes` keeps every change of level."""

    def __init__(self, plan: Plan, utility: dict[str, float], now: int) -> None:
        self.plan = plan
        self.gauges = Gauges(plan.ages)
        self.watch = Watch(self.gauges, utility)
        self.ladder = Ladder(plan.levels, plan.calm_us) if plan.levels else None
        self.admission = Admission(plan.bounds, now) if plan.bounds is not None else None
        dearest = max(utility.values()) if utility else 1.0
        self.shares = {
            name: self.admission.share(value, dearest) if self.admission is not None else 1.0
            for name, value in utility.items()
        }
        self.changes: list[Change] = []
        self.refused = 0

    def admits(self, now: int, class_name: str, open: int) -> bool:
        if self.admission is None or self.admission.admits(open, self.shares.get(class_name, 1.0)):
            return True
        self.refused += 1
        self.watch.load_shed(now, True)
        return False

    def turn(self, now: int, lag_us: int, open: int, waiting: int) -> None:
        if self.admission is not None:
            self.admission.observe(now, lag_us, open, waiting)
        limit = self.admission.limit if self.admission is not None else 4_000.0
        self.watch.loop(now, lag_us, open / max(1.0, limit))

    def judge(self, now: int) -> Degradation | None:
        """The ladder's step; what the Router is to be told where the level changed."""
        if self.ladder is None:
            return None
        change = self.ladder.step(now, self.gauges.readings(now))
        if change is None:
            return None
        self.changes.append(change)
        return self.ladder.effects(self.plan.base)

    def seen(self) -> dict[str, Any]:
        return {
            "changes": len(self.changes),
            "refused": self.refused,
            "level": self.ladder.name if self.ladder is not None else "full",
        }
