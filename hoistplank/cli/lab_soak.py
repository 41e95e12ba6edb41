"""`hoistplank lab soak`: dispatcher processes under seeded mixes of faults."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from hoistplank.lab.fleet.soak.run import SoakResult

VIOLATED, VOID = 1, 3  # exit codes


@click.command()
@click.option("--seed", "seeds", multiple=True, type=click.IntRange(0), help="May be given several times.")
@click.option(
    "--seeds",
    "count",
    type=click.IntRange(1),
    default=8,
    show_default=True,
    help="Play the seeds from 1 to this one.",
)
@click.option("--at-once", type=click.IntRange(1, 16), default=max(1, (os.cpu_count() or 1) // 2))
@click.option("--keep", type=click.Path(), help="Folder in which to keep the dispatchers' files and logs.")
@click.option("--build", default="", help="Run a faulty build, to verify that a checker detects it.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object per run.")
def soak(
    seeds: tuple[int, ...], count: int, at_once: int, keep: str | None, build: str, as_json: bool
) -> None:
    """Play seeded mixes of faults on real dispatcher processes, and check the rules by the messages
    actually sent.

    Exit code 0: no rule was violated. 1: a rule was violated. 3: the machine was too slow for a verdict.
    """
    from hoistplank.lab.fleet.soak import runner
    from hoistplank.lab.fleet.soak.build import BUILDS

    if build and build not in BUILDS:
        raise click.BadParameter(f"one of: {', '.join(BUILDS)}", param_hint="--build")

    def report(result: SoakResult) -> None:
        click.echo(json.dumps(result._asdict()) if as_json else _summarize(result))

    folder = Path(keep) if keep else None
    work = runner.play_seeds(seeds or range(1, count + 1), at_once, build, folder, report)
    try:
        results = asyncio.run(work)
    except KeyboardInterrupt:
        raise click.ClickException("interrupted; no process is left running") from None
    if any(result.violations for result in results):
        sys.exit(VIOLATED)
    sys.exit(VOID if any(result.is_void for result in results) else 0)


def _summarize(result: SoakResult) -> str:
    verdict = "BROKEN" if result.violations else "void" if result.is_void else "held"
    served = result.counts.get("status 200", 0)
    rejected = result.counts.get("status 503", 0) + result.counts.get("status 502", 0)
    faults = ", ".join(f"{count} {name}" for name, count in sorted(result.faults.items()))
    head = (
        f"seed {result.seed}: {verdict}, {result.dispatchers} dispatchers, {served} served, "
        f"{rejected} rejected or failed, rig {result.late_ms} ms late; {faults}"
    )
    return "\n".join([head, *(f"  {violation}" for violation in result.violations)])
