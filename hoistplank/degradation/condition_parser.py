"""Parses the conditions and half-lives of the section `(levels …)` from their atoms."""

from __future__ import annotations

from typing import NamedTuple

from hoistplank.degradation.conditions import Condition
from hoistplank.degradation.signals import FAMILY_SEPARATOR, SIGNALS, default_half_life_us
from hoistplank.operator_configuration.errors import Diagnostic, SourceLocation
from hoistplank.operator_configuration.schema import suggest_name
from hoistplank.operator_configuration.syntax import Atom
from hoistplank.operator_configuration.values import duration

CONDITION_SYNTAX = "SIGNAL above|below VALUE [for TIME]"
CONDITION_ATOMS, HELD_CONDITION_ATOMS = 3, 5  # number of atoms without and with a hold time
HALF_LIFE_SYNTAX = "SIGNAL TIME"
HALF_LIFE_ATOMS = 2
MAX_QUOTED_FORM, MAX_QUOTED_ATOM = 80, 40  # characters of the file repeated in a message

HOLD_TIME = duration("0ms", "1h")
HALF_LIFE = duration("10ms", "1h")


class HalfLifeOverride(NamedTuple):
    """A half-life that replaces the default of a signal or family."""

    signal: str
    half_life_us: int


class _AtomError(Exception):
    """An invalid atom, with the diagnostic for it."""

    def __init__(self, atom: Atom, found: str, expected: str) -> None:
        super().__init__(found)
        self.diagnostic = Diagnostic(atom.location, found, expected)


def _quoted(atom: Atom) -> str:
    return f"'{atom.text[:MAX_QUOTED_ATOM]}'"


def parse_condition(
    atoms: list[Atom], location: SourceLocation, diagnostics: list[Diagnostic]
) -> Condition | None:
    """Parses `SIGNAL above|below VALUE [for TIME]`; returns None and adds a diagnostic if the atoms are not a
    condition. `location` is that of the form, for a wrong number of atoms."""
    has_hold_time = len(atoms) == HELD_CONDITION_ATOMS and atoms[3].text == "for"
    if not has_hold_time and len(atoms) != CONDITION_ATOMS:
        found = " ".join(atom.text for atom in atoms)[:MAX_QUOTED_FORM] or "nothing"
        diagnostics.append(Diagnostic(location, found, CONDITION_SYNTAX))
        return None
    try:
        return Condition(
            _parse_signal(atoms[0]),
            _parse_side(atoms[1]),
            _parse_value(atoms[2]),
            _parse_hold(atoms[4]) if has_hold_time else 0,
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
        expected = suggest_name(atom.text, known)
        raise _AtomError(atom, f"the signal {_quoted(atom)}", expected) from error
    return atom.text


def _parse_side(atom: Atom) -> bool:
    """Returns True for 'above' and False for 'below'."""
    if atom.text not in ("above", "below"):
        raise _AtomError(atom, _quoted(atom), "'above' or 'below'")
    return atom.text == "above"


def _parse_value(atom: Atom) -> float:
    try:
        return float(atom.text)
    except ValueError as error:
        raise _AtomError(atom, _quoted(atom), "a number, as 0.9 or 50") from error


def _parse_hold(atom: Atom) -> int:
    try:
        hold_us: int = HOLD_TIME.parse(atom)
    except ValueError as error:
        raise _AtomError(atom, _quoted(atom), "a time with its unit, as 2s") from error
    return hold_us


def parse_half_life(
    atoms: list[Atom], location: SourceLocation, diagnostics: list[Diagnostic]
) -> HalfLifeOverride | None:
    """Parses `SIGNAL TIME`; returns None and adds a diagnostic if the atoms are not a half-life."""
    if len(atoms) != HALF_LIFE_ATOMS:
        diagnostics.append(Diagnostic(location, "an invalid 'age' form", HALF_LIFE_SYNTAX))
        return None
    signal, half_life = atoms
    try:
        default_half_life_us(signal.text)
        return HalfLifeOverride(signal.text, HALF_LIFE.parse(half_life))
    except KeyError:
        expected = suggest_name(signal.text, list(SIGNALS))
        diagnostics.append(Diagnostic(signal.location, f"the signal {_quoted(signal)}", expected))
    except ValueError:
        expected = "a time from 10ms to 1h, as 5s"
        diagnostics.append(Diagnostic(half_life.location, _quoted(half_life), expected))
    return None
