"""Whole runs of a small fleet on processes, also such as are cut off."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import pytest

from hoistplank.fakes.deployment import free_port
from hoistplank.lab.fleet import processes, runner, worker
from hoistplank.lab.fleet.scene_loader import LoadedScene, load_scenes
from hoistplank.lab.fleet.scene_reader import read_scene
from hoistplank.lab.fleet.worker import Job
from hoistplank.operator_configuration.errors import ConfigurationError

SMALL = "(scene s (locations 2) (dispatchers 1) (caches 2) (parents 2) (rate 8) (seconds 2s) (warm 1s) {})"


def played(tmp_path: Path, text: str, many: int = 1) -> list[dict[str, Any]]:
    file = tmp_path / "small.sexp"
    file.write_text(text)
    playing = runner.run_scenes(load_scenes([str(file)]), ["processes"], range(1, many + 1), many)
    return asyncio.run(asyncio.wait_for(playing, 150))


def test_two_runs_at_a_time_with_stopped_and_killed_processes_leave_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path / "runs"))
    (tmp_path / "runs").mkdir()
    stale = tmp_path / "runs" / f"{runner.FOLDER_PREFIX}999999999-x"
    stale.mkdir()
    # The scene ends while one dispatcher is stopped, and after another one was killed.
    text = SMALL.format("(at 1s (down d1 for 400ms)) (at 1500ms (freeze d0 for 60s))")
    for found in played(tmp_path, text, 2):
        assert found["verdict"] in ("held", "void"), found
    assert list((tmp_path / "runs").iterdir()) == []


def test_a_dispatcher_comes_back_with_another_operator_s_file_beside_its_scene(tmp_path: Path) -> None:
    (tmp_path / "plain.sexp").write_text("(log (format json))")
    (tmp_path / "small.sexp").write_text(SMALL.format('(at 500ms (older d0 "plain.sexp" down 100ms))'))
    ((scene, beside),) = load_scenes([str(tmp_path)])  # the operator's file is no scene of the folder
    assert scene.files() == ["plain.sexp"] and beside == tmp_path
    kept = tmp_path / "kept"
    playing = runner.run_scenes([LoadedScene(scene, beside)], ["processes"], [1], 1, kept)
    (found,) = asyncio.run(asyncio.wait_for(playing, 90))
    assert found["verdict"] in ("held", "void"), found
    log = (kept / "s-1" / "dispatcher-0.log").read_text().splitlines()
    assert not log[0].startswith("{") and log[-1].startswith("{")
    (tmp_path / "plain.sexp").rename(tmp_path / "other.sexp")
    with pytest.raises(ConfigurationError, match="other.sexp"):
        load_scenes([str(tmp_path)])


def test_a_dispatcher_that_breaks_is_told_and_a_late_rig_is_void(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    (tmp_path / "bad.sexp").write_text("(levels (nonsense))")
    (found,) = played(tmp_path, SMALL.format('(at 500ms (older d0 "bad.sexp" down 100ms))'))
    assert found["verdict"] == "broke" and "nonsense" in found["why"]
    monkeypatch.setattr(processes.FleetDay, "late_us", lambda self: 40_000)
    scene, folder = read_scene(SMALL.format("").encode(), "s"), str(tmp_path / "run")
    late = worker.play(Job(scene=scene, drive="processes", seed=1, folder=folder, scene_folder=str(tmp_path)))
    assert late["how"] == "void" and "40 ms late" in late["why"]


def test_a_port_that_is_taken_meanwhile_is_left_for_another(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with socket.create_server(("127.0.0.1", 0)) as other:
        taken, asked = other.getsockname()[1], list[int]()

        def port() -> int:
            asked.append(taken if not asked else free_port())
            return asked[-1]

        monkeypatch.setattr("hoistplank.lab.backends.socket_dispatcher.free_port", port)
        scene = read_scene(SMALL.format("").encode(), "s")
        day, rig = processes.play(scene, 1, tmp_path, tmp_path)
    assert len(asked) == 3 and rig["chunks"] > 0 and day.metrics.firsts > 0


@pytest.mark.parametrize("how", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_a_run_that_is_cut_off_leaves_no_process_and_no_file(how: signal.Signals, tmp_path: Path) -> None:
    (tmp_path / "runs").mkdir()
    file = tmp_path / "small.sexp"
    file.write_text(SMALL.format("(at 100ms (freeze d0 for 60s))"))
    token = f"{os.getpid()}-{how.name}"
    own = os.environ | {"FLEET_RUN": token, "TMPDIR": str(tmp_path / "runs")}
    command = [sys.executable, "-m", "hoistplank.cli.main", "lab", "fleet", str(file)]
    process = subprocess.Popen(command, env=own, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)

    def marked() -> list[str]:
        found = []
        for place in Path("/proc").glob("[0-9]*"):
            try:
                if f"FLEET_RUN={token}".encode() in (place / "environ").read_bytes():
                    found.append(place.name)
            except OSError:
                continue
        return found

    def waited(ready: Callable[[], bool], most: float) -> None:
        until = time.monotonic() + most
        while not ready() and time.monotonic() < until:
            time.sleep(0.05)

    # The runner, its worker, a relay process and two dispatchers are there.
    waited(lambda: len(marked()) >= 5, 30)
    assert len(marked()) >= 5
    time.sleep(Random(how).random())
    process.send_signal(how)
    process.wait(30)
    waited(lambda: not marked() and not list((tmp_path / "runs").iterdir()), 30)
    assert marked() == [] and list((tmp_path / "runs").iterdir()) == []
