"""Runs one cell in a process of its own: the job as JSON on standard input, the result on standard output.

A worker that dies, or is killed for its memory use, loses only this cell.
"""

from __future__ import annotations

import platform
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
import uvloop

from hoistplank.lab.backends import sockets
from hoistplank.lab.backends.virtual import build_world, digest
from hoistplank.lab.experiment import Cell
from hoistplank.lab.model.faults import script
from hoistplank.lab.model.world import World
from hoistplank.lab.model.world_settings import SECOND_US
from hoistplank.lab.policies import policy
from hoistplank.lab.policy import UnknownPolicyError

# Upper ends of the latency bins, in ms.
BINS = [1, 2, 5, 10, 20, 50, 100, 150, 200, 300, 500, 700, 1_000, 1_500, 2_000, 3_000, 5_000]


class Job(msgspec.Struct):
    """A cell and the folders of the checkouts of older revisions (`texts`)."""

    cell: Cell
    texts: dict[str, str] = {}


def result(cell: Cell, world: World, took_s: float) -> dict[str, Any]:
    """Returns all results of a day that reports need, as JSON values."""
    utility, settings = world.clients.utility, world.settings
    seconds = int(settings.seconds)
    start = settings.start_us() // SECOND_US
    times = {}
    for row, took in zip(settings.classes, utility.latencies_us, strict=True):
        counts, _ = np.histogram(np.asarray(took) / 1_000, [0, *BINS, 1e9])
        times[row.name] = [int(n) for n in counts]
    return {
        "key": cell.key(),
        "cell": msgspec.to_builtins(cell),
        "score": utility.score(),
        "asked": [round(value, 4) for value in utility.asked[:seconds]],
        "earned": [round(value, 4) for value in utility.earned[:seconds]],
        "tracks": {row.name: values for row, values in zip(settings.classes, utility.by_class, strict=True)},
        "lost": dict(utility.lost_by_cause),
        "ends": dict(utility.outcomes),
        "times": times,
        "hosts": [one.uid for one in world.monitored],
        "loads": [[round(v, 3) for v in row] for row in world.monitored_loads[start : start + seconds]],
        "happened": [[round(at / SECOND_US - start, 3), what] for at, what in world.fault_log],
        "breaches": [
            f"rule {row.rule} at {row.at_us / SECOND_US - start:.2f} s: {row.description}"
            for row in world.rules.violations
        ],
        "broken": {str(rule): count for rule, count in world.rules.counts.items()},
        "coldest": round(world.rules.colds.highest_ever, 4),
        "fell": sum(one.overload_crashes for one in world.servers.values()),
        "events": world.events.executed,
        "took_s": round(took_s, 3),
        "digest": digest(world),
        "machine": f"{platform.machine()} python {platform.python_version()} numpy {np.__version__}",
    }


def play(job: Job) -> dict[str, Any]:
    """Runs a cell and returns its row. Raises UnknownPolicyError, RunTooLateError and RuntimeError."""
    cell, start_s = job.cell, time.perf_counter()
    faults = script(cell.text)
    if cell.drive == "sockets":
        with tempfile.TemporaryDirectory() as folder:
            world = sockets.play(
                cell.world_settings(), cell.seed, faults, Path(folder), uvloop.new_event_loop
            )
    else:
        checkouts = {name: Path(path) for name, path in job.texts.items()}
        world = build_world(cell.world_settings(), cell.seed, policy(cell.policy, checkouts), faults)
        world.run()
    return result(cell, world, time.perf_counter() - start_s)


def main() -> int:
    """Runs the job on standard input and writes its result to standard output."""
    job = msgspec.json.decode(sys.stdin.buffer.read(), type=Job)
    try:
        row = play(job)
    except sockets.RunTooLateError as error:
        row = {"void": str(error)}
    except (UnknownPolicyError, RuntimeError) as error:
        row = {"wrong": str(error)}
    sys.stdout.buffer.write(msgspec.json.encode(row) + b"\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
