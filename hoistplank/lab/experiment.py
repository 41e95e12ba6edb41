"""Reads experiment files: factors, paired seeds, and the cells that result from them. No I/O."""

from __future__ import annotations

import hashlib
import json

import msgspec

from hoistplank.lab.model.days import DAYS, draw_day
from hoistplank.lab.model.faults import read_faults, script, unsupported
from hoistplank.lab.model.world_settings import WorldSettings, scaled_settings
from hoistplank.lab.policies import policy_names
from hoistplank.operator_configuration import schema
from hoistplank.operator_configuration.errors import ConfigurationError, Diagnostic, SourceLocation
from hoistplank.operator_configuration.parser import parse
from hoistplank.operator_configuration.schema import Field, Section, suggest_name
from hoistplank.operator_configuration.syntax import Form
from hoistplank.operator_configuration.values import integer, matching, number, one_of

LAYOUT = 2  # version of the layout of results; results of different layouts are not mixed
POLICY = matching(r"[a-z][a-z-]{0,30}|text-[0-9a-fA-F]{4,40}", "a policy, or text-REVISION")
DAY = matching(r"[a-z][a-z+-]{0,60}", "a day's name, or several joined by '+'")
EXPERIMENT = schema.FormSchema(
    (
        Field("days", DAY, repeated=True, doc="days by name"),
        Field("sizes", integer(1, 20_000), [12], repeated=True, doc="total numbers of cache hosts"),
        Field(
            "seeds", integer(0, 1_000_000), [1, 2, 3], repeated=True, doc="seeds; each gives another world"
        ),
        Field("policies", POLICY, ["module", "hash"], repeated=True, doc="policies of the dispatchers"),
        Field("seconds", number(1, 3_600), 20.0, doc="length of a day"),
        Field("warm", number(0, 600), 6.0, doc="uncounted seconds before the day, to fill caches"),
        Field("rate-per-host", number(0.1, 10_000), 20.0, doc="first parts a second per cache host"),
        Field("load", number(0.05, 5), 0.75, doc="share of the links' capacity"),
        Field("location", integer(1, 1_000), 20, doc="maximum of cache hosts in a location"),
        Field("dispatchers", integer(1, 100), 3, doc="dispatchers in each location"),
        Field("drive", one_of("virtual", "sockets"), "virtual", doc="virtual time, or real processes"),
    ),
    title=matching(r"[a-z][a-z0-9-]{0,39}", "a name of small letters, digits and '-'"),
)


class Cell(msgspec.Struct, frozen=True):
    """One day to run. Cells that differ only in `policy` see the same world."""

    day: str
    text: str  # the script of its faults
    size: int
    seed: int
    policy: str
    seconds: float
    rate: float
    load: float
    location: int
    dispatchers: int
    drive: str = "virtual"
    warm: float = 6.0

    def world_settings(self) -> WorldSettings:
        """Returns the settings of the cell's world."""
        zones = max(1, round(self.size / self.location))
        dispatchers, rate = zones * self.dispatchers, self.rate * self.size
        settings = scaled_settings(self.size, dispatchers, zones, rate, self.load, seconds=self.seconds)
        return msgspec.structs.replace(settings, warm_up_s=self.warm)

    def key(self) -> str:
        """Returns a digest of the cell, which is the same in every experiment."""
        data = json.dumps([LAYOUT, msgspec.to_builtins(self)], sort_keys=True).encode()
        return hashlib.blake2b(data, digest_size=10).hexdigest()


class Experiment(msgspec.Struct, frozen=True):
    """The name and the cells of an experiment file."""

    name: str
    cells: tuple[Cell, ...]

    def revisions(self) -> list[str]:
        """Returns the older revisions of the Router that it runs."""
        return sorted({cell.policy[5:] for cell in self.cells if cell.policy.startswith("text-")})


def read_experiment(data: bytes, file: str) -> Experiment:
    """Returns the experiment of a file. Raises `ConfigurationError` with all diagnostics."""
    form = _experiment_form(data, file)
    diagnostics: list[Diagnostic] = []
    script_forms = [item for item in form.items if isinstance(item, Form) and item.name == "script"]
    rest = tuple(item for item in form.items[1:] if item not in script_forms)
    section = schema.read_form(EXPERIMENT, rest, form.location, diagnostics)
    scripts = _scripts(script_forms, diagnostics)
    days = [day for day in section["days"] or [] if day is not None]
    diagnostics += _unknown_days(section, days)
    diagnostics += _unknown_policies(section)
    if section["drive"] == "sockets" and section["policies"] != ["module"]:
        diagnostics.append(
            Diagnostic(
                section.location_of("policies"),
                "other policies than 'module' on sockets",
                "'(policies module)'",
            )
        )
    if not days and not scripts:
        diagnostics.append(
            Diagnostic(form.location, "neither 'days' nor a 'script'", "at least one day to run")
        )
    if diagnostics:
        raise ConfigurationError(diagnostics)
    return Experiment(section.title, tuple(_cells(section, days, scripts, form.location)))


def _experiment_form(data: bytes, file: str) -> Form:
    forms = parse(data, file).forms
    if len(forms) != 1 or forms[0].name != "experiment":
        location = forms[0].location if forms else SourceLocation(file, 1, 1)
        found = str(forms[0]) if len(forms) == 1 else f"{len(forms)} forms"
        raise ConfigurationError([Diagnostic(location, found, "one '(experiment NAME …)'")])
    return forms[0]


def _unknown_days(section: Section, days: list[str]) -> list[Diagnostic]:
    return [
        Diagnostic(
            section.location_of("days"),
            f"the unknown day '{name}'",
            suggest_name(name, [*DAYS, "calm", "any"]),
        )
        for day in days
        for name in day.split("+")
        if name not in DAYS and day not in ("calm", "any")
    ]


def _unknown_policies(section: Section) -> list[Diagnostic]:
    return [
        Diagnostic(
            section.location_of("policies"),
            f"the unknown policy '{name}'",
            suggest_name(name, policy_names()),
        )
        for name in section["policies"] or []
        if name is not None and not name.startswith("text-") and name not in policy_names()
    ]


def _scripts(forms: list[Form], diagnostics: list[Diagnostic]) -> dict[str, str]:
    texts = {}
    for form in forms:
        title = form.items[1] if len(form.items) > 1 else None
        if title is None or isinstance(title, Form):
            diagnostics.append(
                Diagnostic(form.location, "a script without a name", "'(script NAME (at …) …)'")
            )
            continue
        texts[title.text] = "\n".join(row.written() for row in read_faults(form.items[2:], diagnostics))
    return texts


def _cells(
    section: Section, days: list[str], scripts: dict[str, str], location: SourceLocation
) -> list[Cell]:
    cells: list[Cell] = []
    diagnostics: list[Diagnostic] = []
    for size in section["sizes"]:
        for day in [*days, *scripts]:
            for seed in section["seeds"]:
                text = scripts[day] if day in scripts else draw_day(day, seed, section["seconds"])
                cells += [
                    Cell(
                        day=day,
                        text=text,
                        size=size,
                        seed=seed,
                        policy=policy,
                        seconds=section["seconds"],
                        rate=section["rate-per-host"],
                        load=section["load"],
                        location=section["location"],
                        dispatchers=section["dispatchers"],
                        drive=section["drive"],
                        warm=section["warm"],
                    )
                    for policy in section["policies"]
                ]
                diagnostics += [
                    Diagnostic(location, problem, f"what a world of {size} cache hosts has")
                    for problem in unsupported(script(text), cells[-1].world_settings())
                ]
    if diagnostics:
        raise ConfigurationError(diagnostics)
    return cells
