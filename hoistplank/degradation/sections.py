"""The section `(levels …)` of the operator file: its schema, its checks, and the settings built from it.

The form names belong to the file format and are not to be changed; the records that are built from them in
`settings`, `levels` and `admission` use the names of the code.
"""

from __future__ import annotations

from hoistplank.decision.settings import IDEMPOTENT, Degradation
from hoistplank.degradation.admission import AdmissionSettings
from hoistplank.degradation.condition_parser import parse_condition, parse_half_life
from hoistplank.degradation.conditions import Condition
from hoistplank.degradation.levels import FULL, Level
from hoistplank.degradation.settings import DegradationSettings
from hoistplank.operator_configuration.errors import ConfigurationError, Diagnostic
from hoistplank.operator_configuration.schema import TITLE, Field, FormSchema, Section
from hoistplank.operator_configuration.values import NAME, ValueType, duration, integer, matching, number

CLASS_NAME = matching(r"[A-Za-z0-9_.-]{1,40}", "the name of a traffic class in the settings")
ATOM = ValueType("a word, a number or a time", lambda atom: atom)

LEVEL = FormSchema(
    (
        Field(
            "enter",
            ATOM,
            required=True,
            repeated=True,
            list_per_form=True,
            doc="SIGNAL above|below VALUE, optionally with 'for' and a hold TIME; any one condition enters",
        ),
        Field(
            "leave",
            ATOM,
            required=True,
            repeated=True,
            list_per_form=True,
            doc="the same syntax; all conditions, once the dwell is over, lead one level down",
        ),
        Field("dwell", duration("0ms", "1h"), 30_000_000, doc="the minimum time in the level"),
        Field("turn-back", CLASS_NAME, repeated=True, doc="traffic classes whose new requests are rejected"),
        Field(
            "every-part",
            CLASS_NAME,
            repeated=True,
            doc="of those, the classes whose later parts are rejected too",
        ),
        Field(
            "old-first",
            CLASS_NAME,
            repeated=True,
            doc="traffic classes that are served from a stale copy within its window before a fill",
        ),
        Field("fills", number(0.05, 1), 1.0, doc="remaining share of the concurrency limit for fills"),
        Field("shots", integer(1, 16), 0, doc="the maximum number of attempts of a request"),
        Field("retries", number(0, 16), None, doc="retries per first attempt in this level"),
    ),
    title=NAME,
    doc="a level of reduced service; the levels are ordered from the least reduced to the most",
)

ADMISSION = FormSchema(
    (
        Field(
            "target-lag",
            duration("1ms", "1s"),
            25_000,
            doc="loop lag above which fewer requests are admitted",
        ),
        Field("least", integer(1, 100_000), 8, doc="open requests that are always allowed"),
        Field("period", duration("10ms", "5s"), 100_000, doc="how often the limit is adjusted"),
        Field(
            "waiting",
            integer(1, 1_000_000),
            2_000,
            doc="events waiting for a turn at which the core counts as full",
        ),
        Field(
            "least-share",
            number(0.05, 1),
            0.6,
            doc="share of the limit for the traffic class of the lowest utility",
        ),
    )
)

LEVELS = FormSchema(
    (
        Field(
            "admission",
            ADMISSION,
            default=True,
            doc="the limit on open requests, adjusted to the load of the core",
        ),
        Field("retries", number(0, 16), 1.0, doc="retries per first attempt over 10 s; 0: no limit"),
        Field("every", duration("10ms", "5s"), 100_000, doc="how often the readings are evaluated"),
        Field("calm", duration("1s", "1h"), 120_000_000, doc="half-life of the penalty for changes of level"),
        Field(
            "age",
            ATOM,
            repeated=True,
            list_per_form=True,
            doc="SIGNAL TIME: a half-life that replaces the default",
        ),
        Field("level", LEVEL, repeated=True, doc="the levels, least reduced first"),
    ),
    doc="levels of reduced service, admission control by the load of the core, and retry budgets",
)


def build_settings(section: Section, semantics: dict[str, str]) -> DegradationSettings:
    """Builds the settings of a section; `semantics` are those of the known traffic classes, by name. Raises
    ConfigurationError."""
    diagnostics: list[Diagnostic] = []
    _check_traffic_classes(section, semantics, diagnostics)
    settings = DegradationSettings(
        _build_levels(section, diagnostics),
        section["calm"],
        _build_half_lives(section, diagnostics),
        section["every"],
        Degradation(retry_share=section["retries"]),
    )
    if diagnostics:
        raise ConfigurationError(diagnostics)
    return settings


