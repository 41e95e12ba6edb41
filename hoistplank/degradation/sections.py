"""The form `(levels …)` of the operator's file: admission, retries, ages of signals and the levels."""

from __future__ import annotations

from typing import Any

from hoistplank.decision.settings import Degradation
from hoistplank.degradation.admission import Bounds
from hoistplank.degradation.signals import SIGNALS, half_life
from hoistplank.degradation.state_machine import FULL, Condition, Level
from hoistplank.operator_configuration.errors import Diagnostic
from hoistplank.operator_configuration.schema import Field, FormSchema, Section, suggestion
from hoistplank.operator_configuration.syntax import Atom
from hoistplank.operator_configuration.values import NAME, ValueType, duration, integer, matching, number

CLASS_NAME = matching(r"[A-Za-z0-9_.-]{1,40}", "a traffic class's name as the settings give it")
ATOM = ValueType("a word, a number or a time", lambda atom: atom)

LEVEL = FormSchema(
    (
        Field(
            "enter",
            ATOM,
            required=True,
            repeated=True,
            list_per_form=True,
            doc="SIGNAL above|below VALUE, then 'for' TIME where it is to hold so long; any one enters",
        ),
        Field(
            "leave",
            ATOM,
            required=True,
            repeated=True,
            list_per_form=True,
            doc="the same; all of them, and the dwell over, leave one level down",
        ),
        Field(
            "dwell", duration("0ms", "1h"), 30_000_000, doc="least time in the level, doubled by re-entries"
        ),
        Field(
            "turn-back",
            CLASS_NAME,
            repeated=True,
            doc="traffic classes whose new requests are rejected at once",
        ),
        Field(
            "every-part", CLASS_NAME, repeated=True, doc="of those, traffic classes whose later parts go too"
        ),
        Field(
            "old-first",
            CLASS_NAME,
            repeated=True,
            doc="traffic classes that take an old copy within its grace first",
        ),
        Field("fills", number(0.05, 1), 1.0, doc="share of the room for fills that is left"),
        Field("shots", integer(1, 16), 0, doc="attempts a request at most"),
        Field("retries", number(0, 16), None, doc="further attempts per first attempt, here"),
    ),
    title=NAME,
    doc="a level of reduced service; levels stand in the order in which they reduce more",
)

ADMISSION = FormSchema(
    (
        Field(
            "target-lag",
            duration("1ms", "1s"),
            25_000,
            doc="the loop's lag above which fewer requests come in",
        ),
        Field("least", integer(1, 100_000), 8, doc="requests that may always be open"),
        Field("period", duration("10ms", "5s"), 100_000, doc="how often the bound is judged"),
        Field("waiting", integer(1, 1_000_000), 2_000, doc="events waiting for a turn that count as full"),
        Field(
            "least-share", number(0.05, 1), 0.6, doc="of the bound, for the traffic class that earns least"
        ),
    )
)

LEVELS = FormSchema(
    (
        Field("admission", ADMISSION, default=True, doc="the bound on open requests that follows the core"),
        Field("retries", number(0, 16), 1.0, doc="further attempts per first attempt, 10 s; 0: no bound"),
        Field("every", duration("10ms", "5s"), 100_000, doc="how often the readings are judged"),
        Field("calm", duration("1s", "1h"), 120_000_000, doc="half-life of a level's penalty for each entry"),
        Field(
            "age",
            ATOM,
            repeated=True,
            list_per_form=True,
            doc="SIGNAL TIME: a half-life other than the usual one",
        ),
        Field("level", LEVEL, repeated=True, doc="the levels, least reduced first"),
    ),
    doc="levels of reduced service, the admission that follows the core, and retry budgets",
)


def _condition(atoms: list[Atom], place: Any, faults: list[Diagnostic]) -> Condition | None:
    """`SIGNAL above|below VALUE [for TIME]`, or None with a fault."""
    words = [atom.text for atom in atoms]
    if len(atoms) not in (3, 5) or (len(atoms) == 5 and words[3] != "for"):
        faults.append(
            Diagnostic(place, " ".join(words)[:80] or "nothing", "SIGNAL above|below VALUE [for TIME]")
        )
        return None
    signal, side, value = atoms[0], atoms[1], atoms[2]
    try:
        half_life(signal.text)
    except KeyError:
        known = [name for name in SIGNALS if not name.endswith(":")] + [
            f"{name}NAME" for name in SIGNALS if name.endswith(":")
        ]
        faults.append(
            Diagnostic(signal.location, f"the signal '{signal.text[:40]}'", suggestion(signal.text, known))
        )
        return None
    if side.text not in ("above", "below"):
        faults.append(Diagnostic(side.location, f"'{side.text[:40]}'", "'above' or 'below'"))
        return None
    try:
        figure = float(value.text)
    except ValueError:
        faults.append(Diagnostic(value.location, f"'{value.text[:40]}'", "a number, as 0.9 or 50"))
        return None
    hold = 0
    if len(atoms) == 5:
        try:
            hold = duration("0ms", "1h").parse(atoms[4])
        except ValueError:
            faults.append(
                Diagnostic(atoms[4].location, f"'{atoms[4].text[:40]}'", "a time with its unit, as 2s")
            )
            return None
    return Condition(signal.text, side.text == "above", figure, hold)


