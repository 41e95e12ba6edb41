"""What an answer costs a real dispatcher by its size: processor time a request, under load on loopback."""

from __future__ import annotations

import tempfile
from pathlib import Path

from hoistplank.fakes.deployment import Deployment
from hoistplank.lab.load.coordinator import run_load
from hoistplank.lab.load.messages import LoadSettings
from hoistplank.lab.load.schedule import Step as LoadStep
from hoistplank.lab.load.traffic_mix import parse_mix
from hoistplank.lab.profile import cpu_s
from hoistplank.lab.scale.measurements import Measurement
from hoistplank.lab.scale.metering import MICROSECONDS, Effort, Quantity, Step, awaited, series

ROLE = "data path"
ANSWER_BYTES = (20_000, 80_000, 160_000, 240_000)
RATE = 120.0
SECONDS = 4.0
REPEATS = 2
MIX = parse_mix("page=1")
LOAD_SETTINGS = LoadSettings(objects=200)
LATE_MS = 50.0


async def _request_us(size: int) -> float:
    """Processor time (us) of one answered request whose answer has so many bytes."""
    with tempfile.TemporaryDirectory() as folder:
        async with Deployment(Path(folder), copy_bytes=size) as place:
            assert place.process is not None
            warming = (LoadStep(1.0, RATE, RATE),)
            await run_load(place.address, warming, MIX, 1, LOAD_SETTINGS, max_lateness_ms=LATE_MS)
            before = cpu_s(place.process.pid)
            steps = (LoadStep(SECONDS, RATE, RATE),)
            result = await run_load(place.address, steps, MIX, 1, LOAD_SETTINGS, max_lateness_ms=LATE_MS)
            spent = cpu_s(place.process.pid) - before
    return spent * MICROSECONDS / result.counts["answered"]


def _answers(effort: Effort) -> list[Measurement]:
    quantity = Quantity(
        ROLE, "processor time of a request", "us", "bytes of its answer", f"at {RATE:g} a second"
    )
    return series(quantity, ANSWER_BYTES, REPEATS, lambda size: awaited(lambda: _request_us(size)))


STEPS = (Step(ROLE, "a request by the size of its answer", _answers, whole_only=True),)
