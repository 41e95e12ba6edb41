"""`hoistplank state`: what is kept in a folder, for operators. Nothing in the folder is changed."""

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
            raise FolderError(folder, "is no folder")
        return StateFolder(folder).load(repair=False)
    except FolderError as error:
        fail(str(error))


@click.group()
def state() -> None:
    """What is kept across restarts: look at it, check it, write it out."""


@state.command()
@FOLDER
@click.option("--json", "as_json", is_flag=True, help="As a JSON object.")
def show(folder: Path, as_json: bool) -> None:
    """Tell how old the kept list is and what it is worth. Exit code 1: there is none."""
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
    """Read every file; a line for each that is not whole. Exit code 1: there is one, or no state."""
    loaded = _load(folder)
    for note in loaded.notes:
        click.echo(note)
    sys.exit(0 if loaded.state is not None and not loaded.notes else 1)


@state.command()
@FOLDER
def export(folder: Path) -> None:
    """Write the state as JSON lines: one that tells of the list, then one a host and one a purge."""
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
