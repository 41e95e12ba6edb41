"""Plays an experiment's cells over workers: resumable, and no worker's death takes more than its cell."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from hoistplank.lab import results
from hoistplank.lab.experiment import Cell, Experiment
from hoistplank.lab.worker import Job

MAX_ATTEMPTS = 2  # of a cell whose worker died, or whose day was void
CELL_TIMEOUT_S = 1_800.0


# How many cells are done, of how many, the last one, and "done" or why it could not be played.
CellCallback = Callable[[int, int, Cell, str], None]


class RunError(Exception):
    """A run that can't go on; its text says why."""


def revision(root: Path) -> str:
    """The commit that plays, with '+' where files differ from it; empty outside a repository."""
    try:
        described = subprocess.run(
            ["git", "describe", "--always", "--dirty=+", "--abbrev=10"],
            cwd=root,
            capture_output=True,
            text=True,
            check=True,
        )
    except (OSError, subprocess.CalledProcessError):
        return ""
    return described.stdout.strip()


def checkouts(root: Path, folder: Path, revisions: list[str]) -> dict[str, str]:
    """A worktree of this project's own history for each older revision."""
    folders = {}
    for name in revisions:
        place = folder / "texts" / name
        if not place.exists():
            made = subprocess.run(
                ["git", "worktree", "add", "--detach", str(place.resolve()), name],
                cwd=root,
                capture_output=True,
                text=True,
            )
            if made.returncode:
                raise RunError(f"no checkout of revision {name}: {made.stderr.strip().splitlines()[-1:]}")
        folders[name] = str(place)
    return folders


def remove_checkouts(root: Path, texts: dict[str, str]) -> None:
    """Remove the worktrees again."""
    for place in texts.values():
        subprocess.run(
            ["git", "worktree", "remove", "--force", str(Path(place).resolve())],
            cwd=root,
            capture_output=True,
        )


class ExperimentRun:
    """One run of an experiment into a folder."""

    def __init__(
        self,
        experiment: Experiment,
        folder: Path,
        workers: int,
        on_cell: CellCallback | None = None,
        command: tuple[str, ...] = (sys.executable, "-m", "hoistplank.lab.worker"),
    ) -> None:
        self.experiment, self.folder, self.workers, self.on_cell = experiment, folder, workers, on_cell
        self.command, self.journal = command, results.Journal(folder)
        self.failed: list[tuple[Cell, str]] = []
        self.done = 0

    async def _play(self, cell: Cell, texts: dict[str, str]) -> tuple[dict[str, Any] | None, str]:
        process = await asyncio.create_subprocess_exec(
            *self.command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=subprocess.PIPE
        )
        try:
            job = msgspec.json.encode(Job(cell, texts))
            async with asyncio.timeout(CELL_TIMEOUT_S):
                out, err = await process.communicate(job)
        except TimeoutError:
            return None, f"not done in {CELL_TIMEOUT_S:g} s"
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
        if process.returncode:
            last = err.decode(errors="replace").strip().splitlines()[-1:] or [""]
            return None, f"the worker ended with {process.returncode}: {last[0][:200]}"
        row = msgspec.json.decode(out)
        if "score" not in row:
            return None, str(row.get("void") or row.get("wrong") or "no result")
        return row, ""

    async def _worker(self, cells: list[Cell], texts: dict[str, str], text: str) -> None:
        while cells:
            cell, why = cells.pop(0), ""
            for _ in range(MAX_ATTEMPTS):
                row, why = await self._play(cell, texts)
                if row is not None:
                    self.journal.add(row | {"revision": text})
                    break
            self.done += 1
            if why:
                self.failed.append((cell, why))
            if self.on_cell is not None:
                self.on_cell(self.done, len(self.experiment.cells), cell, why or "done")

    async def run(self, root: Path) -> Path:
        """Play the cells that are not done yet, and write the Parquet file of all that are."""
        text = revision(root)
        # What another text of the program has played proves nothing for this one.
        completed = {key for key, row in self.journal.rows.items() if row["revision"] == text}
        cells = [cell for cell in self.experiment.cells if cell.key() not in completed]
        self.done = len(self.experiment.cells) - len(cells)
        # The largest first: a long one at the end would leave the other workers without anything to do.
        cells.sort(key=lambda cell: -cell.size * cell.seconds)
        texts = checkouts(root, self.folder, self.experiment.revisions())
        try:
            tasks = [
                asyncio.create_task(self._worker(cells, texts, text), name=f"worker {n}")
                for n in range(self.workers)
            ]
            try:
                await asyncio.gather(*tasks)
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
        finally:
            remove_checkouts(root, texts)
            self.journal.close()
        played = [self.journal.rows.get(cell.key()) for cell in self.experiment.cells]
        rows = [row for row in played if row is not None and row["revision"] == text]
        if not rows:
            raise RunError(
                f"no cell could be played: {self.failed[0][1] if self.failed else 'none asked for'}"
            )
        return results.write(self.folder, self.experiment.name, rows)
