"""Diagnostics of an operator's file, each with its source location, and the one error that carries them."""

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
    """What was found at a location and what was expected there; its text is a one-line message."""

    location: SourceLocation
    found: str
    expected: str

    def __str__(self) -> str:
        return f"{self.location}: {self.found}, expected {self.expected}"


class ConfigurationError(Exception):
    """All that is wrong with one file, in the file's order; its text is one line for each."""

    def __init__(self, diagnostics: list[Diagnostic]) -> None:
        super().__init__("\n".join(str(problem) for problem in diagnostics))
        self.diagnostics = diagnostics
