"""What `docs/fleet.md` promises of the soak: every rule kept on every seed, and checkers that fire.

The quick form plays eight seeds, the whole one sixty; both play each faulty build on three seeds.
"""

from __future__ import annotations

import asyncio
import os
import sys
import time

from benchmarks.verdict import verdict
from hoistplank.lab.fleet.soak.build import BUILDS
from hoistplank.lab.fleet.soak.run import SoakResult
from hoistplank.lab.fleet.soak.runner import play_seeds

QUICK = bool(os.environ.get("QUICK"))
SEEDS = range(1, 9) if QUICK else range(1, 61)
FAULTY_SEEDS = (2, 3, 4)  # on one of which each faulty build shows at least
AT_ONCE = max(2, min(6, (os.cpu_count() or 2) // 2))


def void_seeds(results: list[SoakResult]) -> list[int]:
    """The seeds whose runs prove nothing, since the rig itself was late."""
    return [result.seed for result in results if result.is_void]


def fires(results: list[SoakResult]) -> bool:
    """Whether a faulty build was told on one of its seeds."""
    return any(result.violations for result in results)


async def main() -> int:
    """Plays all; returns the exit code."""
    began = time.monotonic()
    results = await play_seeds(SEEDS, AT_ONCE)
    faulty = {build: await play_seeds(FAULTY_SEEDS, AT_ONCE, build) for build in BUILDS}
    broken = [f"seed {result.seed}: {line}" for result in results for line in result.violations]
    claims = {"rules_kept": not broken}
    claims |= {f"fires_on_{build.replace(' ', '_')}": fires(found) for build, found in faulty.items()}
    found = {
        "quick": QUICK,
        "seeds": len(results),
        "crowded": sum(result.is_crowded for result in results),
        "served": sum(result.counts.get("status 200", 0) for result in results),
        "rejected": sum(result.counts.get("status 503", 0) for result in results),
        "failed": sum(result.counts.get("status 502", 0) for result in results),
        "starts": sum(result.counts.get("starts", 0) for result in results),
        "broken": broken[:20],
        "late_ms": max(result.late_ms for result in results),
        "took_s": round(time.monotonic() - began),
        "claims": claims,
    }
    late = void_seeds(results)
    return verdict(found, busy=f"the rig was late on seeds {late}" if late and not broken else "")


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
