"""Schemas of the operator's file: which fields a form may have, with their types and defaults.

A `FormSchema` is declared once beside the subsystem that reads it and registered in
`hoistplank.program.sections`. `read_form` checks forms against a schema and collects every problem, so that
one look shows all that is to be mended.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from difflib import get_close_matches
from typing import Any

from hoistplank.operator_configuration.errors import Diagnostic, SourceLocation
from hoistplank.operator_configuration.syntax import MAX_SHOWN_NAME, Atom, Form
from hoistplank.operator_configuration.values import ValueType

TITLE = ""  # the key under which a section's locations hold its title's
SIMILARITY_CUTOFF = 0.5  # of difflib: below it a known name is no suggestion for an unknown one


@dataclass(frozen=True, slots=True)
class Field:
    """One named value of a form: `(name VALUE)`, or `(name VALUE …)` where `repeated`; a schema in place of
    a type for a form inside the form.

    `default` None and `required` False: it may be absent. `repeated` with a schema: the form may stand
    several times. `list_per_form` with a type: the form may stand several times, and each gives its list of
    values.
    """

    name: str
    type: ValueType | FormSchema
    default: Any = None
    required: bool = False
    repeated: bool = False
    doc: str = ""
    list_per_form: bool = False

    @property
    def may_repeat(self) -> bool:
        """Whether the form may stand several times."""
        return self.list_per_form or (self.repeated and isinstance(self.type, FormSchema))


@dataclass(frozen=True, slots=True)
class FormSchema:
    """A form: an optional title behind its name, then its fields in any order."""

    fields: tuple[Field, ...]
    title: ValueType | None = None
    doc: str = ""


@dataclass(slots=True)
class Section:
    """A form that was read: values by field, and the location of each for later diagnostics."""

    location: SourceLocation
    title: Any = None
    values: dict[str, Any] = field(default_factory=dict)
    locations: dict[str, SourceLocation] = field(default_factory=dict)

    def __getitem__(self, name: str) -> Any:
        return self.values[name]

    def location_of(self, name: str) -> SourceLocation:
        """Where a field stands, or the whole form where the field is absent."""
        return self.locations.get(name, self.location)


def suggestion(name: str, known: list[str]) -> str:
    """The known name that a wrong one may stand for, else all of them."""
    close = get_close_matches(name, known, 1, SIMILARITY_CUTOFF)
    if close:
        return f"'{close[0]}'"
    return "one of " + ", ".join(f"'{word}'" for word in sorted(known)) if known else "nothing"


def read_form(
    schema: FormSchema,
    items: tuple[Atom | Form, ...],
    location: SourceLocation,
    diagnostics: list[Diagnostic],
) -> Section:
    """The items of a form behind its name, checked against its schema; diagnostics are added to the list."""
    return _FormReader(schema, location, diagnostics).read(items)


class _FormReader:
    """Reads one form into one section."""

    def __init__(self, schema: FormSchema, location: SourceLocation, diagnostics: list[Diagnostic]) -> None:
        self.schema, self.diagnostics = schema, diagnostics
        self.section = Section(location)
        self.fields = {field.name: field for field in schema.fields}

    def read(self, items: tuple[Atom | Form, ...]) -> Section:
        rest = items if self.schema.title is None else self._read_title(self.schema.title, items)
        for item in rest:
            self._read_item(item)
        for absent in self.schema.fields:
            if absent.name not in self.section.values:
                self._set_default(absent)
        return self.section

    def _report(self, location: SourceLocation, found: str, expected: str) -> None:
        self.diagnostics.append(Diagnostic(location, found, expected))

    def _read_title(self, title: ValueType, items: tuple[Atom | Form, ...]) -> tuple[Atom | Form, ...]:
        head = items[0] if items else None
        if not isinstance(head, Atom):
            self._report(self.section.location, "no name behind the form's own", title.expected)
            return items
        self.section.title = self._value(title, head)
        self.section.locations[TITLE] = head.location
        return items[1:]

    def _read_item(self, item: Atom | Form) -> None:
        if isinstance(item, Atom):
            self._report(item.location, str(item), "a form '(name …)'")
            return
        known = self.fields.get(item.name)
        if known is None:
            found = f"the unknown form '{item.name[:MAX_SHOWN_NAME]}'"
            self._report(item.location, found, suggestion(item.name, list(self.fields)))
            return
        if item.name in self.section.locations and not known.may_repeat:
            self._report(item.location, f"'{item.name}' a second time", "it once")
            return
        self.section.locations.setdefault(item.name, item.location)
        value = self._field_value(known, item)
        if known.may_repeat:
            self.section.values.setdefault(item.name, []).append(value)
        else:
            self.section.values[item.name] = value

    def _field_value(self, known: Field, form: Form) -> Any:
        if isinstance(known.type, FormSchema):
            return read_form(known.type, form.items[1:], form.location, self.diagnostics)
        return self._typed_values(known, known.type, form)

    def _typed_values(self, known: Field, value_type: ValueType, form: Form) -> Any:
        items = form.items[1:]
        atoms = [item for item in items if isinstance(item, Atom)]
        for item in items:
            if not isinstance(item, Atom):
                self._report(item.location, str(item), value_type.expected)
        if known.repeated:
            if not atoms:
                self._report(form.location, f"'{known.name}' with no value", value_type.expected)
            return [self._value(value_type, atom) for atom in atoms]
        if len(atoms) != len(items):
            return known.default
        if len(atoms) != 1:
            location = atoms[1].location if len(atoms) > 1 else form.location
            found = f"{len(atoms)} values for '{known.name}'"
            self._report(location, found, f"one: {value_type.expected}")
            return known.default
        return self._value(value_type, atoms[0])

    def _value(self, value_type: ValueType, atom: Atom) -> Any:
        try:
            return value_type.parse(atom)
        except ValueError:
            self._report(atom.location, str(atom), value_type.expected)
            return None

    def _set_default(self, absent: Field) -> None:
        location, values = self.section.location, self.section.values
        if absent.required:
            found = f"no '{absent.name}' in this form"
            self._report(location, found, f"'({absent.name} …)': {absent.doc or 'a value'}")
        if isinstance(absent.type, FormSchema) and not absent.repeated and absent.default is not None:
            # A form whose fields all have defaults is there even where it is not written.
            values[absent.name] = read_form(absent.type, (), location, self.diagnostics)
        elif absent.default is None and (absent.repeated or absent.list_per_form):
            values[absent.name] = []
        else:
            values[absent.name] = absent.default
