"""The form `(levels …)` of the operator's file: admission, retries, ages of signals and the levels."""

from __future__ import annotations

from typing import Any

from hoistplank.decision.settings import Degradation
from hoistplank.degradation.admission import Bounds
from hoistplank.degradation.signals import SIGNALS, half_life
from hoistplank.degradation.state_machine import FULL, Condition, Level
from hoistplank.operator_configuration.faults import Fault
from hoistplank.operator_configuration.schema import (
    NAME,
    Field,
    Kind,
    Section,
    Shape,
    matching,
    nearest,
    number,
    span,
    whole,
)
from hoistplank.operator_configuration.text import Atom

CLASS_NAME = matching(r"[A-Za-z0-9_.-]{1,40}", "a traffic class's name as the settings give it")
ATOM = Kind("a word, a number or a time", lambda atom: atom)

LEVEL = Shape(
    (
        Field(
            "enter",
            ATOM,
            needed=True,
            many=True,
            each=True,
            doc="SIGNAL above|below VALUE, then 'for' TIME where it is to hold so long; any one enters",
        ),
        Field(
            "leave",
            ATOM,
            needed=True,
            many=True,
            each=True,
            doc="the same; all of them, and the dwell over, leave one level down",
        ),
        Field("dwell", span("0ms", "1h"), 30_000_000, doc="least time in the level, doubled by re-entries"),
        Field(
            "turn-back", CLASS_NAME, many=True, doc="traffic classes whose new requests are rejected at once"
        ),
        Field("every-part", CLASS_NAME, many=True, doc="of those, traffic classes whose later parts go too"),
        Field(
            "old-first",
            CLASS_NAME,
            many=True,
            doc="traffic classes that take an old copy within its grace first",
        ),
        Field("fills", number(0.05, 1), 1.0, doc="share of the room for fills that is left"),
        Field("shots", whole(1, 16), 0, doc="attempts a request at most"),
        Field("retries", number(0, 16), None, doc="further attempts per first attempt, here"),
    ),
    title=NAME,
    doc="a level of reduced service; levels stand in the order in which they reduce more",
)

ADMISSION = Shape(
    (
        Field(
            "target-lag", span("1ms", "1s"), 25_000, doc="the loop's lag above which fewer requests come in"
        ),
        Field("least", whole(1, 100_000), 8, doc="requests that may always be open"),
        Field("period", span("10ms", "5s"), 100_000, doc="how often the bound is judged"),
        Field("waiting", whole(1, 1_000_000), 2_000, doc="events waiting for a turn that count as full"),
        Field(
            "least-share", number(0.05, 1), 0.6, doc="of the bound, for the traffic class that earns least"
        ),
    )
)

LEVELS = Shape(
    (
        Field("admission", ADMISSION, default=True, doc="the bound on open requests that follows the core"),
        Field("retries", number(0, 16), 1.0, doc="further attempts per first attempt, 10 s; 0: no bound"),
        Field("every", span("10ms", "5s"), 100_000, doc="how often the readings are judged"),
        Field("calm", span("1s", "1h"), 120_000_000, doc="half-life of a level's penalty for each entry"),
        Field("age", ATOM, many=True, each=True, doc="SIGNAL TIME: a half-life other than the usual one"),
        Field("level", LEVEL, many=True, doc="the levels, least reduced first"),
    ),
    doc="levels of reduced service, the admission that follows the core, and retry budgets",
)


def _condition(atoms: list[Atom], place: Any, faults: list[Fault]) -> Condition | None:
    """`SIGNAL above|below VALUE [for TIME]`, or None with a fault."""
    words = [atom.text for atom in atoms]
    if len(atoms) not in (3, 5) or (len(atoms) == 5 and words[3] != "for"):
        faults.append(Fault(place, " ".join(words)[:80] or "nothing", "SIGNAL above|below VALUE [for TIME]"))
        return None
    signal, side, value = atoms[0], atoms[1], atoms[2]
    try:
        half_life(signal.text)
    except KeyError:
        known = [name for name in SIGNALS if not name.endswith(":")] + [
            f"{name}NAME" for name in SIGNALS if name.endswith(":")
        ]
        faults.append(Fault(signal.place, f"the signal '{signal.text[:40]}'", nearest(signal.text, known)))
        return None
    if side.text not in ("above", "below"):
        faults.append(Fault(side.place, f"'{side.text[:40]}'", "'above' or 'below'"))
        return None
    try:
        figure = float(value.text)
    except ValueError:
        faults.append(Fault(value.place, f"'{value.text[:40]}'", "a number, as 0.9 or 50"))
        return None
    hold = 0
    if len(atoms) == 5:
        try:
            hold = span("0ms", "1h").make(atoms[4])
        except ValueError:
            faults.append(Fault(atoms[4].place, f"'{atoms[4].text[:40]}'", "a time with its unit, as 2s"))
            return None
    return Condition(signal.text, side.text == "above", figure, hold)