def conditions(section: Section, name: str, faults: list[Diagnostic]) -> tuple[Condition, ...]:
    found = [
        _condition(atoms, atoms[0].location if atoms else section.location_of(name), faults)
        for atoms in section[name]
    ]
    return tuple(condition for condition in found if condition is not None)


def _flaps(
    level: Section, enter: tuple[Condition, ...], leave: tuple[Condition, ...], faults: list[Diagnostic]
) -> None:
    """A level whose way out lies on the near side of its way in would be entered and left in turn."""
    for out in leave:
        for way in enter:
            if way.signal == out.signal and way.above != out.above:
                wrong = out.value >= way.value if way.above else out.value <= way.value
                if wrong:
                    side = "below" if way.above else "above"
                    wanted = f"a value to leave {side} {way.value:g}, else it flaps"
                    faults.append(Diagnostic(level.location_of("leave"), f"'{out}' beside '{way}'", wanted))


def levels(section: Section, faults: list[Diagnostic]) -> tuple[Level, ...]:
    """The levels of a `(levels …)` form, with a fault for each that can't be made."""
    made: list[Level] = []
    for level in section["level"]:
        enter, leave = conditions(level, "enter", faults), conditions(level, "leave", faults)
        _flaps(level, enter, leave, faults)
        every = set(level["every-part"]) - set(level["turn-back"])
        if every:
            faults.append(
                Diagnostic(
                    level.location_of("every-part"),
                    f"'{sorted(every)[0]}'",
                    "a traffic class that 'turn-back' names",
                )
            )
            continue
        if not enter or not leave or level.title == FULL:
            continue
        retry = level["retries"] if level["retries"] is not None else section["retries"]
        effects = Degradation(
            level.title,
            tuple(sorted(level["turn-back"])),
            tuple(sorted(level["every-part"])),
            tuple(sorted(level["old-first"])),
            level["fills"],
            level["shots"],
            retry,
        )
        made.append(Level(level.title, enter, leave, level["dwell"], effects))
    return tuple(made)


def ages(section: Section, faults: list[Diagnostic]) -> dict[str, int]:
    found: dict[str, int] = {}
    for atoms in section["age"]:
        if len(atoms) != 2:
            faults.append(
                Diagnostic(
                    atoms[0].location if atoms else section.location_of("age"), "the age", "SIGNAL TIME"
                )
            )
            continue
        try:
            half_life(atoms[0].text)
            found[atoms[0].text] = duration("10ms", "1h").parse(atoms[1])
        except KeyError:
            faults.append(
                Diagnostic(
                    atoms[0].location,
                    f"the signal '{atoms[0].text[:40]}'",
                    suggestion(atoms[0].text, list(SIGNALS)),
                )
            )
        except ValueError:
            faults.append(
                Diagnostic(atoms[1].location, f"'{atoms[1].text[:40]}'", "a time from 10ms to 1h, as 5s")
            )
    return found


def bounds(section: Section, most_open: int) -> Bounds:
    row = section["admission"]
    return Bounds(
        row["target-lag"],
        min(row["least"], most_open),
        most_open,
        row["period"],
        row["waiting"],
        row["least-share"],
    )


def checked(section: Section, faults: list[Diagnostic]) -> None:
    names = set()
    for level in section["level"]:
        if level.title in names or level.title == FULL:
            faults.append(
                Diagnostic(
                    level.locations.get("", level.location),
                    f"the level '{level.title}' a second time" if level.title in names else "the name 'full'",
                    "a name of its own",
                )
            )
        names.add(level.title)
    levels(section, faults)
    ages(section, faults)


def classes_known(section: Section, classes: dict[str, str], faults: list[Diagnostic]) -> None:
    """Every traffic class named is one of the settings', and bookings stay whole: a traffic class whose
    requests may not always be sent again is never rejected by a level (nor held to fewer attempts, by the
    router). `traffic classes`: name -> semantics."""
    for level in section["level"]:
        for field in ("turn-back", "old-first"):
            for class_name in level[field]:
                if class_name not in classes:
                    faults.append(
                        Diagnostic(
                            level.location_of(field),
                            f"the traffic class '{class_name}'",
                            "one of the settings': " + ", ".join(sorted(classes)),
                        )
                    )
                elif field == "turn-back" and classes[class_name] != "idempotent":
                    faults.append(
                        Diagnostic(
                            level.location_of(field),
                            f"the {classes[class_name]} traffic class '{class_name}'",
                            "an idempotent traffic class: bookings stay whole at every level",
                        )
                    )
