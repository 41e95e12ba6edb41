"""Functions shared by the laboratory's commands: progress bars, tables and reading of results."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.progress import BarColumn, Progress, ProgressColumn, TextColumn, TimeElapsedColumn

from hoistplank.cli.failure import fail

ROOT = Path(__file__).resolve().parents[2]  # root of the repository
TABLE_WIDTH = 110
COUNT = "{task.completed}/{task.total}"
ROUNDED_COUNT = "{task.completed:.0f}/{task.total:.0f}"

Row = dict[str, Any]  # one result, as stored in its file


@contextmanager
def progress_bar(count: str = COUNT) -> Iterator[Progress]:
    """Shows a progress bar on standard error, and removes it at the end."""
    columns: tuple[ProgressColumn, ...] = (TextColumn("{task.description}"), BarColumn(), TextColumn(count))
    console = Console(stderr=True)
    with Progress(*columns, TimeElapsedColumn(), console=console, transient=True) as progress:
        yield progress


def table_console() -> Console:
    """Returns a console for tables, of a fixed width."""
    return Console(width=TABLE_WIDTH)


def load_rows(path: str) -> list[Row]:
    """Returns the results in a file or folder; ends the command if they can't be read."""
    from hoistplank.lab.results import ResultsError, load

    try:
        return load(Path(path))
    except ResultsError as error:
        fail(str(error))
