"""`hoistplank lab fleet`: scenes with many processes and faults on the paths between them."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import TYPE_CHECKING

import click

from hoistplank.cli.failure import fail
from hoistplank.cli.lab_output import ROOT, Row, progress_bar
from hoistplank.operator_configuration.errors import ConfigurationError

if TYPE_CHECKING:
    from hoistplank.lab.fleet.scene_loader import LoadedScene

FAILED, VOID = 1, 3  # exit codes


@click.command()
@click.argument("paths", nargs=-1, required=True, type=click.Path())
@click.option("--only", default="", help="Play only the scene of this name.")
@click.option("--seed", "seeds", multiple=True, type=click.IntRange(0), help="May be given several times.")
@click.option("--drive", type=click.Choice(["processes", "virtual", "both"]), default="processes")
@click.option("--policy", "policies", multiple=True, help="Further policy to play in virtual time.")
@click.option("--at-once", type=click.IntRange(1, 16), default=max(1, (os.cpu_count() or 1) // 3))
@click.option("--keep", type=click.Path(), help="Folder in which to keep the dispatchers' files and logs.")
@click.option("--out", type=click.Path(), help="Folder for the results, to be read by 'lab report'.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object per run.")
def fleet(  # noqa: PLR0913 (one parameter per option)
    paths: tuple[str, ...],
    only: str,
    seeds: tuple[int, ...],
    drive: str,
    policies: tuple[str, ...],
    at_once: int,
    keep: str | None,
    out: str | None,
    as_json: bool,
) -> None:
    """Play the scenes of PATHS (files or folders) with many processes and faults on the paths between them.

    Exit code 0: all bounds held. 1: a bound or a rule was violated, or a process failed. 2: a scene can't be
    played; nothing was started. 3: the machine was too slow for a verdict.
    """
    from hoistplank.lab.fleet import runner

    chosen = _scenes(paths, only, policies)
    drives = ["processes", "virtual"] if drive == "both" else [drive]
    if not any(one in scene.drives for scene, _ in chosen for one in drives):
        fail(f"none of these scenes can be played with --drive {drive}: they use what only processes have")
    with progress_bar() as progress:
        task = progress.add_task("scenes", total=None)

        def report_run(done: int, many: int, found: Row) -> None:
            progress.update(task, completed=done, total=many, description=found["scene"])

        names = ["module", *(name for name in policies if name != "module")]
        folder = Path(keep) if keep else None
        work = runner.run_scenes(chosen, drives, seeds or (1,), at_once, folder, report_run, names)
        try:
            rows = asyncio.run(runner.interruptible(work))
        except (KeyboardInterrupt, asyncio.CancelledError):
            raise click.ClickException(
                "interrupted; no process is left running, and no results are written"
            ) from None
    if out is not None:
        click.echo(_write(rows, Path(out)), err=True)
    for row in rows:
        click.echo(json.dumps(row) if as_json else runner.summarize(row))
    sys.exit(_exit_code(row["verdict"] for row in rows))


def _scenes(paths: tuple[str, ...], only: str, policies: tuple[str, ...]) -> list[LoadedScene]:
    """Returns the scenes to play, each with its folder; ends the command if one can't be played."""
    from hoistplank.lab.fleet.scene_loader import load_scenes
    from hoistplank.lab.policies import policy
    from hoistplank.lab.policy import UnknownPolicyError

    try:
        chosen = load_scenes(paths, only)
        for name in policies:
            policy(name)
    except (ConfigurationError, UnknownPolicyError) as error:
        fail(str(error))
    return chosen


def _write(rows: list[Row], folder: Path) -> str:
    """Writes the results of the completed runs; returns the name of the file."""
    from hoistplank.lab import results
    from hoistplank.lab.runner import revision

    text = revision(ROOT)
    folder.mkdir(parents=True, exist_ok=True)
    complete = [row | {"revision": text} for row in rows if row["how"] == "done"]
    return str(results.write(folder, "fleet", complete))


def _exit_code(verdicts: Iterable[str]) -> int:
    distinct = set(verdicts)
    if distinct & {"failed", "broke"}:
        return FAILED
    return VOID if "void" in distinct else 0
