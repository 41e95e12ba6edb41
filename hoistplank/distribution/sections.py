"""The `(distribution …)` section of the operator's file: following control replicas, not the change log."""

from __future__ import annotations

from hoistplank.distribution.messages import NAME_PATTERN
from hoistplank.distribution.silence import SILENCE_US
from hoistplank.operator_configuration.errors import Diagnostic
from hoistplank.operator_configuration.schema import Field, FormSchema, Section
from hoistplank.operator_configuration.values import ADDRESS, duration, matching

MAX_REPLICAS = 5

NAME = matching(NAME_PATTERN, "a name of letters, digits and '._:/-', at most 120")
REGION = matching(r"[A-Za-z0-9._:/-]{1,120}", "a region's name of letters, digits and '._:/-'")

REPLICA = FormSchema(
    (
        Field("endpoint", ADDRESS, required=True, doc="where it listens"),
        Field("region", REGION, "", doc="the region that it stands in"),
    ),
    title=NAME,
)

DISTRIBUTION = FormSchema(
    (
        Field("name", NAME, doc="this dispatcher, in the fleet; absent: the configuration's name"),
        Field("region", REGION, "", doc="this dispatcher's region: replicas of it are followed first"),
        Field(
            "silence",
            duration("3s", "7s"),
            SILENCE_US,
            doc="after how long without a word from any replica the list counts as stale",
        ),
        Field("replica", REPLICA, repeated=True, doc="a control replica, up to 5 of them"),
    )
)


def checked(section: Section, faults: list[Diagnostic]) -> None:
    """Adds the faults that the shapes alone do not find: names given twice, too few or too many replicas."""
    names: set[str] = set()
    for replica in section["replica"]:
        if replica.title in names:
            faults.append(
                Diagnostic(replica.locations[""], f"the replica '{replica.title}' a second time", "it once")
            )
        names.add(replica.title)
    if not names:
        faults.append(Diagnostic(section.location, "no 'replica'", f"from 1 to {MAX_REPLICAS} of them"))
    elif len(section["replica"]) > MAX_REPLICAS:
        place = section["replica"][MAX_REPLICAS].location
        faults.append(Diagnostic(place, f"{len(section['replica'])} replicas", f"{MAX_REPLICAS} at most"))
