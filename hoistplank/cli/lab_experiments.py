"""`hoistplank lab run`, `compare` and `report`: experiments, comparisons and reports of their results."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path

import click
from rich.table import Table

from hoistplank.cli.failure import fail
from hoistplank.cli.lab_output import ROOT, Row, load_rows, progress_bar, table_console
from hoistplank.operator_configuration.errors import ConfigurationError


@click.command()
@click.argument("file", type=click.Path())
@click.option("--out", type=click.Path(), help="Folder for the results; default: lab-results/NAME.")
@click.option("--workers", type=click.IntRange(1, 256), default=os.cpu_count() or 1, show_default=True)
def run(file: str, out: str | None, workers: int) -> None:
    """Run the experiment of FILE, or resume it if it was interrupted. Exit code 1: some cells failed."""
    from hoistplank.lab.experiment import Cell, read_experiment
    from hoistplank.lab.runner import ExperimentRun, RunError

    try:
        experiment = read_experiment(Path(file).read_bytes(), file)
    except OSError as error:
        fail(f"{file}: can't be read ({error.strerror})")
    except ConfigurationError as error:
        fail(str(error))
    folder = Path(out) if out else Path("lab-results") / experiment.name
    with progress_bar() as progress:
        task = progress.add_task(experiment.name, total=len(experiment.cells))

        def report_cell(done: int, _total: int, cell: Cell, outcome: str) -> None:
            progress.update(task, completed=done)
            if outcome != "done":
                progress.console.print(
                    f"{cell.day} {cell.size} seed {cell.seed} {cell.policy}: {outcome}", markup=False
                )

        running = ExperimentRun(experiment, folder, workers, report_cell)
        if running.journal.cut:
            progress.console.print(f"discarded {running.journal.cut} bytes of an incomplete cell")
        try:
            path = asyncio.run(running.run(ROOT))
        except RunError as error:
            raise click.ClickException(str(error)) from None
    click.echo(f"{path}: {len(experiment.cells) - len(running.failed)} of {len(experiment.cells)} cells")
    sys.exit(1 if running.failed else 0)


@click.command()
@click.argument("first", type=click.Path(exists=True))
@click.argument("second", type=click.Path(exists=True), required=False)
@click.option("--base", default="module", show_default=True, help="Policy that the others are compared with.")
@click.option("--json", "as_json", is_flag=True)
def compare(first: str, second: str | None, base: str, as_json: bool) -> None:
    """Compare policies of a result, or two results: paired differences with 95 % intervals and a verdict."""
    from hoistplank.lab.report import paired

    rows = load_rows(first)
    if second is not None:
        rows = _two_results(rows, load_rows(second), base)
        base = "first"
    found = paired(rows, base)
    if not found:
        fail(f"nothing to compare with '{base}': no pairs of the same day, size and seed")
    if as_json:
        click.echo(json.dumps([{"policy": p, "size": s, **d._asdict()} for p, s, d in found]))
        return
    table = Table(title=f"against {base}, paired by day and seed")
    for word in ("policy", "cache hosts", "pairs", "difference", "95 % interval", "verdict"):
        table.add_column(word)
    for policy, size, row in found:
        table.add_row(
            policy,
            str(size),
            str(row.pairs),
            f"{row.mean:+.4f}",
            f"{row.low:+.4f} to {row.high:+.4f}",
            row.verdict,
        )
    table_console().print(table)


def _two_results(first: list[Row], second: list[Row], policy: str) -> list[Row]:
    """Returns the rows of one policy in both results, with the result as the policy name."""
    rows = [row | {"policy": "first"} for row in first if row["policy"] == policy]
    return rows + [row | {"policy": "second"} for row in second if row["policy"] == policy]


@click.command()
@click.argument("results", type=click.Path(exists=True))
@click.argument("beside", type=click.Path(exists=True), required=False)
@click.option("--out", type=click.Path(), help="File to write; default: report.html next to the results.")
@click.option("--base", default="module", show_default=True)
def report(results: str, beside: str | None, out: str | None, base: str) -> None:
    """Write a self-contained, printable HTML page of RESULTS. For scenes of a fleet, a second run BESIDE is
    shown next to them.
    """
    from hoistplank.lab.fleet import pages
    from hoistplank.lab.report import page

    rows = load_rows(results)
    if not rows:
        fail(f"{results}: no rows")
    if beside is not None and not all(row["fleet"] for row in rows):
        fail(f"{results}: a second run can only be shown next to scenes of the fleet")
    folder = Path(results) if Path(results).is_dir() else Path(results).parent
    path = Path(out) if out else folder / "report.html"
    if rows[0]["fleet"]:
        path.write_text(pages.page(rows, load_rows(beside) if beside is not None else []))
    else:
        path.write_text(page(rows, base))
    click.echo(str(path))
