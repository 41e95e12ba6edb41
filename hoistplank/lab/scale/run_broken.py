"""Plays the broken builds at a small size, each against the claim that it breaks."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from hoistplank.lab.scale.run import Broken, ScaleRun
from hoistplank.lab.scale.run_paths import LOG
from hoistplank.lab.scale.run_verdict import Verdict, judged
from hoistplank.lab.scale.scene import Scene, read

SMALL = b"""
(scale small
  (dispatchers 12) (sites 2) (hosts 12) (processes 2) (seconds 3s) (warm 500ms)
  (purges 20/s) (objects 1000) (change-every 1s) (host-restarts 0)
  (purge-within 2s) (change-within 2s) (return-within 4s) (memory 8MiB))
"""
VOID = "void"  # in place of a claim: the run is found to prove nothing


@dataclass(frozen=True, slots=True)
class Case:
    """A broken build, and the claim that must fail; `straggler`: who must be named."""

    name: str
    broken: Broken
    claim: str
    straggler: str = ""


CASES = (
    Case("drops-purges", Broken(hollow="drops-purges"), "acknowledgements_true"),
    Case("acknowledges-early", Broken(hollow="acknowledges-early"), "acknowledgements_true"),
    Case("skips-router", Broken(hollow="skips-router"), "acknowledgements_true"),
    Case("goes-deaf", Broken(hollow="goes-deaf", numbers=(3,)), "purges_in_force", "s01-d003"),
    Case("wastes-time", Broken(hollow="wastes-time"), "core_of_a_dispatcher"),
    Case("hoards", Broken(hollow="hoards"), "memory_of_a_dispatcher"),
    Case("holds-back", Broken(log="holds-back"), "purges_in_force"),
    Case("repeats-lines", Broken(log="repeats-lines"), "bytes_of_a_dispatcher"),
    Case("stops-the-loop", Broken(hollow="stops-the-loop"), VOID),
)


def small() -> Scene:
    return read(SMALL, "small")


async def played(broken: Broken | None = None, seed: int = 1, through: str = LOG) -> Verdict:
    """One run at the small size. Raises RunLostError."""
    return judged(await ScaleRun(small(), seed, through, broken).play())


async def fires(case: Case, seed: int = 1) -> bool:
    """Whether the build is found out, by its own claim. Raises RunLostError."""
    verdict = await played(case.broken, seed)
    if case.claim == VOID:
        return bool(verdict.void)
    named = not case.straggler or case.straggler in verdict.stragglers
    return not verdict.claims[case.claim] and named


async def all_fire(at_once: int, cases: tuple[Case, ...] = CASES) -> dict[str, bool]:
    """Each case by its name. Raises RunLostError."""
    turns = asyncio.Semaphore(at_once)

    async def one(case: Case) -> bool:
        async with turns:
            return await fires(case)

    found = await asyncio.gather(*(one(case) for case in cases))
    return {case.name: fired for case, fired in zip(cases, found, strict=True)}
