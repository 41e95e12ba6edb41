"""Levels of reduced service and changes between them, as records."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from hoistplank.decision.settings import Degradation
from hoistplank.degradation.conditions import Condition, TransitionReason

FULL = "full"  # the name of level 0, full service


@dataclass(frozen=True, slots=True)
class Level:
    """Entered where any of `enter` is met; left, one level down, where all of `leave` are met and `dwell_us`
    is over. Raises ValueError."""

    name: str
    enter: tuple[Condition, ...]
    leave: tuple[Condition, ...]
    dwell_us: int
    effects: Degradation = field(default_factory=Degradation)

    def __post_init__(self) -> None:
        """Checks the name and that the level can be entered and left."""
        if not self.enter or not self.leave:
            raise ValueError(f"level '{self.name}' needs at least one condition to enter and one to leave")
        if self.name == FULL:
            raise ValueError(f"'{FULL}' is the name of full service")


class Trigger(enum.StrEnum):
    """What made a level change; the values stand in the log and in the report for operators."""

    READINGS = "readings"
    PIN = "pin"
    FORBID = "forbid"
    RELOAD = "reload"


@dataclass(frozen=True, slots=True)
class LevelChange:
    """The level went from `before` to `after` at `at_us`; `reasons` are the conditions behind a change that
    the readings made."""

    at_us: int
    before: str
    after: str
    reasons: tuple[TransitionReason, ...]
    trigger: Trigger

    def describe(self) -> str:
        """The reasons, or what else made the level change."""
        return "; ".join(str(reason) for reason in self.reasons) or self.trigger.value


@dataclass(frozen=True, slots=True)
class ManualOverride:
    """An operator's pin or ban of a level, until a time, or with 0 until it is taken back."""

    level: str
    until_us: int

    def is_in_force(self, now: int) -> bool:
        """Whether it has not ended yet."""
        return not self.until_us or now < self.until_us
