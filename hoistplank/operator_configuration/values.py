"""The types of values in an operator file: conversion of atoms to values, with units and limits."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from hoistplank.operator_configuration.errors import SourceLocation
from hoistplank.operator_configuration.syntax import Atom

match_quantity = re.compile(r"(\d{1,12}(?:\.\d{1,6})?)([A-Za-z/]*)").fullmatch
TIME_UNITS_US = {
    "us": 1,
    "ms": 1_000,
    "s": 1_000_000,
    "min": 60_000_000,
    "h": 3_600_000_000,
    "d": 86_400_000_000,
}
SIZE_UNITS_BYTES = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20}
MAX_INTEGER_DIGITS = 15
MAX_TEXT_LENGTH = 1_000
MAX_PORT = 65_535
MAX_PORT_DIGITS = 9  # digits compared with MAX_PORT; bounds the cost of a long number


@dataclass(frozen=True, slots=True)
class ValueType:
    """The conversion of an atom to a value. `parse` raises ValueError for an invalid atom; `expected`
    describes the valid ones, for messages."""

    expected: str
    parse: Callable[[Atom], Any]


def _parse_quantity(atom: Atom, units: dict[str, int]) -> int:
    match = None if atom.quoted else match_quantity(atom.text)
    if match is None or match[2] not in units:
        raise ValueError
    value = float(match[1]) * units[match[2]]
    if value != int(value):
        raise ValueError
    return int(value)


def duration(minimum: str = "1ms", maximum: str = "30d") -> ValueType:
    """Returns the type of a time with a unit; its value is in whole microseconds."""

    def limit(text: str) -> int:
        return _parse_quantity(Atom(text, quoted=False, location=SourceLocation("", 0, 0)), TIME_UNITS_US)

    def parse(atom: Atom) -> int:
        value = _parse_quantity(atom, TIME_UNITS_US)
        if not limit(minimum) <= value <= limit(maximum):
            raise ValueError
        return value

    return ValueType(
        f"a time from {minimum} to {maximum} with its unit (us, ms, s, min, h, d), as 250ms", parse
    )


def size(minimum: int, maximum: int) -> ValueType:
    """Returns the type of a size with a unit; its value is in bytes."""

    def parse(atom: Atom) -> int:
        value = _parse_quantity(atom, SIZE_UNITS_BYTES)
        if not minimum <= value <= maximum:
            raise ValueError
        return value

    return ValueType(f"a size from {minimum} to {maximum} bytes with its unit (B, KiB, MiB), as 64KiB", parse)


def rate(maximum: float = 1e6) -> ValueType:
    """Returns the type of a rate above 0; its value is a float of events a second."""

    def parse(atom: Atom) -> float:
        match = None if atom.quoted else match_quantity(atom.text)
        if match is None or match[2] != "/s" or not 0 < float(match[1]) <= maximum:
            raise ValueError
        return float(match[1])

    return ValueType(f"a rate above 0 and up to {maximum:g}/s, as 50/s", parse)


def integer(minimum: int, maximum: int) -> ValueType:
    """Returns the type of a whole number without a unit."""

    def parse(atom: Atom) -> int:
        digits = atom.text.isascii() and atom.text.isdecimal() and len(atom.text) <= MAX_INTEGER_DIGITS
        if atom.quoted or not digits:
            raise ValueError
        if not minimum <= int(atom.text) <= maximum:
            raise ValueError
        return int(atom.text)

    return ValueType(f"a whole number from {minimum} to {maximum}", parse)


def number(minimum: float, maximum: float) -> ValueType:
    """Returns the type of a number without a unit; its value is a float."""

    def parse(atom: Atom) -> float:
        match = None if atom.quoted else match_quantity(atom.text)
        if match is None or match[2] or not minimum <= float(match[1]) <= maximum:
            raise ValueError
        return float(match[1])

    return ValueType(f"a number from {minimum:g} to {maximum:g}", parse)


def one_of(*words: str) -> ValueType:
    """Returns the type of a choice between unquoted words."""

    def parse(atom: Atom) -> str:
        if atom.quoted or atom.text not in words:
            raise ValueError
        return atom.text

    return ValueType("one of " + ", ".join(f"'{word}'" for word in words), parse)


def matching(pattern: str, expected: str) -> ValueType:
    """Returns the type of a text, quoted or not, that a regular expression matches completely."""
    fullmatch = re.compile(pattern).fullmatch

    def parse(atom: Atom) -> str:
        if not fullmatch(atom.text):
            raise ValueError
        return atom.text

    return ValueType(expected, parse)


def _parse_text(atom: Atom) -> str:
    if not atom.quoted or not atom.text or len(atom.text) > MAX_TEXT_LENGTH:
        raise ValueError
    return atom.text


def _parse_address(atom: Atom) -> tuple[str, int]:
    host, colon, port = atom.text.rpartition(":")
    if not colon or not host or not (port.isascii() and port.isdecimal()):
        raise ValueError
    if int(port[:MAX_PORT_DIGITS]) > MAX_PORT:
        raise ValueError
    return host, int(port)


TEXT = ValueType("a text in double quotes", _parse_text)
NAME = matching(r"[a-z][a-z0-9-]{0,39}", "a name of small letters, digits and '-', at most 40")
ADDRESS = ValueType("an address with a port, as 127.0.0.1:7443", _parse_address)
