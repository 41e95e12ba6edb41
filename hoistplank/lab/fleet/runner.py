"""Plays scenes, each in a worker process: what held, what did not, what was void as the machine was slow."""

from __future__ import annotations

import asyncio
import contextlib
import os
import shutil
import signal
import sys
import tempfile
from collections.abc import Callable, Coroutine, Iterable
from pathlib import Path
from typing import Any
from uuid import uuid4

import msgspec

from hoistplank.lab.fleet.scene import Scene
from hoistplank.lab.fleet.scene_reader import read
from hoistplank.lab.fleet.worker import BROKE, DONE, VOID, Job
from hoistplank.operator_configuration.errors import ConfigurationError, Diagnostic, SourceLocation

TRIES = 3  # of a run that was void
PREFIX = "hoistplank-fleet-"
HELD, FAILED = "held", "failed"
Told = Callable[[int, int, dict[str, Any]], None]  # how many are done, of how many, and the last one


def scenes(paths: Iterable[str], only: str = "") -> list[tuple[Scene, Path]]:
    """The scenes of files and folders, with the folder each lies in. Raises ConfigurationError, for all that
    is wrong.

    In a folder, the operator's files that its scenes name are no scenes.
    """
    found: list[tuple[Scene, Path]] = []
    faults: list[Diagnostic] = []
    wrongs: dict[Path, list[Diagnostic]] = {}
    for path in map(Path, paths):
        files = sorted(path.glob("*.sexp")) if path.is_dir() else [path]
        if not files:
            faults.append(
                Diagnostic(SourceLocation(str(path), 1, 1), "a folder without scenes", "files '*.sexp'")
            )
        for file in files:
            try:
                scene = read(file.read_bytes(), str(file))
            except OSError as wrong:
                faults.append(
                    Diagnostic(
                        SourceLocation(str(file), 1, 1),
                        f"a file that can't be read ({wrong.strerror})",
                        "a scene",
                    )
                )
            except ConfigurationError as wrong:
                wrongs[file] = wrong.diagnostics
            else:
                found.append((scene, file.parent))
    named = {beside / file for scene, beside in found for file in scene.files()}
    faults += [fault for file, told in wrongs.items() if file not in named for fault in told]
    names = [scene.name for scene, _ in found]
    if only and only not in names and not faults:
        wants = "one of " + ", ".join(names)
        faults.append(
            Diagnostic(SourceLocation(str(next(iter(paths), "")), 1, 1), f"no scene '{only}'", wants)
        )
    if faults:
        raise ConfigurationError(faults)
    return [pair for pair in found if not only or pair[0].name == only]


def swept() -> list[Path]:
    """Takes away what runs left behind that were killed together with their workers; what it took."""
    gone = []
    for place in Path(tempfile.gettempdir()).glob(f"{PREFIX}*"):
        number = place.name.removeprefix(PREFIX).partition("-")[0]
        if number.isdecimal() and not Path("/proc", number).exists():
            shutil.rmtree(place, ignore_errors=True)
            gone.append(place)
    return gone


def verdict(found: dict[str, Any]) -> str:
    """Of one run: `held`, `failed`, `void` or `broke`."""
    if found["how"] != DONE:
        return str(found["how"])
    return FAILED if found["failures"] else HELD


class Run:
    """Several scenes, on some drives and seeds, so many at a time. Nothing of it outlives it."""

    def __init__(self, jobs: list[Job], at_once: int, told: Told | None = None) -> None:
        self.jobs, self.at_once, self.told = jobs, at_once, told
        self.done: list[dict[str, Any]] = []

    async def go(self) -> list[dict[str, Any]]:
        """A result for each job, in their order."""
        gate = asyncio.Semaphore(self.at_once)
        tasks = [asyncio.ensure_future(self._one(job, gate)) for job in self.jobs]
        try:
            return await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _one(self, job: Job, gate: asyncio.Semaphore) -> dict[str, Any]:
        async with gate:
            for left in range(TRIES - 1, -1, -1):
                found = await self._played(job)
                if found["how"] != VOID or left == 0:
                    break
        found["verdict"] = verdict(found)
        self.done.append(found)
        if self.told is not None:
            self.told(len(self.done), len(self.jobs), found)
        return found

    async def _played(self, job: Job) -> dict[str, Any]:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "hoistplank.lab.fleet.worker",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            limit=1 << 24,
            start_new_session=True,  # it ends by its standard input, in order, and not by the terminal
        )
        assert process.stdin is not None and process.stdout is not None and process.stderr is not None
        complaints = asyncio.ensure_future(process.stderr.read())
        try:
            process.stdin.write(msgspec.json.encode(job) + b"\n")
            line = await process.stdout.readline()
            process.stdin.close()
            await process.wait()
        finally:
            if process.returncode is None:
                # Its input ends: it stops its own processes and takes its folder away, which takes a moment.
                process.stdin.close()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(process.wait(), 15)
            if process.returncode is None:
                process.kill()
                await process.wait()
            wrong = await complaints
        if not line:
            last = wrong.decode(errors="replace").strip().splitlines()[-1:]
            return {
                "scene": job.scene.name,
                "drive": job.drive,
                "seed": job.seed,
                "policy": job.policy,
                "how": BROKE,
                "why": f"the worker ended with {process.returncode}: {' '.join(last)}",
            }
        found: dict[str, Any] = msgspec.json.decode(line)
        return found


def line(found: dict[str, Any]) -> str:
    """A run in one line, and a line for each thing that did not hold."""
    name = f"{found['scene']} {found['drive']} {found['policy']} seed {found['seed']}: {found['verdict']}"
    if found["how"] != DONE:
        return f"{name}, {found['why']}"
    fleet = found["fleet"]
    told = (
        f"{name}, earned {found['score']:.3f} of {found['visits']} requests, "
        f"{fleet['amplified']:.2f} attempts a first try, fair {fleet['fair']:.2f}"
    )
    return "\n".join([told, *(f"  {what}" for what in found["failures"][:8])])


async def interruptible(work: Coroutine[Any, Any, list[dict[str, Any]]]) -> list[dict[str, Any]]:
    """The work, ended in order by SIGTERM as it is by an interrupt. Raises CancelledError then."""
    task = asyncio.ensure_future(work)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


async def played(
    chosen: list[tuple[Scene, Path]],
    drives: Iterable[str],
    seeds: Iterable[int],
    at_once: int,
    keep: Path | None = None,
    told: Told | None = None,
    policies: Iterable[str] = ("module",),
) -> list[dict[str, Any]]:
    """Every scene on those of the drives that it can play on; `policies` others than the module in virtual
    time alone."""
    swept()
    # Danger: made here, it would stay where this process is killed before a worker has heard of it.
    folder = keep or Path(tempfile.gettempdir(), f"{PREFIX}{os.getpid()}-{uuid4().hex[:8]}")
    jobs = [
        Job(
            scene=scene,
            drive=drive,
            seed=seed,
            policy=policy,
            folder=str(folder),
            beside=str(beside),
            keep=keep is not None,
        )
        for scene, beside in chosen
        for drive in drives
        if drive in scene.drives
        for seed in seeds
        for policy in policies
        if policy == "module" or drive == "virtual"
    ]
    try:
        return await Run(jobs, at_once, told).go()
    finally:
        if keep is None:
            shutil.rmtree(folder, ignore_errors=True)
