"""Reads the conditions and half-lives of the section `(levels …)`, atom by atom."""

from __future__ import annotations

from typing import NamedTuple

from hoistplank.degradation.conditions import Condition
from hoistplank.degradation.signals import FAMILY_SEPARATOR, SIGNALS, default_half_life_us
from hoistplank.operator_configuration.errors import Diagnostic, SourceLocation
from hoistplank.operator_configuration.schema import suggestion
from hoistplank.operator_configuration.syntax import Atom
from hoistplank.operator_configuration.values import duration

CONDITION_SYNTAX = "SIGNAL above|below VALUE [for TIME]"
CONDITION_ATOMS, HELD_CONDITION_ATOMS = 3, 5  # without and with a hold time
HALF_LIFE_SYNTAX = "SIGNAL TIME"
HALF_LIFE_ATOMS = 2
MAX_SHOWN_FORM, MAX_SHOWN_ATOM = 80, 40  # characters in a message

HOLD_TIME = duration("0ms", "1h")
HALF_LIFE = duration("10ms", "1h")


class HalfLifeOverride(NamedTuple):
    """A half-life other than a signal's or family's usual one."""

    signal: str
    half_life_us: int


class _AtomError(Exception):
    """An atom that can't be used."""

    def __init__(self, atom: Atom, found: str, expected: str) -> None:
        super().__init__(found)
        self.diagnostic = Diagnostic(atom.location, found, expected)


def _shown(atom: Atom) -> str:
    return f"'{atom.text[:MAX_SHOWN_ATOM]}'"


def parse_condition(
    atoms: list[Atom], location: SourceLocation, diagnostics: list[Diagnostic]
) -> Condition | None:
    """`SIGNAL above|below VALUE [for TIME]`; None with a diagnostic where it is not that. `location`: of the
    form, for atoms that are too few or too many."""
    is_held = len(atoms) == HELD_CONDITION_ATOMS and atoms[3].text == "for"
    if not is_held and len(atoms) != CONDITION_ATOMS:
        found = " ".join(atom.text for atom in atoms)[:MAX_SHOWN_FORM] or "nothing"
        diagnostics.append(Diagnostic(location, found, CONDITION_SYNTAX))
        return None
    try:
        return Condition(
            _parse_signal(atoms[0]),
            _parse_side(atoms[1]),
            _parse_value(atoms[2]),
            _parse_hold(atoms[4]) if is_held else 0,
        )
    except _AtomError as error:
        diagnostics.append(error.diagnostic)
        return None


def _parse_signal(atom: Atom) -> str:
    try:
        default_half_life_us(atom.text)
    except KeyError as error:
        families = [name for name in SIGNALS if name.endswith(FAMILY_SEPARATOR)]
        known = [name for name in SIGNALS if name not in families] + [f"{name}NAME" for name in families]
        expected = suggestion(atom.text, known)
        raise _AtomError(atom, f"the signal {_shown(atom)}", expected) from error
    return atom.text


def _parse_side(atom: Atom) -> bool:
    """Whether it is above."""
    if atom.text not in ("above", "below"):
        raise _AtomError(atom, _shown(atom), "'above' or 'below'")
    return atom.text == "above"


def _parse_value(atom: Atom) -> float:
    try:
        return float(atom.text)
    except ValueError as error:
        raise _AtomError(atom, _shown(atom), "a number, as 0.9 or 50") from error


def _parse_hold(atom: Atom) -> int:
    try:
        hold_us: int = HOLD_TIME.parse(atom)
    except ValueError as error:
        raise _AtomError(atom, _shown(atom), "a time with its unit, as 2s") from error
    return hold_us


def parse_half_life(
    atoms: list[Atom], location: SourceLocation, diagnostics: list[Diagnostic]
) -> HalfLifeOverride | None:
    """`SIGNAL TIME`; None with a diagnostic where it is not that."""
    if len(atoms) != HALF_LIFE_ATOMS:
        diagnostics.append(Diagnostic(location, "the age", HALF_LIFE_SYNTAX))
        return None
    signal, half_life = atoms
    try:
        default_half_life_us(signal.text)
        return HalfLifeOverride(signal.text, HALF_LIFE.parse(half_life))
    except KeyError:
        expected = suggestion(signal.text, list(SIGNALS))
        diagnostics.append(Diagnostic(signal.location, f"the signal {_shown(signal)}", expected))
    except ValueError:
        expected = "a time from 10ms to 1h, as 5s"
        diagnostics.append(Diagnostic(half_life.location, _shown(half_life), expected))
    return None
