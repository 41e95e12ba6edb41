"""The signals that conditions of levels may name: meaning, unit and half-life. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass

SECOND_US = 1_000_000

LOOP_LAG = "lag"
OPEN_REQUESTS = "open"
SHED_REQUESTS = "refused"
MEMORY = "memory"
DESCRIPTORS = "descriptors"
LINK = "link"
LATENCY_OBJECTIVE = "goal"
FILLS = "fills"
ORIGIN_SLOWDOWN = "archive"
PURGE_FILLS = "purge-fills"

FAMILY_SEPARATOR = ":"


@dataclass(frozen=True, slots=True)
class Signal:
    """The meaning of a signal with its unit, and the half-life of its smoothing in microseconds."""

    meaning: str
    half_life_us: int


# Keyed by the name in the operator file. A name that ends in ':' is a family: `goal:booking` is the share of
# one traffic class's requests within the latency target, `fills:parent-0` that of the fills through a parent.
SIGNALS: dict[str, Signal] = {
    LOOP_LAG: Signal("lag of the event loop, in ms", SECOND_US // 2),
    OPEN_REQUESTS: Signal("open requests, as a share of the admission limit", SECOND_US // 2),
    SHED_REQUESTS: Signal("share of requests shed because the core is saturated", 2 * SECOND_US),
    MEMORY: Signal("resident memory, as a share of the limit", 5 * SECOND_US),
    DESCRIPTORS: Signal("descriptors in use, as a share of the limit", 2 * SECOND_US),
    LINK: Signal(
        "utilization of the location's link as its cache hosts report it, 1 at capacity", 2 * SECOND_US
    ),
    LATENCY_OBJECTIVE: Signal(
        "share of answered requests within the latency target, weighted by utility", 5 * SECOND_US
    ),
    LATENCY_OBJECTIVE + FAMILY_SEPARATOR: Signal(
        "share of the traffic class's answered requests within the latency target", 5 * SECOND_US
    ),
    FILLS: Signal("share of fills within the latency target", 5 * SECOND_US),
    FILLS + FAMILY_SEPARATOR: Signal(
        "share of fills through the parent within the latency target", 5 * SECOND_US
    ),
    ORIGIN_SLOWDOWN: Signal(
        "slowdown of fills not caused by a purge, as a ratio to the usual slowdown", 3 * SECOND_US
    ),
    PURGE_FILLS: Signal("share of fills caused by a purge of the last 30 s", 3 * SECOND_US),
}


def family_of(name: str) -> str:
    """Returns the family of a member (`goal:` of `goal:booking`), or the name itself."""
    family, separator, _ = name.partition(FAMILY_SEPARATOR)
    return family + separator


def member(family: str, name: str) -> str:
    """Returns the name of a family's signal for one traffic class or parent."""
    return f"{family}{FAMILY_SEPARATOR}{name}"


def default_half_life_us(name: str) -> int:
    """Returns the default half-life of a signal; raises KeyError for an unknown signal."""
    if name in SIGNALS:
        return SIGNALS[name].half_life_us
    family = family_of(name)
    if family == name:  # neither a signal nor a member of a family
        raise KeyError(name)
    return SIGNALS[family].half_life_us
