"""Runs an experiment's cells in worker processes: resumable, and a dead worker loses only its own cell."""

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

MAX_ATTEMPTS = 2  # for a cell whose worker died or whose day was void
CELL_TIMEOUT_S = 1_800.0


# Arguments: finished cells, all cells, the last finished cell, and "done" or the reason of its failure.
CellCallback = Callable[[int, int, Cell, str], None]


class RunError(Exception):
    """A run can't continue; the message says why."""


def revision(root: Path) -> str:
    """Returns the current commit, with '+' if files differ from it, or '' outside a repository."""
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


def add_checkouts(root: Path, folder: Path, revisions: list[str]) -> dict[str, str]:
    """Adds a worktree for each older revision and returns their folders. Raises RunError."""
    folders = {}
    for name in revisions:
        checkout = folder / "texts" / name
        if not checkout.exists():
            added = subprocess.run(
                ["git", "worktree", "add", "--detach", str(checkout.resolve()), name],
                cwd=root,
                capture_output=True,
                text=True,
            )
            if added.returncode:
                raise RunError(f"no checkout of revision {name}: {added.stderr.strip().splitlines()[-1:]}")
        folders[name] = str(checkout)
    return folders


def remove_checkouts(root: Path, folders: dict[str, str]) -> None:
    """Removes the worktrees."""
    for folder in folders.values():
        subprocess.run(
            ["git", "worktree", "remove", "--force", str(Path(folder).resolve())],
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

    async def _run_in_worker(
        self, cell: Cell, checkouts: dict[str, str]
    ) -> tuple[dict[str, Any] | None, str]:
        process = await asyncio.create_subprocess_exec(
            *self.command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=subprocess.PIPE
        )
        try:
            job = msgspec.json.encode(Job(cell, checkouts))
            async with asyncio.timeout(CELL_TIMEOUT_S):
                out, err = await process.communicate(job)
        except TimeoutError:
            return None, f"not completed within {CELL_TIMEOUT_S:g} s"
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
        if process.returncode:
            last_line = err.decode(errors="replace").strip().splitlines()[-1:] or [""]
            return None, f"the worker ended with {process.returncode}: {last_line[0][:200]}"
        row = msgspec.json.decode(out)
        if "score" not in row:
            return None, str(row.get("void") or row.get("wrong") or "no result")
        return row, ""

    async def _run_cells(self, cells: list[Cell], checkouts: dict[str, str], current: str) -> None:
        while cells:
            cell, failure = cells.pop(0), ""
            for _ in range(MAX_ATTEMPTS):
                row, failure = await self._run_in_worker(cell, checkouts)
                if row is not None:
                    self.journal.add(row | {"revision": current})
                    break
            self.done += 1
            if failure:
                self.failed.append((cell, failure))
            if self.on_cell is not None:
                self.on_cell(self.done, len(self.experiment.cells), cell, failure or "done")

    async def run(self, root: Path) -> Path:
        """Runs the cells that are not completed yet and writes the Parquet file of all completed ones."""
        current = revision(root)
        # Results of another revision of the program are no results of this one.
        completed = {key for key, row in self.journal.rows.items() if row["revision"] == current}
        cells = [cell for cell in self.experiment.cells if cell.key() not in completed]
        self.done = len(self.experiment.cells) - len(cells)
        # The largest first: a long one at the end would leave the other workers idle.
        cells.sort(key=lambda cell: -cell.size * cell.seconds)
        checkouts = add_checkouts(root, self.folder, self.experiment.revisions())
        try:
            tasks = [
                asyncio.create_task(self._run_cells(cells, checkouts, current), name=f"worker {n}")
                for n in range(self.workers)
            ]
            try:
                await asyncio.gather(*tasks)
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
        finally:
            remove_checkouts(root, checkouts)
            self.journal.close()
        stored = [self.journal.rows.get(cell.key()) for cell in self.experiment.cells]
        rows = [row for row in stored if row is not None and row["revision"] == current]
        if not rows:
            raise RunError(
                f"no cell was completed: {self.failed[0][1] if self.failed else 'there are no cells'}"
            )
        return results.write(self.folder, self.experiment.name, rows)
