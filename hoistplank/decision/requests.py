"""The records of a request, its attempts and its herd, and the running figures of its traffic class."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from hoistplank.decision.hosts import PARENT, Host
from hoistplank.decision.settings import TrafficClass

# Sizes vary widely, their mean hardly moves: each counts for 1 in 50.
SENDING_TIME_WEIGHT = 0.02
# Each fill counts for 1 in 12, about a second's fills of a busy class: a slow origin and its end both show
# soon.
FILL_WEIGHT = 0.08

# The bucket of a herd holds one request.
BUCKET_SIZE = 1.0

NEVER_US = -1


class TrafficClassState:
    """The running figures of a traffic class: its mean sending time, and how its fills have fared."""

    __slots__ = ("fill_excess_us", "fills_in_flight", "in_time_share", "sending_time_us", "traffic_class")

    def __init__(self, traffic_class: TrafficClass) -> None:
        self.traffic_class = traffic_class
        # Until some are seen: objectives lie above the sending time.
        self.sending_time_us = float(traffic_class.latency_objective_us)
        self.fill_excess_us = 0.0  # by how much a fill takes longer than the sending time
        self.in_time_share = 1.0  # of the fills, those that meet the latency objective
        self.fills_in_flight = 0  # changed by concurrency.py

    def record_sending_time(self, sending_time_us: float) -> None:
        """Takes the sending time of one answer into the mean."""
        self.sending_time_us += (sending_time_us - self.sending_time_us) * SENDING_TIME_WEIGHT

    def record_fill(self, in_time: bool, excess_us: float) -> None:
        """Takes one fill into the running figures."""
        self.fill_excess_us += (max(0.0, excess_us) - self.fill_excess_us) * FILL_WEIGHT
        self.in_time_share += (in_time - self.in_time_share) * FILL_WEIGHT


class HostOrder(NamedTuple):
    """The caches and parents in the order for one object, for one version of the host table."""

    version: int
    caches: list[Host]
    parents: list[Host]


NO_ORDER = HostOrder(-1, [], [])


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
    known_sending_time_us: float = 0.0  # 0 where the size is not known
    latest_start_us: int = 0  # the last moment for an attempt that can still be in time
    closed: bool = False
    # Its attempts.
    attempts_made: int = 0
    in_flight: dict[int, Attempt] = field(default_factory=dict)
    last_host: Host | None = None
    first_run_us: int = NEVER_US  # when the first attempt that may have run was sent
    first_run_host: Host | None = None
    failed_hosts: list[Host] = field(default_factory=list)
    # While it waits.
    next_placement_us: int = 0
    not_before_us: int = 0
    missed_host: Host | None = None  # where no copy was found
    missed_us: int = 0
    stale_allowed: bool = False
    in_herd: bool = False
    herd: Herd | None = None
    order: HostOrder = NO_ORDER  # while it belongs to no herd

    def sending_time_us(self) -> float:
        """How long its answer takes to send; the mean of its class where its size is not known."""
        return self.known_sending_time_us or self.class_state.sending_time_us

    def objective_us(self, sending_time_us: float) -> float:
        """Within which time an answer of that sending time meets the latency objective."""
        traffic_class = self.traffic_class
        stretched_us = traffic_class.latency_objective_us + traffic_class.objective_stretch * sending_time_us
        return min(stretched_us, traffic_class.deadline_us)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt at a cache host.

    `answers_locally`: the cache answers by itself, from a copy that it is known to have, or that it has none.
    `is_uncancellable`: it can't be cancelled any more: it was, or its answer has begun.
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
        """The host that is to answer next: of a fill from a listed parent the parent, else the cache host."""
        source = self.source
        if self.is_fill and source is not None and source.tier == PARENT:
            return source
        return self.host


@dataclass(slots=True, eq=False)
class Herd:
    """What is known of one object part and traffic class."""

    last_request_us: int
    tokens: float = BUCKET_SIZE
    leader: Attempt | None = None  # the fill that the others wait for
    # The last copy that was seen.
    host: Host | None = None
    host_incarnation: int = 0
    seen_us: int = 0
    fetched_us: int = 0  # the earliest moment at which it may have been fetched from the origin
    order: HostOrder = NO_ORDER  # worked out once for all its requests