def conditions(section: Section, name: str, faults: list[Fault]) -> tuple[Condition, ...]:
    found = [
        _condition(atoms, atoms[0].place if atoms else section.at(name), faults) for atoms in section[name]
    ]
    return tuple(condition for condition in found if condition is not None)


def _flaps(
    level: Section, enter: tuple[Condition, ...], leave: tuple[Condition, ...], faults: list[Fault]
) -> None:
    """A level whose way out lies on the near side of its way in would be entered and left in turn."""
    for out in leave:
        for way in enter:
            if way.signal == out.signal and way.above != out.above:
                wrong = out.value >= way.value if way.above else out.value <= way.value
                if wrong:
                    side = "below" if way.above else "above"
                    wanted = f"a value to leave {side} {way.value:g}, else it flaps"
                    faults.append(Fault(level.at("leave"), f"'{out}' beside '{way}'", wanted))


def levels(section: Section, faults: list[Fault]) -> tuple[Level, ...]:
    """The levels of a `(levels …)` form, with a fault for each that can't be made."""
    made: list[Level] = []
    for level in section["level"]:
        enter, leave = conditions(level, "enter", faults), conditions(level, "leave", faults)
        _flaps(level, enter, leave, faults)
        every = set(level["every-part"]) - set(level["turn-back"])
        if every:
            faults.append(
                Fault(
                    level.at("every-part"), f"'{sorted(every)[0]}'", "a traffic class that 'turn-back' names"
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


def ages(section: Section, faults: list[Fault]) -> dict[str, int]:
    found: dict[str, int] = {}
    for atoms in section["age"]:
        if len(atoms) != 2:
            faults.append(Fault(atoms[0].place if atoms else section.at("age"), "the age", "SIGNAL TIME"))
            continue
        try:
            half_life(atoms[0].text)
            found[atoms[0].text] = span("10ms", "1h").make(atoms[1])
        except KeyError:
            faults.append(
                Fault(
                    atoms[0].place,
                    f"the signal '{atoms[0].text[:40]}'",
                    nearest(atoms[0].text, list(SIGNALS)),
                )
            )
        except ValueError:
            faults.append(Fault(atoms[1].place, f"'{atoms[1].text[:40]}'", "a time from 10ms to 1h, as 5s"))
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


def checked(section: Section, faults: list[Fault]) -> None:
    names = set()
    for level in section["level"]:
        if level.title in names or level.title == FULL:
            faults.append(
                Fault(
                    level.places.get("", level.place),
                    f"the level '{level.title}' a second time" if level.title in names else "the name 'full'",
                    "a name of its own",
                )
            )
        names.add(level.title)
    levels(section, faults)
    ages(section, faults)


def classes_known(section: Section, classes: dict[str, str], faults: list[Fault]) -> None:
    """Every traffic class named is one of the settings', and bookings stay whole: a traffic class whose
    requests may not always be sent again is never rejected by a level (nor held to fewer attempts, by the
    router). `traffic classes`: name -> semantics."""
    for level in section["level"]:
        for field in ("turn-back", "old-first"):
            for class_name in level[field]:
                if class_name not in classes:
                    faults.append(
                        Fault(
                            level.at(field),
                            f"the traffic class '{class_name}'",
                            "one of the settings': " + ", ".join(sorted(classes)),
                        )
                    )
                elif field == "turn-back" and classes[class_name] != "idempotent":
                    faults.append(
                        Fault(
                            level.at(field),
                            f"the {classes[class_name]} traffic class '{class_name}'",
                            "an idempotent traffic class: bookings stay whole at every level",
                        )
                    )
