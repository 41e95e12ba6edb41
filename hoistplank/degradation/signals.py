"""The signals that a level's conditions may name: meaning, unit, half-life of smoothing. No I/O, no clock."""

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
    """What a signal means, with its unit, and the half-life of its smoothing in microseconds."""

    meaning: str
    half_life_us: int


# By the name that the operator's file has. A name that ends in ':' is a family: `goal:booking` is the share
# of one traffic class's requests within the latency target, `fills:parent-0` that of fills through a parent.
SIGNALS: dict[str, Signal] = {
    LOOP_LAG: Signal("how late the loop runs, in ms", SECOND_US // 2),
    OPEN_REQUESTS: Signal("open requests, as a share of the admission limit", SECOND_US // 2),
    SHED_REQUESTS: Signal("share of requests shed because the core is full", 2 * SECOND_US),
    MEMORY: Signal("resident memory, as a share of the limit", 5 * SECOND_US),
    DESCRIPTORS: Signal("descriptors in use, as a share of the limit", 2 * SECOND_US),
    LINK: Signal("the location's link as its cache hosts report it, 1 is full", 2 * SECOND_US),
    LATENCY_OBJECTIVE: Signal(
        "share of utility of answered requests that came within the latency target", 5 * SECOND_US
    ),
    LATENCY_OBJECTIVE + FAMILY_SEPARATOR: Signal(
        "share of the traffic class's requests answered within the latency target", 5 * SECOND_US
    ),
    FILLS: Signal("share of fills that came within the latency target", 5 * SECOND_US),
    FILLS + FAMILY_SEPARATOR: Signal(
        "share of fills through the parent that came within the latency target", 5 * SECOND_US
    ),
    ORIGIN_SLOWDOWN: Signal("how slow fills not caused by a purge are, against their usual", 3 * SECOND_US),
    PURGE_FILLS: Signal("share of fills that a purge of the last 30 s caused", 3 * SECOND_US),
}


def family_of(name: str) -> str:
    """The key of a signal's half-life: `goal:` of `goal:booking`, else the name itself."""
    family, separator, _ = name.partition(FAMILY_SEPARATOR)
    return family + separator


def member(family: str, name: str) -> str:
    """The signal of one traffic class or parent."""
    return f"{family}{FAMILY_SEPARATOR}{name}"


def default_half_life_us(name: str) -> int:
    """The half-life of a signal; raises KeyError for a name that is no signal."""
    if name in SIGNALS:
        return SIGNALS[name].half_life_us
    family = family_of(name)
    if family == name:  # neither a signal nor a member of a family
        raise KeyError(name)
    return SIGNALS[family].half_life_us
