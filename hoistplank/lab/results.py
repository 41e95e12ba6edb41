"""Results on disk: a line a cell while a run goes on, one Parquet file when it is whole.

A run that is cut off loses at most the cells under way: a torn last line is cut off at the next start, and
what is whole is not played again. The Parquet file is written beside and renamed.
"""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

import pyarrow as pa
import pyarrow.parquet as pq

from hoistplank.lab.experiment import LAYOUT

LINES, TABLE = "cells.jsonl", "results.parquet"
VERSION = b"hoistplank.lab.layout"

_numbers = pa.map_(pa.string(), pa.float64())
SCHEMA = pa.schema(
    [
        ("key", pa.string()),
        ("experiment", pa.string()),
        ("day", pa.string()),
        ("script", pa.string()),
        ("size", pa.int32()),
        ("seed", pa.int32()),
        ("policy", pa.string()),
        ("drive", pa.string()),
        ("seconds", pa.float64()),
        ("rate", pa.float64()),
        ("load", pa.float64()),
        ("revision", pa.string()),
        ("machine", pa.string()),
        ("score", pa.float64()),
        ("asked", pa.list_(pa.float32())),
        ("earned", pa.list_(pa.float32())),
        ("tracks", pa.map_(pa.string(), pa.list_(pa.float64()))),
        ("lost", _numbers),
        ("ends", _numbers),
        ("times", pa.map_(pa.string(), pa.list_(pa.int32()))),
        ("hosts", pa.list_(pa.string())),
        ("loads", pa.list_(pa.list_(pa.float32()))),
        ("happened", pa.list_(pa.struct([("at", pa.float32()), ("what", pa.string())]))),
        ("breaches", pa.list_(pa.string())),
        ("broken", _numbers),
        ("coldest", pa.float32()),
        ("fell", pa.int32()),
        ("events", pa.int64()),
        ("took_s", pa.float32()),
        ("digest", pa.string()),
        ("fleet", pa.string()),  # JSON: what a scene of the fleet tells beside (`lab/fleet/metrics.py`)
    ],
    metadata={VERSION: str(LAYOUT).encode()},
)
OF_CELL = ("day", "size", "seed", "policy", "drive", "seconds", "rate", "load")
MAPS = ("tracks", "lost", "ends", "times", "broken")


class ResultsError(Exception):
    """Its text names the file and what is wrong with it."""


class Journal:
    """The cells that are done, a JSON line each, flushed as they come."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.path = folder / LINES
        self.rows: dict[str, dict[str, Any]] = {}
        self.cut = 0
        if self.path.exists():
            self._read()
        self._file = self.path.open("ab")

    def _read(self) -> None:
        data, whole = self.path.read_bytes(), 0
        for line in data.split(b"\n")[:-1]:
            try:
                row = json.loads(line)
                self.rows[row["key"]] = row
            except (ValueError, KeyError, TypeError):
                break
            whole += len(line) + 1
        self.cut = len(data) - whole
        if self.cut:
            # Danger: what was being written when the run was cut off would spoil the next line too.
            with self.path.open("r+b") as file:
                file.truncate(whole)

    def add(self, row: dict[str, Any]) -> None:
        """Append a row, and keep it under its key."""
        self.rows[row["key"]] = row
        self._file.write(json.dumps(row).encode() + b"\n")
        self._file.flush()
        os.fsync(self._file.fileno())

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def _flat(row: dict[str, Any], experiment: str) -> dict[str, Any]:
    cell = row["cell"]
    flat = {name: row.get(name) for name in SCHEMA.names if name in row}
    flat |= {
        name: cell[name] for name in ("day", "size", "seed", "policy", "drive", "seconds", "rate", "load")
    }
    flat |= {"experiment": experiment, "script": cell["text"]}
    flat["happened"] = [{"at": at, "what": what} for at, what in row["happened"]]
    for name in MAPS:
        flat[name] = list(row[name].items())
    flat["fleet"] = json.dumps(row["fleet"]) if "fleet" in row else None
    return flat


def write(folder: Path, experiment: str, rows: list[dict[str, Any]]) -> Path:
    """All rows as one file, whole or not at all."""
    table = pa.Table.from_pylist([_flat(row, experiment) for row in rows], schema=SCHEMA)
    path = folder / TABLE
    beside = path.with_name(f".{TABLE}.{os.getpid()}")
    pq.write_table(table, beside, compression="zstd")
    beside.replace(path)
    return path


def load(path: Path) -> list[dict[str, Any]]:
    """The rows of a results file or its folder; maps as dictionaries. Raises ResultsError."""
    file = path / TABLE if path.is_dir() else path
    try:
        table = pq.read_table(file)
    except (OSError, pa.ArrowException) as error:
        raise ResultsError(f"{file.name} can't be read: {str(error)[:200]}") from None
    layout = (table.schema.metadata or {}).get(VERSION, b"none").decode()
    if layout != str(LAYOUT):
        raise ResultsError(f"{file.name} has layout {layout}, expected {LAYOUT}: run the experiment again")
    rows: list[dict[str, Any]] = table.to_pylist()
    for row in rows:
        for name in MAPS:
            row[name] = dict(row[name] or [])
        row["fleet"] = json.loads(row["fleet"]) if row["fleet"] else None
    return rows
