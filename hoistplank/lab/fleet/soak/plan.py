"""What goes wrong in one run of the soak, drawn from its seed. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

from hoistplank.lab.fleet.soak.classes import SoakClass, draw_classes

RUN_S = 9.0  # in which clients send
WARM_S = 0.8  # before the first fault
QUIET_S = 1.5  # at the end, without new faults
FEW_DISPATCHERS, CROWDED_DISPATCHERS = 3, 12
CROWDED_SHARE = 0.15  # of the runs
LEAST_FAULTS, MOST_FAULTS = 5, 9
LEAST_PURGES = 8
LEAST_FAILING_HOSTS, MOST_FAILING_HOSTS = 3, 5
ORIGIN_TARGET = 0  # the number of the origin among the hosts
FAILING_HOST_S, FAILING_SHARE = (3.0, 5.5), (0.4, 0.95)
SHORT_IO_SHARE = 0.4
# A log that was asked owes its answer within 3 s: silence that is longer is an outage, of which a refused
# connection is the form that dispatchers can tell at once.
MOST_SILENCE_S = 2.4


class FaultKind(StrEnum):
    """The kinds of faults."""

    CRASH = "crash"  # SIGKILL, and started again with the list of then
    RETIRE = "retire"  # SIGTERM, SIGKILL at its earliest, started again
    SIGNALS = "signals"  # SIGHUP and SIGTERM in series
    FREEZE = "freeze"  # SIGSTOP for a time
    DRAIN = "drain"  # of a cache host or a parent
    REPLACE = "replace"  # a host is gone, another comes under a new name
    PURGE = "purge"
    SLOW_LOG = "slow log"  # answers a new connection late, and is asked anew
    CROWDED_LOG = "crowded log"  # in pieces with pauses, and is asked anew
    SILENT_LOG = "silent log"
    REFUSED_LOG = "refused log"
    CLOCK = "clock"  # the wall clock is stepped
    CALLS = "calls"  # accept, socket, connect fail for a moment
    SHORT_IO = "short reads and writes"
    FAILING_HOST = "failing host"  # a share of its attempts ends other than by an answer in time


# Drains and restarts are what the log's faults matter for.
WEIGHTS = {
    FaultKind.CRASH: 3,
    FaultKind.RETIRE: 2,
    FaultKind.SIGNALS: 1,
    FaultKind.FREEZE: 2,
    FaultKind.DRAIN: 5,
    FaultKind.REPLACE: 2,
    FaultKind.PURGE: 3,
    FaultKind.SLOW_LOG: 3,
    FaultKind.CROWDED_LOG: 2,
    FaultKind.SILENT_LOG: 1,
    FaultKind.REFUSED_LOG: 2,
    FaultKind.CLOCK: 2,
    FaultKind.CALLS: 2,
    FaultKind.SHORT_IO: 1,
    FaultKind.FAILING_HOST: 0,  # each run has its own
}
FAILING_CALLS = {
    "accept": ("ECONNABORTED", "ENFILE", "ENOBUFS", "EMFILE"),
    "socket": ("ENFILE", "ENOBUFS"),
    "connect": ("EADDRNOTAVAIL", "ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT"),
}
CLOCK_STEPS_S = (-3_600.0, -4.0, 4.0, 3_600.0)


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: when it comes (s of the run), what it strikes, and how strongly.

    `target`: a number, taken modulo what there is. `length_s`: how long it lasts, where it lasts.
    """

    at_s: float
    kind: FaultKind
    target: int
    length_s: float
    amount: float = 0.0
    call: str = ""
    errors: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """One run: how many dispatchers, whether more requests come than are carried, and the faults in order."""

    seed: int
    dispatchers: int
    is_crowded: bool
    faults: list[Fault] = field(default_factory=list)
    classes: tuple[SoakClass, ...] = ()


def draw_plan(seed: int) -> SoakPlan:
    """The plan of a seed: the same each time."""
    random = Random(seed)
    is_crowded = random.random() < CROWDED_SHARE
    count = random.randint(LEAST_FAULTS, MOST_FAULTS)
    times = sorted(random.uniform(WARM_S, RUN_S - QUIET_S) for _ in range(count))
    faults = [_draw_fault(random, at_s) for at_s in times]
    # Each run has the moment of the incident: a drain while a process is away, and a log that answers late.
    at_s = random.uniform(WARM_S, RUN_S / 2)
    victim = random.randrange(1_000)
    faults += [
        Fault(at_s, FaultKind.SLOW_LOG, victim, 3.0, random.uniform(0.2, 1.5)),
        Fault(at_s + 0.05, FaultKind.CRASH, victim, 0.3),
        Fault(at_s + random.uniform(0.1, 0.4), FaultKind.DRAIN, random.randrange(1_000), 0.0),
    ]
    # And one planned restart, and purges of objects that are asked for again.
    faults.append(Fault(random.uniform(RUN_S / 4, RUN_S / 2), FaultKind.RETIRE, victim + 1, 0.0))
    for _ in range(LEAST_PURGES):
        at_s = random.uniform(WARM_S, RUN_S / 3)
        faults.append(Fault(at_s, FaultKind.PURGE, random.randrange(1_000), 0.0))
    faults += _draw_failing_hosts(seed)
    faults.sort(key=lambda fault: fault.at_s)
    dispatchers = CROWDED_DISPATCHERS if is_crowded else FEW_DISPATCHERS
    return SoakPlan(seed, dispatchers, is_crowded, faults, draw_classes(seed))


def _draw_failing_hosts(seed: int) -> list[Fault]:
    """The origin fails in each run, and so do some other hosts; writes are short for a part of that time."""
    random = Random(f"failing hosts {seed}")
    faults = []
    for number in range(random.randint(LEAST_FAILING_HOSTS, MOST_FAILING_HOSTS)):
        at_s, length_s = random.uniform(WARM_S, RUN_S / 3), random.uniform(*FAILING_HOST_S)
        target = ORIGIN_TARGET if number == 0 else random.randrange(1_000)
        share = random.uniform(*FAILING_SHARE)
        faults.append(Fault(at_s, FaultKind.FAILING_HOST, target, length_s, share))
    if random.random() < SHORT_IO_SHARE:
        at_s = faults[0].at_s + 0.2
        faults.append(Fault(at_s, FaultKind.SHORT_IO, random.randrange(1_000), 1.5))
    return faults


def _draw_fault(random: Random, at_s: float) -> Fault:
    kind = random.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
    length_s, amount, call, errors = random.uniform(0.3, MOST_SILENCE_S), 0.0, "", tuple[str, ...]()
    if kind is FaultKind.SLOW_LOG:
        amount = random.uniform(0.1, 1.8)  # s until a new connection is answered
    elif kind is FaultKind.CROWDED_LOG:
        amount = random.uniform(0.005, 0.05)  # s between pieces
    elif kind is FaultKind.FREEZE:
        length_s = random.uniform(0.1, 1.5)
    elif kind is FaultKind.CLOCK:
        amount = random.choice(CLOCK_STEPS_S)
    elif kind is FaultKind.CALLS:
        call = random.choice(list(FAILING_CALLS))
        errors = tuple(random.choice(FAILING_CALLS[call]) for _ in range(random.randint(1, 4)))
    return Fault(at_s, kind, random.randrange(1_000), length_s, amount, call, errors)
