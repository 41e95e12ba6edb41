"""What a source tells in a scale run and when: purges, configuration changes, cache hosts. No I/O; seeded."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from hoistplank.lab.model.faults import ScheduledFault
from hoistplank.lab.scale.scene import S, Scene

DRAIN_US, AWAY_US = 1 * S, 1 * S  # of a cache host that is restarted
BATCH_US = 200_000  # events at more than the usual pace are told together
OBJECT_DIGITS = 16


@dataclass(frozen=True, slots=True)
class Purge:
    """One object is purged."""

    at_us: int
    object_key: str


@dataclass(frozen=True, slots=True)
class Change:
    """A new configuration for the whole fleet; `number` counts them."""

    at_us: int
    number: int


@dataclass(frozen=True, slots=True)
class HostStep:
    """A cache host drains, goes, or is back as a new process."""

    at_us: int
    host: int
    state: str


Planned = Purge | Change | HostStep


def schedule(scene: Scene, seed: int) -> list[Planned]:
    """All that is told, in the order of its times (us from the scene's first moment)."""
    purges = _purges(scene, np.random.default_rng([seed, 1]))
    changes = _changes(scene)
    hosts = _hosts(scene, np.random.default_rng([seed, 2]))
    return sorted([*purges, *changes, *hosts], key=lambda row: row.at_us)


def _apart(scene: Scene) -> list[ScheduledFault]:
    return [fault for fault in scene.faults if fault.kind == "apart"]


def _arrivals(random: np.random.Generator, rate_s: float, begin_us: int, end_us: int) -> list[int]:
    """Moments of a Poisson process."""
    many = random.poisson(rate_s * (end_us - begin_us) / S)
    return sorted(int(at) for at in random.integers(begin_us, end_us, size=many))


def _purges(scene: Scene, random: np.random.Generator) -> list[Purge]:
    moments = _arrivals(random, scene.purges_s, 0, scene.length_us)
    for fault in _apart(scene):
        _, lasts_us, pace = fault.values
        # Beside the steady pace, which goes on.
        more = _arrivals(random, scene.purges_s * (pace - 1), fault.at, fault.at + lasts_us)
        moments += [at - at % BATCH_US for at in more]
    ranks = _ranks(random, scene, len(moments))
    return [Purge(at, f"{rank:0{OBJECT_DIGITS}x}") for at, rank in zip(sorted(moments), ranks, strict=True)]


def _ranks(random: np.random.Generator, scene: Scene, many: int) -> list[int]:
    """Objects by their popularity; those beyond the last are drawn evenly."""
    ranks = random.zipf(scene.zipf, size=many)
    beyond = ranks > scene.objects
    ranks[beyond] = random.integers(1, scene.objects + 1, size=int(beyond.sum()))
    return [int(rank) for rank in ranks]


def _changes(scene: Scene) -> list[Change]:
    every = scene.change_every_us
    moments = list(range(every // 2, scene.length_us, every))
    for fault in scene.faults:
        if fault.kind == "changes":
            many, within = fault.values
            moments += [fault.at + n * within // many for n in range(many)]
        elif fault.kind == "apart":
            _, lasts_us, pace = fault.values
            moments += range(fault.at, fault.at + lasts_us, max(1, int(every / pace)))
    return [Change(at, number) for number, at in enumerate(sorted(moments), 1)]


def _hosts(scene: Scene, random: np.random.Generator) -> list[HostStep]:
    """Each restart is three events. A host comes again only after all others."""
    last = scene.length_us - DRAIN_US - AWAY_US
    if last <= 0:
        return []
    steps: list[HostStep] = []
    order = [int(host) for host in random.permutation(scene.fleet.hosts)]
    for n, at in enumerate(_arrivals(random, scene.host_restarts_s, 0, last)):
        host = order[n % len(order)]
        steps.append(HostStep(at, host, "draining"))
        steps.append(HostStep(at + DRAIN_US, host, "gone"))
        steps.append(HostStep(at + DRAIN_US + AWAY_US, host, "ready"))
    return steps
