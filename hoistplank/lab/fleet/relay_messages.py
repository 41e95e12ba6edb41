"""Messages between the rig and its relay processes: one JSON object a line, in both directions.

The rig sends a `RelayCommand`. Commands that open a path or read the counters are answered by one line, in
the order of the commands; the others have no answer.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

ConditionValue = bool | int | float


class PathAction(StrEnum):
    """What can be done to a stream path as a whole, in both directions."""

    OPEN = "open"  # accept connections again
    SHUT = "shut"  # refuse new connections and reset those that are open
    DEADEN = "deaden"  # keep open connections up, and let nothing through them any more


class OpenStreamPath(msgspec.Struct, forbid_unknown_fields=True, tag_field="do", tag="open-stream-path"):
    """Open a stream path to `target`, a port on loopback. Answered by `StreamPathOpened`."""

    name: str
    target: int


class OpenDatagramPath(msgspec.Struct, forbid_unknown_fields=True, tag_field="do", tag="open-datagram-path"):
    """Open a datagram path between two ports on loopback. Answered by `DatagramPathOpened`."""

    name: str
    near: int
    far: int


class Retarget(msgspec.Struct, forbid_unknown_fields=True, tag_field="do", tag="retarget"):
    """New connections of a stream path go to another port."""

    name: str
    target: int


class ApplyAction(msgspec.Struct, forbid_unknown_fields=True, tag_field="do", tag="apply-action"):
    """Apply one action to several stream paths."""

    paths: list[str]
    action: PathAction


class SetConditions(msgspec.Struct, forbid_unknown_fields=True, tag_field="do", tag="set-conditions"):
    """Change fields of `PathConditions` in one direction of several paths; other fields stay as they are."""

    paths: list[str]
    backward: bool
    conditions: dict[str, ConditionValue]


class ReadStatistics(msgspec.Struct, forbid_unknown_fields=True, tag_field="do", tag="read-statistics"):
    """Read the counters of the process. Answered by `RelayStatistics`."""


RelayCommand = OpenStreamPath | OpenDatagramPath | Retarget | ApplyAction | SetConditions | ReadStatistics


class StreamPathOpened(msgspec.Struct):
    """The port at which the near party reaches the far one."""

    port: int


class DatagramPathOpened(msgspec.Struct):
    """The ports that stand for the far party (as seen by the near one) and for the near party."""

    far_port: int
    near_port: int


class RelayStatistics(msgspec.Struct):
    """Counters of one relay process, or of several together.

    `late_us` maps a percentile ("50", "99", "100") to the relay's own lateness in microseconds.
    """

    chunks: int = 0
    bytes: int = 0
    cpu_s: float = 0.0
    late_us: dict[str, int] = {}
    connections: int = 0


RelayAnswer = StreamPathOpened | DatagramPathOpened | RelayStatistics
