"""KNOWN-RED.txt: tests that fail for a real fault that is not mended yet; a line each: test, cause, issue."""

from __future__ import annotations

import re
from typing import NamedTuple

MOST = 3
LINE = re.compile(r"(tests/\S+::\S.*?)\s*\|\s*(\S.*?)\s*\|\s*(\d+)\s*")


class Red(NamedTuple):
    test: str
    cause: str
    issue: int


class BadList(Exception):
    """Its text says what is wrong with the list, and in which line."""


def read(text: str) -> list[Red]:
    """The lines `test | cause | issue`; raises BadList on another form, one test twice, or too many."""
    found = list[Red]()
    for number, line in enumerate(text.splitlines(), 1):
        fit = LINE.fullmatch(line)
        if fit is None:
            raise BadList(f"KNOWN-RED.txt, line {number}: '{line[:80]}' is not 'test | cause | issue number'")
        found.append(Red(fit[1], fit[2], int(fit[3])))
    if len(found) > MOST:
        raise BadList(f"KNOWN-RED.txt has {len(found)} lines; {MOST} at most")
    if len({red.test for red in found}) < len(found):
        raise BadList("KNOWN-RED.txt names a test twice")
    return found


def unknown(found: list[Red], collected: set[str]) -> list[str]:
    """The names of those that stand for no test; a name without a case stands for all its cases."""
    known = collected | {name.partition("[")[0] for name in collected}
    return [red.test for red in found if red.test not in known]
