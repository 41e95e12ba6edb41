"""Reads a scene's file, and reports everything that is wrong with it, each with its place."""

from __future__ import annotations

import msgspec

from hoistplank.lab.fleet.scene import MEASURES, Bound, Scene
from hoistplank.lab.fleet.scene_checks import unsupported_bounds, unsupported_faults
from hoistplank.lab.fleet.scene_faults import KINDS, OF_PROCESSES
from hoistplank.lab.model.faults import (
    SPAN,
    ScheduledFault,
    read_faults,
)
from hoistplank.lab.model.world_settings import SECOND_US
from hoistplank.operator_configuration import schema
from hoistplank.operator_configuration.errors import ConfigurationError, Diagnostic, SourceLocation
from hoistplank.operator_configuration.parser import parse
from hoistplank.operator_configuration.schema import Field, suggest_name
from hoistplank.operator_configuration.syntax import Atom, Form
from hoistplank.operator_configuration.values import (
    NAME,
    TEXT,
    ValueType,
    duration,
    integer,
    number,
    one_of,
)

ATOM = ValueType("a measure, a place, above or below, a value, as 'earned z1 above 0.8'", lambda atom: atom)


SCENE = schema.FormSchema(
    (
        Field("doc", TEXT, "", doc="what it shows"),
        Field("locations", integer(1, 30), 3),
        Field("dispatchers", integer(1, 40), 3, doc="of each location"),
        Field("caches", integer(1, 200), 4, doc="of each location"),
        Field("parents", integer(1, 60), 4, doc="in all; the first half is hub h0, the rest h1"),
        Field("rate", number(1, 2_000), 30.0, doc="first parts a second of each location"),
        Field("load", number(0.05, 5), 0.4, doc="of what links can carry"),
        Field("seconds", duration("1s", "600s"), 8 * SECOND_US),
        Field("warm", duration("0ms", "600s"), 3 * SECOND_US, doc="before the first second; not counted"),
        Field("drives", one_of("processes", "virtual"), ["processes", "virtual"], repeated=True),
        Field("operator", TEXT, None, doc="the dispatchers' operator's file, beside the scene"),
        Field(
            "expect",
            ATOM,
            repeated=True,
            list_per_form=True,
            doc="MEASURE [PLACE] above|below VALUE [from T to T]",
        ),
    ),
    title=NAME,
)


def _seconds(atom: Atom) -> int:
    return 0 if atom.text == "0s" else int(SPAN.parse(atom))


def _bound(atoms: list[Atom], place: SourceLocation, faults: list[Diagnostic]) -> Bound | None:
    words = [atom.text for atom in atoms]
    wants = "MEASURE [PLACE] above|below VALUE [from T to T]"
    if not words or words[0] not in MEASURES:
        found = f"the unknown measure '{words[0][:40]}'" if words else "nothing"
        faults.append(
            Diagnostic(
                atoms[0].location if atoms else place,
                found,
                suggest_name(words[0] if words else "", sorted(MEASURES)),
            )
        )
        return None
    at = next((n for n, word in enumerate(words) if word in ("above", "below")), 0)
    rest = words[at + 2 :]
    if at not in (1, 2) or len(words) < at + 2 or len(rest) not in (0, 4):
        faults.append(Diagnostic(atoms[0].location, " ".join(words)[:80], wants))
        return None
    low = high = 0
    try:
        value = float(words[at + 1])
        if rest:
            if (rest[0], rest[2]) != ("from", "to"):
                raise ValueError
            low, high = _seconds(atoms[at + 3]), _seconds(atoms[at + 5])
            if high <= low:
                raise ValueError
    except ValueError:
        faults.append(
            Diagnostic(atoms[at].location, " ".join(words[at:])[:80], "above|below VALUE [from T to T]")
        )
        return None
    return Bound(words[0], words[1] if at == 2 else "", words[at] == "above", value, low, high)


def read_scene(data: bytes, file: str) -> Scene:
    """The scene of a file.

    Raises `ConfigurationError` with all that is wrong, each with its place: also with what the scene asks for
    and its own fleet can't have.
    """
    form = _scene_form(data, file)
    diagnostics: list[Diagnostic] = []
    scripts = tuple(item for item in form.items if isinstance(item, Form) and item.name == "at")
    rest = tuple(item for item in form.items[1:] if item not in scripts)
    section = schema.read_form(SCENE, rest, form.location, diagnostics)
    faults = read_faults(scripts, diagnostics, KINDS)
    bounds = [_bound(atoms, section.location_of("expect"), diagnostics) for atoms in section["expect"]]
    if diagnostics:
        raise ConfigurationError(sorted(diagnostics, key=lambda diagnostic: diagnostic.location))
    scene = _scene(section, faults, [bound for bound in bounds if bound is not None])
    unsupported = [
        Diagnostic(_place(scripts, index, form.location), found, expected)
        for index, found, expected in unsupported_faults(scene, faults)
    ]
    unsupported += _faults_without_virtual_time(scene, faults, section)
    unsupported += unsupported_bounds(scene, section)
    if unsupported:
        raise ConfigurationError(unsupported)
    if any(fault.kind in OF_PROCESSES for fault in faults):
        scene = msgspec.structs.replace(scene, drives=("processes",))
    return scene


def _scene_form(data: bytes, file: str) -> Form:
    forms = parse(data, file).forms
    if len(forms) != 1 or forms[0].name != "scene":
        place = forms[0].location if forms else SourceLocation(file, 1, 1)
        found = str(forms[0]) if len(forms) == 1 else f"{len(forms)} forms"
        raise ConfigurationError([Diagnostic(place, found, "one '(scene NAME …)'")])
    return forms[0]


def _scene(section: schema.Section, faults: list[ScheduledFault], bounds: list[Bound]) -> Scene:
    return Scene(
        section.title,
        section["doc"],
        section["locations"],
        section["dispatchers"],
        section["caches"],
        section["parents"],
        section["rate"],
        section["load"],
        section["seconds"] / SECOND_US,
        section["warm"] / SECOND_US,
        tuple(section["drives"]),
        section["operator"],
        "\n".join(fault.written() for fault in faults),
        tuple(bounds),
    )


def _faults_without_virtual_time(
    scene: Scene, faults: list[ScheduledFault], section: schema.Section
) -> list[Diagnostic]:
    """Faults that only processes have, in a scene that asks for virtual time by name."""
    if "virtual" not in scene.drives or "drives" not in section.locations:
        return []
    return [
        Diagnostic(
            section.location_of("drives"),
            f"'virtual' beside '({fault.text})'",
            "processes: only they have it",
        )
        for fault in faults
        if fault.kind in OF_PROCESSES
    ]


def _place(scripts: tuple[Form, ...], n: int, other: SourceLocation) -> SourceLocation:
    """Of the nth fault in the order of their times, as near as the forms tell it."""
    inner = [(_when(form), item) for form in scripts for item in form.items[2:]]
    found = [(when, item.location) for when, item in inner if isinstance(item, Form)]
    ordered = [place for _, place in sorted(found, key=lambda pair: pair[0])]
    return ordered[n] if n < len(ordered) else other


def _when(form: Form) -> int:
    head = form.items[1]
    return _seconds(head) if isinstance(head, Atom) else 0
