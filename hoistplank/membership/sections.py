"""The section `(membership …)` of the operator file: starting without discovery."""

from __future__ import annotations

from hoistplank.operator_configuration.errors import Diagnostic
from hoistplank.operator_configuration.schema import TITLE, Field, FormSchema, Section
from hoistplank.operator_configuration.values import ADDRESS, TEXT, duration, integer, matching, number

IDENTIFIER = matching(r"[A-Za-z0-9_.:-]{1,60}", "a name of letters, digits and '_.:-'")

SEED = FormSchema(
    (
        Field("endpoint", ADDRESS, required=True, doc="where it listens"),
        Field("zone", IDENTIFIER, required=True, doc="its location, as the settings name it"),
        Field("kind", IDENTIFIER, required=True, doc="its kind, as the settings name it"),
        Field("units", number(0, 1_000_000), 1.0, doc="its link's capacity, as the change log gives it"),
        Field("cell", integer(0, 1_000_000), 0, doc="its cell"),
    ),
    title=IDENTIFIER,
)

MEMBERSHIP = FormSchema(
    (
        Field("state", TEXT, doc="the folder in which the list is persisted; absent: only seeds are there"),
        Field(
            "patience",
            duration("0ms", "30s"),
            100_000,
            doc="how long the change log is waited for before persisted hosts or seeds are used",
        ),
        Field("probe-time", duration("20ms", "5s"), 400_000, doc="timeout of a health check"),
        Field("seed", SEED, repeated=True, doc="a host to begin with where no list is persisted"),
    )
)


def check_section(section: Section, diagnostics: list[Diagnostic]) -> None:
    """Checks across fields: seed names are unique, and there is a state folder or a seed to start from."""
    names = set[str]()
    for seed in section["seed"]:
        if seed.title in names:
            found = f"the seed '{seed.title}' a second time"
            diagnostics.append(Diagnostic(seed.locations[TITLE], found, "it once"))
        names.add(seed.title)
    if section["state"] is None and not section["seed"]:
        found = "neither 'state' nor a 'seed'"
        diagnostics.append(Diagnostic(section.location, found, "a folder, seeds, or both"))
