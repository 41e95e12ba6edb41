"""`hoistplank lab fleet`: scenes with many processes and faults between them."""

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
@click.option("--only", default="", help="This scene alone, by its name.")
@click.option("--seed", "seeds", multiple=True, type=click.IntRange(0), help="May stand several times.")
@click.option("--drive", type=click.Choice(["processes", "virtual", "both"]), default="processes")
@click.option("--policy", "policies", multiple=True, help="In virtual time, beside the module.")
@click.option("--at-once", type=click.IntRange(1, 16), default=max(1, (os.cpu_count() or 1) // 3))
@click.option("--keep", type=click.Path(), help="A folder in which the dispatchers' files and logs stay.")
@click.option("--out", type=click.Path(), help="A folder for the results, which 'lab report' reads.")
@click.option("--json", "as_json", is_flag=True, help="A JSON object a run.")
def fleet(  # noqa: PLR0913 (one parameter an option)
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
    """Play the scenes of PATHS (files or folders) with many processes and faults between them.

    Exit code 0: all bounds held. 1: one did not, a rule was broken, or a process broke. 2: a scene can't be
    met; nothing was started. 3: the machine was too slow to tell.
    """
    from hoistplank.lab.fleet import runner

    chosen = _scenes(paths, only, policies)
    drives = ["processes", "virtual"] if drive == "both" else [drive]
    if not any(one in scene.drives for scene, _ in chosen for one in drives):
        fail(f"none of these scenes plays in {drive} time: they name what only processes have")
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
            raise click.ClickException("interrupted; nothing of it is left") from None
    if out is not None:
        click.echo(_write(rows, Path(out)), err=True)
    for row in rows:
        click.echo(json.dumps(row) if as_json else runner.summarize(row))
    sys.exit(_exit_code(row["verdict"] for row in rows))


def _scenes(paths: tuple[str, ...], only: str, policies: tuple[str, ...]) -> list[LoadedScene]:
    """The scenes to play, with the folder each lies in; ends the command where one can't be met."""
    from hoistplank.lab.fleet.scene_loader import load_scenes
    from hoistplank.lab.policies import UnknownPolicy, policy

    try:
        chosen = load_scenes(paths, only)
        for name in policies:
            policy(name)
    except (ConfigurationError, UnknownPolicy) as error:
        fail(str(error))
    return chosen


def _write(rows: list[Row], folder: Path) -> str:
    """Writes the results of runs that came to an end; returns the file's name."""
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
