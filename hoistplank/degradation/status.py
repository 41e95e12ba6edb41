"""The report on degradation for operators, `GET /v1/levels`. Field names are those of the JSON."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from hoistplank.decision.settings import Degradation
from hoistplank.degradation.admission import AdmissionController
from hoistplank.degradation.levels import FULL, LevelChange, ManualOverride
from hoistplank.degradation.readings import Reading
from hoistplank.degradation.state_machine import LevelStateMachine

VALUE_DIGITS, PRESSURE_DIGITS = 4, 3


class EffectsStatus(msgspec.Struct, frozen=True):
    """The effects in force: names of traffic classes, shares, attempts per request (0: as configured)."""

    reject: tuple[str, ...]
    every_part: tuple[str, ...]
    old_first: tuple[str, ...]
    fill_share: float = msgspec.field(name="fills")
    max_attempts: int = msgspec.field(name="attempts")
    retry_share: float = msgspec.field(name="retries")


class OverrideStatus(msgspec.Struct, frozen=True):
    """A pin or ban of a level; with an `until_us` of 0, until it is withdrawn."""

    level: str
    until_us: int


class AdmissionStatus(msgspec.Struct, frozen=True):
    """The admission controller: its limit on open requests, the pressure and the number of cuts."""

    limit: int = msgspec.field(name="open_most")
    is_binding: bool = msgspec.field(name="binding")
    pressure: float
    cuts: int


class ChangeStatus(msgspec.Struct, frozen=True):
    """One change of level, with its trigger and reason."""

    at_us: int
    before: str
    after: str
    trigger: str = msgspec.field(name="by")
    reason: str = msgspec.field(name="why")


class DegradationStatus(msgspec.Struct, frozen=True):
    """The level in force with its start and reason, the overrides, readings and latest changes."""

    level: str
    state: str
    since_us: int
    reason: str = msgspec.field(name="why")
    dwell_s: float
    levels: list[str]
    effects: EffectsStatus
    pinned: OverrideStatus | None
    forbidden: list[OverrideStatus]
    admission: AdmissionStatus | None
    readings: dict[str, float]
    changes: list[ChangeStatus]


def degradation_status(
    now: int,
    machine: LevelStateMachine,
    effects: Degradation,
    readings: dict[str, Reading],
    admission: AdmissionController | None,
    changes: Iterable[LevelChange],
) -> DegradationStatus:
    """Builds the report at `now`; `changes` are the latest ones, oldest first."""
    known = {name: reading.value for name, reading in readings.items() if reading.value is not None}
    return DegradationStatus(
        level=machine.level_name,
        state=machine.state.value,
        since_us=machine.since_us,
        reason="; ".join(str(reason) for reason in machine.reasons),
        dwell_s=machine.dwell_us(now) / 1e6,
        levels=[FULL, *(level.name for level in machine.levels)],
        effects=_effects_status(effects),
        pinned=_override_status(machine.pinned) if machine.pinned is not None else None,
        forbidden=[_override_status(ban) for ban in machine.forbidden.values()],
        admission=_admission_status(admission) if admission is not None else None,
        readings={name: round(value, VALUE_DIGITS) for name, value in known.items()},
        changes=[_change_status(change) for change in changes],
    )


def _effects_status(effects: Degradation) -> EffectsStatus:
    return EffectsStatus(
        reject=effects.reject,
        every_part=effects.every_part,
        old_first=effects.stale_first,
        fill_share=effects.fill_share,
        max_attempts=effects.max_attempts,
        retry_share=effects.retry_share,
    )


def _override_status(override: ManualOverride) -> OverrideStatus:
    return OverrideStatus(override.level, override.until_us)


def _admission_status(admission: AdmissionController) -> AdmissionStatus:
    return AdmissionStatus(
        limit=round(admission.limit),
        is_binding=admission.is_binding(),
        pressure=round(admission.pressure, PRESSURE_DIGITS),
        cuts=admission.cuts,
    )


def _change_status(change: LevelChange) -> ChangeStatus:
    return ChangeStatus(change.at_us, change.before, change.after, change.trigger.value, change.describe())
