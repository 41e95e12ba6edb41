"""A scale run as a form of the operator's grammar: fleet, pace of events, faults, budgets. No I/O."""

from __future__ import annotations

import msgspec

from hoistplank.lab.model.faults import COUNT, SHARE, SPAN, TIMES, FaultWords, ScheduledFault, read_faults
from hoistplank.lab.scale.fleet import Fleet
from hoistplank.operator_configuration import schema
from hoistplank.operator_configuration.errors import ConfigurationError, Diagnostic, SourceLocation
from hoistplank.operator_configuration.parser import parse
from hoistplank.operator_configuration.schema import Field
from hoistplank.operator_configuration.syntax import Form
from hoistplank.operator_configuration.values import (
    NAME,
    TEXT,
    duration,
    integer,
    matching,
    number,
    rate,
    size,
)

S = 1_000_000
LEAST_SLACK_US = 2 * S  # a scene goes on for so long after its last fault has ended
ZONE = matching(r"z\d{1,3}", "a zone, as z0")

KINDS: FaultWords = {
    "changes": (COUNT, "within", SPAN),  # configuration changes beside those of the steady pace
    "machines": (COUNT, "for", SPAN),  # so many dispatchers are gone, and come back with nothing
    "rack": (SHARE, "for", SPAN),  # a share of all dispatchers at once, as `machines`
    "zone": (ZONE, "for", SPAN),  # nothing comes through between its sites and the source
    "apart": (COUNT, "for", SPAN, "pace", TIMES),  # so many regions, while events come at this pace
    "restart": ("within", SPAN),  # every dispatcher once, each at its own moment
    "renew-log": (),  # the source begins anew and counts from 1
    "replica": ("for", SPAN),  # one control replica is killed and started again; without replicas, nothing
    "stall": ("for", SPAN),  # one dispatcher stands still and reads nothing
}

SCENE = schema.FormSchema(
    (
        Field("doc", TEXT, "", doc="what it shows"),
        Field("dispatchers", integer(2, 2_000), required=True, doc="in all"),
        Field("sites", integer(1, 200), 1, doc="dispatchers are dealt to them in turn"),
        Field("zones", integer(1, 100), 1, doc="sites are dealt to them in turn"),
        Field("regions", integer(1, 50), 1, doc="zones are dealt to them in turn"),
        Field("hosts", integer(1, 2_000), 180, doc="cache hosts"),
        Field("processes", integer(1, 16), 4, doc="that the hollow dispatchers share"),
        Field("seconds", duration("1s", "1h"), 60 * S),
        Field("warm", duration("100ms", "60s"), 3 * S, doc="before the first event"),
        Field("purges", rate(1_000), 3.9, doc="a second"),
        Field("objects", integer(1, 10_000_000), 1_000_000, doc="from which purges draw"),
        Field("zipf", number(1.01, 5), 1.2, doc="exponent of the popularity of what is purged"),
        Field("change-every", duration("100ms", "1h"), 60 * S, doc="one configuration change"),
        Field("host-restarts", number(0, 100_000), 130.0, doc="a day"),
        Field("host-pace", number(0.01, 10_000), 100.0, doc="at so many times the day's pace"),
        Field("lifetime", duration("1s", "30d"), 300 * S, doc="of a copy: how long a purge is kept in mind"),
        Field("purge-within", duration("1ms", "1h"), 7 * S, doc="budget: to the last reachable dispatcher"),
        Field("change-within", duration("1ms", "1h"), 15 * S, doc="budget: to the last reachable dispatcher"),
        Field("return-within", duration("1ms", "1h"), 15 * S, doc="budget: until one that is back has all"),
        Field("core", number(0.0001, 1), 0.016, doc="budget: of a core, for control at a dispatcher"),
        Field("memory", size(1_024, 1 << 40), 32 << 20, doc="budget: for control at a dispatcher"),
        Field("bytes", integer(1, 1_000_000_000), 19_000, doc="budget: a second, control at a dispatcher"),
    ),
    title=NAME,
)


class Budgets(msgspec.Struct, frozen=True):
    """What control may take: times in us, processor time as a share of a core, bytes."""

    purge_us: int
    change_us: int
    return_us: int
    core: float
    memory: int
    bytes_s: int


class Scene(msgspec.Struct, frozen=True):
    """One scale run, ready to be played. Times in us; `faults` in the order of their times."""

    name: str
    doc: str
    fleet: Fleet
    processes: int
    length_us: int
    warm_us: int
    purges_s: float
    objects: int
    zipf: float
    change_every_us: int
    host_restarts_s: float
    lifetime_us: int
    budgets: Budgets
    faults: tuple[ScheduledFault, ...] = ()

    def steady_us(self) -> int:
        """Until the first fault."""
        return min((fault.at for fault in self.faults), default=self.length_us)


