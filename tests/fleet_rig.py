"""The fleet's scenes that the repository keeps."""

from __future__ import annotations

from pathlib import Path

from hoistplank.lab.fleet import runner
from hoistplank.lab.fleet.scene import Scene

ROOT = Path(__file__).resolve().parents[1]


SCENES = ROOT / "deploy" / "fleet"


def by_name(name: str) -> Scene:
    return runner.scenes([str(SCENES)], name)[0][0]
