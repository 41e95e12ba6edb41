"""A small scene of the scale run, and the scenes that the repository keeps."""

from __future__ import annotations

from pathlib import Path

from hoistplank.lab.scale.hollow import Position
from hoistplank.lab.scale.run_delays import Deliveries
from hoistplank.lab.scale.scene import Scene, read

ROOT = Path(__file__).resolve().parents[1]


SCENES = sorted((ROOT / "deploy" / "scale").glob("*.sexp"))


FLEET = "(scale s (dispatchers 100) (sites 10) (zones 5) (regions 2) (seconds 600s)"


def scene(more: str = "") -> Scene:
    return read(f"{FLEET} {more})".encode(), "s.sexp")


NOTHING = Position(0, 0)


def deliveries(many: int = 3) -> Deliveries:
    made = Deliveries([f"d{number}" for number in range(many)])
    for number in range(many):
        made.reachable(number, 0, True)
    return made
