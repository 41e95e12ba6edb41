"""Plays many seeds of the soak, some at a time; a run in which the rig itself was late is made again."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import sys
import tempfile
from collections.abc import Callable, Iterable
from pathlib import Path

import uvloop

from hoistplank.lab.backends.parent_death import kill_on_parent_death
from hoistplank.lab.fleet.soak.plan import draw_plan
from hoistplank.lab.fleet.soak.run import SoakResult, SoakRun

MAX_ATTEMPTS = 3  # of a run that was void
RUN_TIMEOUT_S = 60.0
WORKER_TIMEOUT_S = RUN_TIMEOUT_S + 15.0


def play_seed(seed: int, build: str = "", keep: Path | None = None) -> SoakResult:
    """One run in this process. `keep`: a folder for the dispatchers' logs and files."""
    folder = keep / f"seed-{seed}" if keep else Path(tempfile.mkdtemp(prefix="hoistplank-soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(_play(seed, folder, build))
    finally:
        if keep is None:
            shutil.rmtree(folder, ignore_errors=True)


async def _play(seed: int, folder: Path, build: str) -> SoakResult:
    async with asyncio.timeout(RUN_TIMEOUT_S):
        return await SoakRun(draw_plan(seed), folder, build).play()


async def play_seeds(
    seeds: Iterable[int],
    at_once: int,
    build: str = "",
    keep: Path | None = None,
    on_result: Callable[[SoakResult], None] | None = None,
) -> list[SoakResult]:
    """Each seed in a worker process of its own. One that ends without a result is a broken run; the others go
    on."""
    places = asyncio.Semaphore(at_once)

    async def one(seed: int) -> SoakResult:
        async with places:
            for _ in range(MAX_ATTEMPTS):
                result = await _play_in_worker(seed, build, keep)
                if not result.is_void:
                    break
        if on_result is not None:
            on_result(result)
        return result

    return await asyncio.gather(*(one(seed) for seed in seeds))


async def _play_in_worker(seed: int, build: str, keep: Path | None) -> SoakResult:
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "hoistplank.lab.fleet.soak.runner", str(seed), build, str(keep or "")),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        async with asyncio.timeout(WORKER_TIMEOUT_S):
            output, errors = await process.communicate()
    except TimeoutError:
        return _unfinished(seed, f"the run did not end within {WORKER_TIMEOUT_S:.0f} s")
    finally:
        if process.returncode is None:
            process.kill()
    if process.returncode != 0:
        last = errors.decode(errors="replace").strip().splitlines()[-1:]
        return _unfinished(seed, f"the run ended with {process.returncode}: {' '.join(last)}")
    return SoakResult(*json.loads(output.splitlines()[-1]))


def _unfinished(seed: int, reason: str) -> SoakResult:
    """A run that has no figures; it counts as broken until it is looked into."""
    plan = draw_plan(seed)
    return SoakResult(seed, plan.is_crowded, plan.dispatchers, {}, {}, [reason], 0)


def main() -> None:
    """A worker: one run, its result as a line of JSON."""
    kill_on_parent_death(os.getppid())
    seed, build, keep = sys.argv[1:]
    result = play_seed(int(seed), build, Path(keep) if keep else None)
    print(json.dumps(tuple(result)))


if __name__ == "__main__":
    main()
