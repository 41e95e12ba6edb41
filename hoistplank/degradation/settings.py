"""Settings built from the section `(levels …)` of the operator file."""

from __future__ import annotations

from dataclasses import dataclass, field

from hoistplank.decision.settings import Degradation
from hoistplank.degradation.levels import Level
from hoistplank.degradation.readings import SignalReadings
from hoistplank.degradation.state_machine import DEFAULT_PENALTY_HALF_LIFE_US, LevelStateMachine


@dataclass(frozen=True, slots=True)
class DegradationSettings:
    """Levels, least reduced first. `base` has the effects at full service, `half_lives_us` the overrides of
    the signals' half-lives, by name."""

    levels: tuple[Level, ...] = ()
    penalty_half_life_us: int = DEFAULT_PENALTY_HALF_LIFE_US
    half_lives_us: dict[str, int] = field(default_factory=dict)
    evaluation_interval_us: int = 100_000
    base: Degradation = field(default_factory=Degradation)

    def new_state_machine(self) -> LevelStateMachine:
        """Returns a state machine of these levels, at full service."""
        return LevelStateMachine(self.levels, self.penalty_half_life_us)

    def new_readings(self) -> SignalReadings:
        """Returns readings with these half-lives, all of them unknown."""
        return SignalReadings(self.half_lives_us)
