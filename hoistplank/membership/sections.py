"""The forms of the operator's file for starting without discovery."""

from __future__ import annotations

from hoistplank.operator_configuration.errors import Diagnostic
from hoistplank.operator_configuration.schema import Field, FormSchema, Section
from hoistplank.operator_configuration.values import ADDRESS, TEXT, duration, integer, matching, number

WORD = matching(r"[A-Za-z0-9_.:-]{1,60}", "a name of letters, digits and '_.:-'")

SEED = FormSchema(
    (
        Field("endpoint", ADDRESS, required=True, doc="where it listens"),
        Field("zone", WORD, required=True, doc="its location, as the settings name it"),
        Field("kind", WORD, required=True, doc="its kind, as the settings name it"),
        Field("units", number(0, 1_000_000), 1.0, doc="its link, as the change log would tell it"),
        Field("cell", integer(0, 1_000_000), 0, doc="its cell"),
    ),
    title=WORD,
)

MEMBERSHIP = FormSchema(
    (
        Field("state", TEXT, doc="the folder in which the list is kept; absent: only seeds are there"),
        Field(
            "patience",
            duration("0ms", "30s"),
            100_000,
            doc="how long the change log is waited for before own hosts count",
        ),
        Field(
            "probe-time", duration("20ms", "5s"), 400_000, doc="how long a host may take to answer a probe"
        ),
        Field("seed", SEED, repeated=True, doc="a host to begin with where nothing was kept"),
    )
)


def checked(section: Section, faults: list[Diagnostic]) -> None:
    names: set[str] = set()
    for seed in section["seed"]:
        if seed.title in names:
            faults.append(Diagnostic(seed.locations[""], f"the seed '{seed.title}' a second time", "it once"))
        names.add(seed.title)
    if section["state"] is None and not section["seed"]:
        faults.append(
            Diagnostic(section.location, "neither 'state' nor a 'seed'", "a folder, seeds, or both")
        )
