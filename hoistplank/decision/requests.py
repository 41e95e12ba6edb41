"""The records of a request, its attempts and its herd, and the running averages of its traffic class."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from hoistplank.decision.hosts import PARENT, Host
from hoistplank.decision.settings import TrafficClass

# Weights of one sample in the moving averages. Sizes vary widely while their mean hardly changes: 1 in 50.
SENDING_TIME_WEIGHT = 0.02
# 1 in 12, about the fills of a second in a busy class: the start and the end of a slow origin both show soon.
FILL_WEIGHT = 0.08

# The capacity of a herd's token bucket, in requests.
BUCKET_SIZE = 1.0


class TrafficClassState:
    """The moving averages of a traffic class: its sending time, and how late its fills are."""

    __slots__ = ("fill_excess_us", "fills_in_flight", "in_time_share", "sending_time_us", "traffic_class")

    def __init__(self, traffic_class: TrafficClass) -> None:
        self.traffic_class = traffic_class
        # The initial value, an upper bound: the objective is longer than the sending time.
        self.sending_time_us = float(traffic_class.latency_objective_us)
        self.fill_excess_us = 0.0  # mean time that a fill takes beyond the sending time
        self.in_time_share = 1.0  # share of the fills that meet the latency objective
        self.fills_in_flight = 0  # changed by concurrency.py

    def record_sending_time(self, sending_time_us: float) -> None:
        """Adds the sending time of one answer to the average."""
        self.sending_time_us += (sending_time_us - self.sending_time_us) * SENDING_TIME_WEIGHT

    def record_fill(self, in_time: bool, excess_us: float) -> None:
        """Adds one fill to the averages."""
        self.fill_excess_us += (max(0.0, excess_us) - self.fill_excess_us) * FILL_WEIGHT
        self.in_time_share += (in_time - self.in_time_share) * FILL_WEIGHT


class HostOrder(NamedTuple):
    """The preference order of caches and parents for one object, for one version of the host table."""

    version: int
    caches: list[Host]
    parents: list[Host]


NO_ORDER = HostOrder(-1, [], [])


class PossibleRun(NamedTuple):
    """An attempt that may have run: when it was sent, and where."""

    sent_us: int
    host: Host


@dataclass(slots=True, eq=False)
class Request:
    """A request from its arrival until it is answered and none of its attempts is in flight."""

    id: str
    class_state: TrafficClassState
    traffic_class: TrafficClass
    object_key: str
    part: int
    purge_group: int
    deadline_us: int
    is_repeat: bool
    known_sending_time_us: float = 0.0  # 0 if the size is not known
    latest_start_us: int = 0  # the latest time at which an attempt can start and still be in time
    closed: bool = False
    # Attempts.
    attempts_made: int = 0
    in_flight: dict[int, Attempt] = field(default_factory=dict)
    last_host: Host | None = None
    # By number, the attempts of which no outcome has proven that they never ran, those in flight included.
    possible_runs: dict[int, PossibleRun] = field(default_factory=dict)
    failed_hosts: list[Host] = field(default_factory=list)
    # State while the request waits.
    next_placement_us: int = 0  # earliest time of the next try to place it
    not_before_us: int = 0  # end of its backoff
    missed_host: Host | None = None  # the cache host that last reported a miss
    missed_us: int = 0
    stale_allowed: bool = False
    in_herd: bool = False
    herd: Herd | None = None
    order: HostOrder = NO_ORDER  # used only if it belongs to no herd

    @property
    def first_run(self) -> PossibleRun | None:
        """The first attempt that may have run; None if each has been proven never to have run."""
        return next(iter(self.possible_runs.values()), None)

    def sending_time_us(self) -> float:
        """Returns the time that sending its answer takes; the mean of its class if its size is unknown."""
        return self.known_sending_time_us or self.class_state.sending_time_us

    def objective_us(self, sending_time_us: float) -> float:
        """Returns the latency objective for an answer of this sending time."""
        traffic_class = self.traffic_class
        stretched_us = traffic_class.latency_objective_us + traffic_class.objective_stretch * sending_time_us
        return min(stretched_us, traffic_class.deadline_us)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt at a cache host.

    `answers_locally`: the host answers without a fill, with a copy that it is known to have or with a miss.
    `is_uncancellable`: it can't be cancelled any more, since it was cancelled or its answer has begun.
    """

    request: Request
    number: int
    host: Host
    source: Host | None
    sent_us: int
    is_fill: bool
    answers_locally: bool
    is_uncancellable: bool = False

    def awaited_host(self) -> Host:
        """Returns the host that must answer next: the parent of a fill from a parent, else the cache host."""
        source = self.source
        if self.is_fill and source is not None and source.tier == PARENT:
            return source
        return self.host


@dataclass(slots=True, eq=False)
class Herd:
    """The concurrent requests for one object part in one traffic class, and the last copy of that part."""

    last_request_us: int
    tokens: float = BUCKET_SIZE
    leader: Attempt | None = None  # the fill that the other requests wait for
    # The last known copy: its host, the incarnation of that host, and the time at which it was last seen.
    host: Host | None = None
    host_incarnation: int = 0
    seen_us: int = 0
    fetched_us: int = 0  # the earliest time at which it may have been fetched from the origin
    order: HostOrder = NO_ORDER  # computed once for all its requests
