"""Where a request's CPU goes, by layer: a dispatcher on loopback under the load tool, once plain, once
profiled.

The plain run gives the CPU of a request, the profiled one its shares. A profiler charges each Python call, so
layers of many small calls look dearer than they are: the shares are a place to start from, not a measurement
of seconds.
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

# The first that a file's path holds; what none does is Python's own and the libraries'.
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
MIX = "page=9 booking=1!"
PROFILED = """
import cProfile, time
from hoistplank.__main__ import main
profile = cProfile.Profile(time.process_time)
try:
    profile.runcall(main)
finally:
    profile.dump_stats({path!r})
"""


def layer(file: str, name: str) -> str:
    """Which layer a function belongs to; built-in ones by what they do."""
    if file == "~":
        return "event loop (uvloop) and system calls" if "uvloop" in name else "built-in functions"
    return next(
        (layer_name for part, layer_name in LAYERS if part in file.replace("\\", "/")), "Python and libraries"
    )


def shares(path: Path) -> dict[str, float]:
    """Seconds of each layer in a profile, the dearest first."""
    seconds_by_layer: dict[str, float] = {}
    stats: Any = pstats.Stats(str(path))
    for (file, _, name), row in stats.stats.items():
        layer_name = layer(file, name)
        seconds_by_layer[layer_name] = seconds_by_layer.get(layer_name, 0.0) + row[2]
    return dict(sorted(seconds_by_layer.items(), key=lambda pair: -pair[1]))


def cpu_s(pid: int) -> float:
    """CPU of a process so far (proc(5), fields 14 and 15, in hundredths of a second)."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100


async def _run(
    rate: float, seconds: float, fresh: float, command: tuple[str, ...]
) -> tuple[LoadResult, float]:
    with tempfile.TemporaryDirectory() as folder:
        async with Deployment(Path(folder), command=command) as place:
            assert place.process is not None
            before = cpu_s(place.process.pid)
            steps = (Step(seconds, rate, rate),)
            settings = LoadSettings(fresh_share=fresh)
            result = await run_load(place.address, steps, parse_mix(MIX), 2, settings)
            return result, cpu_s(place.process.pid) - before


async def profiled(rate: float, seconds: float, fresh: float = 0.0) -> dict[str, Any]:
    """CPU of a request (us) and the layers' shares of it, at a rate and a share of new connections."""
    plain, cpu_s = await _run(rate, seconds, fresh, ("-m", "hoistplank"))
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "profile"
        slow, _ = await _run(rate / 2, seconds, fresh, ("-c", PROFILED.format(path=str(path))))
        layers = shares(path)
    whole = sum(layers.values())
    return {
        "rate": rate,
        "new_connections": fresh,
        "cpu_us_a_visit": round(cpu_s / plain.counts["sent"] * 1e6, 1),
        "answered": plain.counts.get("answered", 0) / plain.counts["sent"],
        "late_ms": plain.lateness_ms,
        "profiled_visits": slow.counts["sent"],
        "shares": {name: round(value / whole, 3) for name, value in layers.items()},
    }


def run(rate: float, seconds: float, fresh: float) -> dict[str, Any]:
    """Load a small deployment at a rate, and profile where its dispatcher's CPU time goes."""
    return asyncio.run(profiled(rate, seconds, fresh))
