"""What a form may hold: kinds of values with their units, fields with defaults, forms inside forms.

A `Shape` is declared once beside the subsystem that reads it and registered in `hoistplank.program.sections`.
`read` checks forms against a shape and collects every fault, so that one look shows all that is to be mended.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field
from difflib import get_close_matches
from typing import Any

from hoistplank.operator_configuration.faults import Fault, Place
from hoistplank.operator_configuration.text import Atom, Form

NUMBER = re.compile(r"(\d{1,12}(?:\.\d{1,6})?)([A-Za-z/]*)").fullmatch
SPANS = {"us": 1, "ms": 1_000, "s": 1_000_000, "min": 60_000_000, "h": 3_600_000_000, "d": 86_400_000_000}
SIZES = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20}


@dataclass(frozen=True, slots=True)
class Kind:
    """How an atom becomes a value: `make` raises ValueError where it can't; `wants` says what would do."""

    wants: str
    make: Callable[[Atom], Any]


def _measure(atom: Atom, units: dict[str, int]) -> int:
    found = None if atom.quoted else NUMBER(atom.text)
    if found is None or found[2] not in units:
        raise ValueError
    value = float(found[1]) * units[found[2]]
    if value != int(value):
        raise ValueError
    return int(value)


def span(least: str = "1ms", most: str = "30d") -> Kind:
    """A time with its unit, as whole microseconds."""

    def limit(text: str) -> int:
        return _measure(Atom(text, False, Place("", 0, 0)), SPANS)

    def make(atom: Atom) -> int:
        value = _measure(atom, SPANS)
        if not limit(least) <= value <= limit(most):
            raise ValueError
        return value

    return Kind(f"a time from {least} to {most} with its unit (us, ms, s, min, h, d), as 250ms", make)


def size(least: int, most: int) -> Kind:
    """A size with its unit, in bytes."""

    def make(atom: Atom) -> int:
        value = _measure(atom, SIZES)
        if not least <= value <= most:
            raise ValueError
        return value

    return Kind(f"a size from {least} to {most} bytes with its unit (B, KiB, MiB), as 64KiB", make)


def rate(most: float = 1e6) -> Kind:
    """So many a second, as a float above 0."""

    def make(atom: Atom) -> float:
        found = None if atom.quoted else NUMBER(atom.text)
        if found is None or found[2] != "/s" or not 0 < float(found[1]) <= most:
            raise ValueError
        return float(found[1])

    return Kind(f"a rate above 0 and up to {most:g}/s, as 50/s", make)


def whole(least: int, most: int) -> Kind:
    def make(atom: Atom) -> int:
        if atom.quoted or not (atom.text.isascii() and atom.text.isdecimal() and len(atom.text) <= 15):
            raise ValueError
        if not least <= int(atom.text) <= most:
            raise ValueError
        return int(atom.text)

    return Kind(f"a whole number from {least} to {most}", make)


def number(least: float, most: float) -> Kind:
    def make(atom: Atom) -> float:
        found = None if atom.quoted else NUMBER(atom.text)
        if found is None or found[2] or not least <= float(found[1]) <= most:
            raise ValueError
        return float(found[1])

    return Kind(f"a number from {least:g} to {most:g}", make)


def one_of(*words: str) -> Kind:
    def make(atom: Atom) -> str:
        if atom.quoted or atom.text not in words:
            raise ValueError
        return atom.text

    return Kind("one of " + ", ".join(f"'{word}'" for word in words), make)


def matching(pattern: str, wants: str) -> Kind:
    fits = re.compile(pattern).fullmatch

    def make(atom: Atom) -> str:
        if not fits(atom.text):
            raise ValueError
        return atom.text

    return Kind(wants, make)


def _text(atom: Atom) -> str:
    if not atom.quoted or not atom.text or len(atom.text) > 1_000:
        raise ValueError
    return atom.text


def _address(atom: Atom) -> tuple[str, int]:
    host, colon, port = atom.text.rpartition(":")
    if not colon or not host or not (port.isascii() and port.isdecimal()) or int(port[:9]) > 65_535:
        raise ValueError
    return host, int(port)


TEXT = Kind("a text in double quotes", _text)
NAME = matching(r"[a-z][a-z0-9-]{0,39}", "a name of small letters, digits and '-', at most 40")
ADDRESS = Kind("an address with a port, as 127.0.0.1:7443", _address)


