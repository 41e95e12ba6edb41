"""The fields of a simulator message: `name=value` pairs, with times in decimal seconds."""

from __future__ import annotations

from decimal import Decimal, InvalidOperation
from math import isfinite
from typing import Any


class FieldError(Exception):
    """A field is missing or can't be read; the message names the field."""


class Fields:
    """The `name=value` pairs of one message. Each getter raises `FieldError` if it can't read a field."""

    __slots__ = ("pairs",)

    def __init__(self, parts: list[str]) -> None:
        self.pairs: dict[str, str] = {}
        for part in parts:
            name, equals, value = part.partition("=")
            if not equals:
                raise FieldError(f"field '{part[:40]}' is not a name=value pair")
            self.pairs[name] = value

    def text(self, name: str, default: str | None = None) -> str:
        """Returns the value unchanged; a field without a default is required."""
        value = self.pairs.get(name, default)
        if value is None:
            raise FieldError(f"field '{name}' is absent")
        return value

    def integer(self, name: str, default: int | None = None) -> int:
        """Returns the value as a whole number."""
        value = self.pairs.get(name)
        if value is None and default is not None:
            return default
        try:
            return int(self.text(name))
        except ValueError as error:
            raise FieldError(f"field '{name}' is not a whole number") from error

    def number(self, name: str, default: float | None = None) -> float:
        """Returns the value as a finite number."""
        value = self.pairs.get(name)
        if value is None and default is not None:
            return default
        try:
            found = float(self.text(name))
        except ValueError as error:
            raise FieldError(f"field '{name}' is not a number") from error
        if not isfinite(found):
            raise FieldError(f"field '{name}' is not a finite number")
        return found

    def microseconds(self, name: str, default: int | None = None) -> int:
        """Returns a time in decimal seconds as whole microseconds."""
        value = self.pairs.get(name)
        if value is None and default is not None:
            return default
        return parse_seconds(self.text(name), name)

    def flag(self, name: str) -> bool:
        """Returns True if the value is 1 or true, False for any other or a missing value."""
        return self.pairs.get(name, "0") in ("1", "true")


def parse_seconds(text: str, name: str) -> int:
    """Converts decimal seconds to whole microseconds, exactly or rounded to the nearest."""
    head, dot, tail = text.partition(".")
    if head.isdecimal() and (tail.isdecimal() if dot else True) and len(tail) <= 6:
        return int(head) * 1_000_000 + int(tail.ljust(6, "0") or 0)
    try:
        scaled = Decimal(text) * 1_000_000
        return int(scaled.to_integral_value())
    except (InvalidOperation, ValueError, OverflowError) as error:
        raise FieldError(f"field '{name}' is not a time in decimal seconds") from error


def parse_numbers(text: str, name: str) -> list[float]:
    """Returns the numbers of a comma-separated list."""
    try:
        return [float(value) for value in text.split(",") if value]
    except ValueError as error:
        raise FieldError(f"field '{name}' is not a comma-separated list of numbers") from error


def flatten(value: Any, path: str = "") -> dict[str, str]:
    """Flattens nested JSON into the pairs of a LAUNCH message: `a.b`, `rows.0.name` with `rows.count`."""
    dot = path + "." if path else ""
    if isinstance(value, dict):
        return {
            name: text for key, inner in value.items() for name, text in flatten(inner, dot + key).items()
        }
    if isinstance(value, list):
        if any(isinstance(inner, dict) for inner in value):
            rows = {f"{i}": inner for i, inner in enumerate(value)}
            return flatten(rows, path) | {dot + "count": str(len(value))}
        return {path: ",".join(flatten(inner, path).get(path, "") for inner in value)}
    if value is None:
        return {}
    return {path: str(int(value)) if isinstance(value, bool) else str(value)}
