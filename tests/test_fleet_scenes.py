"""The fleet's scenes: how they are read, and what they give in virtual time."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from hoistplank.cli.main import main
from hoistplank.lab.fleet import faulty_dispatchers, virtual
from hoistplank.lab.fleet.metrics import FleetMetrics, SharedResource, jain_index
from hoistplank.lab.fleet.scene_faults import lasts
from hoistplank.lab.fleet.scene_loader import load_scenes
from hoistplank.lab.fleet.scene_reader import read_scene
from hoistplank.lab.fleet.worker import Job, run_row
from hoistplank.lab.model.world_settings import SECOND_US
from hoistplank.lab.policies import policy
from hoistplank.operator_configuration.errors import ConfigurationError
from tests.fleet_rig import SCENES, by_name

BROKEN_SCENES = {
    "(scene a (at 1s (gone z7 caches for 2s noticed 1s)))": ("s:1:17", "'z7'", "a party of this fleet"),
    "(scene a (at 1s (down d9 for 2s)))": ("s:1:17", "'d9'", "9 dispatchers"),
    "(scene a (at 9s (down d0 for 2s)))": ("s:1:17", "at 9s", "within the 8 s"),
    "(scene a (at 1s (hush c0-0 c0-1 for 2s)))": ("s:1:17", "no path", "one end a dispatcher"),
    "(scene a (at 1s (loss d0 c0-0 0.5 for 2s)))": ("s:1:17", "no path", "one end a dispatcher"),
    "(scene a (at 1s (move z0 z0 0.5 after 1s spread 1s for 2s)))": ("s:1:17", "move", "two different"),
    "(scene a (at 1s (vanquish z0)))": ("s:1:17", "unknown fault", "'vanish'"),
    "(scene a (drives virtual) (at 1s (starve d0 0.5 for 2s)))": ("s:1:10", "'virtual'", "only they have it"),
    "(scene a (expect earned z0 over 0.5))": ("s:1:18", "earned z0 over", "above|below"),
    "(scene a (expect utility above 0.5))": ("s:1:18", "unknown measure", "'earned'"),
    "(scene a (expect earned above 0.5 from 2s to 20s))": ("s:1:10", "from 2s to 20s", "within the 8 s"),
    "(scene a (expect earned z7 above 0.5))": ("s:1:10", "earned z7", "a location of z0, z1, z2"),
    "(scene a (expect refused z1 below 0.5))": ("s:1:10", "refused z1", "no place"),
    "(scene a (expect lost to-thieves below 0.5))": ("s:1:10", "to-thieves", "a cause: rejected"),
    "(scene a (expect fair above 0.5 from 1s to 2s))": ("s:1:10", "from 1s", "of the whole scene"),
    "(scene a (at 1s (halfway clients d0)))": ("s:1:17", "halfway clients", "between a dispatcher and hosts"),
    "(scene a (locations 300))": ("s:1:21", "'300'", "from 1 to 30"),
    "(scene)": ("s:1:1", "no name", "a name"),
    "(scene a) (scene b)": ("s:1:1", "2 forms", "one '(scene"),
}


@pytest.mark.parametrize("text", BROKEN_SCENES)
def test_a_scene_that_can_t_be_met_is_told_with_its_place_before_anything_starts(
    text: str, tmp_path: Path
) -> None:
    place, found, wants = BROKEN_SCENES[text]
    with pytest.raises(ConfigurationError) as told:
        read_scene(text.encode(), "s")
    first = str(told.value.diagnostics[0])
    assert first.startswith(place) and found in first and wants in first, first
    file = tmp_path / "s.sexp"
    file.write_text(text)
    called = CliRunner().invoke(main, ["lab", "fleet", str(file)])
    assert called.exit_code == 2 and found in called.output


def test_the_repository_s_scenes_read_the_same_again_and_know_their_ends() -> None:
    found = load_scenes([str(SCENES)])
    assert len(found) >= 12 and len({scene.name for scene, _ in found}) == len(found)
    for scene, _ in found:
        assert scene.doc and all(
            row.at + lasts(row) <= (scene.seconds + 2) * SECOND_US for row in scene.faults()
        )
    with pytest.raises(ConfigurationError, match="no scene 'none'"):
        load_scenes([str(SCENES)], "none")
    with pytest.raises(ConfigurationError, match="can't be read"):
        load_scenes([str(SCENES / "none.sexp")])


PLAYED = [scene.name for scene, _ in load_scenes([str(SCENES)]) if "virtual" in scene.drives]


@pytest.mark.parametrize("name", PLAYED)
def test_scenes_hold_in_virtual_time(name: str) -> None:
    job = Job(scene=by_name(name), drive="virtual", seed=1, folder="", scene_folder="")
    world, metrics = virtual.build_world(job.scene, 1, policy("module"))
    world.run()
    found = run_row(job, world, metrics, 0.0, {})
    assert found["failures"] == [] and found["visits"] > 100


def test_one_seed_gives_one_trace_and_another_seed_another_one() -> None:
    def trace(seed: int) -> Any:
        world, metrics = virtual.build_world(by_name("place-lost"), seed, policy("module"))
        world.run()
        return metrics.figures()

    assert trace(1) == trace(1) != trace(2)


def test_a_path_s_silence_and_a_stall_act_in_virtual_time_as_they_say() -> None:
    text = "(scene a (seconds 4s) (warm 2s) (at 1s ({})) (expect earned above 0))"
    calm, usual = virtual.build_world(
        read_scene(b"(scene a (seconds 4s) (warm 2s))", "a"), 1, policy("module")
    )
    calm.run()
    for fault in ("hush z0 d0 for 2s", "freeze d0 for 2s", "hush clients d0 for 2s"):
        world, metrics = virtual.build_world(
            read_scene(text.format(fault).encode(), "a"), 1, policy("module")
        )
        late = [0]

        def answered(
            now: int, request: Any, how: str, metrics: FleetMetrics = metrics, late: list[int] = late
        ) -> None:
            if request.dispatcher == 0 and 3_050_000 < now < 4_900_000 and how == "served":
                late[0] += 1
            FleetMetrics.answered(metrics, now, request, how)

        metrics.answered = answered  # type: ignore[method-assign]
        world.run()
        # The others go on; of this one nothing comes, or nothing of its caches.
        assert sum(world.rules.counts.values()) == 0 and metrics.unaccounted() == []
        assert metrics.by_dispatcher[0][1] < usual.by_dispatcher[0][1], fault
        if fault.startswith("freeze"):
            assert late[0] == 0, fault


def test_each_checker_fires_on_what_was_made_for_it_and_lets_the_module_pass() -> None:
    assert faulty_dispatchers.fires() == dict.fromkeys([*faulty_dispatchers.FLEET, "forgetful"], (True, True))


def test_sums_and_fairness_are_counted_by_the_truth() -> None:
    assert jain_index([1, 1, 1]) == 1 and jain_index([1, 0, 0, 0]) == 0.25 and jain_index([]) == 1
    held = SharedResource(4.0)
    for parts in ([1.0, 2.0], [3.0, 2.0], [4.0]):
        held.sample(parts)
    assert (held.most, held.over, held.samples) == (1.25, 1, 3)


def test_results_become_a_page_and_a_bound_that_fails_an_exit_code(tmp_path: Path) -> None:
    file, out = tmp_path / "lost.sexp", tmp_path / "out"
    text = "(scene lost (seconds 3s) (warm 1s) (at 1s (gone z0 caches for 1s noticed 300ms)) (expect {}))"
    call = CliRunner().invoke
    words = ["lab", "fleet", str(file), "--drive", "virtual", "--policy", "seer", "--out", str(out)]
    file.write_text(text.format("earned above 0.999"))
    failed = call(main, words)
    assert failed.exit_code == 1 and "lost virtual module seed 1: failed" in failed.output
    assert "earned above 0.999: 0." in failed.output
    file.write_text(text.format("earned above 0.1"))
    held = call(main, words)
    assert held.exit_code == 0 and "lost virtual seer seed 1: held" in held.output
    # A second run stands beside the first one, with the faults marked.
    assert call(main, ["lab", "report", str(out), str(out)]).exit_code == 0
    page = (out / "report.html").read_text()
    assert page.count("virtual, module, seed 1") >= 2 * 5 and page.count("<svg") == 5
    assert "Utility by location; faults shaded" in page and "gone z0 caches" in page
    nothing = call(main, ["lab", "fleet", str(SCENES / "starved.sexp"), "--drive", "virtual"])
    assert nothing.exit_code == 2 and "only processes have" in nothing.output
