"""What the scale run and its child processes tell each other: a line of JSON a message."""

from __future__ import annotations

from typing import Any

import msgspec


class HollowDispatcherPlan(msgspec.Struct, frozen=True):
    """One hollow dispatcher: its number, name and region in the fleet, its settings, and the ports of its
    source: of the change log, or of each control replica."""

    number: int
    name: str
    region: str
    settings: dict[str, Any]
    ports: list[int]


class HollowPlan(msgspec.Struct, frozen=True):
    """The first line to a process of hollow dispatchers. `known`: the list that each has at its start, as in
    a configuration file. `through`: which follower they use; `broken`: the broken build, if any, of those
    whose numbers `broken_numbers` holds; `audited`: whether their Routers are looked into."""

    seats: list[HollowDispatcherPlan]
    known: dict[str, Any]
    through: str = "log"
    broken: str = ""
    broken_numbers: list[int] = []
    seed: int = 1
    audited: bool = True


class Start(msgspec.Struct, frozen=True, tag="start"):
    """Start these dispatchers, each as a new process would; `epoch`: the source's present one."""

    numbers: list[int]
    epoch: int


class Stop(msgspec.Struct, frozen=True, tag="stop"):
    """End these dispatchers, as the end of their machine would."""

    numbers: list[int]


class HostState(msgspec.Struct, frozen=True):
    """What an event says of one cache host."""

    host: str
    state: str
    started_us: int
    units: float


class Expect(msgspec.Struct, frozen=True, tag="expect"):
    """An event that the source tells: what must be found in a Router that has it in force."""

    epoch: int
    number: int
    purged: str = ""
    made_us: int = 0
    hosts: list[HostState] = []
    configures: bool = False


class AskUsage(msgspec.Struct, frozen=True, tag="usage"):
    """Tell what was used so far; answered with `Usage`."""


Command = Start | Stop | Expect | AskUsage


class Ready(msgspec.Struct, frozen=True, tag="ready"):
    """The process has read its plan; `rss_kb`: its memory before any dispatcher is there."""

    rss_kb: int


class Acknowledged(msgspec.Struct, frozen=True, tag="acknowledged"):
    """Dispatchers that say what they have in force: numbers, epochs, positions and times (us, monotonic), one
    of each for an acknowledgement."""

    numbers: list[int]
    epochs: list[int]
    positions: list[int]
    at_us: list[int]


class FalseAcknowledgement(msgspec.Struct, frozen=True, tag="false"):
    """A dispatcher said that it has an event in force, and its Router does not."""

    number: int
    epoch: int
    position: int
    what: str


class Usage(msgspec.Struct, frozen=True, tag="usage"):
    """Of a process, since its start: processor time (s), memory (KB), and its loop's lateness (us) since the
    last such answer. `running`: dispatchers; `reconnects`: connections to the source that they have lost."""

    cpu_s: float
    rss_kb: int
    late_us: list[int]
    running: int
    audited: int
    reconnects: int


Report = Ready | Acknowledged | FalseAcknowledgement | Usage


class OpenDoors(msgspec.Struct, frozen=True, tag="doors"):
    """Open a listening port for each name; answered with `Doors`."""

    names: list[str]


class Tell(msgspec.Struct, frozen=True, tag="tell"):
    """Add events to the change log, in their order."""

    events: list[dict[str, Any]]


class BeginAnew(msgspec.Struct, frozen=True, tag="anew"):
    """Lose all events and connections, as a log does that restarts without its state, and count from 1.
    `epoch`: told from then on, 0 for none."""

    epoch: int = 0


class AskLogUsage(msgspec.Struct, frozen=True, tag="usage"):
    """Tell what was used so far; answered with `LogUsage`."""


LogCommand = OpenDoors | Tell | BeginAnew | AskLogUsage


class Doors(msgspec.Struct, frozen=True, tag="doors"):
    """The port of each name."""

    ports: dict[str, int]


class DoorUsage(msgspec.Struct, frozen=True):
    """Of one port, since the start."""

    connections: int = 0
    open: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    lines_out: int = 0


class LogUsage(msgspec.Struct, frozen=True, tag="usage"):
    """Of the change log's process, since its start; lateness since the last such answer."""

    cpu_s: float
    rss_kb: int
    late_us: list[int]
    doors: dict[str, DoorUsage]


LogReport = Doors | LogUsage
