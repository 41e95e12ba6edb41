"""Which level of reduced service is in force, since when and why: one state machine. No I/O, no clock.

Level 0 is full service. A level has the effects of all levels below it as well as its own. Entering is quick,
leaving slow and one level at a time: after the level's dwell, and not while flap damping suppresses it.
`TRANSITIONS` is the whole table; it is drawn in docs/levels.md. `now` is whole microseconds.
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
    """Of the machine; the values stand in the report for operators."""

    STEADY = "steady"
    EASING = "easing"  # the conditions to leave the level are met, and its dwell runs
    PINNED = "pinned"


class Event(enum.Enum):
    """What the machine reacts to."""

    ENTRY_MET = enum.auto()  # a condition to enter a higher level
    EXIT_MET = enum.auto()  # all conditions to leave the level in force
    EXIT_NOT_MET = enum.auto()
    DWELL_OVER = enum.auto()  # with the exit met, and no damping in force
    PIN_SET = enum.auto()  # by an operator
    PIN_ENDED = enum.auto()  # by time, or taken back
    LEVEL_FORBIDDEN = enum.auto()  # the level in force is forbidden by an operator


class Effect(enum.Enum):
    """What a transition does to the level."""

    NONE = enum.auto()
    GO_TO_REQUESTED = enum.auto()  # the level that the event names
    GO_TO_ALLOWED_BELOW = enum.auto()  # the highest level below that is not forbidden


class Transition(NamedTuple):
    """The state after an event, what happens to the level, and what that is put down to."""

    state: State
    effect: Effect = Effect.NONE
    trigger: Trigger = Trigger.READINGS


_PIN = Transition(State.PINNED, Effect.GO_TO_REQUESTED, Trigger.PIN)
_RAISE = Transition(State.STEADY, Effect.GO_TO_REQUESTED)
_LEAVE_FORBIDDEN = Transition(State.STEADY, Effect.GO_TO_ALLOWED_BELOW, Trigger.FORBID)

# An event that has no row for a state changes nothing there: readings do not move a pinned machine.
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
    """A level that the readings ask for: its rank, 0 for none, and the conditions that are met."""

    rank: int
    reasons: tuple[TransitionReason, ...]


class LevelStateMachine:
    """The level in force, evaluated anew with each set of readings. Bounded state: a few figures a level."""

    def __init__(
        self, levels: tuple[Level, ...], penalty_half_life_us: int = DEFAULT_PENALTY_HALF_LIFE_US
    ) -> None:
        names = [level.name for level in levels]
        if len(set(names)) != len(names):
            raise ValueError("two levels of one name")
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
        """The name of the level of a rank."""
        return self.levels[rank - 1].name if rank else FULL

    def _rank(self, name: str) -> int:
        rank = self._rank_of.get(name)
        if rank is None:
            raise UnknownLevelError(name, self._rank_of)
        return rank

    def effects(self, base: Degradation) -> Degradation:
        """Of the level in force and all below it, over `base` (what holds at full service)."""
        combined = base
        for level in self.levels[: self.rank]:
            combined = combined.joined(level.effects)
        return replace(combined, level=self.level_name)

    def dwell_us(self, now: int) -> int:
        """For how long after its entry the level in force is kept at least: its dwell, or until flap damping
        suppresses it no longer."""
        if self.rank == 0:
            return 0
        dwell_us = self.levels[self.rank - 1].dwell_us
        suppressed_us = self._damping.suppressed_for_us(now)
        return max(dwell_us, now - self.since_us + suppressed_us) if suppressed_us else dwell_us

    def pin(self, now: int, name: str, until_us: int) -> LevelChange | None:
        """Holds `name` (or "full") until `until_us`, with 0 until `unpin`. Raises UnknownLevelError
        and ForbiddenLevelError."""
        rank = self._rank(name)
        if self.is_forbidden(now, name):
            raise ForbiddenLevelError(name)
        self.pinned = ManualOverride(name, until_us)
        return self._handle(now, Event.PIN_SET, rank)

    def unpin(self) -> None:
        """Ends a pin; the level follows the readings from the next evaluation on."""
        self.pinned = None
        if self.state is State.PINNED:
            self.state = TRANSITIONS[State.PINNED, Event.PIN_ENDED].state

    def forbid(self, now: int, name: str, until_us: int) -> LevelChange | None:
        """`name` is not entered until `until_us`, with 0 until `allow`; in force, it is left at once. Raises
        UnknownLevelError and FullServiceError."""
        rank = self._rank(name)
        if rank == 0:
            raise FullServiceError(name)
        self.forbidden[name] = ManualOverride(name, until_us)
        if self.pinned is not None and self.pinned.level == name:
            self.unpin()
        return self._handle(now, Event.LEVEL_FORBIDDEN) if self.rank == rank else None

    def allow(self, name: str) -> None:
        """Takes a ban back."""
        self.forbidden.pop(name, None)

    def is_forbidden(self, now: int, name: str) -> bool:
        """Whether a ban of the level is in force; one that has ended is forgotten."""
        ban = self.forbidden.get(name)
        if ban is not None and not ban.is_in_force(now):
            del self.forbidden[name]
            return False
        return ban is not None

    def evaluate(self, now: int, readings: dict[str, Reading]) -> LevelChange | None:
        """Evaluates the readings of `now`; returns the change of level, if there is one."""
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
        """The highest level that may be entered."""
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
        """Looks the event up in the table and carries the transition out."""
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
        """The highest rank below the level in force that is not forbidden."""
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
        """At a reload: takes over the level, pin and bans of an earlier machine, where levels of those names
        are here too. A change is returned where the level in force is gone."""
        self.forbidden = dict(previous.forbidden)
        if previous.pinned is not None and previous.pinned.level in self._rank_of:
            self.pinned = previous.pinned
            self.state = State.PINNED
        rank = self._rank_of.get(previous.level_name)
        if rank is None:
            return LevelChange(now, previous.level_name, self.level_name, (), Trigger.RELOAD)
        self.rank, self.since_us, self.reasons = rank, previous.since_us, previous.reasons
        self._damping.resume_from(previous._damping)  # noqa: SLF001 - of its own class
        return None