def read(data: bytes, file: str) -> Scene:
    """The scene of a file. Raises `ConfigurationError` with all that is wrong, each with its place."""
    forms = parse(data, file).forms
    if len(forms) != 1 or forms[0].name != "scale":
        place = forms[0].location if forms else SourceLocation(file, 1, 1)
        found = str(forms[0]) if len(forms) == 1 else f"{len(forms)} forms"
        raise ConfigurationError([Diagnostic(place, found, "one '(scale NAME …)'")])
    form, faults = forms[0], list[Diagnostic]()
    scripts = tuple(item for item in form.items if isinstance(item, Form) and item.name == "at")
    rest = tuple(item for item in form.items[1:] if item not in scripts)
    section = schema.read_form(SCENE, rest, form.location, faults)
    rows = read_faults(scripts, faults, KINDS)
    if faults:
        raise ConfigurationError(sorted(faults, key=lambda fault: fault.location))
    scene = _scene(section, rows)
    unmet = [Diagnostic(_place(scripts, n, form.location), found, wants) for n, found, wants in _unmet(scene)]
    unmet += _sizes(scene, section)
    if unmet:
        raise ConfigurationError(sorted(unmet, key=lambda fault: fault.location))
    return scene


def _scene(section: schema.Section, rows: list[ScheduledFault]) -> Scene:
    fleet = Fleet(*(section[name] for name in ("dispatchers", "sites", "zones", "regions", "hosts")))
    budgets = Budgets(
        section["purge-within"],
        section["change-within"],
        section["return-within"],
        section["core"],
        section["memory"],
        section["bytes"],
    )
    return Scene(
        name=section.title,
        doc=section["doc"],
        fleet=fleet,
        processes=section["processes"],
        length_us=section["seconds"],
        warm_us=section["warm"],
        purges_s=section["purges"],
        objects=section["objects"],
        zipf=section["zipf"],
        change_every_us=section["change-every"],
        host_restarts_s=section["host-restarts"] * section["host-pace"] / 86_400,
        lifetime_us=section["lifetime"],
        budgets=budgets,
        faults=tuple(rows),
    )


def lasts_us(fault: ScheduledFault) -> int:
    """How long a fault lasts by its own words; 0 of one that is over at once."""
    words = KINDS[fault.kind]
    spans = [word for word in words if not isinstance(word, str)]
    return int(fault.values[spans.index(SPAN)]) if SPAN in spans else 0


def _place(scripts: tuple[Form, ...], n: int, other: SourceLocation) -> SourceLocation:
    """Of the nth fault in the order of times; forms of one time keep their order."""
    inner = [(script.items[1], item) for script in scripts for item in script.items[2:]]
    timed = [(0 if str(head) == "'0s'" else SPAN.parse(head), item) for head, item in inner]  # type: ignore[arg-type]
    ordered = [item.location for _, item in sorted(timed, key=lambda pair: pair[0])]
    return ordered[n] if n < len(ordered) else other


def _unmet(scene: Scene) -> list[tuple[int, str, str]]:
    """Faults that this fleet can't have: which one, what was found, what would do."""
    found: list[tuple[int, str, str]] = []
    fleet, latest = scene.fleet, scene.length_us - LEAST_SLACK_US
    for n, fault in enumerate(scene.faults):
        told = f"'({fault.text})'"
        if fault.at + lasts_us(fault) > latest:
            found.append((n, f"{told} ends too late", f"an end {LEAST_SLACK_US // S} s before the scene's"))
        if fault.kind == "machines" and fault.values[0] >= fleet.dispatchers:
            found.append((n, told, f"fewer than the {fleet.dispatchers} dispatchers"))
        if fault.kind == "rack" and not 1 <= round(fault.values[0] * fleet.dispatchers) < fleet.dispatchers:
            found.append((n, told, "a share of one dispatcher at least, and not all"))
        if fault.kind == "zone" and int(fault.values[0][1:]) >= fleet.zones:
            found.append((n, told, f"a zone from z0 to z{fleet.zones - 1}"))
        if fault.kind == "apart" and not 1 <= fault.values[0] < fleet.regions:
            found.append((n, told, f"1 to {fleet.regions - 1} regions"))
    return found


def _sizes(scene: Scene, section: schema.Section) -> list[Diagnostic]:
    """Sizes that don't fit each other."""
    fleet, faults = scene.fleet, list[Diagnostic]()
    for name, many, of, most in (
        ("sites", fleet.sites, "dispatchers", fleet.dispatchers),
        ("zones", fleet.zones, "sites", fleet.sites),
        ("regions", fleet.regions, "zones", fleet.zones),
        ("processes", scene.processes, "dispatchers", fleet.dispatchers - 1),
    ):
        if many > most:
            faults.append(
                Diagnostic(section.location_of(name), f"{many} {name}", f"at most {most}, as many as {of}")
            )
    return faults
