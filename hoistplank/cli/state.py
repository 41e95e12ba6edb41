"""`hoistplank state`: what is kept in a folder, for operators. Nothing in the folder is changed."""

from __future__ import annotations

import sys
import time
from pathlib import Path

import click
import msgspec

from hoistplank.membership import list_staleness
from hoistplank.store.errors import FolderError
from hoistplank.store.folder import StateFolder
from hoistplank.store.state_reader import LoadResult

FOLDER = click.argument("folder", type=click.Path(path_type=Path))


def _load(folder: Path) -> LoadResult:
    try:
        if not folder.is_dir():
            raise FolderError(folder, "is no folder")
        return StateFolder(folder).load(repair=False)
    except FolderError as wrong:
        click.echo(f"hoistplank: {wrong}", err=True)
        sys.exit(2)


@click.group()
def state() -> None:
    """What is kept across restarts: look at it, check it, write it out."""


@state.command()
@FOLDER
@click.option("--json", "as_json", is_flag=True, help="As a JSON object.")
def show(folder: Path, as_json: bool) -> None:
    """Tell how old the kept list is and what it is worth. Exit code 1: there is none."""
    loaded = _load(folder)
    held = loaded.state
    row: dict[str, object] = {
        "generation": loaded.generation,
        "changes": loaded.changes,
        "notes": loaded.notes,
    }
    if held is not None:
        age_s = time.time() - held.last_contact_us / 1e6
        row |= {
            "log": held.log,
            "age_s": round(age_s),
            "hosts": len(held.hosts),
            "purges": len(held.purges),
            "gone_a_day": round(list_staleness.removal_rate(held.history) * 86_400, 4),
            "alive": round(list_staleness.survival_probability(held.history, age_s), 4),
        }
    click.echo(
        msgspec.json.encode(row).decode() if as_json else "\n".join(f"{k}: {v}" for k, v in row.items())
    )
    sys.exit(0 if held is not None else 1)


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
    held = _load(folder).state
    if held is None:
        sys.exit(1)
    head = {"log": held.log, "heard_us": held.last_contact_us, "rev": held.revision, "history": held.history}
    for row in (head, *held.hosts, *held.purges):
        click.echo(msgspec.json.encode(row).decode())
