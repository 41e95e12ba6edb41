"""Messages between the coordinator and the processes of the load tool, one JSON message a line."""

from __future__ import annotations

import msgspec

from hoistplank.lab.load.schedule import Step
from hoistplank.lab.load.traffic_mix import ClassShare

HIGHEST_US = 60_000_000  # the range of all histograms: of latencies and of lateness
SIGNIFICANT_DIGITS = 3


class LoadSettings(msgspec.Struct, frozen=True):
    """Settings shared by all processes of a run."""

    deadline_ms: int = 1_500
    objects: int = 1_000
    zipf: float = 1.0
    connections: int = 4  # opened by each process before the run
    max_connections: int = 64  # of each process
    fresh_share: float = 0.0  # of requests: each over a connection of its own
    tokens: tuple[str, ...] = ()
    groups: int = 1
    ca: str = ""
    certificate: str = ""
    seed: int = 1
    target_ms: int = 0  # a success within this time of its due time counts as "in target"; 0: none does


class LoadJob(msgspec.Struct, frozen=True, kw_only=True):
    """The work of one process: every `parts`-th request of the schedule, beginning with `part`."""

    host: str
    port: int
    steps: tuple[Step, ...]
    mix: tuple[ClassShare, ...]
    part: int
    parts: int
    start_time: float  # Unix seconds, the same for all processes
    settings: LoadSettings


class Progress(msgspec.Struct, tag=True):
    """The progress of a process, sent about twice a second."""

    at_s: float
    sent: int
    answered: int


class Failure(msgspec.Struct, tag=True):
    """A process failed."""

    reason: str


class PartResult(msgspec.Struct, tag=True):
    """The measurements of one process; histograms are in microseconds, in HdrHistogram's encoding."""

    counts: dict[str, int]
    lateness: str
    latencies: list[str]  # by traffic class, as in the mix
    statuses: list[dict[str, int]]  # by traffic class
    tenants: list[dict[str, int]]
    cpu_s: float


Message = Progress | Failure | PartResult
