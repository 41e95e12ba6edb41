"""Runs scenes, each in a worker process, and judges them; a run is void where the machine was too slow."""

from __future__ import annotations

import asyncio
import contextlib
import os
import shutil
import signal
import sys
import tempfile
from collections.abc import Callable, Coroutine, Iterable
from enum import StrEnum
from pathlib import Path
from typing import Any
from uuid import uuid4

import msgspec

from hoistplank.lab.fleet.scene_loader import LoadedScene
from hoistplank.lab.fleet.worker import Job, Row, RunStatus, unfinished_row

MAX_ATTEMPTS = 3  # of a run that was void
FOLDER_PREFIX = "hoistplank-fleet-"
EXIT_TIMEOUT_S = 15.0  # for a worker to stop its own processes and remove its folder
MAX_LINE_BYTES = 1 << 24
FAILURES_SHOWN = 8
ResultCallback = Callable[[int, int, Row], None]  # how many are done, of how many, and the last one


class Verdict(StrEnum):
    """How a run is judged."""

    HELD = "held"  # all bounds and rules held
    FAILED = "failed"
    VOID = "void"
    BROKE = "broke"


def remove_stale_folders() -> list[Path]:
    """Remove the folders of runs that were killed together with their workers; returns what it removed."""
    removed = []
    for folder in Path(tempfile.gettempdir()).glob(f"{FOLDER_PREFIX}*"):
        pid = folder.name.removeprefix(FOLDER_PREFIX).partition("-")[0]
        if pid.isdecimal() and not Path("/proc", pid).exists():
            shutil.rmtree(folder, ignore_errors=True)
            removed.append(folder)
    return removed


def judge(row: Row) -> Verdict:
    """The verdict on one run."""
    if row["how"] != RunStatus.DONE:
        return Verdict(row["how"])
    return Verdict.FAILED if row["failures"] else Verdict.HELD


class SceneRunner:
    """Runs jobs in worker processes, so many at a time. No process of it outlives it."""

    def __init__(self, jobs: list[Job], concurrency: int, on_result: ResultCallback | None = None) -> None:
        self._jobs = jobs
        self._concurrency = asyncio.Semaphore(concurrency)
        self._on_result = on_result
        self._completed = 0

    async def run(self) -> list[Row]:
        """Return a row for each job, in their order."""
        tasks = [
            asyncio.create_task(self._run_job(job), name=f"scene {job.scene.name} seed {job.seed}")
            for job in self._jobs
        ]
        try:
            return await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _run_job(self, job: Job) -> Row:
        async with self._concurrency:
            for _ in range(MAX_ATTEMPTS):
                row = await _run_worker(job)
                if row["how"] != RunStatus.VOID:
                    break
        row["verdict"] = judge(row).value
        self._completed += 1
        if self._on_result is not None:
            self._on_result(self._completed, len(self._jobs), row)
        return row


async def _run_worker(job: Job) -> Row:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "hoistplank.lab.fleet.worker",
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        limit=MAX_LINE_BYTES,
        start_new_session=True,  # it ends by its standard input, in order, and not by the terminal
    )
    assert process.stdin is not None and process.stdout is not None and process.stderr is not None
    reading_errors = asyncio.create_task(process.stderr.read(), name="worker's standard error")
    try:
        process.stdin.write(msgspec.json.encode(job) + b"\n")
        line = await process.stdout.readline()
        process.stdin.close()
        await process.wait()
    finally:
        await _end_worker(process, process.stdin)
        errors = await reading_errors
    if not line:
        last = errors.decode(errors="replace").strip().splitlines()[-1:]
        reason = f"the worker ended with {process.returncode}: {' '.join(last)}"
        return unfinished_row(job, RunStatus.BROKE, reason)
    row: Row = msgspec.json.decode(line)
    return row


async def _end_worker(process: asyncio.subprocess.Process, stdin: asyncio.StreamWriter) -> None:
    if process.returncode is None:
        # Its input ends: it stops its own processes and removes its folder, which takes a moment.
        stdin.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(EXIT_TIMEOUT_S):
                await process.wait()
    if process.returncode is None:
        process.kill()
        await process.wait()


def summarize(row: Row) -> str:
    """A run in one line, and a line for each bound or rule that did not hold."""
    name = f"{row['scene']} {row['drive']} {row['policy']} seed {row['seed']}: {row['verdict']}"
    if row["how"] != RunStatus.DONE:
        return f"{name}, {row['why']}"
    fleet = row["fleet"]
    summary = (
        f"{name}, earned {row['score']:.3f} of {row['visits']} requests, "
        f"{fleet['amplified']:.2f} attempts a first try, fair {fleet['fair']:.2f}"
    )
    return "\n".join([summary, *(f"  {failure}" for failure in row["failures"][:FAILURES_SHOWN])])


async def interruptible(work: Coroutine[Any, Any, list[Row]]) -> list[Row]:
    """The work, ended in order by SIGTERM as it is by an interrupt. Raises CancelledError then."""
    task = asyncio.create_task(work, name="scenes")
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


async def run_scenes(
    scenes: list[LoadedScene],
    drives: Iterable[str],
    seeds: Iterable[int],
    concurrency: int,
    keep: Path | None = None,
    on_result: ResultCallback | None = None,
    policies: Iterable[str] = ("module",),
) -> list[Row]:
    """Run every scene on those of the drives that it can play on.

    `policies` other than the module run in virtual time alone. `keep`: the folder in which files stay.
    """
    remove_stale_folders()
    # Danger: made here, it would stay where this process is killed before a worker has heard of it.
    folder = keep or Path(tempfile.gettempdir(), f"{FOLDER_PREFIX}{os.getpid()}-{uuid4().hex[:8]}")
    jobs = [
        Job(
            scene=scene,
            drive=drive,
            seed=seed,
            policy=policy,
            folder=str(folder),
            scene_folder=str(scene_folder),
            keep=keep is not None,
        )
        for scene, scene_folder in scenes
        for drive in drives
        if drive in scene.drives
        for seed in seeds
        for policy in policies
        if policy == "module" or drive == "virtual"
    ]
    try:
        return await SceneRunner(jobs, concurrency, on_result).run()
    finally:
        if keep is None:
            shutil.rmtree(folder, ignore_errors=True)
