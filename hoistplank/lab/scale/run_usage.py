"""What the processes of a scale run used over time, from samples of their counters. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from hoistplank.lab.scale.hollow_messages import DoorUsage
from hoistplank.lab.scale.run_lateness import TICK_S

LEAST_S = 0.5  # between two samples whose difference counts
LATE_QUANTILE = 0.99
LEAST_SHARED = 2  # dispatchers of a process: of fewer, what the rig itself does would count as theirs


@dataclass(frozen=True, slots=True)
class HollowSample:
    """A process of hollow dispatchers at a moment."""

    at_us: int
    process: int
    cpu_s: float
    rss_kb: int
    running: int
    late_us: list[int]
    audited: int = 0
    reconnects: int = 0


@dataclass(frozen=True, slots=True)
class LogSample:
    """The change log's process at a moment."""

    at_us: int
    cpu_s: float
    rss_kb: int
    late_us: list[int]
    doors: dict[str, DoorUsage]


@dataclass(frozen=True, slots=True)
class ReplicaSample:
    """A replica at a moment: processor time since its start, memory; `life` rises with each start."""

    at_us: int
    number: int
    life: int
    cpu_s: float
    rss_kb: int


@dataclass(frozen=True, slots=True)
class PathSample:
    """What relays carried by a moment: between dispatchers and what they follow, and behind that."""

    at_us: int
    front_bytes: int
    back_bytes: int


class Use(msgspec.Struct, frozen=True):
    """Within a time. A hollow dispatcher: share of a core and bytes a second, mean and the most over any
    second of any process (or door). The log: share of a core, mean and most, and bytes a second out."""

    dispatcher_core: float
    dispatcher_core_most: float
    dispatcher_bytes_s: float
    dispatcher_bytes_s_most: float
    dispatcher_lines_s: float
    log_core: float
    log_core_most: float
    log_bytes_s: float
    replica_core: float = 0.0  # of the replica that used most, mean over the time
    replica_core_most: float = 0.0  # of any replica in any second
    replica_memory_mb: float = 0.0  # of the largest
    back_bytes_s: float = 0.0  # of the replicas with the log and each other, all together


def late_ms(samples: Iterable[list[int]]) -> float:
    """How late a loop was at 99 % of all moments, in ms.

    Danger: a loop that stands still for a second takes one sample meanwhile, one that runs well fifty: by
    their number alone the late ones would vanish. Each counts for the time that it stands for.
    """
    values = sorted(value for sample in samples for value in sample)
    tick_us = TICK_S * 1e6
    left = LATE_QUANTILE * sum(value + tick_us for value in values)
    for value in values:
        left -= value + tick_us
        if left <= 0:
            return round(value / 1e3, 2)
    return 0.0


