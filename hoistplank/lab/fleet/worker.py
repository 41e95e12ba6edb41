"""One scene, one drive, one seed, in a process of its own.

Its job is the first line on standard input, its result a line on standard output. It ends with its standard
input, and ends its own processes then.
"""

from __future__ import annotations

import contextlib
import os
import shutil
import signal
import sys
import threading
import time
from enum import StrEnum
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import uvloop

from hoistplank.lab.backends.sockets import RunTooLateError
from hoistplank.lab.experiment import Cell
from hoistplank.lab.fleet import processes, virtual
from hoistplank.lab.fleet.metrics import FleetMetrics
from hoistplank.lab.fleet.scene import Bound, Scene
from hoistplank.lab.fleet.scene_faults import lasts
from hoistplank.lab.model.world import World
from hoistplank.lab.model.world_settings import SECOND_US
from hoistplank.lab.policies import UnknownPolicy, policy
from hoistplank.lab.worker import result

EXIT_TIMEOUT_S = 10.0  # for a worker whose runner is gone to end in order
ORPHANED = threading.Event()  # the runner is gone
Row = dict[str, Any]  # of a report: JSON values by the names that results are stored under


class RunStatus(StrEnum):
    """How a run came to its end."""

    DONE = "done"
    VOID = "void"  # the machine was too slow for the run to prove anything
    BROKE = "broke"  # a process failed, or the scene can't be run so


class Job(msgspec.Struct, kw_only=True):
    """A run: `folder` is shared by all jobs, this one makes its own in it; `keep`: its files stay there.

    `scene_folder`: where the scene's own file lies.
    """

    scene: Scene
    drive: str
    seed: int
    policy: str = "module"
    folder: str
    scene_folder: str
    keep: bool = False


class BoundResult(NamedTuple):
    """A bound of a scene, its figure in this run, and whether it holds."""

    bound: Bound
    figure: float
    holds: bool


def evaluate_bound(bound: Bound, world: World, metrics: FleetMetrics) -> BoundResult:
    """Compare a bound with the run's figure."""
    if bound.measure == "cold":
        figure = world.rules.colds.highest_ever
    else:
        figure = metrics.measure(bound.measure, bound.place, bound.low, bound.high)
    return BoundResult(bound, figure, figure > bound.value if bound.above else figure < bound.value)


def run_row(job: Job, world: World, metrics: FleetMetrics, took_s: float, backend_report: Row) -> Row:
    """All that a report and a verdict need of a run that came to its end."""
    scene = job.scene
    bounds = [evaluate_bound(bound, world, metrics) for bound in scene.bounds]
    return {
        **result(_cell(job), world, took_s),
        **_job_fields(job),
        "how": RunStatus.DONE.value,
        "visits": metrics.firsts,
        "failures": _failures(scene, world, metrics, bounds),
        "fleet": metrics.figures()
        | {
            "marks": [
                [row.at / SECOND_US, (row.at + lasts(row)) / SECOND_US, row.text] for row in scene.faults()
            ],
            "bounds": [
                {"bound": str(row.bound), "figure": round(row.figure, 4), "holds": row.holds}
                for row in bounds
            ],
        },
        "rig": backend_report,
    }


def unfinished_row(job: Job, status: RunStatus, reason: str) -> Row:
    """The row of a run that has no figures."""
    return {**_job_fields(job), "how": status.value, "why": reason}


def _job_fields(job: Job) -> Row:
    return {"scene": job.scene.name, "drive": job.drive, "seed": job.seed, "policy": job.policy}


def _cell(job: Job) -> Cell:
    """The run as a cell, so that reports of experiments read it as well."""
    scene = job.scene
    return Cell(
        day=scene.name,
        text=scene.script,
        size=scene.locations * scene.caches,
        seed=job.seed,
        policy=job.policy,
        seconds=scene.seconds,
        rate=scene.rate / scene.caches,
        load=scene.load,
        location=scene.caches,
        dispatchers=scene.dispatchers,
        drive=job.drive,
        warm=scene.warm,
    )


def _failures(scene: Scene, world: World, metrics: FleetMetrics, bounds: list[BoundResult]) -> list[str]:
    violations = [
        f"rule {row.rule} at {row.at_us / SECOND_US - scene.warm:.2f} s: {row.description}"
        for row in world.rules.violations
    ]
    missed = [f"{row.bound}: {row.figure:.4f}" for row in bounds if not row.holds]
    return violations + metrics.unaccounted() + missed


def play(job: Job) -> Row:
    """The row of a job, also of a void or broken run. Raises UnknownPolicy, NeedsProcessesError."""
    if job.drive == "virtual":
        return _play_virtual(job)
    started = time.perf_counter()
    folder = Path(job.folder) / f"{job.scene.name}-{job.seed}"
    folder.mkdir(parents=True)
    try:
        day, report = processes.play(
            job.scene, job.seed, folder, Path(job.scene_folder), uvloop.new_event_loop
        )
    except RunTooLateError as error:
        return unfinished_row(job, RunStatus.VOID, str(error)) | {"rig": {"late_us": error.late_us}}
    except RuntimeError as error:
        return unfinished_row(job, RunStatus.BROKE, str(error))
    finally:
        if not job.keep:
            shutil.rmtree(folder, ignore_errors=True)
            if ORPHANED.is_set():
                with contextlib.suppress(OSError):
                    Path(job.folder).rmdir()  # the last one out, since its runner is gone
    report |= {"late_us": day.late_us(), "relays_late_us": report.get("late_us", {})}
    return run_row(job, day.world, day.metrics, time.perf_counter() - started, report)


def _play_virtual(job: Job) -> Row:
    started = time.perf_counter()
    world, metrics = virtual.build_world(job.scene, job.seed, policy(job.policy))
    world.run()
    return run_row(job, world, metrics, time.perf_counter() - started, {})


def _end_with_input(folder: str) -> None:
    """End this process once standard input ends.

    Danger: a runner that was killed reads no result; without this its processes would go on.
    """
    while os.read(0, 4_096):
        pass
    ORPHANED.set()
    os.kill(os.getpid(), signal.SIGTERM)
    # Danger: what does not end in order must not run for ever; its children die with it.
    time.sleep(EXIT_TIMEOUT_S)
    shutil.rmtree(folder, ignore_errors=True)
    os._exit(143)


def main() -> int:
    """Play the job on standard input, and write its result to standard output."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # an interrupt at the terminal is the runner's to answer
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    job = msgspec.json.decode(sys.stdin.buffer.readline(), type=Job)
    ends = threading.Thread(target=_end_with_input, args=(job.folder,), daemon=True, name="runner's end")
    ends.start()
    try:
        row = play(job)
    except (UnknownPolicy, virtual.NeedsProcessesError) as error:
        row = unfinished_row(job, RunStatus.BROKE, str(error))
    sys.stdout.buffer.write(msgspec.json.encode(row) + b"\n")
    sys.stdout.buffer.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
