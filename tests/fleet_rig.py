"""The fleet's scenes that the repository keeps."""

from __future__ import annotations

from pathlib import Path

from hoistplank.lab.fleet.scene import Scene
from hoistplank.lab.fleet.scene_loader import load_scenes

ROOT = Path(__file__).resolve().parents[1]


SCENES = ROOT / "deploy" / "fleet"


def by_name(name: str) -> Scene:
    return load_scenes([str(SCENES)], name)[0][0]