class UsageSeries:
    """All samples of a run, in the order of their times."""

    def __init__(self) -> None:
        self.hollow: list[HollowSample] = []
        self.log: list[LogSample] = []
        self.replicas: list[ReplicaSample] = []
        self.paths: list[PathSample] = []
        self.own_late_us: list[tuple[int, list[int]]] = []  # of the run's own process

    def use(self, begin_us: int, end_us: int) -> Use:
        rates = self._hollow_rates(begin_us, end_us)
        log = [row for row in self.log if begin_us <= row.at_us < end_us]
        pairs = zip(log, log[1:], strict=False)
        cores = [core for core in (_rate(one, two) for one, two in pairs) if core is not None]
        doors = self._door_rates(log)
        lines = _slope(log, lambda row: sum(door.lines_out for door in row.doors.values()))
        out = _slope(log, lambda row: sum(door.bytes_out for door in row.doors.values()))
        open_now = sum(door.open for door in log[-1].doors.values()) if log else 0
        paths = [row for row in self.paths if begin_us <= row.at_us < end_us]
        if self.replicas:
            # Dispatchers don't follow the log: what they get and answer is what their paths carry.
            running = {row.process: row.running for row in self.hollow if begin_us <= row.at_us < end_us}
            many = max(1, sum(running.values()))
            bytes_s = _slope(paths, lambda row: row.front_bytes) / many
            stretches = [[one, two] for one, two in zip(paths, paths[1:], strict=False)]
            doors = [_slope(stretch, lambda row: row.front_bytes) / many for stretch in stretches]
            lines = 0.0
        else:
            bytes_s = out / max(1, open_now)
            lines = lines / max(1, open_now)
        replica = self._replica_rates(begin_us, end_us)
        return Use(
            dispatcher_core=_mean([core for core, _ in rates], [weight for _, weight in rates]),
            dispatcher_core_most=max((core for core, _ in rates), default=0.0),
            dispatcher_bytes_s=bytes_s,
            dispatcher_bytes_s_most=max(doors, default=0.0),
            dispatcher_lines_s=lines,
            log_core=_slope(log, lambda row: row.cpu_s),
            log_core_most=max(cores, default=0.0),
            log_bytes_s=out,
            replica_core=max((mean for mean, _ in replica), default=0.0),
            replica_core_most=max((most for _, most in replica), default=0.0),
            replica_memory_mb=self._replica_memory_mb(begin_us, end_us),
            back_bytes_s=_slope(paths, lambda row: row.back_bytes),
        )

    def _replica_rates(self, begin_us: int, end_us: int) -> list[tuple[float, float]]:
        """Of each replica's life: share of a core over the time, and the most between two samples."""
        lives: dict[tuple[int, int], list[ReplicaSample]] = {}
        for row in self.replicas:
            if begin_us <= row.at_us < end_us:
                lives.setdefault((row.number, row.life), []).append(row)
        found = []
        for rows in lives.values():
            pairs = zip(rows, rows[1:], strict=False)
            cores = [core for core in (_rate(one, two) for one, two in pairs) if core is not None]
            if cores:
                found.append((_slope(rows, lambda row: row.cpu_s), max(cores)))
        return found

    def _replica_memory_mb(self, begin_us: int, end_us: int) -> float:
        held = [row.rss_kb / 1_024 for row in self.replicas if begin_us <= row.at_us < end_us]
        return max(held, default=0.0)

    def memory_bytes(self, empty_kb: dict[int, int], begin_us: int, end_us: int) -> float:
        """The most a hollow dispatcher held: growth of its process since it was empty, shared out."""
        rows = [row for row in self.hollow if begin_us <= row.at_us < end_us and row.running]
        held = [(row.rss_kb - empty_kb[row.process]) * 1_024 / row.running for row in rows]
        return max(held, default=0.0)

    def late_ms(self, begin_us: int, end_us: int) -> dict[str, float]:
        """How late each kind of process ran (99th percentile, ms)."""
        hollow = [row.late_us for row in self.hollow if begin_us <= row.at_us < end_us]
        log = [row.late_us for row in self.log if begin_us <= row.at_us < end_us]
        own = [late for at_us, late in self.own_late_us if begin_us <= at_us < end_us]
        return {"hollow": late_ms(hollow), "log": late_ms(log), "run": late_ms(own)}

    def _hollow_rates(self, begin_us: int, end_us: int) -> list[tuple[float, float]]:
        """Share of a core a dispatcher, of each process between two samples, with its weight."""
        by_process: dict[int, list[HollowSample]] = {}
        for row in self.hollow:
            if begin_us <= row.at_us < end_us:
                by_process.setdefault(row.process, []).append(row)
        rates = []
        for rows in by_process.values():
            for one, two in zip(rows, rows[1:], strict=False):
                core = _rate(one, two)
                if core is not None and two.running >= LEAST_SHARED:
                    rates.append((core / two.running, two.running * (two.at_us - one.at_us) / 1e6))
        return rates

    def _door_rates(self, log: list[LogSample]) -> list[float]:
        """Bytes a second a follower, at each door between two samples."""
        rates = []
        for one, two in zip(log, log[1:], strict=False):
            took_s = (two.at_us - one.at_us) / 1e6
            if took_s < LEAST_S:
                continue
            for name, door in two.doors.items():
                before = one.doors.get(name, DoorUsage())
                if door.open:
                    rates.append((door.bytes_out - before.bytes_out) / took_s / door.open)
        return rates


CpuSample = HollowSample | LogSample | ReplicaSample


def _rate(one: CpuSample, two: CpuSample) -> float | None:
    took_s = (two.at_us - one.at_us) / 1e6
    return (two.cpu_s - one.cpu_s) / took_s if took_s >= LEAST_S else None


Sample = TypeVar("Sample", LogSample, ReplicaSample, PathSample)


def _slope(rows: list[Sample], value: Callable[[Sample], float]) -> float:
    """The growth of a counter a second, from the first sample to the last."""
    if len(rows) < 2:
        return 0.0
    took_s = (rows[-1].at_us - rows[0].at_us) / 1e6
    return float(value(rows[-1]) - value(rows[0])) / took_s if took_s > 0 else 0.0


def _mean(values: list[float], weights: list[float]) -> float:
    total = sum(weights)
    return (
        sum(value * weight for value, weight in zip(values, weights, strict=True)) / total if total else 0.0
    )
