"""All processes of a load run: started together, their histograms added up, judged as a whole."""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from hoistplank.lab.load.engine import HIGHEST_US, Job
from hoistplank.lab.load.plan import Mix, Step

QUANTILES = (50, 90, 99, 99.9, 100)
LATE_MS = 5.0  # the tool's own lateness at its 99th percentile, beyond which a run is void


class LoadError(Exception):
    """A run that could not be carried out; its text says why."""


def ms(histogram: HdrHistogram) -> dict[str, float]:
    """The quantiles of a histogram of microseconds, in milliseconds."""
    if not histogram.get_total_count():
        return {}
    return {f"p{q:g}": round(histogram.get_value_at_percentile(q) / 1_000, 3) for q in QUANTILES}


async def _one(job: Job, told: Callable[[int, dict[str, Any]], None]) -> dict[str, Any]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "hoistplank.lab.load.engine",
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        limit=1 << 24,
    )
    assert process.stdin is not None and process.stdout is not None
    try:
        process.stdin.write(msgspec.json.encode(job) + b"\n")
        await process.stdin.drain()
        async for line in process.stdout:
            row = json.loads(line)
            if "result" in row:
                found = row["result"]
                assert isinstance(found, dict)
                return found
            if "wrong" in row:
                raise LoadError(row["wrong"])
            told(job.part, row)
        raise LoadError(f"process {job.part} of the load tool ended without a result")
    finally:
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError, TimeoutError):
                await asyncio.wait_for(process.wait(), 2)
        if process.returncode is None:
            process.kill()
            await process.wait()


async def load(
    address: tuple[str, int],
    steps: tuple[Step, ...],
    mix: tuple[Mix, ...],
    processes: int = 2,
    told: Callable[[int, dict[str, Any]], None] = lambda part, row: None,
    late_ms: float = LATE_MS,
    **more: Any,
) -> dict[str, Any]:
    """One run: counts, quantiles by traffic class (ms from the moment a request was due), the tool's
    lateness, `void` or not.

    `more` are fields of `Job`. Raises LoadError where a process of the tool could not do its part.
    """
    begin = time.time() + 0.6 + 0.05 * processes
    jobs = [
        Job(
            host=address[0],
            port=address[1],
            steps=[(step.seconds, step.first, step.last) for step in steps],
            part=part,
            parts=processes,
            mix=[(row.class_name, row.share, row.keyed) for row in mix],
            begin=begin,
            **more,
        )
        for part in range(processes)
    ]
    tasks = [asyncio.create_task(_one(job, told), name=f"load {job.part}") for job in jobs]
    try:
        parts = await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    counts: Counter[str] = Counter()
    late = HdrHistogram(1, HIGHEST_US, 3)
    took = [HdrHistogram(1, HIGHEST_US, 3) for _ in mix]
    statuses = [Counter[str]() for _ in mix]
    tenants = [Counter[str]() for _ in parts[0]["tenants"]]
    for part in parts:
        counts.update(part["counts"])
        late.decode_and_add(part["late"])
        for n, row in enumerate(part["took"]):
            took[n].decode_and_add(row)
            statuses[n].update(part["statuses"][n])
        for n, row in enumerate(part["tenants"]):
            tenants[n].update(row)
    seconds = sum(step.seconds for step in steps)
    own = ms(late)
    return {
        "void": own.get("p99", 0.0) > late_ms,
        "seconds": seconds,
        "rate": round(counts["sent"] / seconds, 1),
        "counts": dict(counts),
        "late_ms": own,
        "tracks": {
            row.class_name: {"statuses": dict(statuses[n]), "ms": ms(took[n])} for n, row in enumerate(mix)
        },
        "tenants": [dict(row) for row in tenants],
        "cpu_share": round(sum(part["cpu_s"] for part in parts) / seconds / processes, 2),
        "processes": processes,
        "histograms": {row.class_name: took[n].encode().decode() for n, row in enumerate(mix)},
    }
