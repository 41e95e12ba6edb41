"""What control of a whole fleet costs, and how soon all is in force everywhere: `make bench-scale`.

The quick form plays a fleet of 60 hollow dispatchers with every fault for some seconds; the whole one the
fleet that is planned for, 680 of them, in some twelve minutes. Both check first that a hollow dispatcher
costs per event what a real one does, and that every claim fails on a build that is broken for it.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import platform
import sys
import tempfile
import time
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from benchmarks.verdict import verdict
from hoistplank.lab.runner import revision
from hoistplank.lab.scale import run_broken
from hoistplank.lab.scale.hollow_pairing import Pairing, PairingPlan, paired
from hoistplank.lab.scale.measurements import RunInfo, write
from hoistplank.lab.scale.run import Played, RunLostError, ScaleRun
from hoistplank.lab.scale.run_children import ChildLostError
from hoistplank.lab.scale.run_paths import LOG, REPLICAS
from hoistplank.lab.scale.run_record import records
from hoistplank.lab.scale.run_verdict import OF_TIME, RATIO_LEAST, RATIO_MOST, Verdict, judged
from hoistplank.lab.scale.scene import read

ROOT = Path(__file__).resolve().parents[1]
SCENES = ROOT / "deploy" / "scale"
QUICK = bool(os.environ.get("QUICK"))
SEED = 1
PAIRED = (
    PairingPlan(real=3, shared=20, rates=(0.0, 40.0, 80.0, 120.0), rounds=2, seconds=1.2)
    if QUICK
    else PairingPlan(real=5, shared=60, rounds=4, seconds=4.0)
)
BROKEN_PAIR = PairingPlan(
    real=2, shared=4, rates=(0.0, 10.0, 20.0), rounds=1, seconds=1.2, broken="wastes-time"
)
BROKEN_AT_ONCE = 4
SAME_BYTES = 0.05  # how far what one event brings may differ between a hollow dispatcher and a real one
TOLD_EVERY_S = 10.0
SHOWN_FALSE = 20


def same_cost(pairing: Pairing) -> bool:
    return RATIO_LEAST <= pairing.ratio <= RATIO_MOST


def same_traffic(pairing: Pairing) -> bool:
    real, hollow = pairing.real, pairing.alone
    pairs = ((real.bytes_event, hollow.bytes_event), (real.lines_event, hollow.lines_event))
    return all(abs(one - other) <= SAME_BYTES * one for one, other in pairs)


def children() -> list[int]:
    """Processes whose parent is this one: none is left once all is over."""
    found = []
    for place in Path("/proc").iterdir():
        if place.name.isdecimal():
            try:
                fields = (place / "stat").read_text().rpartition(")")[2].split()
            except OSError:
                continue
            if int(fields[1]) == os.getpid() and fields[0] != "Z":
                found.append(int(place.name))
    return found


async def pairing_of(folder: Path, through: str) -> Pairing:
    pairing = await paired(msgspec.structs.replace(PAIRED, through=through), folder)
    print(f"pairing: {pairing.ratio:.2f} of a real one an event", file=sys.stderr, flush=True)
    return pairing


async def fired_of(folder: Path) -> dict[str, bool]:
    """Which broken builds are found out."""
    fired = await run_broken.all_fire(BROKEN_AT_ONCE)
    fired["costs-more"] = not same_cost(await paired(BROKEN_PAIR, folder))
    return fired


async def checked(folder: Path, through: str) -> tuple[Pairing, dict[str, bool]]:
    """One after the other; in the quick form at once, for its time: a pair shares what disturbs it."""
    places = folder / "pairing", folder / "broken"
    for place in places:
        place.mkdir()
    if QUICK:
        return await asyncio.gather(pairing_of(places[0], through), fired_of(places[1]))
    return await pairing_of(places[0], through), await fired_of(places[1])


def progress() -> Any:
    """Tells where the run is, every ten seconds."""
    told_at = time.monotonic()

    def tell(line: str) -> None:
        nonlocal told_at
        if time.monotonic() - told_at >= TOLD_EVERY_S:
            told_at = time.monotonic()
            print(line, file=sys.stderr, flush=True)

    return tell


async def measured(scene: Path, through: str) -> tuple[Pairing, dict[str, bool], Played]:
    with tempfile.TemporaryDirectory() as folder:
        pairing, fired = await checked(Path(folder), through)
    made = read(scene.read_bytes(), scene.name)
    return pairing, fired, await ScaleRun(made, SEED, through, progress=progress()).play()


def figures(found: Verdict, played: Played, pairing: Pairing, fired: dict[str, bool]) -> dict[str, Any]:
    fleet = played.scene.fleet
    rss_kb = sum(max(row.rss_kb for row in played.usage.hollow if row.process == n) for n in played.empty_kb)
    return {
        "scene": played.scene.name,
        "seed": SEED,
        "dispatchers": fleet.dispatchers,
        "sites": fleet.sites,
        "hosts": fleet.hosts,
        "pairing": msgspec.to_builtins(pairing),
        "steady": msgspec.to_builtins(found.steady),
        "figures": msgspec.to_builtins(found.figures),
        "windows": msgspec.to_builtins(found.windows),
        "stragglers": found.stragglers,
        "last_most_often": found.slowest,
        "false_acknowledgements": msgspec.to_builtins(played.false[:SHOWN_FALSE]),
        "replica_answers": len(played.statuses),
        "reconnects": sum({row.process: row.reconnects for row in played.usage.hollow}.values()),
        "hollow_rss_mb": round(rss_kb / 1_024),
        "relays": msgspec.to_builtins(played.relays),
        "broken_builds_found": fired,
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--through", choices=(LOG, REPLICAS), default=REPLICAS, help="what dispatchers follow"
    )
    parser.add_argument("--scene", type=Path, default=SCENES / ("quick.sexp" if QUICK else "fleet.sexp"))
    parser.add_argument("--out", type=Path, help="a Parquet file that takes what was measured")
    chosen = parser.parse_args()
    began, began_at = time.monotonic(), datetime.now(UTC).strftime("%Y-%m-%dT%H:%MZ")
    try:
        pairing, fired, played = uvloop.run(measured(chosen.scene, chosen.through))
    except (RunLostError, ChildLostError, RuntimeError) as wrong:
        return verdict({"quick": QUICK, "claims": {}}, (), f"the rig broke: {wrong}")
    found = judged(played, pairing)
    out = {"quick": QUICK, "through": chosen.through} | figures(found, played, pairing, fired)
    out["claims"] = found.claims | {
        "hollow_costs_as_real": same_cost(pairing),
        "hollow_hears_as_real": same_traffic(pairing),
        "broken_builds_found": all(fired.values()),
        "nothing_left_behind": not children(),
    }
    if chosen.out is not None:
        form = "quick" if QUICK else "whole"
        info = RunInfo(f"scale {began_at}", revision(ROOT), platform.platform(), form)
        write(chosen.out, records(played.scene, found, pairing, info.run), info)
    out["took_s"] = round(time.monotonic() - began, 1)
    of_time = (*OF_TIME, "hollow_costs_as_real", "core_of_a_dispatcher")
    return verdict(out, of_time, found.void)


if __name__ == "__main__":
    sys.exit(main())
