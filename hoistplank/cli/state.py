"""`hoistplank state`: read-only inspection of a state folder, for operators."""

from __future__ import annotations

import sys
import time
from pathlib import Path

import click
import msgspec

from hoistplank.cli.failure import fail
from hoistplank.membership import list_staleness
from hoistplank.store.errors import FolderError
from hoistplank.store.folder import StateFolder
from hoistplank.store.state_reader import LoadResult

DAY_S = 86_400

FOLDER = click.argument("folder", type=click.Path(path_type=Path))


def _load(folder: Path) -> LoadResult:
    try:
        if not folder.is_dir():
            raise FolderError(folder, "is not a folder")
        return StateFolder(folder).load(repair=False)
    except FolderError as error:
        fail(str(error))


@click.group()
def state() -> None:
    """Show, verify and export the state that is kept across restarts."""


@state.command()
@FOLDER
@click.option("--json", "as_json", is_flag=True, help="Print a JSON object.")
def show(folder: Path, as_json: bool) -> None:
    """Show the age of the kept list and the estimated share still valid. Exit code 1: there is no state."""
    loaded = _load(folder)
    persisted = loaded.state
    row: dict[str, object] = {
        "generation": loaded.generation,
        "changes": loaded.changes,
        "notes": loaded.notes,
    }
    if persisted is not None:
        age_s = time.time() - persisted.last_contact_us / 1e6
        row |= {
            "log": persisted.log,
            "age_s": round(age_s),
            "hosts": len(persisted.hosts),
            "purges": len(persisted.purges),
            "gone_a_day": round(list_staleness.removal_rate(persisted.history) * DAY_S, 4),
            "alive": round(list_staleness.survival_probability(persisted.history, age_s), 4),
        }
    if as_json:
        click.echo(msgspec.json.encode(row).decode())
    else:
        click.echo("\n".join(f"{name}: {value}" for name, value in row.items()))
    sys.exit(0 if persisted is not None else 1)


@state.command()
@FOLDER
def verify(folder: Path) -> None:
    """Read all files; print a line for each damaged one. Exit code 1: a file is damaged, or no state."""
    loaded = _load(folder)
    for note in loaded.notes:
        click.echo(note)
    sys.exit(0 if loaded.state is not None and not loaded.notes else 1)


@state.command()
@FOLDER
def export(folder: Path) -> None:
    """Write the state as JSON lines: one on the list, then one per host and one per purge."""
    persisted = _load(folder).state
    if persisted is None:
        sys.exit(1)
    head = {
        "log": persisted.log,
        "heard_us": persisted.last_contact_us,
        "rev": persisted.revision,
        "history": persisted.history,
    }
    for row in (head, *persisted.hosts, *persisted.purges):
        click.echo(msgspec.json.encode(row).decode())
