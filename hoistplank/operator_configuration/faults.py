"""The one error of the operator's file."""

from __future__ import annotations

from typing import NamedTuple


class Place(NamedTuple):
    """Where something stands: the file's name, line and column, both from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


class Fault(Exception):
    """What stands somewhere and what was expected there; its text is the whole message, one line."""

    def __init__(self, place: Place, found: str, expected: str) -> None:
        super().__init__(f"{place}: {found}, expected {expected}")
        self.place, self.found, self.expected = place, found, expected


class Faults(Exception):
    """All that is wrong with a file, in its order; its text is a line each."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults
