"""State machine that determines the level of reduced service in force. No I/O, no clock.

Level 0 is full service. A level has the effects of all levels below it in addition to its own. A level is
entered at once, skipping lower ones if need be, but left one step at a time: after its dwell, and not while
flap damping suppresses the step. `TRANSITIONS` is the complete table; docs/levels.md has a diagram of it.
`now` is whole microseconds.
"""

from __future__ import annotations

import enum
from dataclasses import replace
from typing import NamedTuple

from hoistplank.decision.settings import Degradation
from hoistplank.degradation.conditions import Condition, ConditionTracker, TransitionReason
from hoistplank.degradation.damping import FlapDamping
from hoistplank.degradation.errors import ForbiddenLevelError, FullServiceError, UnknownLevelError
from hoistplank.degradation.levels import FULL, Level, LevelChange, ManualOverride, Trigger
from hoistplank.degradation.readings import Reading

DEFAULT_PENALTY_HALF_LIFE_US = 120_000_000


class State(enum.Enum):
    """States of the machine; the values appear in the report for operators."""

    STEADY = "steady"
    EASING = "easing"  # the conditions to leave the level are met, but its dwell is not over
    PINNED = "pinned"


class Event(enum.Enum):
    """Inputs of the machine."""

    ENTRY_MET = enum.auto()  # a condition to enter a higher level is met
    EXIT_MET = enum.auto()  # all conditions to leave the level in force are met
    EXIT_NOT_MET = enum.auto()
    DWELL_OVER = enum.auto()  # with the conditions to leave met, and no suppression by flap damping
    PIN_SET = enum.auto()  # by an operator
    PIN_ENDED = enum.auto()  # expired, or withdrawn by an operator
    LEVEL_FORBIDDEN = enum.auto()  # the level in force is forbidden by an operator


class Effect(enum.Enum):
    """The change of level that a transition makes."""

    NONE = enum.auto()
    GO_TO_REQUESTED = enum.auto()  # the level given with the event
    GO_TO_ALLOWED_BELOW = enum.auto()  # the highest level below that is not forbidden


class Transition(NamedTuple):
    """The next state, the effect on the level, and the trigger recorded for that change."""

    state: State
    effect: Effect = Effect.NONE
    trigger: Trigger = Trigger.READINGS


_PIN = Transition(State.PINNED, Effect.GO_TO_REQUESTED, Trigger.PIN)
_RAISE = Transition(State.STEADY, Effect.GO_TO_REQUESTED)
_LEAVE_FORBIDDEN = Transition(State.STEADY, Effect.GO_TO_ALLOWED_BELOW, Trigger.FORBID)

# An event without a row for a state is ignored in that state: readings don't change the level while it is
# pinned.
TRANSITIONS: dict[tuple[State, Event], Transition] = {
    (State.STEADY, Event.ENTRY_MET): _RAISE,
    (State.STEADY, Event.EXIT_MET): Transition(State.EASING),
    (State.STEADY, Event.PIN_SET): _PIN,
    (State.STEADY, Event.LEVEL_FORBIDDEN): _LEAVE_FORBIDDEN,
    (State.EASING, Event.ENTRY_MET): _RAISE,
    (State.EASING, Event.EXIT_NOT_MET): Transition(State.STEADY),
    (State.EASING, Event.DWELL_OVER): Transition(State.STEADY, Effect.GO_TO_ALLOWED_BELOW),
    (State.EASING, Event.PIN_SET): _PIN,
    (State.EASING, Event.LEVEL_FORBIDDEN): _LEAVE_FORBIDDEN,
    (State.PINNED, Event.PIN_SET): _PIN,
    (State.PINNED, Event.PIN_ENDED): Transition(State.STEADY),
}


class EntryCandidate(NamedTuple):
    """The level to enter by the readings: its rank, 0 if there is none, and its conditions that are met."""

    rank: int
    reasons: tuple[TransitionReason, ...]