def build_admission_settings(section: Section, max_open: int) -> AdmissionSettings:
    """Builds the settings of admission control; `max_open` is the dispatcher's limit on open requests."""
    admission = section["admission"]
    return AdmissionSettings(
        target_lag_us=admission["target-lag"],
        min_open=min(admission["least"], max_open),
        max_open=max_open,
        period_us=admission["period"],
        max_waiting=admission["waiting"],
        min_share=admission["least-share"],
    )


def check_section(section: Section, diagnostics: list[Diagnostic]) -> None:
    """Checks level names, conditions and half-lives, which the types of single fields can't check."""
    names = set[str]()
    for level in section["level"]:
        if level.title in names or level.title == FULL:
            is_repeated = level.title in names
            found = f"the level '{level.title}' a second time" if is_repeated else f"the name '{FULL}'"
            location = level.locations.get(TITLE, level.location)
            diagnostics.append(Diagnostic(location, found, "a name of its own"))
        names.add(level.title)
    _build_levels(section, diagnostics)
    _build_half_lives(section, diagnostics)


def _build_levels(section: Section, diagnostics: list[Diagnostic]) -> tuple[Level, ...]:
    """Builds the levels; adds a diagnostic for each level that is invalid, and leaves it out."""
    levels = (_build_level(level, section["retries"], diagnostics) for level in section["level"])
    return tuple(level for level in levels if level is not None)


def _build_level(level: Section, retry_share: float, diagnostics: list[Diagnostic]) -> Level | None:
    """Builds one level; `retry_share` is the section's, for a level without its own."""
    enter = _build_conditions(level, "enter", diagnostics)
    leave = _build_conditions(level, "leave", diagnostics)
    _check_hysteresis(level, enter, leave, diagnostics)
    not_rejected = set(level["every-part"]) - set(level["turn-back"])
    if not_rejected:
        found = f"'{min(not_rejected)}'"
        location = level.location_of("every-part")
        diagnostics.append(Diagnostic(location, found, "a traffic class that 'turn-back' names"))
        return None
    if not enter or not leave or level.title == FULL:
        return None
    effects = Degradation(
        level=level.title,
        reject=tuple(sorted(level["turn-back"])),
        every_part=tuple(sorted(level["every-part"])),
        stale_first=tuple(sorted(level["old-first"])),
        fill_share=level["fills"],
        max_attempts=level["shots"],
        retry_share=level["retries"] if level["retries"] is not None else retry_share,
    )
    return Level(level.title, enter, leave, level["dwell"], effects)


def _build_conditions(level: Section, name: str, diagnostics: list[Diagnostic]) -> tuple[Condition, ...]:
    found = list[Condition]()
    for atoms in level[name]:
        location = atoms[0].location if atoms else level.location_of(name)
        condition = parse_condition(atoms, location, diagnostics)
        if condition is not None:
            found.append(condition)
    return tuple(found)


def _check_hysteresis(
    level: Section,
    enter: tuple[Condition, ...],
    leave: tuple[Condition, ...],
    diagnostics: list[Diagnostic],
) -> None:
    """Checks for a gap between conditions to enter and to leave: without one, the level would flap."""
    for leaving in leave:
        for entering in enter:
            if entering.signal != leaving.signal or entering.above == leaving.above:
                continue
            if entering.above:
                side, has_gap = "below", leaving.value < entering.value
            else:
                side, has_gap = "above", leaving.value > entering.value
            if not has_gap:
                found = f"'{leaving}' beside '{entering}'"
                expected = f"a value to leave {side} {entering.value:g}, else it flaps"
                diagnostics.append(Diagnostic(level.location_of("leave"), found, expected))


def _build_half_lives(section: Section, diagnostics: list[Diagnostic]) -> dict[str, int]:
    found: dict[str, int] = {}
    for atoms in section["age"]:
        location = atoms[0].location if atoms else section.location_of("age")
        override = parse_half_life(atoms, location, diagnostics)
        if override is not None:
            found[override.signal] = override.half_life_us
    return found


def _check_traffic_classes(
    section: Section, semantics: dict[str, str], diagnostics: list[Diagnostic]
) -> None:
    """Checks that every traffic class is known, and that only idempotent classes are rejected: a class whose
    requests can't always be sent again is served at every level (and the router doesn't limit its attempts
    further)."""
    known_classes = "one of the settings': " + ", ".join(sorted(semantics))
    for level in section["level"]:
        for field in ("turn-back", "old-first"):
            for class_name in level[field]:
                location = level.location_of(field)
                if class_name not in semantics:
                    diagnostics.append(
                        Diagnostic(location, f"the traffic class '{class_name}'", known_classes)
                    )
                elif field == "turn-back" and semantics[class_name] != IDEMPOTENT:
                    found = f"the {semantics[class_name]} traffic class '{class_name}'"
                    expected = "an idempotent traffic class, as only those may be rejected"
                    diagnostics.append(Diagnostic(location, found, expected))
