"""Degradation and admission control of a laboratory dispatcher, in virtual time.

The decision logic is that of a dispatcher on sockets (`hoistplank.degradation`), fed by the events of the
virtual dispatcher. `now` is whole microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from hoistplank.decision.settings import Degradation
from hoistplank.degradation import sections
from hoistplank.degradation.admission import AdmissionController, AdmissionSettings
from hoistplank.degradation.levels import FULL, LevelChange
from hoistplank.degradation.observer import SignalObserver
from hoistplank.degradation.settings import DegradationSettings
from hoistplank.operator_configuration.errors import ConfigurationError, Diagnostic
from hoistplank.program.sections import parse_file

MAX_OPEN_REQUESTS = 4_000


@dataclass(frozen=True, slots=True)
class DegradationPlan:
    """What each dispatcher of a world runs: `settings` (perhaps without levels), `admission` (None for no
    control). `shed_cost_share`: what a request costs that is shed, of the core's cost of an event."""

    settings: DegradationSettings
    admission: AdmissionSettings | None
    shed_cost_share: float = 0.1


def parse_plan(text: str, semantics: dict[str, str]) -> DegradationPlan:
    """A plan from the text of a section `(levels …)`, as the operator's file has it. `semantics`: of the
    world's traffic classes, by name. Raises ConfigurationError."""
    section = parse_file(text.encode(), "levels")["levels"]
    if section is None:
        location = parse_file(b"", "levels").location
        found = "no '(levels …)'"
        raise ConfigurationError([Diagnostic(location, found, "the form of the levels")])
    return DegradationPlan(
        sections.build_settings(section, semantics),
        sections.build_admission_settings(section, MAX_OPEN_REQUESTS),
    )


class DegradationController:
    """One dispatcher's degradation and admission; `changes` has every change of level."""

    def __init__(self, plan: DegradationPlan, utility: dict[str, float], now: int) -> None:
        self.settings = plan.settings
        self.changes: list[LevelChange] = []
        self.rejected = 0
        self._readings = self.settings.new_readings()
        self.observer = SignalObserver(self._readings, utility)
        self._machine = self.settings.new_state_machine() if self.settings.levels else None
        self._admission = AdmissionController(plan.admission, now) if plan.admission is not None else None
        self._shares = self._shares_of(utility)

    def _shares_of(self, utility: dict[str, float]) -> dict[str, float]:
        if self._admission is None:
            return dict.fromkeys(utility, 1.0)
        highest = max(utility.values(), default=1.0)
        return {name: self._admission.share(value, highest) for name, value in utility.items()}

    def admits(self, now: int, class_name: str, open_requests: int) -> bool:
        """Whether a new request is admitted beside the open ones; else it is to be shed."""
        share = self._shares.get(class_name, 1.0)
        if self._admission is None or self._admission.admits(open_requests, share):
            return True
        self.rejected += 1
        self.observer.record_shedding(now, shed=True)
        return False

    def observe_turn(self, now: int, lag_us: int, open_requests: int, waiting: int) -> None:
        """What a turn of the loop saw: its lag, requests open, events that waited for it."""
        limit = float(MAX_OPEN_REQUESTS)
        if self._admission is not None:
            self._admission.observe(now, lag_us, open_requests, waiting)
            limit = self._admission.limit
        self.observer.record_loop(now, lag_us, open_requests / max(1.0, limit))

    def evaluate(self, now: int) -> Degradation | None:
        """Evaluates the levels; the effects in force from now on, where the level changed."""
        if self._machine is None:
            return None
        change = self._machine.evaluate(now, self._readings.all(now))
        if change is None:
            return None
        self.changes.append(change)
        return self._machine.effects(self.settings.base)

    def summary(self) -> dict[str, Any]:
        """What happened in the run, for its results."""
        return {
            "changes": len(self.changes),
            "refused": self.rejected,
            "level": self._machine.level_name if self._machine is not None else FULL,
        }
