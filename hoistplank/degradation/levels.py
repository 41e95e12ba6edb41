"""Records of levels of reduced service and of the changes between them."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from hoistplank.decision.settings import Degradation
from hoistplank.degradation.conditions import Condition, TransitionReason

FULL = "full"  # the name of level 0, full service


@dataclass(frozen=True, slots=True)
class Level:
    """A level that is entered when any of `enter` is met, and left for the level below when all of `leave`
    are met and `dwell_us` has passed. Raises ValueError."""

    name: str
    enter: tuple[Condition, ...]
    leave: tuple[Condition, ...]
    dwell_us: int
    effects: Degradation = field(default_factory=Degradation)

    def __post_init__(self) -> None:
        """Checks the name, and that there are conditions to enter and to leave."""
        if not self.enter or not self.leave:
            raise ValueError(f"level '{self.name}' needs at least one condition to enter and one to leave")
        if self.name == FULL:
            raise ValueError(f"level name '{FULL}' is reserved for full service")


class Trigger(enum.StrEnum):
    """The cause of a change of level; the values appear in logs and in the report for operators."""

    READINGS = "readings"
    PIN = "pin"
    FORBID = "forbid"
    RELOAD = "reload"


@dataclass(frozen=True, slots=True)
class LevelChange:
    """A change from level `before` to level `after` at `at_us`; `reasons` are the conditions that were met,
    if readings caused the change."""

    at_us: int
    before: str
    after: str
    reasons: tuple[TransitionReason, ...]
    trigger: Trigger

    def describe(self) -> str:
        """Returns the reasons, or the trigger if there are none."""
        return "; ".join(str(reason) for reason in self.reasons) or self.trigger.value


@dataclass(frozen=True, slots=True)
class ManualOverride:
    """An operator's pin or ban of a level until `until_us`; with 0, until it is withdrawn."""

    level: str
    until_us: int

    def is_in_force(self, now: int) -> bool:
        """True if the override has not expired at `now`."""
        return not self.until_us or now < self.until_us
