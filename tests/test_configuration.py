"""EDGE_CONFIG: an invalid value is reported with its key, and the program exits before it listens."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

import pytest

from hoistplank.fakes.settings import endpoint_entry, fleet_event
from hoistplank.program.configuration import DispatcherConfigurationError, read_configuration
from tests.helpers import configuration
from tests.scene_runner import run_scene


@pytest.mark.parametrize(
    "key, value, message",
    [
        ("listen", "here", "listen: 'here' is no address"),
        ("changelog", None, "changelog"),
        ("limits.sockets", "many", r"\$.limits.sockets"),
        ("limits.memory_mb", 0, r"\$.limits.memory_mb"),
        ("seed", "xyz", "seed: 'xyz'"),
        ("settings.classes", [], "'classes' is absent or empty"),
        ("settings.rules.cold", "soon", "settings: field 'rules.cold' is not a time in decimal seconds"),
        ("settings.limits.streams_per_conn", 0, "'limits.streams_per_conn' is 0, below 1"),
        (
            "known",
            {"seq": 1, "results": [fleet_event(1, [endpoint_entry("a", "box", 70_000)])]},
            "known.results: '127.0.0.1:70000'",
        ),
        ("known", {"seq": 1, "results": [{"fleet": {}}]}, "seq"),
        (
            "known",
            {"seq": 1, "results": [fleet_event(1, [endpoint_entry("a,hints=x", "box", 7)])]},
            "uid 'a,hints=x'",
        ),
    ],
)
def test_invalid_value_is_reported_with_its_key(tmp_path: Path, key: str, value: Any, message: str) -> None:
    with pytest.raises(DispatcherConfigurationError, match=message):
        configuration(tmp_path, **{key: value})


def test_environment_mismatch_and_missing_or_malformed_file_are_rejected(tmp_path: Path) -> None:
    configuration(tmp_path)
    file = str(tmp_path / "config.json")
    with pytest.raises(
        DispatcherConfigurationError, match="listen: the file says '127.0.0.1:0', EDGE_LISTEN '1.2.3.4:5'"
    ):
        read_configuration({"EDGE_CONFIG": file, "EDGE_LISTEN": "1.2.3.4:5"})
    with pytest.raises(DispatcherConfigurationError, match="EDGE_CONFIG is not set"):
        read_configuration({})
    (tmp_path / "config.json").write_text("{")
    with pytest.raises(DispatcherConfigurationError, match="the file is not valid JSON"):
        read_configuration({"EDGE_CONFIG": file})


def test_invalid_configuration_exits_with_2_before_listening(tmp_path: Path) -> None:
    async def scene() -> None:
        program = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "hoistplank",
            env={"EDGE_CONFIG": str(tmp_path / "none")},
            stderr=asyncio.subprocess.PIPE,
        )
        _, stderr = await program.communicate()
        assert program.returncode == 2 and stderr.startswith(
            b"hoistplank: EDGE_CONFIG: the file can't be read"
        )

    run_scene(scene())