class LevelStateMachine:
    """Holds the level in force and evaluates it for each set of readings; its state is bounded."""

    def __init__(
        self, levels: tuple[Level, ...], penalty_half_life_us: int = DEFAULT_PENALTY_HALF_LIFE_US
    ) -> None:
        names = [level.name for level in levels]
        if len(set(names)) != len(names):
            raise ValueError("two levels have the same name")
        self.levels = levels
        self.state = State.STEADY
        self.rank = 0  # of the level in force; 0 is full service, 1 the first of `levels`
        self.since_us = 0
        self.reasons: tuple[TransitionReason, ...] = ()  # of the latest change
        self.changes = 0
        self.pinned: ManualOverride | None = None
        self.forbidden: dict[str, ManualOverride] = {}
        self._rank_of = {FULL: 0, **{name: rank for rank, name in enumerate(names, 1)}}
        self._damping = FlapDamping(penalty_half_life_us)
        self._conditions = ConditionTracker(
            condition for level in levels for condition in (*level.enter, *level.leave)
        )

    @property
    def level_name(self) -> str:
        """The name of the level in force."""
        return self.name_of(self.rank)

    def name_of(self, rank: int) -> str:
        """Returns the name of the level of a rank."""
        return self.levels[rank - 1].name if rank else FULL

    def _rank(self, name: str) -> int:
        rank = self._rank_of.get(name)
        if rank is None:
            raise UnknownLevelError(name, self._rank_of)
        return rank

    def effects(self, base: Degradation) -> Degradation:
        """Combines the effects of the level in force and all below it with `base`, those of full service."""
        combined = base
        for level in self.levels[: self.rank]:
            combined = combined.combined_with(level.effects)
        return replace(combined, level=self.level_name)

    def dwell_us(self, now: int) -> int:
        """Returns the minimum time in the level in force since its entry: its dwell, or longer if flap
        damping suppresses the step down."""
        if self.rank == 0:
            return 0
        dwell_us = self.levels[self.rank - 1].dwell_us
        suppressed_us = self._damping.suppressed_for_us(now)
        return max(dwell_us, now - self.since_us + suppressed_us) if suppressed_us else dwell_us

    def pin(self, now: int, name: str, until_us: int) -> LevelChange | None:
        """Pins the level `name` (or "full") until `until_us`; with 0, until `unpin`. Raises UnknownLevelError
        and ForbiddenLevelError."""
        rank = self._rank(name)
        if self.is_forbidden(now, name):
            raise ForbiddenLevelError(name)
        self.pinned = ManualOverride(name, until_us)
        return self._handle(now, Event.PIN_SET, rank)

    def unpin(self) -> None:
        """Removes a pin; from the next evaluation on, the level depends on the readings."""
        self.pinned = None
        if self.state is State.PINNED:
            self.state = TRANSITIONS[State.PINNED, Event.PIN_ENDED].state

    def forbid(self, now: int, name: str, until_us: int) -> LevelChange | None:
        """Forbids the level `name` until `until_us`; with 0, until `allow`. If it is in force, it is left at
        once. Raises UnknownLevelError and FullServiceError."""
        rank = self._rank(name)
        if rank == 0:
            raise FullServiceError(name)
        self.forbidden[name] = ManualOverride(name, until_us)
        if self.pinned is not None and self.pinned.level == name:
            self.unpin()
        return self._handle(now, Event.LEVEL_FORBIDDEN) if self.rank == rank else None

    def allow(self, name: str) -> None:
        """Removes a ban of a level."""
        self.forbidden.pop(name, None)

    def is_forbidden(self, now: int, name: str) -> bool:
        """True if a ban of the level is in force; removes an expired ban."""
        ban = self.forbidden.get(name)
        if ban is not None and not ban.is_in_force(now):
            del self.forbidden[name]
            return False
        return ban is not None

    def evaluate(self, now: int, readings: dict[str, Reading]) -> LevelChange | None:
        """Evaluates the readings at `now`; returns the change of level, if any."""
        met = self._conditions.update(now, readings)
        if self.pinned is not None:
            if self.pinned.is_in_force(now):
                return None
            self.unpin()
        candidate = self._highest_entry(now, met)
        if candidate.rank > self.rank:
            return self._handle(now, Event.ENTRY_MET, candidate.rank, candidate.reasons)
        if self.rank == 0:
            return None
        if self.is_forbidden(now, self.level_name):
            return self._handle(now, Event.LEVEL_FORBIDDEN)
        return self._evaluate_exit(now, met)

    def _highest_entry(self, now: int, met: dict[Condition, float]) -> EntryCandidate:
        """Returns the highest level with a condition to enter that is met, and that is not forbidden."""
        highest = EntryCandidate(0, ())
        for rank, level in enumerate(self.levels, 1):
            reasons = tuple(TransitionReason(entry, met[entry]) for entry in level.enter if entry in met)
            if reasons and not self.is_forbidden(now, level.name):
                highest = EntryCandidate(rank, reasons)
        return highest

    def _evaluate_exit(self, now: int, met: dict[Condition, float]) -> LevelChange | None:
        exits = self.levels[self.rank - 1].leave
        if not all(condition in met for condition in exits):
            return self._handle(now, Event.EXIT_NOT_MET)
        self._handle(now, Event.EXIT_MET)
        if now - self.since_us < self.dwell_us(now):
            return None
        reasons = tuple(TransitionReason(condition, met[condition]) for condition in exits)
        return self._handle(now, Event.DWELL_OVER, reasons=reasons)

    def _handle(
        self, now: int, event: Event, requested: int = 0, reasons: tuple[TransitionReason, ...] = ()
    ) -> LevelChange | None:
        """Looks up the transition for an event and carries it out."""
        transition = TRANSITIONS.get((self.state, event))
        if transition is None:
            return None
        self.state = transition.state
        match transition.effect:
            case Effect.GO_TO_REQUESTED:
                return self._change_level(now, requested, reasons, transition.trigger)
            case Effect.GO_TO_ALLOWED_BELOW:
                return self._change_level(now, self._allowed_below(now), reasons, transition.trigger)
            case Effect.NONE:
                return None

    def _allowed_below(self, now: int) -> int:
        """Returns the highest rank below the level in force that is not forbidden."""
        for rank in range(self.rank - 1, 0, -1):
            if not self.is_forbidden(now, self.name_of(rank)):
                return rank
        return 0

    def _change_level(
        self, now: int, rank: int, reasons: tuple[TransitionReason, ...], trigger: Trigger
    ) -> LevelChange | None:
        if rank == self.rank:
            return None
        before = self.level_name
        self.rank, self.since_us, self.reasons = rank, now, reasons
        if trigger is Trigger.READINGS:
            self._damping.record_change(now)
        self.changes += 1
        return LevelChange(now, before, self.level_name, reasons, trigger)

    def resume_from(self, now: int, previous: LevelStateMachine) -> LevelChange | None:
        """Copies the level, pin and bans of the previous machine at a reload, as far as this machine has
        levels of those names. Returns a change if the level in force no longer exists."""
        self.forbidden = dict(previous.forbidden)
        if previous.pinned is not None and previous.pinned.level in self._rank_of:
            self.pinned = previous.pinned
            self.state = State.PINNED
        rank = self._rank_of.get(previous.level_name)
        if rank is None:
            return LevelChange(now, previous.level_name, self.level_name, (), Trigger.RELOAD)
        self.rank, self.since_us, self.reasons = rank, previous.since_us, previous.reasons
        self._damping.resume_from(previous._damping)  # noqa: SLF001 - of the same class
        return None