@dataclass(frozen=True, slots=True)
class Field:
    """One named value of a form: `(name VALUE)`, or `(name VALUE …)` where `many`; a `shape` in place of a
    kind.

    `default` None and `needed` False: it may be absent. `many` with a shape: the form may stand several
    times. `each` with a kind: the form may stand several times, and each gives its list of values.
    """

    name: str
    kind: Kind | Shape
    default: Any = None
    needed: bool = False
    many: bool = False
    doc: str = ""
    each: bool = False


@dataclass(frozen=True, slots=True)
class Shape:
    """A form: an optional title behind its name, then its fields in any order."""

    fields: tuple[Field, ...]
    title: Kind | None = None
    doc: str = ""


@dataclass(slots=True)
class Section:
    """A form that was read: values by field, and the place of each for what is found out later."""

    place: Place
    title: Any = None
    values: dict[str, Any] = field(default_factory=dict)
    places: dict[str, Place] = field(default_factory=dict)

    def __getitem__(self, name: str) -> Any:
        return self.values[name]

    def at(self, name: str) -> Place:
        return self.places.get(name, self.place)


def nearest(name: str, known: list[str]) -> str:
    """The known name that a wrong one may stand for, else all of them."""
    close = get_close_matches(name, known, 1, 0.5)
    if close:
        return f"'{close[0]}'"
    return "one of " + ", ".join(f"'{word}'" for word in sorted(known)) if known else "nothing"


def read(shape: Shape, items: tuple[Atom | Form, ...], place: Place, faults: list[Fault]) -> Section:
    """The items of a form behind its name, against its shape; what is wrong is added to `faults`."""
    section = Section(place)
    rest = list(items)
    if shape.title is not None:
        head = rest.pop(0) if rest and isinstance(rest[0], Atom) else None
        if not isinstance(head, Atom):
            faults.append(Fault(place, "no name behind the form's own", shape.title.wants))
        else:
            section.title = _value(shape.title, head, faults)
            section.places[""] = head.place
    known = {row.name: row for row in shape.fields}
    for item in rest:
        if isinstance(item, Atom):
            faults.append(Fault(item.place, str(item), "a form '(name …)'"))
            continue
        row = known.get(item.name)
        if row is None:
            faults.append(
                Fault(item.place, f"the unknown form '{item.name[:40]}'", nearest(item.name, list(known)))
            )
            continue
        if item.name in section.places and not (row.many and isinstance(row.kind, Shape) or row.each):
            faults.append(Fault(item.place, f"'{item.name}' a second time", "it once"))
            continue
        section.places.setdefault(item.name, item.place)
        if isinstance(row.kind, Shape):
            inner = read(row.kind, item.items[1:], item.place, faults)
            if row.many:
                section.values.setdefault(item.name, []).append(inner)
            else:
                section.values[item.name] = inner
        elif row.each:
            section.values.setdefault(item.name, []).append(_values(row, row.kind, item, faults))
        else:
            section.values[item.name] = _values(row, row.kind, item, faults)
    for row in shape.fields:
        if row.name in section.values:
            continue
        if row.needed:
            faults.append(
                Fault(place, f"no '{row.name}' in this form", f"'({row.name} …)': {row.doc or 'a value'}")
            )
        if isinstance(row.kind, Shape) and not row.many and row.default is not None:
            # A form whose fields all have defaults is there even where it is not written.
            section.values[row.name] = read(row.kind, (), place, faults)
        else:
            section.values[row.name] = [] if (row.many or row.each) and row.default is None else row.default
    return section


def _values(row: Field, kind: Kind, form: Form, faults: list[Fault]) -> Any:
    items = form.items[1:]
    atoms = [item for item in items if isinstance(item, Atom)]
    for item in items:
        if not isinstance(item, Atom):
            faults.append(Fault(item.place, str(item), kind.wants))
    if row.many:
        if not atoms:
            faults.append(Fault(form.place, f"'{row.name}' with no value", kind.wants))
        return [_value(kind, atom, faults) for atom in atoms]
    if len(atoms) != len(items):
        return row.default
    if len(atoms) != 1:
        place = atoms[1].place if len(atoms) > 1 else form.place
        faults.append(Fault(place, f"{len(atoms)} values for '{row.name}'", f"one: {kind.wants}"))
        return row.default
    return _value(kind, atoms[0], faults)


def _value(kind: Kind, atom: Atom, faults: list[Fault]) -> Any:
    try:
        return kind.make(atom)
    except ValueError:
        faults.append(Fault(atom.place, str(atom), kind.wants))
        return None
