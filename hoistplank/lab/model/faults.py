"""What goes wrong, as small scripts: `(at 12s (slow origin 4x for 10s))`; composed, checked, drawn from a
seed.

A script is a row of `(at TIME FAULT …)` forms; times count from the day's first second. Each fault is one row
of `KINDS`: the words that it is written with. Targets: `origin`, `caches`, `parents`, `c0-1`, `z0` (a
location's caches), `cell-0` (four neighbours), each with an optional share: `caches:0.2` strikes a fifth of
them, chosen by the script's own random stream.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

from hoistplank.lab.model.world_settings import HUB, WorldSettings
from hoistplank.operator_configuration.errors import ConfigurationError, Diagnostic
from hoistplank.operator_configuration.parser import parse
from hoistplank.operator_configuration.schema import suggest_name
from hoistplank.operator_configuration.syntax import Atom, Form, quote
from hoistplank.operator_configuration.values import ValueType, duration, integer, matching, number

TARGET = matching(
    r"(origin|caches|parents|z\d{1,4}|cell-\d{1,6}|[cp]\d[\w-]{0,12})(:[01](\.\d{1,4})?)?",
    "a target: origin, caches, parents, z0, cell-0 or a host, with a share as 'caches:0.2'",
)
WORD = matching(r"[a-z][a-z0-9-]{0,30}", "a name of small letters, digits and '-'")
SHARE, SPAN, COUNT = number(0, 1), duration("1ms", "1h"), integer(0, 1_000_000)


def _times(atom: Atom) -> float:
    if not re.fullmatch(r"\d{1,4}(\.\d{1,4})?x", atom.text) or float(atom.text[:-1]) <= 0:
        raise ValueError
    return float(atom.text[:-1])


def _step(atom: Atom) -> int:
    sign, text = (-1, atom.text[1:]) if atom.text.startswith("-") else (1, atom.text)
    return sign * int(SPAN.parse(Atom(text, atom.quoted, atom.location)))


TIMES = ValueType("a multiple above 0, as 4x", _times)
STEP = ValueType("a time with its unit, '-' before it if it goes back, as -2s", _step)

# The words of each fault: a text stands for itself, a kind for a value.
KINDS: dict[str, tuple[str | ValueType, ...]] = {
    "drain": (TARGET, "for", SPAN),  # told as draining, then up again: the same process
    "deploy": (TARGET, "batch", SHARE, "drain", SPAN),  # batch by batch: drained, ended, started cold
    "vanish": (TARGET, "for", SPAN, "noticed", SPAN),  # its machine is silent; comes back cold
    "crash": (TARGET, "for", SPAN),  # its process ends, its port refuses; comes back cold
    "stall": (TARGET, "for", SPAN),  # takes work and answers nothing, then goes on
    "halfopen": (TARGET, "for", SPAN),  # connections stay up, nothing comes through; goes on warm
    "pause": (TARGET, SPAN, "every", SPAN, "for", SPAN),
    "slow": (TARGET, TIMES, "for", SPAN),
    "age": (TARGET, TIMES, "over", SPAN, "for", SPAN),  # slower and slower
    "link": (TARGET, TIMES, "for", SPAN),  # its link out so many times as wide; of z0: the location's own
    "shrink": (TARGET, TIMES, "for", SPAN),  # so many times as much space for copies
    "reset": (TARGET, SHARE, "for", SPAN),  # this share of answers is cut off
    "spoil": (TARGET, SHARE, "for", SPAN),
    "lose": (TARGET, SHARE, "for", SPAN),  # never comes
    "refuse": (TARGET, SHARE, "for", SPAN),  # rejected though there is capacity
    "cut": (WORD, WORD, "for", SPAN),  # no path between two zones
    "loglate": (TIMES, "for", SPAN),
    "logstop": ("for", SPAN),  # and tells all it held when it is back
    "loggap": ("for", SPAN),  # and comes back with a whole list
    "purge": ("group", COUNT),
    "flush": (SHARE,),  # this share of the groups
    "herd": (WORD, SHARE, "objects", COUNT, "for", SPAN),  # of a traffic class's requests, to new objects
    "scan": (SHARE, "for", SPAN),
    "surge": (WORD, TIMES, "for", SPAN),  # in one location
    "tail": (
        WORD,
        SHARE,
        TIMES,
        "for",
        SPAN,
    ),  # this share of a traffic class's objects is so many times as large
    "kill": (SHARE, "for", SPAN),  # of the dispatchers
    "clock": (SHARE, STEP),  # of the dispatchers: their wall clock jumps
}


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """One fault: when (us from the day's first second), which, its values in order, and how it was
    written.
    """

    at: int
    kind: str
    values: tuple[Any, ...]
    text: str

    def written(self) -> str:
        """As a form of a script."""
        return f"(at {self.at}us ({self.text}))" if self.at else f"(at 0s ({self.text}))"


FaultWords = dict[str, tuple[str | ValueType, ...]]


def _event(at: int, form: Form, faults: list[Diagnostic], kinds: FaultWords) -> ScheduledFault | None:
    words = kinds.get(form.name)
    if words is None:
        faults.append(
            Diagnostic(
                form.location, f"the unknown fault '{form.name[:40]}'", suggest_name(form.name, list(kinds))
            )
        )
        return None
    items, values = form.items[1:], []
    shown = " ".join(word if isinstance(word, str) else "…" for word in words)
    if len(items) != len(words):
        faults.append(
            Diagnostic(form.location, f"{len(items)} words for '{form.name}'", f"'({form.name} {shown})'")
        )
        return None
    for item, word in zip(items, words, strict=True):
        if not isinstance(item, Atom):
            faults.append(
                Diagnostic(item.location, str(item), word if isinstance(word, str) else word.expected)
            )
        elif isinstance(word, str):
            if item.text != word:
                faults.append(Diagnostic(item.location, str(item), f"the word '{word}'"))
        else:
            try:
                values.append(word.parse(item))
            except ValueError:
                faults.append(Diagnostic(item.location, str(item), word.expected))
    atoms = [item for item in form.items if isinstance(item, Atom)]
    text = " ".join(quote(atom.text) if atom.quoted else atom.text for atom in atoms)
    return ScheduledFault(at, form.name, tuple(values), text)


def read_faults(
    forms: tuple[Atom | Form, ...], faults: list[Diagnostic], kinds: FaultWords = KINDS
) -> list[ScheduledFault]:
    """The `(at …)` forms of a script, in the order of their times; what is wrong is added to `faults`.
    `kinds`: the faults that it may hold, and their words.
    """
    found: list[ScheduledFault] = []
    for form in forms:
        if not isinstance(form, Form) or form.name != "at":
            faults.append(Diagnostic(form.location, str(form), "'(at TIME (FAULT …))'"))
            continue
        head = form.items[1] if len(form.items) > 1 else None
        try:
            at = (
                0
                if isinstance(head, Atom) and head.text == "0s"
                else SPAN.parse(head)
                if isinstance(head, Atom)
                else -1
            )
        except ValueError:
            at = -1
        if at < 0:
            faults.append(
                Diagnostic(head.location if head else form.location, str(head or "nothing"), SPAN.expected)
            )
            continue
        for inner in form.items[2:]:
            if isinstance(inner, Form):
                event = _event(at, inner, faults, kinds)
                if event is not None:
                    found.append(event)
            else:
                faults.append(Diagnostic(inner.location, str(inner), "a fault '(slow origin 4x for 10s)'"))
    return sorted(found, key=lambda event: event.at)


def script(text: str, file: str = "script") -> list[ScheduledFault]:
    """A script by itself. Raises `ConfigurationError` with all that is wrong."""
    forms = parse(text.encode(), file).forms
    faults: list[Diagnostic] = []
    found = read_faults(forms, faults)
    if faults:
        raise ConfigurationError(faults)
    return found


def unsupported(rows: list[ScheduledFault], settings: WorldSettings) -> list[str]:
    """What a script asks for that this world does not have, a sentence each."""
    classes = {row.name for row in settings.classes}
    zones = {HUB, *(f"z{n}" for n in range(settings.zones))}
    wrong = []
    for row in rows:
        if row.kind in ("herd", "tail") and row.values[0] not in classes:
            wrong.append(
                f"'{row.text}': no traffic class '{row.values[0]}', there are {', '.join(sorted(classes))}"
            )
        places = {"cut": row.values[:2], "surge": row.values[:1]}.get(row.kind, ())
        wrong += [f"'{row.text}': no zone '{zone}'" for zone in places if zone not in zones]
    return wrong
