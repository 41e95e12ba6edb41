"""Plays every scenario in tests/scenarios: a small script of inputs, and the decisions that must follow.

A line is `TIME_MS INPUT words...` for an input (after `&` the next input joins its batch), `> act words...`
for the decision that must come next (wakes left out), `! act words...` for one that must not come, `.` for
no further decision, `...` to pass over those still unspoken for, `site NAME=VALUE` for other figures.
"""

from pathlib import Path

import pytest

from tests.helpers import Stage

SCENES = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))


@pytest.mark.parametrize("path", SCENES, ids=lambda path: path.stem)
def test_scenario(path: Path) -> None:
    stage = Stage()
    for number, line in enumerate(path.read_text().splitlines(), 1):
        words = line.split("#")[0].split()
        if words:
            stage.play(words, f"{path.name}:{number}")
    stage.close(path.name)
