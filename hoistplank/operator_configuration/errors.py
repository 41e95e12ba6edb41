"""Diagnostics of an operator file, with their source locations, and the error that carries them."""

from __future__ import annotations

from typing import NamedTuple


class SourceLocation(NamedTuple):
    """A position in a file; line and column count from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


class Diagnostic(NamedTuple):
    """A fault at a source location: what was found and what was expected; its text is a one-line message."""

    location: SourceLocation
    found: str
    expected: str

    def __str__(self) -> str:
        return f"{self.location}: {self.found}, expected {self.expected}"


class ConfigurationError(Exception):
    """All faults of a file, in the order of the file; the text has a line for each."""

    def __init__(self, diagnostics: list[Diagnostic]) -> None:
        super().__init__("\n".join(str(diagnostic) for diagnostic in diagnostics))
        self.diagnostics = diagnostics
