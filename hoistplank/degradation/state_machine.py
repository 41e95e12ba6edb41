"""Levels of reduced service as one state machine: which level holds, since when and why. No I/O, no clock:
`now` is told in whole microseconds, readings come from `signals.Gauges`.

Level 0 is full service and has no name of its own here ("full"). A level holds the effects of all below it
as well as its own. The table, drawn in docs/levels.md:

    state    event                                   next     effect
    steady   a higher level's entry holds            steady   that level at once, the penalty grows
    steady   the exit of this level holds            easing   easing since now
    easing   a higher level's entry holds            steady   that level at once
    easing   the exit no longer holds                steady   -
    easing   exit held its time, dwell is over,      steady   one level down, the penalty grows
             no damping in force
    any      pinned by an operator                   pinned   that level
    pinned   the pin ends or is taken back           steady   as the readings say
    any      the level in force is forbidden         steady   the highest allowed below it

Entering is quick, leaving slow and by steps. Each change that the readings make adds 1 to the ladder's
penalty, which halves every `calm_us`; once it is `SUPPRESS` or more, no step down is taken, beyond the dwell,
until it has fallen below `REUSE`, as routes that flap are damped (RFC 2439, section 4.2): a level entered
once is left after its dwell, one that comes back soon is kept two half-lives and more. A reading that is
unknown fulfils no condition, so that a signal that stops coming neither raises nor lowers the level.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from math import log2

from hoistplank.decision.settings import Degradation
from hoistplank.degradation.signals import Reading

FULL = "full"
SUPPRESS, REUSE = 2.5, 0.5


class State(enum.Enum):
    STEADY = "steady"
    EASING = "easing"
    PINNED = "pinned"


@dataclass(frozen=True, slots=True)
class Condition:
    """`signal` above (or below) `value`, for at least `hold_us`."""

    signal: str
    above: bool
    value: float
    hold_us: int = 0

    def met(self, reading: Reading) -> bool:
        if reading.value is None:
            return False
        return reading.value > self.value if self.above else reading.value < self.value

    def __str__(self) -> str:
        return f"{self.signal} {'above' if self.above else 'below'} {self.value:g}"


@dataclass(frozen=True, slots=True)
class Level:
    """Entered where any of `enter` holds; left, one step down, where all of `leave` hold and `dwell_us` is
    over."""

    name: str
    enter: tuple[Condition, ...]
    leave: tuple[Condition, ...]
    dwell_us: int
    effects: Degradation = field(default_factory=Degradation)

    def __post_init__(self) -> None:
        if not self.enter or not self.leave:
            raise ValueError(f"level '{self.name}' needs at least one condition to enter and one to leave")
        if self.name == FULL:
            raise ValueError(f"'{FULL}' is the name of full service")


@dataclass(frozen=True, slots=True)
class Cause:
    """A condition that held, with the value read."""

    condition: Condition
    value: float

    def __str__(self) -> str:
        return (
            f"{self.condition.signal} {self.value:.3g} {'>' if self.condition.above else '<'} "
            f"{self.condition.value:g}"
        )


@dataclass(frozen=True, slots=True)
class Change:
    """The level went from one to another at `at_us`, for these causes, or by an operator's word."""

    at_us: int
    before: str
    after: str
    causes: tuple[Cause, ...]
    by: str  # "readings", "pin", "unpin", "forbid", "reload"

    def why(self) -> str:
        return "; ".join(str(cause) for cause in self.causes) or self.by


@dataclass(slots=True)
class Word:
    """An operator's pin or ban of a level, until a time (us) or for good (0)."""

    level: str
    until_us: int
    who: str = ""


