"""Reads and checks the whole operator file; the section of every subsystem is registered here."""

from __future__ import annotations

from collections.abc import Callable
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
        Field("callers", callers.CALLERS, doc="authorization: tokens, certificates, tenants"),
        Field("membership", membership.MEMBERSHIP, doc="starting without discovery: a persisted list, seeds"),
        Field("levels", levels.LEVELS, doc="levels of reduced service, admission control, retry budgets"),
        Field("distribution", distribution.DISTRIBUTION, doc="control replicas in place of the change log"),
    )
)
# Checks beyond a section's schema; they run only while the file has shown no error.
CHECKS: dict[str, Callable[[Section, list[Diagnostic]], None]] = {
    "callers": callers.check_section,
    "membership": membership.check_section,
    "levels": levels.check_section,
    "distribution": distribution.checked,
}


def load_file(path: str) -> Section:
    """Reads and checks a file; raises ConfigurationError with every problem and its location."""
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        found = f"a file that can't be read ({error.strerror})"
        diagnostic = Diagnostic(SourceLocation(path, 1, 1), found, "a readable operator file")
        raise ConfigurationError([diagnostic]) from error
    return parse_file(data, path)


def parse_file(data: bytes, path: str) -> Section:
    """Parses and checks the bytes of a file; diagnostics name `path` as the file. Raises
    ConfigurationError."""
    document = parse(data, path)
    diagnostics: list[Diagnostic] = []
    section = read_form(FILE, document.forms, SourceLocation(path, 1, 1), diagnostics)
    for name, check in CHECKS.items():
        if not diagnostics and section[name] is not None:
            check(section[name], diagnostics)
    if diagnostics:
        raise ConfigurationError(sorted(diagnostics, key=lambda diagnostic: diagnostic.location))
    return section
