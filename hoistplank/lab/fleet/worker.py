"""One scene, one drive, one seed, in a process of its own: its job is the first line on standard input, its
result a line on standard output. It ends with its standard input, and takes its processes along.
"""

from __future__ import annotations

import contextlib
import os
import shutil
import signal
import sys
import threading
import time
from pathlib import Path
from typing import Any

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

LAST_S = 10.0  # for a worker whose runner is gone to end in order
ORPHANED = threading.Event()  # the runner is gone
VOID, BROKE, DONE = "void", "broke", "done"


class Job(msgspec.Struct, kw_only=True):
    """`folder`: the run's, in which this job makes one of its own; `keep`: its files stay there. `beside`:
    where the scene's own file lies."""

    scene: Scene
    drive: str
    seed: int
    policy: str = "module"
    folder: str
    beside: str
    keep: bool = False


def held(bound: Bound, world: World, metrics: FleetMetrics) -> tuple[float, bool]:
    """A bound's figure, and whether it holds."""
    if bound.measure == "cold":
        figure = world.rules.colds.highest_ever
    else:
        figure = metrics.measure(bound.measure, bound.place, bound.low, bound.high)
    return figure, figure > bound.value if bound.above else figure < bound.value


def told(job: Job, world: World, metrics: FleetMetrics, took_s: float, rig: dict[str, Any]) -> dict[str, Any]:
    """All that a report and a verdict need of a run; plain values."""
    scene = job.scene
    size, rate = scene.locations * scene.caches, scene.rate / scene.caches
    cell = Cell(
        scene.name,
        scene.script,
        size,
        job.seed,
        job.policy,
        scene.seconds,
        rate,
        scene.load,
        scene.caches,
        scene.dispatchers,
        job.drive,
        scene.warm,
    )
    checked = [(str(bound), *held(bound, world, metrics)) for bound in scene.bounds]
    bounds = [{"bound": name, "figure": round(value, 4), "holds": good} for name, value, good in checked]
    breaches = [
        f"rule {row.rule} at {row.at_us / SECOND_US - scene.warm:.2f} s: {row.description}"
        for row in world.rules.violations
    ]
    failures = breaches + metrics.unaccounted()
    failures += [f"{name}: {figure:.4f}" for name, figure, good in checked if not good]
    return {
        **result(cell, world, took_s),
        "how": DONE,
        "scene": scene.name,
        "drive": job.drive,
        "seed": job.seed,
        "policy": job.policy,
        "visits": metrics.firsts,
        "failures": failures,
        "fleet": metrics.figures()
        | {
            "marks": [
                [row.at / SECOND_US, (row.at + lasts(row)) / SECOND_US, row.text] for row in scene.faults()
            ],
            "bounds": bounds,
        },
        "rig": rig,
    }


def play(job: Job) -> dict[str, Any]:
    """The result of a job, a void or broken run's too. Raises UnknownPolicy, NeedsProcessesError."""
    began = time.perf_counter()
    if job.drive == "virtual":
        world, metrics = virtual.build_world(job.scene, job.seed, policy(job.policy))
        world.run()
        return told(job, world, metrics, time.perf_counter() - began, {})
    name = {"scene": job.scene.name, "drive": job.drive, "seed": job.seed, "policy": job.policy}
    place = Path(job.folder) / f"{job.scene.name}-{job.seed}"
    place.mkdir(parents=True)
    try:
        day, rig = processes.play(job.scene, job.seed, place, Path(job.beside), uvloop.new_event_loop)
    except RunTooLateError as wrong:
        return {**name, "how": VOID, "why": str(wrong), "rig": {"late_us": wrong.late_us}}
    except RuntimeError as wrong:
        return {**name, "how": BROKE, "why": str(wrong)}
    finally:
        if not job.keep:
            shutil.rmtree(place, ignore_errors=True)
            if ORPHANED.is_set():
                with contextlib.suppress(OSError):
                    Path(job.folder).rmdir()  # the last one out, since its runner is gone
    rig |= {"late_us": day.late_us(), "relays_late_us": rig.get("late_us", {})}
    return told(job, day.world, day.metrics, time.perf_counter() - began, rig)


def _end_with_input(folder: str) -> None:
    """Danger: a runner that was killed reads no result; without this its processes would go on."""
    while os.read(0, 4_096):
        pass
    ORPHANED.set()
    os.kill(os.getpid(), signal.SIGTERM)
    # Danger: what does not end in order must not stand for ever; its children die with it.
    time.sleep(LAST_S)
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
        found = play(job)
    except (UnknownPolicy, virtual.NeedsProcessesError) as wrong:
        found = {
            "scene": job.scene.name,
            "drive": job.drive,
            "seed": job.seed,
            "policy": job.policy,
            "how": BROKE,
            "why": str(wrong),
        }
    sys.stdout.buffer.write(msgspec.json.encode(found) + b"\n")
    sys.stdout.buffer.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
