"""`hoistplank lab scale`: the cost of each role as slopes, and the tables of `docs/CAPACITY.md`."""

from __future__ import annotations

import platform
import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING

import click
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from hoistplank.cli.failure import fail
from hoistplank.cli.lazy import CONTROL_EXTRA

if TYPE_CHECKING:
    from hoistplank.lab.scale.measurements import Measurement
    from hoistplank.lab.scale.role_control_service import ControlParts

ROOT = Path(__file__).resolve().parents[2]
RESULTS = ROOT / "docs" / "capacity"
PAGE = ROOT / "docs" / "CAPACITY.md"
SLOPES_FILE = "slopes.parquet"


@click.group()
def scale() -> None:
    """Estimate the capacity of a fleet from measured slopes.

    \b
    Measure all slopes:      hoistplank lab scale slopes --out docs/capacity/slopes.parquet
    Write the page's tables: hoistplank lab scale table
    """


def _control_parts() -> ControlParts:
    """Returns the parts of the control service to measure; their libraries are installed as an extra."""
    try:
        from hoistplank.xds import (
            follower,
            resource_messages,
            resource_types,
            resources,
            response_encoder,
            stream_messages,
        )
    except ModuleNotFoundError as error:
        raise click.ClickException(f"the control service needs '{error.name}': {CONTROL_EXTRA}") from None
    from hoistplank.lab.scale.role_control_service import ControlParts

    return ControlParts(
        cache=resources.ResourceCache,
        host=resource_messages.Host,
        follower=follower.Follower,
        encoder=response_encoder.ResponseEncoder,
        delta_request=stream_messages.DeltaRequest,
        endpoint_type=resource_types.ENDPOINT_TYPE,
        runtime_type=resource_types.RUNTIME_TYPE,
        purges_name=resource_types.PURGES_NAME,
    )


@scale.command()
@click.option("--quick", is_flag=True, help="Fewer repetitions, and no load on a real dispatcher.")
@click.option("--out", type=click.Path(dir_okay=False), required=True, help="The Parquet file to write.")
@click.option("--only", default="", help="Only the steps whose title contains this text.")
def slopes(quick: bool, out: str, only: str) -> None:
    """Measure every role at four sizes or more; takes some minutes, with --quick about 20 s."""
    from hoistplank.lab.runner import revision
    from hoistplank.lab.scale.children import ChildFailedError
    from hoistplank.lab.scale.measure import carried_out, steps, titled
    from hoistplank.lab.scale.measurements import RunInfo, write
    from hoistplank.lab.scale.metering import QUICK, WHOLE, Step

    effort = QUICK if quick else WHOLE
    chosen = titled(steps(_control_parts(), effort), only)
    if not chosen:
        fail(f"no step's title contains '{only}'")
    began_at = datetime.now(UTC).strftime("%Y-%m-%dT%H:%MZ")
    form = "quick" if quick else "whole"
    info = RunInfo(f"slopes {began_at}", revision(ROOT), platform.platform(), form)
    columns = (TextColumn("{task.description}"), BarColumn(), TextColumn("{task.completed}/{task.total}"))
    console = Console(stderr=True)
    with Progress(*columns, TimeElapsedColumn(), console=console, transient=True) as progress:
        task = progress.add_task("slopes", total=len(chosen))

        def began(step: Step) -> None:
            progress.update(task, description=f"{step.role}: {step.title}", completed=chosen.index(step))

        try:
            found = carried_out(chosen, effort, info.run, began)
            write(Path(out), found, info)
        except (ChildFailedError, OSError) as error:
            raise click.ClickException(str(error)) from None
    click.echo(f"{out}: {len(found)} measurements in {len(chosen)} steps")


def _measurements(folder: Path) -> list[Measurement]:
    from hoistplank.lab.scale.measurements import MeasurementsError, read_folder

    try:
        found = read_folder(folder)
    except MeasurementsError as error:
        fail(str(error))
    if not found:
        fail(f"{folder}: no results; run 'hoistplank lab scale slopes --out {folder / SLOPES_FILE}'")
    return found


_results = click.option(
    "--results",
    type=click.Path(file_okay=False, path_type=Path),
    default=RESULTS,
    help="Folder of the committed results.",
)


@scale.command()
@click.option("--check", is_flag=True, help="Write nothing; exit code 1 if page and results differ.")
@click.option("--page", type=click.Path(dir_okay=False, path_type=Path), default=PAGE, help="Page to update.")
@_results
def table(check: bool, page: Path, results: Path) -> None:
    """Update the tables of docs/CAPACITY.md from the committed results."""
    from hoistplank.lab.scale.tables import PageError, rewritten

    found = _measurements(results)
    try:
        before = page.read_text()
        after = rewritten(before, found)
    except OSError as error:
        fail(f"{page}: can't be read ({error.strerror})")
    except (PageError, ValueError) as error:
        fail(f"{page.name}: {error}")
    if check:
        if before != after:
            click.echo(f"{page.name} differs from its results: run 'hoistplank lab scale table'", err=True)
            sys.exit(1)
        click.echo(f"{page.name} agrees with its results")
        return
    page.write_text(after)
    click.echo(f"{page.name}: tables written from {len(found)} measurements")


@scale.command()
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), default=Path("capacity.html"))
@_results
def report(out: Path, results: Path) -> None:
    """Write one HTML page with a plot of each slope and its budget."""
    from hoistplank.lab.scale.page import page

    out.write_text(page(_measurements(results)))
    click.echo(str(out))
