"""Runs the processes of a load run: starts them together, reads their progress and merges their results."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from collections.abc import Callable

import msgspec

from hoistplank.lab.load.errors import LoadError
from hoistplank.lab.load.messages import Failure, LoadJob, LoadSettings, Message, PartResult, Progress
from hoistplank.lab.load.result import LoadResult, merge_results
from hoistplank.lab.load.schedule import Step
from hoistplank.lab.load.traffic_mix import ClassShare

MAX_LATENESS_MS = 5.0  # 99th percentile of the tool's own lateness above which a run is void
START_DELAY_S = 0.6  # for the processes to start before the first request is due
START_DELAY_PER_PROCESS_S = 0.05
EXIT_TIMEOUT_S = 2.0
MAX_LINE_BYTES = 1 << 24
DEFAULT_SETTINGS = LoadSettings()

ProgressCallback = Callable[[int, Progress], None]  # part, progress


async def run_load(
    address: tuple[str, int],
    steps: tuple[Step, ...],
    mix: tuple[ClassShare, ...],
    processes: int = 2,
    settings: LoadSettings = DEFAULT_SETTINGS,
    on_progress: ProgressCallback | None = None,
    max_lateness_ms: float = MAX_LATENESS_MS,
) -> LoadResult:
    """Run one load run over several processes.

    Raises LoadError if a process of the tool failed.
    """
    start_time = time.time() + START_DELAY_S + START_DELAY_PER_PROCESS_S * processes
    jobs = [
        LoadJob(
            host=address[0],
            port=address[1],
            steps=steps,
            mix=mix,
            part=part,
            parts=processes,
            start_time=start_time,
            settings=settings,
        )
        for part in range(processes)
    ]
    tasks = [asyncio.create_task(_run_process(job, on_progress), name=f"load {job.part}") for job in jobs]
    try:
        parts = await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return merge_results(parts, steps, mix, max_lateness_ms)


async def _run_process(job: LoadJob, on_progress: ProgressCallback | None) -> PartResult:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "hoistplank.lab.load.generator",
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        limit=MAX_LINE_BYTES,
    )
    assert process.stdin is not None and process.stdout is not None
    try:
        process.stdin.write(msgspec.json.encode(job) + b"\n")
        await process.stdin.drain()
        return await _read_result(process.stdout, job.part, on_progress)
    finally:
        await _end_process(process)


async def _read_result(
    output: asyncio.StreamReader, part: int, on_progress: ProgressCallback | None
) -> PartResult:
    async for line in output:
        message: Message = msgspec.json.decode(line, type=Message)
        if isinstance(message, PartResult):
            return message
        if isinstance(message, Failure):
            raise LoadError(message.reason)
        if on_progress is not None:
            on_progress(part, message)
    raise LoadError(f"process {part} of the load tool exited without a result")


async def _end_process(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        with contextlib.suppress(ProcessLookupError, TimeoutError):
            async with asyncio.timeout(EXIT_TIMEOUT_S):
                await process.wait()
    if process.returncode is None:
        process.kill()
        await process.wait()
