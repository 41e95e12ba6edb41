"""Fault scripts such as `(at 12s (slow origin 4x for 10s))`: their syntax, parser and checks.

A script is a sequence of `(at TIME FAULT …)` forms; times count from the start of the day. Each fault is one
entry of `KINDS`, which gives its words. Targets: `origin`, `caches`, `parents`, `c0-1`, `z0` (the caches of
a zone), `cell-0` (four neighbours), each with an optional share: `caches:0.2` is a fifth of them, drawn from
the random stream of the faults.
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


def _parse_multiple(atom: Atom) -> float:
    if not re.fullmatch(r"\d{1,4}(\.\d{1,4})?x", atom.text) or float(atom.text[:-1]) <= 0:
        raise ValueError
    return float(atom.text[:-1])


def _parse_step(atom: Atom) -> int:
    sign, text = (-1, atom.text[1:]) if atom.text.startswith("-") else (1, atom.text)
    return sign * int(SPAN.parse(Atom(text, atom.quoted, atom.location)))


TIMES = ValueType("a multiple above 0, as 4x", _parse_multiple)
STEP = ValueType("a time with its unit, '-' before it if it goes back, as -2s", _parse_step)

# The words of each fault: a string is a literal word, a ValueType a value.
KINDS: dict[str, tuple[str | ValueType, ...]] = {
    "drain": (TARGET, "for", SPAN),  # listed as draining, then up again with the same process
    "deploy": (TARGET, "batch", SHARE, "drain", SPAN),  # batch by batch: drained, stopped, started cold
    "vanish": (TARGET, "for", SPAN, "noticed", SPAN),  # its machine goes silent and comes back cold
    "crash": (TARGET, "for", SPAN),  # its process ends, its port refuses connections; comes back cold
    "stall": (TARGET, "for", SPAN),  # accepts requests without responding, then processes them
    "halfopen": (TARGET, "for", SPAN),  # connections stay open but carry nothing; continues warm
    "pause": (TARGET, SPAN, "every", SPAN, "for", SPAN),
    "slow": (TARGET, TIMES, "for", SPAN),
    "age": (TARGET, TIMES, "over", SPAN, "for", SPAN),  # slows down gradually
    "link": (TARGET, TIMES, "for", SPAN),  # capacity of its outgoing link
    "shrink": (TARGET, TIMES, "for", SPAN),  # capacity of its storage
    "reset": (TARGET, SHARE, "for", SPAN),  # this share of responses ends with a reset
    "spoil": (TARGET, SHARE, "for", SPAN),  # this share of responses is corrupt
    "lose": (TARGET, SHARE, "for", SPAN),  # this share of responses is never sent
    "refuse": (TARGET, SHARE, "for", SPAN),  # this share of requests is rejected though there is capacity
    "cut": (WORD, WORD, "for", SPAN),  # no path between two zones
    "loglate": (TIMES, "for", SPAN),
    "logstop": ("for", SPAN),  # delivers what it held when it is back
    "loggap": ("for", SPAN),  # comes back with a whole list
    "purge": ("group", COUNT),
    "flush": (SHARE,),  # this share of the groups
    "herd": (WORD, SHARE, "objects", COUNT, "for", SPAN),  # share of a class's requests for new objects
    "scan": (SHARE, "for", SPAN),
    "surge": (WORD, TIMES, "for", SPAN),  # of arrivals in one zone
    "tail": (WORD, SHARE, TIMES, "for", SPAN),  # share of a class's objects that are larger by this factor
    "kill": (SHARE, "for", SPAN),  # of the dispatchers
    "clock": (SHARE, STEP),  # of the dispatchers: their wall clock jumps
}


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """One fault: its time (us from the start of the day), kind, values in order, and source text."""

    at: int
    kind: str
    values: tuple[Any, ...]
    text: str

    def written(self) -> str:
        """Return it as a form of a script."""
        return f"(at {self.at}us ({self.text}))" if self.at else f"(at 0s ({self.text}))"


FaultWords = dict[str, tuple[str | ValueType, ...]]


def _parse_fault(
    at: int, form: Form, diagnostics: list[Diagnostic], kinds: FaultWords
) -> ScheduledFault | None:
    words = kinds.get(form.name)
    if words is None:
        diagnostics.append(
            Diagnostic(
                form.location, f"the unknown fault '{form.name[:40]}'", suggest_name(form.name, list(kinds))
            )
        )
        return None
    items, values = form.items[1:], []
    shown = " ".join(word if isinstance(word, str) else "…" for word in words)
    if len(items) != len(words):
        diagnostics.append(
            Diagnostic(form.location, f"{len(items)} words for '{form.name}'", f"'({form.name} {shown})'")
        )
        return None
    for item, word in zip(items, words, strict=True):
        if not isinstance(item, Atom):
            diagnostics.append(
                Diagnostic(item.location, str(item), word if isinstance(word, str) else word.expected)
            )
        elif isinstance(word, str):
            if item.text != word:
                diagnostics.append(Diagnostic(item.location, str(item), f"the word '{word}'"))
        else:
            try:
                values.append(word.parse(item))
            except ValueError:
                diagnostics.append(Diagnostic(item.location, str(item), word.expected))
    atoms = [item for item in form.items if isinstance(item, Atom)]
    text = " ".join(quote(atom.text) if atom.quoted else atom.text for atom in atoms)
    return ScheduledFault(at, form.name, tuple(values), text)


def read_faults(
    forms: tuple[Atom | Form, ...], diagnostics: list[Diagnostic], kinds: FaultWords = KINDS
) -> list[ScheduledFault]:
    """Parse the `(at …)` forms of a script; return the faults in the order of their times.

    Errors are added to `diagnostics`. `kinds` are the faults that the script may hold, with their words.
    """
    found: list[ScheduledFault] = []
    for form in forms:
        if not isinstance(form, Form) or form.name != "at":
            diagnostics.append(Diagnostic(form.location, str(form), "'(at TIME (FAULT …))'"))
            continue
        time = form.items[1] if len(form.items) > 1 else None
        try:
            at = (
                0
                if isinstance(time, Atom) and time.text == "0s"
                else SPAN.parse(time)
                if isinstance(time, Atom)
                else -1
            )
        except ValueError:
            at = -1
        if at < 0:
            diagnostics.append(
                Diagnostic(time.location if time else form.location, str(time or "nothing"), SPAN.expected)
            )
            continue
        for inner in form.items[2:]:
            if isinstance(inner, Form):
                fault = _parse_fault(at, inner, diagnostics, kinds)
                if fault is not None:
                    found.append(fault)
            else:
                diagnostics.append(
                    Diagnostic(inner.location, str(inner), "a fault '(slow origin 4x for 10s)'")
                )
    return sorted(found, key=lambda fault: fault.at)


def script(text: str, file: str = "script") -> list[ScheduledFault]:
    """Parse a script on its own. Raises `ConfigurationError` with all its errors."""
    forms = parse(text.encode(), file).forms
    diagnostics: list[Diagnostic] = []
    found = read_faults(forms, diagnostics)
    if diagnostics:
        raise ConfigurationError(diagnostics)
    return found


def unsupported(faults: list[ScheduledFault], settings: WorldSettings) -> list[str]:
    """Return an error for each traffic class and zone in a script that this world does not have."""
    names = {row.name for row in settings.classes}
    zones = {HUB, *(f"z{n}" for n in range(settings.zones))}
    errors = []
    for fault in faults:
        if fault.kind in ("herd", "tail") and fault.values[0] not in names:
            errors.append(
                f"'{fault.text}': no traffic class '{fault.values[0]}', there are {', '.join(sorted(names))}"
            )
        used_zones = {"cut": fault.values[:2], "surge": fault.values[:1]}.get(fault.kind, ())
        errors += [f"'{fault.text}': no zone '{zone}'" for zone in used_zones if zone not in zones]
    return errors
