"""Degradation and admission control of a laboratory dispatcher, in virtual time.

The decision logic is that of a dispatcher on sockets (`hoistplank.degradation`), fed by the events of the
virtual dispatcher. Times `now` are in microseconds.
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
    """The degradation settings (possibly without levels) and admission settings (or None) of each dispatcher.

    `shed_cost_share` is the CPU cost of a shed request as a share of the cost of an event.
    """

    settings: DegradationSettings
    admission: AdmissionSettings | None
    shed_cost_share: float = 0.1


def parse_plan(text: str, semantics: dict[str, str]) -> DegradationPlan:
    """Returns the plan of a `(levels …)` section, in the form of the operator file.

    `semantics` maps the world's traffic classes to their semantics. Raises ConfigurationError.
    """
    section = parse_file(text.encode(), "levels")["levels"]
    if section is None:
        location = parse_file(b"", "levels").location
        found = "no '(levels …)'"
        raise ConfigurationError([Diagnostic(location, found, "a form '(levels …)'")])
    return DegradationPlan(
        sections.build_settings(section, semantics),
        sections.build_admission_settings(section, MAX_OPEN_REQUESTS),
    )


class DegradationController:
    """Degradation and admission control of one dispatcher; `changes` lists every change of level."""

    def __init__(self, plan: DegradationPlan, utility: dict[str, float], now: int) -> None:
        self.settings = plan.settings
        self.changes: list[LevelChange] = []
        self.rejected = 0
        self._readings = self.settings.new_readings()
        self.observer = SignalObserver(self._readings, utility)
        self._machine = self.settings.new_state_machine() if self.settings.levels else None
        self._admission = AdmissionController(plan.admission, now) if plan.admission is not None else None
        self._shares = self._admission_shares(utility)

    def _admission_shares(self, utility: dict[str, float]) -> dict[str, float]:
        if self._admission is None:
            return dict.fromkeys(utility, 1.0)
        highest = max(utility.values(), default=1.0)
        return {name: self._admission.share(value, highest) for name, value in utility.items()}

    def admits(self, now: int, class_name: str, open_requests: int) -> bool:
        """Returns True if a new request is admitted beside the open ones, False if it must be shed."""
        share = self._shares.get(class_name, 1.0)
        if self._admission is None or self._admission.admits(open_requests, share):
            return True
        self.rejected += 1
        self.observer.record_shedding(now, shed=True)
        return False

    def observe_turn(self, now: int, lag_us: int, open_requests: int, waiting: int) -> None:
        """Records a turn of the event loop: its lag, the open requests, and the events that waited for it."""
        limit = float(MAX_OPEN_REQUESTS)
        if self._admission is not None:
            self._admission.observe(now, lag_us, open_requests, waiting)
            limit = self._admission.limit
        self.observer.record_loop(now, lag_us, open_requests / max(1.0, limit))

    def evaluate(self, now: int) -> Degradation | None:
        """Evaluates the levels; returns the effects now in force if the level changed, else None."""
        if self._machine is None:
            return None
        change = self._machine.evaluate(now, self._readings.all(now))
        if change is None:
            return None
        self.changes.append(change)
        return self._machine.effects(self.settings.base)

    def summary(self) -> dict[str, Any]:
        """Returns the number of changes and rejections and the current level, for the results."""
        return {
            "changes": len(self.changes),
            "refused": self.rejected,
            "level": self._machine.level_name if self._machine is not None else FULL,
        }
