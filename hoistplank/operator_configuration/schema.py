"""Schemas of the operator file: the fields that a form may have, with their types and defaults.

A `FormSchema` is declared in the subsystem that reads it and registered in `hoistplank.program.sections`.
`read_form` checks a form against a schema and collects all faults, so that an operator sees them at once.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from difflib import get_close_matches
from typing import Any

from hoistplank.operator_configuration.errors import Diagnostic, SourceLocation
from hoistplank.operator_configuration.syntax import MAX_SHOWN_NAME, Atom, Form
from hoistplank.operator_configuration.values import ValueType

TITLE = ""  # key of the title's location in `Section.locations`
SIMILARITY_CUTOFF = 0.5  # difflib ratio below which a known name is not suggested for an unknown one


@dataclass(frozen=True, slots=True)
class Field:
    """A named value of a form: `(name VALUE)`, or `(name VALUE …)` if `repeated`. The type is a schema for a
    form inside the form.

    The field is optional if `default` is None and `required` is False. With `repeated` and a schema, the form
    may occur several times. With `list_per_form` and a value type, the form may occur several times, and each
    occurrence has its own list of values.
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
        """True if the form may occur several times."""
        return self.list_per_form or (self.repeated and isinstance(self.type, FormSchema))


@dataclass(frozen=True, slots=True)
class FormSchema:
    """The schema of a form: an optional title after its name, then its fields in any order."""

    fields: tuple[Field, ...]
    title: ValueType | None = None
    doc: str = ""


@dataclass(slots=True)
class Section:
    """A form that was read: its values by field name, and their locations for later diagnostics."""

    location: SourceLocation
    title: Any = None
    values: dict[str, Any] = field(default_factory=dict)
    locations: dict[str, SourceLocation] = field(default_factory=dict)

    def __getitem__(self, name: str) -> Any:
        return self.values[name]

    def location_of(self, name: str) -> SourceLocation:
        """Returns the location of a field, or of the whole form if the field is absent."""
        return self.locations.get(name, self.location)


def suggest_name(name: str, known: list[str]) -> str:
    """Returns the known name that is most similar to an unknown one, or else all known names."""
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
    """Checks the items after a form's name against its schema; appends faults to `diagnostics`."""
    return _FormReader(schema, location, diagnostics).read(items)


class _FormReader:
    """Reads a form into a section."""

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
        schema_field = self.fields.get(item.name)
        if schema_field is None:
            found = f"the unknown form '{item.name[:MAX_SHOWN_NAME]}'"
            self._report(item.location, found, suggest_name(item.name, list(self.fields)))
            return
        if item.name in self.section.locations and not schema_field.may_repeat:
            self._report(item.location, f"'{item.name}' a second time", "it once")
            return
        self.section.locations.setdefault(item.name, item.location)
        value = self._field_value(schema_field, item)
        if schema_field.may_repeat:
            self.section.values.setdefault(item.name, []).append(value)
        else:
            self.section.values[item.name] = value

    def _field_value(self, schema_field: Field, form: Form) -> Any:
        if isinstance(schema_field.type, FormSchema):
            return read_form(schema_field.type, form.items[1:], form.location, self.diagnostics)
        return self._typed_values(schema_field, schema_field.type, form)

    def _typed_values(self, schema_field: Field, value_type: ValueType, form: Form) -> Any:
        items = form.items[1:]
        atoms = [item for item in items if isinstance(item, Atom)]
        for item in items:
            if not isinstance(item, Atom):
                self._report(item.location, str(item), value_type.expected)
        if schema_field.repeated:
            if not atoms:
                self._report(form.location, f"'{schema_field.name}' with no value", value_type.expected)
            return [self._value(value_type, atom) for atom in atoms]
        if len(atoms) != len(items):
            return schema_field.default
        if len(atoms) != 1:
            location = atoms[1].location if len(atoms) > 1 else form.location
            found = f"{len(atoms)} values for '{schema_field.name}'"
            self._report(location, found, f"one: {value_type.expected}")
            return schema_field.default
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
            # A form whose fields all have defaults gets a section even if the file does not contain it.
            values[absent.name] = read_form(absent.type, (), location, self.diagnostics)
        elif absent.default is None and (absent.repeated or absent.list_per_form):
            values[absent.name] = []
        else:
            values[absent.name] = absent.default