class Ladder:
    """The level in force, judged anew at each `step`. Bounded state: a few figures a level."""

    def __init__(self, levels: tuple[Level, ...], calm_us: int = 120_000_000) -> None:
        names = [level.name for level in levels]
        if len(set(names)) != len(names):
            raise ValueError("two levels of one name")
        self.levels, self.calm_us = levels, calm_us
        self.state, self.rank, self.since, self.easing_since = State.STEADY, 0, 0, 0
        self.held: dict[Condition, int] = {}  # since when each condition has been met without a break
        self.penalty, self.penalty_at, self.suppressed = 0.0, 0, False
        self.pin: Word | None = None
        self.bans: dict[str, Word] = {}
        self.causes: tuple[Cause, ...] = ()
        self.changes = 0

    @property
    def name(self) -> str:
        return self.levels[self.rank - 1].name if self.rank else FULL

    def effects(self, base: Degradation) -> Degradation:
        """Of the level in force and all below it, over `base` (what holds at full service)."""
        found = base
        for level in self.levels[: self.rank]:
            found = found.joined(level.effects)
        return Degradation(
            self.name,
            found.reject,
            found.every_part,
            found.stale_first,
            found.fill_share,
            found.max_attempts,
            found.retry_share,
        )

    def dwell_us(self, now: int, rank: int) -> int:
        """How long the level in force is kept from its entry at least: its dwell, or while the ladder is
        damped the time until its penalty falls below REUSE."""
        if rank == 0:
            return 0
        dwell = self.levels[rank - 1].dwell_us
        points = self._penalty(now)
        if not self.suppressed or points < REUSE:
            return dwell
        return max(dwell, now - self.since + int(self.calm_us * log2(points / REUSE)) + 1)

    def _penalty(self, now: int) -> float:
        return self.penalty * float(0.5 ** ((now - self.penalty_at) / self.calm_us))

    # An operator's word.

    def pin_to(self, now: int, name: str, until_us: int, who: str = "") -> Change | None:
        """Holds `name` (or "full") until `until_us`, 0 for good; raises KeyError for an unknown level."""
        self._rank_of(name)
        if self._banned(now, name):
            raise ValueError(f"level '{name}' is forbidden")
        self.pin = Word(name, until_us, who)
        self.state = State.PINNED
        return self._go(now, self._rank_of(name), (), "pin")

    def unpin(self, now: int) -> None:
        self.pin = None
        if self.state is State.PINNED:
            self.state = State.STEADY

    def forbid(self, now: int, name: str, until_us: int, who: str = "") -> Change | None:
        """`name` is not entered until `until_us`, 0 for good; one in force is left at once."""
        rank = self._rank_of(name)
        if rank == 0:
            raise ValueError(f"'{FULL}' can't be forbidden")
        self.bans[name] = Word(name, until_us, who)
        if self.pin is not None and self.pin.level == name:
            self.unpin(now)
        if self.rank == rank:
            return self._go(now, self._allowed_below(now, rank), (), "forbid")
        return None

    def allow(self, name: str) -> None:
        self.bans.pop(name, None)

    def _rank_of(self, name: str) -> int:
        if name == FULL:
            return 0
        for rank, level in enumerate(self.levels, 1):
            if level.name == name:
                return rank
        raise KeyError(name)

    def _name(self, rank: int) -> str:
        return self.levels[rank - 1].name if rank else FULL

    def _allowed_below(self, now: int, rank: int) -> int:
        return next(r for r in range(rank - 1, -1, -1) if not r or not self._banned(now, self._name(r)))

    def _banned(self, now: int, name: str) -> bool:
        word = self.bans.get(name)
        if word is not None and word.until_us and now >= word.until_us:
            del self.bans[name]
            return False
        return word is not None

    # The readings.

    def step(self, now: int, readings: dict[str, Reading]) -> Change | None:
        """Judges the readings of `now`; returns the change of level, if there is one."""
        unknown = Reading(None, -1, 0.0)
        met: dict[Condition, float] = {}
        for level in self.levels:
            for condition in (*level.enter, *level.leave):
                reading = readings.get(condition.signal, unknown)
                if condition.met(reading):
                    self.held.setdefault(condition, now)
                    if now - self.held[condition] >= condition.hold_us:
                        assert reading.value is not None
                        met[condition] = reading.value
                else:
                    self.held.pop(condition, None)
        if self.pin is not None:
            if not self.pin.until_us or now < self.pin.until_us:
                return None
            self.unpin(now)
        target, causes = 0, tuple[Cause, ...]()
        for rank, level in enumerate(self.levels, 1):
            found = tuple(Cause(c, met[c]) for c in level.enter if c in met)
            if found and not self._banned(now, level.name):
                target, causes = rank, found
        if target > self.rank:
            return self._go(now, target, causes, "readings")
        if self.rank and self._banned(now, self.name):
            return self._go(now, self._allowed_below(now, self.rank), (), "forbid")
        if self.rank == 0:
            return None
        leave = self.levels[self.rank - 1].leave
        if not all(c in met for c in leave):
            self.state = State.STEADY
            return None
        if self.state is State.STEADY:
            self.state, self.easing_since = State.EASING, now
        if now - self.since < self.dwell_us(now, self.rank):
            return None
        lower = self._allowed_below(now, self.rank)
        return self._go(now, lower, tuple(Cause(c, met[c]) for c in leave), "readings")

    def _go(self, now: int, rank: int, causes: tuple[Cause, ...], by: str) -> Change | None:
        if rank == self.rank:
            return None
        before, self.rank, self.since, self.causes = self.name, rank, now, causes
        if self.state is not State.PINNED:
            self.state = State.STEADY
        if by == "readings":
            self.penalty, self.penalty_at = self._penalty(now) + 1.0, now
            self.suppressed = self.suppressed and self.penalty >= REUSE or self.penalty >= SUPPRESS
        self.changes += 1
        return Change(now, before, self.name, causes, by)

    def taken_over(self, now: int, old: Ladder) -> Change | None:
        """At a reload: what the old ladder held, where a level of that name stands here too."""
        self.pin, self.bans = old.pin, dict(old.bans)
        if self.pin is not None:
            try:
                self._rank_of(self.pin.level)
                self.state = State.PINNED
            except KeyError:
                self.pin = None
        try:
            rank = self._rank_of(old.name)
        except KeyError:
            return Change(now, old.name, self.name, (), "reload") if old.rank else None
        self.rank, self.since, self.causes = rank, old.since, old.causes
        self.penalty, self.penalty_at, self.suppressed = old.penalty, old.penalty_at, old.suppressed
        return None
