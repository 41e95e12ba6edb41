"""The one place where every subsystem's forms of the operator's file are registered, read and checked."""

from __future__ import annotations

from pathlib import Path

from hoistplank.authorization import sections as callers
from hoistplank.degradation import sections as levels
from hoistplank.distribution import sections as distribution
from hoistplank.membership import sections as membership
from hoistplank.operator_configuration.errors import ConfigurationError, Diagnostic, SourceLocation
from hoistplank.operator_configuration.parser import parse
from hoistplank.operator_configuration.schema import Field, FormSchema, Section, read_form
from hoistplank.operator_configuration.values import one_of

LOG = FormSchema(
    (Field("format", one_of("lines", "json"), "lines", doc="lines for people or JSON for programs"),)
)

FILE = FormSchema(
    (
        Field("log", LOG, default=True, doc="how the log is written"),
        Field("callers", callers.CALLERS, doc="who may call: tokens, certificates, tenants"),
        Field("membership", membership.MEMBERSHIP, doc="starting without discovery: a kept list, seeds"),
        Field("levels", levels.LEVELS, doc="levels of reduced service, admission by the core, retry budgets"),
        Field("distribution", distribution.DISTRIBUTION, doc="control replicas in place of the change log"),
    )
)
CHECKS = {
    "callers": callers.check_section,
    "membership": membership.checked,
    "levels": levels.checked,
    "distribution": distribution.checked,
}


def load(path: str) -> Section:
    """Reads and checks a file; raises ConfigurationError with all that is wrong, each with its place."""
    try:
        data = Path(path).read_bytes()
    except OSError as wrong:
        raise ConfigurationError(
            [
                Diagnostic(
                    SourceLocation(path, 1, 1),
                    f"a file that can't be read ({wrong.strerror})",
                    "the operator's file",
                )
            ]
        ) from None
    return understood(data, path)


def understood(data: bytes, path: str) -> Section:
    """The bytes of a file as checked sections; raises ConfigurationError."""
    text = parse(data, path)
    faults: list[Diagnostic] = []
    section = read_form(FILE, text.forms, SourceLocation(path, 1, 1), faults)
    for name, check in CHECKS.items():
        if not faults and section[name] is not None:
            check(section[name], faults)
    if faults:
        raise ConfigurationError(sorted(faults, key=lambda fault: fault.location))
    return section
