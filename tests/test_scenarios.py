"""Plays every scenario in tests/scenarios: a script of inputs, and the decisions that must follow.

A line is `TIME_MS INPUT words...` for an input (after `&`, the next input joins its batch), `> act words...`
for the decision that must come next (timers are left out), `! act words...` for one that must not follow, `.`
for no further decision, `...` to skip the decisions not checked yet, `site NAME=VALUE` for other settings.
"""

from pathlib import Path

import pytest

from tests.helpers import ScenarioPlayer

SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path: Path) -> None:
    player = ScenarioPlayer()
    for number, line in enumerate(path.read_text().splitlines(), 1):
        words = line.split("#")[0].split()
        if words:
            player.play_line(words, f"{path.name}:{number}")
    player.close(path.name)
