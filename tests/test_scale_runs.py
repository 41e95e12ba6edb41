"""Whole scale runs, small, of sound and of broken builds."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
import uvloop

from hoistplank.lab.scale import run_broken
from hoistplank.lab.scale.run_paths import LOG, REPLICAS
from tests.scale_rig import ROOT


@pytest.mark.parametrize("through", [LOG, REPLICAS])
def test_small_run_holds_and_is_found_true(through: str) -> None:
    verdict = uvloop.run(run_broken.played(through=through))
    assert not verdict.void, verdict.void
    assert all(verdict.claims.values()), (verdict.claims, verdict.figures, verdict.stragglers)
    # Each of 12 dispatchers had every event audited: 3 s of 20 purges, and 3 changes.
    assert verdict.figures["audited"] >= 12 * 40


@pytest.mark.parametrize("name", ["drops-purges", "acknowledges-early", "goes-deaf", "holds-back"])
def test_broken_builds_are_found_out(name: str) -> None:
    case = next(case for case in run_broken.CASES if case.name == name)
    assert uvloop.run(run_broken.fires(case)), name


def test_a_killed_run_leaves_no_process_behind() -> None:
    mark = f"SCALE_RUN_TEST={os.getpid()}"
    code = "import uvloop; from hoistplank.lab.scale import run_broken; uvloop.run(run_broken.played())"
    environment = os.environ | dict([mark.split("=")])
    run = subprocess.Popen([sys.executable, "-c", code], env=environment, cwd=ROOT, start_new_session=True)

    def marked() -> list[str]:
        found = []
        for place in Path("/proc").iterdir():
            if place.name.isdecimal():
                try:
                    found += [place.name] if mark.encode() in (place / "environ").read_bytes() else []
                except OSError:
                    continue
        return found

    until = time.monotonic() + 30
    while len(marked()) < 6 and time.monotonic() < until:  # itself, log, relays, hollow dispatchers
        time.sleep(0.05)
    assert len(marked()) >= 6
    run.send_signal(signal.SIGKILL)
    run.wait()
    while marked() and time.monotonic() < until:
        time.sleep(0.05)
    assert marked() == []
