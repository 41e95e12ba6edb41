"""What a scene asks for that its fleet does not have: parties, paths, and bounds without a meaning."""

from __future__ import annotations

from typing import NamedTuple

from hoistplank.lab.fleet.scene import CAUSES, LOCAL, Scene
from hoistplank.lab.fleet.scene_faults import DATAGRAMS, KINDS, PARTY, PLACE, WHO
from hoistplank.lab.model.faults import (
    TARGET,
    ScheduledFault,
    unsupported,
)
from hoistplank.lab.model.world_settings import SECOND_US
from hoistplank.operator_configuration.errors import Diagnostic
from hoistplank.operator_configuration.schema import Section

PATH_FAULTS = DATAGRAMS | {"hush", "delay", "pace", "break", "halfway"}


class UnsupportedFault(NamedTuple):
    """A fault by its position in the script, what was found there, and what was expected."""

    position: int
    found: str
    expected: str


def unsupported_bounds(scene: Scene, section: Section) -> list[Diagnostic]:
    """Bounds that this fleet can't be held to."""
    places, faults = [f"z{n}" for n in range(scene.locations)], list[Diagnostic]()
    for bound in scene.bounds:
        wants = ""
        if bound.high > scene.seconds * SECOND_US:
            wants = f"a window within the {scene.seconds:g} s of the scene"
        elif bound.high and bound.measure not in ("earned", "fair-places"):
            wants = "no window: this measure is of the whole scene"
        elif bound.measure == "lost" and bound.place.replace("-", " ") not in CAUSES:
            wants = "a cause: " + ", ".join(cause.replace(" ", "-") for cause in CAUSES)
        elif bound.measure != "lost" and bound.place not in (places if bound.measure in LOCAL else ()):
            wants = f"a location of {', '.join(places)}" if bound.measure in LOCAL else "no place"
            wants = "" if not bound.place else wants
        if wants:
            faults.append(Diagnostic(section.location_of("expect"), f"'{bound}'", wants))
    return faults


def _known_parties(scene: Scene) -> set[str]:
    """All names that a fault of this scene may use for hosts, dispatchers and locations."""
    dispatchers = scene.locations * scene.dispatchers
    names = {f"c{zone}-{n}" for zone in range(scene.locations) for n in range(scene.caches)}
    names |= {f"z{n}" for n in range(scene.locations)} | {f"dz{n}" for n in range(scene.locations)}
    names |= {f"d{n}" for n in range(dispatchers)} | {f"p{n}" for n in range(scene.parents)}
    return names | {"clients", "log", "origin", "hub", "dispatchers", "caches", "parents"}


def unsupported_faults(scene: Scene, faults: list[ScheduledFault]) -> list[UnsupportedFault]:
    """The faults of a script that this fleet can't play."""
    known, settings = _known_parties(scene), scene.world_settings()
    found: list[UnsupportedFault] = []
    for position, fault in enumerate(faults):
        problems = [
            *_time_problems(scene, fault),
            *_party_problems(scene, fault, known),
            *_path_problems(fault),
        ]
        problems += [(problem, "what this fleet has") for problem in unsupported([fault], settings)]
        found += [UnsupportedFault(position, *problem) for problem in problems]
    return found


Problem = tuple[str, str]  # what was found, and what was expected


def _time_problems(scene: Scene, fault: ScheduledFault) -> list[Problem]:
    if fault.at < scene.seconds * SECOND_US:
        return []
    return [(f"'({fault.text})' at {fault.at / SECOND_US:g}s", f"a time within the {scene.seconds:g} s")]


def _party_problems(scene: Scene, fault: ScheduledFault, known: set[str]) -> list[Problem]:
    sizes = (
        f"{scene.locations} times {scene.caches} caches, {scene.locations * scene.dispatchers} dispatchers, "
        f"{scene.parents} parents"
    )
    problems = []
    kinds = [word for word in KINDS[fault.kind] if not isinstance(word, str)]
    for kind, value in zip(kinds, fault.values, strict=True):
        name = str(value).partition(":")[0]
        if kind in (WHO, PARTY, PLACE, TARGET) and name not in known and not name.startswith("cell-"):
            problems.append((f"'{name}' in '({fault.text})'", f"a party of this fleet: {sizes}"))
    return problems


def _path_problems(fault: ScheduledFault) -> list[Problem]:
    problems = []
    if fault.kind in PATH_FAULTS and not _has_path(fault):
        expected = "clients, log, dispatchers, caches or the hub, one end a dispatcher"
        problems.append((f"no path '{fault.values[0]}' to '{fault.values[1]}'", expected))
    if fault.kind == "halfway" and {"log", "clients"} & {*map(str, fault.values)}:
        # When the log counts as lost, or whether a client's request was accepted, nobody could say.
        problems.append((f"'({fault.text})'", "a path between a dispatcher and hosts"))
    if fault.kind == "move" and fault.values[0] == fault.values[1]:
        problems.append((f"'({fault.text})'", "two different locations"))
    return problems


def _has_path(fault: ScheduledFault) -> bool:
    """Whether there is a path between the two parties of a fault: one end is a dispatcher's."""
    one, other = str(fault.values[0]), str(fault.values[1])
    ours = [word.startswith("d") for word in (one, other)]
    if fault.kind in DATAGRAMS:
        return all(ours)
    return any(ours) and one != other
