"""Measures the CPU time of a request by layer: a dispatcher on loopback under the load tool, run without and
with a profiler.

The run without the profiler gives the CPU time of a request, the other one the layers' shares of it. A
profiler adds a cost to each Python call, so layers of many small calls look more expensive than they are: the
shares are a starting point, not a measurement of seconds.
"""

from __future__ import annotations

import asyncio
import pstats
import tempfile
from pathlib import Path
from typing import Any

from hoistplank.fakes.deployment import Deployment
from hoistplank.lab.load.coordinator import run_load
from hoistplank.lab.load.messages import LoadSettings
from hoistplank.lab.load.result import LoadResult
from hoistplank.lab.load.schedule import Step
from hoistplank.lab.load.traffic_mix import parse_mix

# A file belongs to the first layer whose text its path contains, else to Python and libraries.
LAYERS = (
    ("hoistplank/decision", "decision logic"),
    ("hoistplank/routing/router_task", "router task"),
    ("hoistplank/routing/attempt", "attempts"),
    ("hoistplank/routing/frontend", "frontend"),
    ("hoistplank/routing/client_session", "frontend"),
    ("hoistplank/routing/request_intake", "frontend"),
    ("hoistplank/routing/request_parsing", "frontend"),
    ("hoistplank/routing/response", "frontend"),
    ("hoistplank/routing", "routing, other"),
    ("hoistplank/protocol/fastcgi", "FastCGI"),
    ("hoistplank/protocol", "cache wire and log"),
    ("hoistplank/transport", "transport"),
    ("hoistplank", "program"),
    ("asyncio/runners", "event loop (uvloop) and system calls"),
    ("asyncio", "asyncio"),
)
TRAFFIC_MIX = "page=9 booking=1!"
PROFILER_SCRIPT = """
import cProfile, time
from hoistplank.__main__ import main
profile = cProfile.Profile(time.process_time)
try:
    profile.runcall(main)
finally:
    profile.dump_stats({path!r})
"""


def layer_of(file: str, name: str) -> str:
    """Returns the layer that a function belongs to."""
    if file == "~":
        return "event loop (uvloop) and system calls" if "uvloop" in name else "built-in functions"
    return next(
        (layer_name for part, layer_name in LAYERS if part in file.replace("\\", "/")), "Python and libraries"
    )


def cpu_by_layer(path: Path) -> dict[str, float]:
    """Returns the CPU seconds of each layer in a profile, the largest first."""
    seconds_by_layer: dict[str, float] = {}
    stats: Any = pstats.Stats(str(path))
    for (file, _, name), row in stats.stats.items():
        layer_name = layer_of(file, name)
        seconds_by_layer[layer_name] = seconds_by_layer.get(layer_name, 0.0) + row[2]
    return dict(sorted(seconds_by_layer.items(), key=lambda pair: -pair[1]))


def cpu_s(pid: int) -> float:
    """Returns the CPU seconds of a process so far (proc(5), fields 14 and 15, in hundredths of a second)."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100


async def _run(
    rate: float, seconds: float, fresh: float, command: tuple[str, ...]
) -> tuple[LoadResult, float]:
    with tempfile.TemporaryDirectory() as folder:
        async with Deployment(Path(folder), command=command) as deployment:
            assert deployment.process is not None
            before = cpu_s(deployment.process.pid)
            steps = (Step(seconds, rate, rate),)
            settings = LoadSettings(fresh_share=fresh)
            result = await run_load(deployment.address, steps, parse_mix(TRAFFIC_MIX), 2, settings)
            return result, cpu_s(deployment.process.pid) - before


async def profile_dispatcher(rate: float, seconds: float, fresh: float = 0.0) -> dict[str, Any]:
    """Returns the CPU time of a request (us) and the layers' shares of it.

    `rate` is in requests a second, `fresh` the share of requests on new connections.
    """
    plain, cpu_s = await _run(rate, seconds, fresh, ("-m", "hoistplank"))
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "profile"
        profiled, _ = await _run(rate / 2, seconds, fresh, ("-c", PROFILER_SCRIPT.format(path=str(path))))
        layers = cpu_by_layer(path)
    total = sum(layers.values())
    return {
        "rate": rate,
        "new_connections": fresh,
        "cpu_us_a_visit": round(cpu_s / plain.counts["sent"] * 1e6, 1),
        "answered": plain.counts.get("answered", 0) / plain.counts["sent"],
        "late_ms": plain.lateness_ms,
        "profiled_visits": profiled.counts["sent"],
        "shares": {name: round(value / total, 3) for name, value in layers.items()},
    }


def run(rate: float, seconds: float, fresh: float) -> dict[str, Any]:
    """Loads a small deployment at a rate and profiles the CPU time of its dispatcher."""
    return asyncio.run(profile_dispatcher(rate, seconds, fresh))
