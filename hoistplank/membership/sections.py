"""The section `(membership …)` of the operator's file: starting without discovery."""

from __future__ import annotations

from hoistplank.operator_configuration.faults import Fault
from hoistplank.operator_configuration.schema import (
    ADDRESS,
    TEXT,
    Field,
    Section,
    Shape,
    matching,
    number,
    span,
    whole,
)

IDENTIFIER = matching(r"[A-Za-z0-9_.:-]{1,60}", "a name of letters, digits and '_.:-'")

SEED = Shape(
    (
        Field("endpoint", ADDRESS, needed=True, doc="where it listens"),
        Field("zone", IDENTIFIER, needed=True, doc="its location, as the settings name it"),
        Field("kind", IDENTIFIER, needed=True, doc="its kind, as the settings name it"),
        Field(
            "units",
            number(0, 1_000_000),
            1.0,
            doc="its link's capacity, as the change log gives it",
        ),
        Field("cell", whole(0, 1_000_000), 0, doc="its cell"),
    ),
    title=IDENTIFIER,
)

MEMBERSHIP = Shape(
    (
        Field("state", TEXT, doc="the folder in which the list is persisted; absent: only seeds are there"),
        Field(
            "patience",
            span("0ms", "30s"),
            100_000,
            doc="how long the change log is waited for before persisted hosts or seeds are used",
        ),
        Field("probe-time", span("20ms", "5s"), 400_000, doc="timeout of a health check"),
        Field("seed", SEED, many=True, doc="a host to begin with where no list is persisted"),
    )
)


def checked(section: Section, faults: list[Fault]) -> None:
    """Checks what one field's kind can't: names of seeds occur once, and there is something to start from."""
    names: set[str] = set()
    for seed in section["seed"]:
        if seed.title in names:
            faults.append(Fault(seed.places[""], f"the seed '{seed.title}' a second time", "it once"))
        names.add(seed.title)
    if section["state"] is None and not section["seed"]:
        faults.append(Fault(section.place, "neither 'state' nor a 'seed'", "a folder, seeds, or both"))
